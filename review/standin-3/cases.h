#pragma once

#include <functional>
#include <map>
#include <string>

namespace standin {

/// By name: plays the case, writes its record into the folder, and returns 1 if the rule was
/// broken.
using case_table = std::map<std::string, std::function<int(std::string const&)>>;

case_table const& Cases();

} // namespace standin
