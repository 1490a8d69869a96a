#include "requests/answer_check.h"

#include "base/identifiers.h"

namespace rattanpond::requests {

void SetBodyChecksum(answer& aAnswer)
{
  aAnswer.mLength = aAnswer.mBody.size();
  aAnswer.mChecksum = base::Crc32c(aAnswer.mBody.data(), aAnswer.mBody.size());
}

bool IsIntact(answer const& aAnswer)
{
  return aAnswer.mLength == aAnswer.mBody.size() &&
         aAnswer.mChecksum == base::Crc32c(aAnswer.mBody.data(), aAnswer.mBody.size());
}

base::bytes ToBytes(std::string_view aText)
{
  return { aText.begin(), aText.end() };
}

std::string ToText(base::bytes const& aBytes)
{
  return { aBytes.begin(), aBytes.end() };
}

} // namespace rattanpond::requests
