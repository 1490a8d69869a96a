#include "configuration/change_plan.h"

namespace rattanpond::configuration {

namespace {

template<class T>
std::vector<std::string> DifferingFields(T const& aDeclared, T const& aCurrent)
{
  std::vector<std::string> names;
  base::ForEachField<T>([&](auto const& aField) {
    if (aDeclared.*aField.mMember != aCurrent.*aField.mMember) {
      names.emplace_back(aField.mName);
    }
  });
  return names;
}

/// Adds the creations and changes of one change_subject to the plan.
template<class T>
void Compare(std::map<std::string, T> const& aDeclared, std::map<std::string, T> const& aCurrent,
             change_subject aSubject, change_plan& aPlan, std::vector<T>& aBatch)
{
  for (auto const& [name, declared] : aDeclared) {
    auto const current = aCurrent.find(name);
    if (current == aCurrent.end()) {
      aPlan.mChanges.push_back(
        { .mKind = change_kind::create, .mSubject = aSubject, .mName = name, .mFields = {} });
    } else if (current->second != declared) {
      aPlan.mChanges.push_back({ .mKind = change_kind::change,
                                 .mSubject = aSubject,
                                 .mName = name,
                                 .mFields = DifferingFields(declared, current->second) });
    } else {
      continue;
    }
    aBatch.push_back(declared);
  }
}

} // namespace

change_plan Plan(declaration_set const& aDeclarations, configuration_snapshot const& aSnapshot)
{
  change_plan plan;
  plan.mBaseVersion = aSnapshot.mVersion;
  plan.mBatch.mBaseVersion = aSnapshot.mVersion;
  Compare(aDeclarations.mContracts, aSnapshot.mContracts, change_subject::contract, plan,
          plan.mBatch.mContracts);
  Compare(aDeclarations.mDomains, aSnapshot.mDomains, change_subject::domain, plan,
          plan.mBatch.mDomains);
  for (auto const& [workspace, current] : aSnapshot.mContracts) {
    if (!aDeclarations.mContracts.contains(workspace)) {
      plan.mChanges.push_back({ .mKind = change_kind::remove,
                                .mSubject = change_subject::contract,
                                .mName = workspace,
                                .mFields = {} });
      plan.mBatch.mRemoveContracts.push_back(workspace);
    }
  }
  return plan;
}

std::string ToText(change_plan const& aPlan)
{
  std::string text;
  for (auto const& change : aPlan.mChanges) {
    text += std::string{ base::Name(change.mKind) } + " " +
            std::string{ base::Name(change.mSubject) } + " " + change.mName;
    std::string separator = ": ";
    for (auto const& field : change.mFields) {
      text += separator + field;
      separator = ", ";
    }
    text += '\n';
  }
  text += std::to_string(aPlan.mChanges.size()) + " changes to version " +
          std::to_string(aPlan.mBaseVersion) + '\n';
  return text;
}

base::json ToJson(change_plan const& aPlan)
{
  return { { "base_version", aPlan.mBaseVersion },
           { "changes", base::Encode(aPlan.mChanges) },
           { "batch", base::Encode(aPlan.mBatch) } };
}

} // namespace rattanpond::configuration
