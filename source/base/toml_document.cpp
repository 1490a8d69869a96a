#include "base/toml_document.h"

#include <fstream>
#include <sstream>

#include <toml++/toml.h>

namespace rattanpond::base {

namespace {

using position_map = std::map<std::string, source_position>;

json Convert(toml::node const& aNode, std::string const& aPath, position_map& aPositions);

json ConvertTable(toml::table const& aTable, std::string const& aPath, position_map& aPositions)
{
  json document = json::object();
  for (auto const& [key, value] : aTable) {
    auto const path = detail::JoinPath(aPath, key.str());
    document[std::string{ key.str() }] = Convert(value, path, aPositions);
    // Errors report the position of the key, which is easier to find in the file than its value.
    aPositions[path] = { key.source().begin.line, key.source().begin.column };
  }
  return document;
}

json Convert(toml::node const& aNode, std::string const& aPath, position_map& aPositions)
{
  aPositions[aPath] = { aNode.source().begin.line, aNode.source().begin.column };
  if (auto const* const table = aNode.as_table()) {
    return ConvertTable(*table, aPath, aPositions);
  }
  if (auto const* const array = aNode.as_array()) {
    json document = json::array();
    for (std::size_t index = 0; index < array->size(); ++index) {
      auto const path = aPath + "[" + std::to_string(index) + "]";
      document.push_back(Convert((*array)[index], path, aPositions));
    }
    return document;
  }
  if (auto const value = aNode.value_exact<std::int64_t>()) {
    return *value;
  }
  if (auto const value = aNode.value_exact<double>()) {
    return *value;
  }
  if (auto const value = aNode.value_exact<bool>()) {
    return *value;
  }
  if (auto const value = aNode.value_exact<std::string>()) {
    return *value;
  }
  // TOML dates and times are not supported. They become null, which the decoder rejects with its
  // path.
  return nullptr;
}

/// Destination of a converted value: a key of a table, or the end of an array.
struct toml_destination
{
  toml::table* mTable = nullptr;
  std::string mKey;
  toml::array* mArray = nullptr;

  template<class Value>
  void Insert(Value&& aValue)
  {
    if (mTable != nullptr) {
      mTable->insert_or_assign(mKey, std::forward<Value>(aValue));
    } else {
      mArray->push_back(std::forward<Value>(aValue));
    }
  }
};

void InsertValue(toml_destination aDestination, json const& aValue)
{
  if (aValue.is_object()) {
    toml::table table;
    for (auto const& item : aValue.items()) {
      InsertValue({ .mTable = &table, .mKey = item.key() }, item.value());
    }
    aDestination.Insert(std::move(table));
  } else if (aValue.is_array()) {
    toml::array array;
    for (auto const& element : aValue) {
      InsertValue({ .mKey = {}, .mArray = &array }, element);
    }
    aDestination.Insert(std::move(array));
  } else if (aValue.is_string()) {
    aDestination.Insert(aValue.get<std::string>());
  } else if (aValue.is_boolean()) {
    aDestination.Insert(aValue.get<bool>());
  } else if (aValue.is_number_float()) {
    aDestination.Insert(aValue.get<double>());
  } else if (aValue.is_number()) {
    aDestination.Insert(aValue.get<std::int64_t>());
  }
}

} // namespace

result<toml_document> toml_document::Load(std::filesystem::path const& aPath, result_code aCode)
{
  std::error_code failure;
  auto const size = std::filesystem::file_size(aPath, failure);
  if (failure) {
    return Fail(aCode, aPath.string() + ": " + failure.message());
  }
  if (size > kMaximumBytes) {
    return Fail(aCode, aPath.string() + ": the file is larger than " +
                         std::to_string(kMaximumBytes) + " bytes");
  }
  std::ifstream file{ aPath, std::ios::binary };
  std::ostringstream text;
  text << file.rdbuf();
  if (!file) {
    return Fail(aCode, aPath.string() + ": the file cannot be read");
  }
  return Parse(text.str(), aPath.string(), aCode);
}

result<toml_document> toml_document::Parse(std::string_view aText, std::string aFileName,
                                           result_code aCode)
{
  toml_document parsed;
  parsed.mFileName = std::move(aFileName);
  parsed.mCode = aCode;
  try {
    auto const table = toml::parse(aText, parsed.mFileName);
    parsed.mDocument = ConvertTable(table, "", parsed.mPositions);
  } catch (toml::parse_error const& failure) {
    auto const begin = failure.source().begin;
    return Fail(aCode, parsed.mFileName + ":" + std::to_string(begin.line) + ":" +
                         std::to_string(begin.column) + ": " +
                         std::string{ failure.description() });
  }
  return parsed;
}

std::string toml_document::SourcePosition(std::string const& aPath) const
{
  for (auto path = aPath; !path.empty();) {
    if (auto const found = mPositions.find(path); found != mPositions.end()) {
      return mFileName + ":" + std::to_string(found->second.mLine) + ":" +
             std::to_string(found->second.mColumn);
    }
    auto const separator = path.find_last_of(".[");
    path = separator == std::string::npos ? "" : path.substr(0, separator);
  }
  return mFileName;
}

std::string ToToml(json const& aDocument)
{
  toml::table table;
  for (auto const& item : aDocument.items()) {
    InsertValue({ .mTable = &table, .mKey = item.key() }, item.value());
  }
  std::ostringstream text;
  text << table << '\n';
  return text.str();
}

} // namespace rattanpond::base
