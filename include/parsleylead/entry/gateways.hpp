#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "parsleylead/base/failure.hpp"
#include "parsleylead/base/time.hpp"
#include "parsleylead/base/uuid.hpp"
#include "parsleylead/claim/claimant.hpp"
#include "parsleylead/entry/job_reply.hpp"
#include "parsleylead/job/task_attempt.hpp"
#include "parsleylead/placement/demand.hpp"

namespace parsleylead {

/// One task on its way to an agent.
struct task_dispatch {
  std::string agent;
  uuid submission;
  task_attempt task;
  std::string kind;
  /// Catalogue revision of the kind.
  std::uint64_t revision = 0;
  /// Time left for the task.
  std::chrono::milliseconds budget{0};
  /// Valid during the call.
  const std::string* payload = nullptr;
  std::string traceparent;
  demand waiting;
  /// Baseline policies: wait at the agent if no slot is free.
  bool queue_if_busy = false;
};

enum class outcome_state { finished, failed, not_run, unknown };

/// What became of a dispatch.
struct dispatch_outcome {
  outcome_state state = outcome_state::unknown;
  std::string answer;
  failure error;
  /// Time at the upstream, if known.
  std::chrono::microseconds run_time{0};
  /// With reason stale_revision: the revision that the agent knows.
  std::uint64_t newer_revision = 0;
};

/// The entry's way to its agents. The implementation sends messages; tests use a mock.
class agent_gateway {
public:
  virtual ~agent_gateway() = default;
  /// Sends a task. False if the session takes no work at this moment: nothing was sent.
  virtual bool dispatch(const task_dispatch& request) = 0;
  /// Cancels all outstanding tasks of a submission at one agent.
  virtual void cancel(const std::string& agent, const uuid& submission) = 0;
  virtual void request_credits(const std::string& agent, const demand& waiting) = 0;
  virtual void return_credits(const std::string& agent, std::uint32_t credits) = 0;
};

/// The entry's way to the claims of non-idempotent requests, with the semantics of `claimant`.
class claim_gateway {
public:
  virtual ~claim_gateway() = default;
  virtual std::optional<claim_decision> request_claim(const uuid& key, const uuid& submission,
                                                      std::uint64_t digest, monotonic_time deadline,
                                                      monotonic_time now) = 0;
  virtual void release(const uuid& key, const uuid& submission) = 0;
  virtual void abandon(const uuid& key, const uuid& submission) = 0;
  virtual void record_outcome(const uuid& key, const uuid& submission, std::string state,
                              std::optional<std::string> answer, monotonic_time now) = 0;
};

/// The entry's way to submissions that other entries own.
class peer_gateway {
public:
  virtual ~peer_gateway() = default;
  /// Asks the holder's entry for the reply of the submission, waiting for its end up to `wait`.
  /// `done` gets nothing if the entry cannot be reached or does not know the submission.
  virtual void fetch_job(const claim_holder& holder, std::chrono::milliseconds wait,
                         std::function<void(std::optional<job_reply>)> done) = 0;
};

} // namespace parsleylead
