#pragma once

#include "configuration/contract.h"
#include "membership/target_description.h"
#include "net/frame.h"
#include "requests/outcome.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace rattanpond::requests {

enum class cancel_reason
{
  by_caller,
  deadline_passed
};

/// What an agent reports about an attempt in reply to a resolve message.
enum class resolve_state
{
  /// The answer is included.
  finished,
  /// Another resolve_reply follows when the attempt has ended.
  running,
  /// The agent has not started this attempt and refuses it permanently.
  never_started,
  /// The agent has discarded its oldest records and cannot rule out that the attempt ran.
  record_discarded,
  /// The query names another incarnation of the agent.
  unknown_incarnation
};

} // namespace rattanpond::requests

namespace rattanpond::base {

template<>
struct enum_names<requests::cancel_reason>
{
  using type = requests::cancel_reason;
  static constexpr enum_name<type> kTable[] = { { type::by_caller, "by_caller" },
                                                { type::deadline_passed, "deadline_passed" } };
};

template<>
struct enum_names<requests::resolve_state>
{
  using type = requests::resolve_state;
  static constexpr enum_name<type> kTable[] = {
    { type::finished, "finished" },
    { type::running, "running" },
    { type::never_started, "never_started" },
    { type::record_discarded, "forgotten" },
    { type::unknown_incarnation, "unknown_incarnation" },
  };
};

} // namespace rattanpond::base

namespace rattanpond::requests {

struct header_field
{
  std::string mName;
  std::string mValue;

  bool operator==(header_field const&) const = default;

  static constexpr auto Fields()
  {
    return std::make_tuple(base::Required("name", &header_field::mName),
                           base::Required("value", &header_field::mValue));
  }
};

/// Sends one attempt of a request to an agent. An entry sends each attempt once.
struct dispatch
{
  static constexpr net::message_type kType = net::message_type::dispatch;

  std::string mAttempt;
  /// Agent incarnation that the attempt is addressed to.
  std::string mIncarnation;
  std::string mWorkspace;
  std::string mService;
  /// Time left until the deadline when the message is sent. A duration, because clocks of different
  /// machines are not compared.
  base::milliseconds mRemaining{ 0 };
  configuration::urgency mUrgency = configuration::urgency::normal;
  repeatability mRepeatability = repeatability::non_idempotent;
  /// The agent's clock in the last report that the entry received before it created the attempt.
  base::milliseconds mAgentClock{ 0 };
  std::vector<header_field> mHeaders;
  base::bytes mBody;

  static constexpr auto Fields()
  {
    return std::make_tuple(
      base::Field("attempt", &dispatch::mAttempt),
      base::Field("incarnation", &dispatch::mIncarnation),
      base::Field("workspace", &dispatch::mWorkspace), base::Field("service", &dispatch::mService),
      base::Field("remaining_ms", &dispatch::mRemaining, { 0, 86'400'000 }),
      base::Field("urgency", &dispatch::mUrgency),
      base::Field("repeatability", &dispatch::mRepeatability),
      base::Field("agent_clock_ms", &dispatch::mAgentClock),
      base::Field("headers", &dispatch::mHeaders), base::Field("body", &dispatch::mBody));
  }
};

/// Reports the end of one attempt.
struct answer
{
  static constexpr net::message_type kType = net::message_type::answer;

  std::string mAttempt;
  outcome mOutcome = outcome::failed_by_target;
  run_proof mProof = run_proof::may_have_run;
  base::result_code mCode = base::result_code::internal;
  std::string mMessage;
  /// Status, headers and body of the executor's response, for outcome done only.
  std::uint32_t mStatus = 0;
  std::vector<header_field> mHeaders;
  base::bytes mBody;
  std::uint64_t mLength = 0;
  /// CRC-32C of the body.
  std::uint32_t mChecksum = 0;
  /// Time that the call to the executor took; 0 if the executor was not reached.
  std::uint64_t mServiceMicroseconds = 0;
  /// Load of the agent after this attempt.
  std::uint32_t mQueued = 0;
  std::uint32_t mRunning = 0;

  static constexpr auto Fields()
  {
    return std::make_tuple(
      base::Field("attempt", &answer::mAttempt), base::Field("outcome", &answer::mOutcome),
      base::Field("proof", &answer::mProof), base::Field("code", &answer::mCode),
      base::Field("message", &answer::mMessage),
      base::Field("status", &answer::mStatus, { 0, 599 }),
      base::Field("headers", &answer::mHeaders), base::Field("body", &answer::mBody),
      base::Field("length", &answer::mLength), base::Field("checksum", &answer::mChecksum),
      base::Field("service_us", &answer::mServiceMicroseconds),
      base::Field("queued", &answer::mQueued), base::Field("running", &answer::mRunning));
  }
};

/// Cancels an attempt. The answer states whether the attempt may have run.
struct cancel
{
  static constexpr net::message_type kType = net::message_type::cancel;

  std::string mAttempt;
  cancel_reason mReason = cancel_reason::by_caller;

  static constexpr auto Fields()
  {
    return std::make_tuple(base::Field("attempt", &cancel::mAttempt),
                           base::Field("reason", &cancel::mReason));
  }
};

/// Queries the state and, if it has ended, the answer of an attempt.
struct resolve
{
  static constexpr net::message_type kType = net::message_type::resolve;

  /// Identifier chosen by the sender; every reply repeats it.
  std::string mQuery;
  std::string mAttempt;
  std::string mIncarnation;
  /// As in dispatch; taken from the claim.
  base::milliseconds mAgentClock{ 0 };

  static constexpr auto Fields()
  {
    return std::make_tuple(base::Field("query", &resolve::mQuery),
                           base::Field("attempt", &resolve::mAttempt),
                           base::Field("incarnation", &resolve::mIncarnation),
                           base::Field("agent_clock_ms", &resolve::mAgentClock));
  }
};

struct resolve_reply
{
  static constexpr net::message_type kType = net::message_type::resolve_reply;

  std::string mQuery;
  resolve_state mState = resolve_state::record_discarded;
  std::optional<answer> mAnswer;

  static constexpr auto Fields()
  {
    return std::make_tuple(base::Field("query", &resolve_reply::mQuery),
                           base::Field("state", &resolve_reply::mState),
                           base::Field("answer", &resolve_reply::mAnswer));
  }
};

/// Sent by an agent on each new traffic link, on each change of state, and every second.
struct load_report
{
  static constexpr net::message_type kType = net::message_type::load_report;

  std::string mIncarnation;
  membership::target_state mState = membership::target_state::serving;
  std::uint32_t mQueued = 0;
  std::uint32_t mRunning = 0;
  /// Time since the agent started.
  base::milliseconds mAgentClock{ 0 };

  static constexpr auto Fields()
  {
    return std::make_tuple(base::Field("incarnation", &load_report::mIncarnation),
                           base::Field("state", &load_report::mState),
                           base::Field("queued", &load_report::mQueued),
                           base::Field("running", &load_report::mRunning),
                           base::Field("agent_clock_ms", &load_report::mAgentClock));
  }
};

} // namespace rattanpond::requests
