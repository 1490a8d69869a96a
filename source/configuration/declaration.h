#pragma once

#include "configuration/change_batch.h"

#include <filesystem>
#include <map>
#include <string>

namespace rattanpond::configuration {

/// The contracts and failure domains that a directory of TOML files declares.
struct declaration_set
{
  std::map<std::string, contract> mContracts;
  std::map<std::string, domain_service> mDomains;
};

/// Collects declarations from files. A name that is declared twice is an error.
class declaration_reader
{
public:
  /// Adds the [[contract]] and [[domain]] tables of one file. Fails with invalid_declaration; the
  /// message names file, line, column and key.
  base::result<void> Add(std::string_view aText, std::string const& aFileName);

  declaration_set const& Declarations() const { return mDeclarations; }

private:
  declaration_set mDeclarations;
  /// Source position of the first declaration of each name, keyed by kind and name.
  std::map<std::string, std::string> mFirstPositions;
};

/// Reads all *.toml files of a directory in the order of their names.
base::result<declaration_set> LoadDeclarations(std::filesystem::path const& aDirectory);

} // namespace rattanpond::configuration
