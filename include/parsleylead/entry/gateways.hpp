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

/// Parameters of one task dispatch to an agent.
struct task_dispatch {
  std::string agent;
  uuid submission;
  task_attempt task;
  std::string kind;
  /// Catalogue revision of the kind.
  std::uint64_t revision = 0;
  /// Remaining time budget of the task.
  std::chrono::milliseconds budget{0};
  /// Valid during the call.
  const std::string* payload = nullptr;
  std::string traceparent;
  demand waiting;
  /// Set by baseline policies: the task waits at the agent if no slot is free.
  bool queue_if_busy = false;
};

enum class outcome_state { finished, failed, not_run, unknown };

/// Result of a dispatch.
struct dispatch_outcome {
  outcome_state state = outcome_state::unknown;
  std::string answer;
  failure error;
  /// Run time at the upstream; 0 if unknown.
  std::chrono::microseconds run_time{0};
  /// With reason stale_revision: the revision that the agent knows.
  std::uint64_t newer_revision = 0;
};

/// Interface through which the dispatcher sends messages to agents; mocked in tests.
class agent_gateway {
public:
  virtual ~agent_gateway() = default;
  /// Sends a task. Returns false, without sending it, if the session takes no tasks at the moment.
  virtual bool dispatch(const task_dispatch& request) = 0;
  /// Cancels all outstanding tasks of a submission at one agent.
  virtual void cancel(const std::string& agent, const uuid& submission) = 0;
  virtual void request_credits(const std::string& agent, const demand& waiting) = 0;
  virtual void return_credits(const std::string& agent, std::uint32_t credits) = 0;
};

/// Interface to the claims of non-idempotent requests, with the semantics of `claimant`.
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

/// Interface to submissions that other entries own.
class peer_gateway {
public:
  virtual ~peer_gateway() = default;
  /// Asks the holder's entry for the reply of the submission and waits up to `wait` for its end.
  /// `done` receives nullopt if the entry cannot be reached or does not know the submission.
  virtual void fetch_job(const claim_holder& holder, std::chrono::milliseconds wait,
                         std::function<void(std::optional<job_reply>)> done) = 0;
};

} // namespace parsleylead
