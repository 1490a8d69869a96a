#include "configuration/operator_service.h"

#include "base/logging.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace rattanpond::configuration {

namespace asio = boost::asio;
using base::error;
using base::json;
using base::result_code;
using net::http_response;
using net::routed_request;

namespace {

/// Body of POST /v1/domains/{domain}.
struct domain_change
{
  std::uint64_t mBaseVersion = 0;
  domain_state mState = domain_state::in_service;
  std::optional<base::milliseconds> mNotice;

  static constexpr auto Fields()
  {
    return std::make_tuple(base::Required("base_version", &domain_change::mBaseVersion),
                           base::Required("state", &domain_change::mState),
                           base::Field("notice_ms", &domain_change::mNotice));
  }
};

error NotSynchronized()
{
  return { result_code::not_synchronized, "this entry has not loaded the configuration yet" };
}

} // namespace

operator_service::operator_service(asio::io_context& aControl, configuration_store& aStore,
                                   freshness_service& aFreshness, access_control const& aAccess)
  : mControl{ aControl }
  , mStore{ aStore }
  , mFreshness{ aFreshness }
  , mAccess{ aAccess }
{
}

void operator_service::Register(net::http_router& aRouter)
{
  Add(aRouter, "GET", "/v1/configuration", &operator_service::Configuration);
  Add(aRouter, "POST", "/v1/configuration", &operator_service::Change);
  Add(aRouter, "GET", "/v1/contracts", &operator_service::Contracts);
  Add(aRouter, "GET", "/v1/contracts/{workspace}", &operator_service::OneContract);
  Add(aRouter, "GET", "/v1/domains", &operator_service::Domains);
  Add(aRouter, "POST", "/v1/domains/{domain}", &operator_service::ChangeDomain);
}

void operator_service::Add(net::http_router& aRouter, std::string aMethod,
                           std::string_view aPattern, operation aOperation)
{
  aRouter.Add(std::move(aMethod), aPattern, [this, aOperation](routed_request aRequest) {
    return Handle(aOperation, std::move(aRequest));
  });
}

asio::awaitable<http_response> operator_service::Handle(operation aOperation,
                                                        routed_request aRequest)
{
  auto const allowed = base::Capture(
    [&] { return mAccess.CheckOperator(aRequest.mRequest.mHeaders.Value("Authorization")); });
  if (!base::Succeeded(allowed)) {
    co_return net::ErrorResponse(base::Error(allowed));
  }
  // The operation runs on the control thread; this coroutine resumes on its own executor.
  auto response = co_await asio::co_spawn(mControl, (this->*aOperation)(std::move(aRequest)),
                                          asio::use_awaitable);
  if (!base::Succeeded(response)) {
    co_return net::ErrorResponse(base::Error(response));
  }
  co_return std::get<0>(std::move(response));
}

operator_service::answer operator_service::Configuration(routed_request)
{
  auto const snapshot = mStore.Current();
  if (!snapshot) {
    co_return NotSynchronized();
  }
  co_return net::JsonResponse(200, base::Encode(*snapshot));
}

operator_service::answer operator_service::Contracts(routed_request)
{
  auto const snapshot = mStore.Current();
  if (!snapshot) {
    co_return NotSynchronized();
  }
  auto contracts = json::array();
  for (auto const& [workspace, contract] : snapshot->mContracts) {
    contracts.push_back(base::Encode(contract));
  }
  co_return net::JsonResponse(
    200, { { "version", snapshot->mVersion }, { "contracts", std::move(contracts) } });
}

operator_service::answer operator_service::OneContract(routed_request aRequest)
{
  auto const snapshot = mStore.Current();
  if (!snapshot) {
    co_return NotSynchronized();
  }
  auto const found = snapshot->mContracts.find(aRequest.mPath.at("workspace"));
  if (found == snapshot->mContracts.end()) {
    co_return error{ result_code::unknown_workspace, "the workspace has no contract" };
  }
  co_return net::JsonResponse(
    200, { { "version", snapshot->mVersion }, { "contract", base::Encode(found->second) } });
}

operator_service::answer operator_service::Domains(routed_request)
{
  auto const snapshot = mStore.Current();
  if (!snapshot) {
    co_return NotSynchronized();
  }
  auto domains = json::array();
  for (auto const& [name, domain] : snapshot->mDomains) {
    domains.push_back(base::Encode(domain));
  }
  co_return net::JsonResponse(
    200, { { "version", snapshot->mVersion }, { "domains", std::move(domains) } });
}

operator_service::answer operator_service::Change(routed_request aRequest)
{
  auto batch =
    base::Capture([&] { return base::DecodeText<change_batch>(aRequest.mRequest.mBody); });
  if (!base::Succeeded(batch)) {
    co_return base::Error(batch);
  }
  co_return co_await Apply(std::get<0>(std::move(batch)));
}

operator_service::answer operator_service::ChangeDomain(routed_request aRequest)
{
  auto const decoded =
    base::Capture([&] { return base::DecodeText<domain_change>(aRequest.mRequest.mBody); });
  if (!base::Succeeded(decoded)) {
    co_return base::Error(decoded);
  }
  auto const snapshot = mStore.Current();
  if (!snapshot) {
    co_return NotSynchronized();
  }
  auto const& change = std::get<0>(decoded);
  auto const& name = aRequest.mPath.at("domain");
  auto const found = snapshot->mDomains.find(name);
  auto domain = found == snapshot->mDomains.end() ? domain_service{} : found->second;
  domain.mDomain = name;
  domain.mState = change.mState;
  domain.mNotice = change.mNotice.value_or(domain.mNotice);
  // Decoding the whole value checks the range of notice_ms.
  auto checked = base::Capture([&] { return base::Decode<domain_service>(base::Encode(domain)); });
  if (!base::Succeeded(checked)) {
    co_return base::Error(checked);
  }
  change_batch batch{ .mBaseVersion = change.mBaseVersion,
                      .mContracts = {},
                      .mDomains = { std::get<0>(std::move(checked)) },
                      .mRemoveContracts = {} };
  co_return co_await Apply(std::move(batch));
}

operator_service::answer operator_service::Apply(change_batch aBatch)
{
  if (!mStore.IsSynchronized()) {
    co_return NotSynchronized();
  }
  auto const applied = co_await mStore.Apply(std::move(aBatch));
  if (!base::Succeeded(applied)) {
    base::Log("configuration")
      ->info("Configuration change refused: {}: {}.", base::Name(base::Error(applied).mCode),
             base::Error(applied).mMessage);
    co_return base::Error(applied);
  }
  auto const version = std::get<0>(applied);
  auto const state = co_await mFreshness.AwaitInForce(version);
  if (state == force_state::in_force) {
    co_return net::JsonResponse(200, { { "version", version }, { "result", "accepted" } });
  }
  auto const code = result_code::committed_not_in_force;
  co_return net::JsonResponse(net::HttpStatus(code),
                              { { "version", version },
                                { "result", "committed, not yet in force everywhere" },
                                { "code", static_cast<unsigned>(code) },
                                { "name", base::Name(code) } });
}

} // namespace rattanpond::configuration
