#pragma once

#include "configuration/change_batch.h"
#include "configuration/declaration.h"

#include <string>
#include <vector>

namespace rattanpond::configuration {

enum class change_kind
{
  create,
  change,
  remove
};

enum class change_subject
{
  contract,
  domain
};

/// One difference between declarations and the configuration in force.
struct planned_change
{
  change_kind mKind = change_kind::create;
  change_subject mSubject = change_subject::contract;
  std::string mName;
  /// Names of the fields that differ, for change_kind::change.
  std::vector<std::string> mFields;

  static constexpr auto Fields()
  {
    return std::make_tuple(base::Field("kind", &planned_change::mKind),
                           base::Field("subject", &planned_change::mSubject),
                           base::Field("name", &planned_change::mName),
                           base::Field("fields", &planned_change::mFields));
  }
};

/// The changes that make the configuration equal to the declarations.
struct change_plan
{
  std::uint64_t mBaseVersion = 0;
  std::vector<planned_change> mChanges;
  change_batch mBatch;
};

/// The plan removes a contract that is not declared. It leaves a failure domain that is not
/// declared unchanged, because operators also set the state of failure domains directly.
change_plan Plan(declaration_set const& aDeclarations, configuration_snapshot const& aSnapshot);

/// One line for each change, followed by a summary line.
std::string ToText(change_plan const& aPlan);
base::json ToJson(change_plan const& aPlan);

} // namespace rattanpond::configuration

namespace rattanpond::base {

template<>
struct enum_names<configuration::change_kind>
{
  using type = configuration::change_kind;
  static constexpr enum_name<type> kTable[] = { { type::create, "create" },
                                                { type::change, "change" },
                                                { type::remove, "remove" } };
};

template<>
struct enum_names<configuration::change_subject>
{
  using type = configuration::change_subject;
  static constexpr enum_name<type> kTable[] = { { type::contract, "contract" },
                                                { type::domain, "domain" } };
};

} // namespace rattanpond::base
