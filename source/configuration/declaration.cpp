#include "configuration/declaration.h"

#include "base/toml_document.h"

#include <algorithm>
#include <fstream>
#include <sstream>
#include <vector>

namespace rattanpond::configuration {

using base::Fail;
using base::result_code;

namespace {

// Far more than one file for each of the workspaces that are expected after two years.
constexpr std::size_t kMaximumFiles = 1000;

/// The content of one declaration file.
struct declaration_file
{
  std::vector<contract> mContracts;
  std::vector<domain_service> mDomains;

  static constexpr auto Fields()
  {
    return std::make_tuple(base::Field("contract", &declaration_file::mContracts),
                           base::Field("domain", &declaration_file::mDomains));
  }
};

base::error ErrorAt(base::toml_document const& aDocument, std::string const& aPath,
                    std::string const& aReason)
{
  return { result_code::invalid_declaration,
           aDocument.SourcePosition(aPath) + ": key '" + aPath + "': " + aReason };
}

base::result<std::string> ReadFile(std::filesystem::path const& aPath)
{
  std::error_code failure;
  auto const size = std::filesystem::file_size(aPath, failure);
  if (failure) {
    return Fail(result_code::invalid_declaration, aPath.string() + ": " + failure.message());
  }
  if (size > base::toml_document::kMaximumBytes) {
    return Fail(result_code::invalid_declaration,
                aPath.string() + ": the file is larger than " +
                  std::to_string(base::toml_document::kMaximumBytes) + " bytes");
  }
  std::ifstream file{ aPath, std::ios::binary };
  std::ostringstream text;
  text << file.rdbuf();
  if (!file) {
    return Fail(result_code::invalid_declaration, aPath.string() + ": reading the file failed");
  }
  return text.str();
}

} // namespace

base::result<void> declaration_reader::Add(std::string_view aText, std::string const& aFileName)
{
  BOOST_LEAF_AUTO(document,
                  base::toml_document::Parse(aText, aFileName, result_code::invalid_declaration));
  BOOST_LEAF_AUTO(file, document.template As<declaration_file>());
  auto const add = [&](auto& aMap, auto const& aValue, std::string const& aName,
                       std::string const& aPath, std::string const& aKey,
                       auto const& aCheck) -> base::result<void> {
    auto const checked = base::Capture([&] { return aCheck(aValue); });
    if (!base::Succeeded(checked)) {
      return Fail(ErrorAt(document, aPath, base::Error(checked).mMessage));
    }
    auto const position = document.SourcePosition(aPath + "." + aKey);
    auto const [first, isNew] = mFirstPositions.try_emplace(aKey + " " + aName, position);
    if (!isNew) {
      return Fail(ErrorAt(document, aPath + "." + aKey,
                          "'" + aName + "' is already declared at " + first->second));
    }
    aMap.insert_or_assign(aName, aValue);
    return {};
  };
  for (std::size_t index = 0; index < file.mContracts.size(); ++index) {
    auto const& value = file.mContracts[index];
    auto const path = "contract[" + std::to_string(index) + "]";
    BOOST_LEAF_CHECK(
      add(mDeclarations.mContracts, value, value.mWorkspace, path, "workspace", &CheckContract));
  }
  for (std::size_t index = 0; index < file.mDomains.size(); ++index) {
    auto const& value = file.mDomains[index];
    auto const path = "domain[" + std::to_string(index) + "]";
    BOOST_LEAF_CHECK(
      add(mDeclarations.mDomains, value, value.mDomain, path, "domain", &CheckDomain));
  }
  return {};
}

base::result<declaration_set> LoadDeclarations(std::filesystem::path const& aDirectory)
{
  std::error_code failure;
  std::vector<std::filesystem::path> files;
  for (std::filesystem::directory_iterator next{ aDirectory, failure }, end;
       !failure && next != end; next.increment(failure)) {
    if (next->path().extension() == ".toml") {
      files.push_back(next->path());
    }
  }
  if (failure) {
    return Fail(result_code::invalid_declaration, aDirectory.string() + ": " + failure.message());
  }
  if (files.empty() || files.size() > kMaximumFiles) {
    return Fail(result_code::invalid_declaration,
                aDirectory.string() + ": the directory contains " + std::to_string(files.size()) +
                  " *.toml files, but 1 to " + std::to_string(kMaximumFiles) + " are allowed");
  }
  std::ranges::sort(files);
  declaration_reader reader;
  for (auto const& file : files) {
    BOOST_LEAF_AUTO(text, ReadFile(file));
    BOOST_LEAF_CHECK(reader.Add(text, file.string()));
  }
  return reader.Declarations();
}

} // namespace rattanpond::configuration
