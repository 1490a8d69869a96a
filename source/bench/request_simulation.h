#pragma once

#include "base/codec.h"
#include "requests/admission.h"
#include "requests/execution_ledger.h"
#include "requests/request_progress.h"
#include "requests/router.h"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <vector>

namespace rattanpond::bench {

enum class request_fault
{
  none,
  slow_executor,
  failing_executor,
  burst,
  domain_out
};

} // namespace rattanpond::bench

template<>
struct rattanpond::base::enum_names<rattanpond::bench::request_fault>
{
  using type = rattanpond::bench::request_fault;
  static constexpr enum_name<type> kTable[] = { { type::none, "none" },
                                                { type::slow_executor, "slow-executor" },
                                                { type::failing_executor, "failing-executor" },
                                                { type::burst, "burst" },
                                                { type::domain_out, "domain-out" } };
};

namespace rattanpond::bench {

/// Replays a seeded table of arrivals on a virtual clock against the router, admission, progress
/// and ledger code of the real processes. Several entries have their own, stale views.
class request_simulation
{
public:
  struct options
  {
    requests::routing_policy_kind mPolicy = requests::routing_policy_kind::two_choices;
    std::uint64_t mSeed = 1;
    request_fault mFault = request_fault::none;
  };

  explicit request_simulation(options aOptions);
  ~request_simulation();

  /// Runs to the end and returns the measurements.
  base::json Run();

private:
  using microseconds = std::int64_t;

  struct simulated_request
  {
    microseconds mArrival = 0;
    microseconds mDeadline = 0;
    double mWorkMilliseconds = 0;
    configuration::urgency mUrgency = configuration::urgency::normal;
    std::size_t mEntry = 0;
    requests::request_progress mProgress{ requests::repeatability::idempotent };
    requests::repeatability mRepeatability = requests::repeatability::idempotent;
    std::string mAttempt;
    std::string mTarget;
    std::vector<std::string> mExcluded;
    int mStarts = 0;
    bool mIsEnded = false;
  };

  struct simulated_entry
  {
    std::unique_ptr<requests::router> mRouter;
    std::unique_ptr<requests::admission> mAdmission;
  };

  struct simulated_agent
  {
    std::string mName;
    std::string mIncarnation;
    std::unique_ptr<requests::execution_ledger> mLedger;
    bool mIsUp = true;
  };

  struct event
  {
    microseconds mTime = 0;
    std::uint64_t mSequence = 0;
    std::function<void()> mAction;

    bool operator<(event const& aOther) const
    {
      return std::pair{ mTime, mSequence } > std::pair{ aOther.mTime, aOther.mSequence };
    }
  };

  base::time_point Time() const { return base::time_point{ base::milliseconds{ mNow / 1000 } }; }
  void At(microseconds aTime, std::function<void()> aAction);
  void MakeEntries();
  void MakeAgents();
  void MakeArrivals();
  void MakeFault();
  double RateAt(microseconds aTime) const;
  std::vector<membership::target_description> Describe() const;

  void Arrive(std::size_t aRequest);
  void Place(std::size_t aRequest);
  void Answered(std::size_t aRequest, requests::answer const& aAnswer);
  void Lost(std::size_t aRequest);
  void Retry(std::size_t aRequest, requests::next_step aStep, requests::request_result aResult);
  void AtDeadline(std::size_t aRequest);
  void End(std::size_t aRequest, requests::request_result aResult);
  void Perform(std::size_t aAgent, requests::execution_ledger::actions const& aActions);
  void Execute(std::size_t aAgent, requests::start_execution const& aStart);
  void Tick();
  void StopAgent(std::size_t aAgent);
  void StartAgent(std::size_t aAgent);
  base::json Report() const;

  options mOptions;
  requests::random_source mRandom;
  microseconds mNow = 0;
  std::uint64_t mSequence = 0;
  std::priority_queue<event> mEvents;
  std::vector<simulated_entry> mEntries;
  std::vector<simulated_agent> mAgents;
  std::vector<simulated_request> mRequests;
  std::map<std::string, std::size_t> mByAttempt;
  std::uint64_t mAttempts = 0;

  std::map<configuration::urgency, std::vector<double>> mCompletions;
  std::map<std::string, std::uint64_t> mOutcomes;
  std::map<std::string, std::uint64_t> mRefusals;
  std::vector<std::uint64_t> mGoodput;
  std::uint64_t mRetries = 0;
  std::uint64_t mDoubledRuns = 0;
  std::uint64_t mUntrueRefusals = 0;
};

} // namespace rattanpond::bench
