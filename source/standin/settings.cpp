#include "standin/settings.h"

#include "net/endpoint.h"

namespace rattanpond::standin {

using base::result;
using base::result_code;

namespace {

result<void> CheckEndpoint(std::string const& aKey, std::string const& aText)
{
  auto const parsed = base::Capture([&] { return net::ParseEndpoint(aText); });
  if (!base::Succeeded(parsed)) {
    return base::Fail(result_code::invalid_settings,
                      "key '" + aKey + "': " + base::Error(parsed).mMessage);
  }
  return {};
}

template<class Component>
result<void> CheckComponents(std::string const& aKey, std::vector<Component> const& aComponents)
{
  std::set<std::string_view> names;
  for (auto const& component : aComponents) {
    BOOST_LEAF_CHECK(CheckEndpoint(aKey + ".endpoint", component.mEndpoint));
    if (component.mName.empty() || !names.insert(component.mName).second) {
      return base::Fail(result_code::invalid_settings,
                        "key '" + aKey + ".name': names must be present and unique");
    }
  }
  return {};
}

} // namespace

result<void> Validate(settings const& aSettings)
{
  BOOST_LEAF_CHECK(CheckEndpoint("control_endpoint", aSettings.mControlEndpoint));
  BOOST_LEAF_CHECK(CheckEndpoint("table_endpoint", aSettings.mTableEndpoint));
  BOOST_LEAF_CHECK(CheckComponents("workers", aSettings.mWorkers));
  return CheckComponents("executors", aSettings.mExecutors);
}

} // namespace rattanpond::standin
