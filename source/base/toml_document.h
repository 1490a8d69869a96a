#pragma once

#include "base/codec.h"

#include <filesystem>
#include <map>
#include <string>

namespace rattanpond::base {

/// Line and column, both counted from 1.
struct source_position
{
  std::size_t mLine = 0;
  std::size_t mColumn = 0;
};

/// A TOML file parsed to a JSON document. It records the position of every key, so that a decode
/// error can report file, line and column.
class toml_document
{
public:
  /// Larger files are rejected before they are read.
  static constexpr std::size_t kMaximumBytes = 1024 * 1024;

  static result<toml_document> Load(std::filesystem::path const& aPath, result_code aCode);
  static result<toml_document> Parse(std::string_view aText, std::string aFileName,
                                     result_code aCode);

  json const& Document() const { return mDocument; }

  /// Returns "file:line:column" of a document path, or of its nearest ancestor with a known
  /// position; the file name alone if there is none.
  std::string SourcePosition(std::string const& aPath) const;

  template<class T>
  result<T> As() const
  {
    auto decoded = TryDecode<T>(mDocument);
    if (auto const* const failure = std::get_if<decode_failure>(&decoded)) {
      return Fail(mCode, SourcePosition(failure->mPath) + ": " +
                           (failure->mPath.empty() ? "" : "key '" + failure->mPath + "': ") +
                           failure->mReason);
    }
    return std::get<T>(std::move(decoded));
  }

private:
  std::string mFileName;
  result_code mCode = result_code::invalid_settings;
  json mDocument;
  std::map<std::string, source_position> mPositions;
};

/// Formats a JSON object as TOML.
std::string ToToml(json const& aDocument);

} // namespace rattanpond::base
