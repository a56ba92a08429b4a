#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "parsleylead/base/failure.hpp"
#include "parsleylead/base/time.hpp"
#include "parsleylead/base/uuid.hpp"
#include "parsleylead/job/task_attempt.hpp"

namespace parsleylead {

/// Maximum number of further placements of a task whose dispatch was not run (docs/design.md, D9).
inline constexpr std::uint32_t max_placements_after_not_run = 3;

/// `refused`: the job ended after acceptance and certainly did not run.
enum class job_state { open, complete, failed, refused, cancelled };

/// What is known about whether any task of a submission ran.
enum class run_certainty { not_run, may_have_run, ran };

enum class task_state { waiting, dispatched, finished, failed };

/// Effect of recording a task's outcome.
enum class record_effect {
  /// The task changed; the job is still open.
  recorded,
  /// The task changed and the job ended.
  ended,
  /// Late or duplicate result: only counted.
  ignored,
};

/// Names as shown to callers.
std::string_view to_string(job_state value);
std::string_view to_string(run_certainty value);

/// Returns true if a task that failed for this reason certainly ran and ended at the upstream.
/// Failures for other reasons are recorded with `job::record_unknown`.
bool known_to_have_run(reason cause);

/// Parameters of one submission.
struct job_request {
  uuid id;
  std::string kind;
  std::string owner;
  /// Request key of a non-idempotent submission.
  std::optional<std::string> key;
  monotonic_time accepted_at;
  monotonic_time deadline;
  /// One payload per task; at least one.
  std::vector<std::string> payloads;
};

/// State of one submission: its tasks, their outcomes and its only end (P2, P3, P4). Not
/// thread-safe. Aborts the process if P1, P2 or P4 would be violated.
class job {
public:
  /// Precondition: `request.payloads` is not empty.
  explicit job(job_request request);

  const uuid& id() const { return request_.id; }
  const std::string& kind() const { return request_.kind; }
  const std::string& owner() const { return request_.owner; }
  const std::optional<std::string>& key() const { return request_.key; }
  monotonic_time accepted_at() const { return request_.accepted_at; }
  monotonic_time deadline() const { return request_.deadline; }

  job_state state() const { return state_; }
  bool ended() const { return state_ != job_state::open; }
  /// Whether tasks ran, as known at this moment; fixed when the job ends. A dispatch that was
  /// reported as not run does not count.
  run_certainty certainty() const;
  /// Why the job ended; nullopt while it is open or if it is complete.
  const std::optional<failure>& end_error() const { return end_error_; }

  std::size_t size() const { return tasks_.size(); }
  /// Number of tasks that wait for a dispatch; fixed when the job ends.
  std::size_t waiting_count() const { return waiting_tasks_.size(); }
  /// Tasks with an outstanding dispatch; after the job ended, those outstanding at its end.
  std::vector<task_attempt> outstanding() const;
  /// Precondition: `index` < size().
  task_state state_of(std::uint32_t index) const;
  /// Payload of a task that has not ended; empty afterwards. Precondition: `index` < size().
  const std::string& payload(std::uint32_t index) const;

  /// Marks the next waiting task as dispatched and returns it. Returns nullopt if no task waits or
  /// the job has ended.
  std::optional<task_attempt> dispatch_next();

  /// Records the answer of a task; the last answer completes the job.
  record_effect record_answer(task_attempt task, std::string answer);
  /// Records that the task ran and failed; the job fails.
  record_effect record_failed(task_attempt task, failure error);
  /// Records that the task may have run and has no answer; the job fails.
  record_effect record_unknown(task_attempt task, failure error);
  /// Records that the dispatch was not run: the task waits again, or the job ends with
  /// `retries_exhausted`. `waiting_count` includes the task in both cases.
  record_effect record_not_run(task_attempt task, const failure& error);

  /// Cancels an open job for its caller. Returns false if it had already ended.
  bool cancel(failure error);
  /// Ends an open job at its deadline: `refused` with `deadline_unreachable` if nothing ran, else
  /// `failed` with `deadline_exceeded`. Returns false if it had already ended.
  bool expire();
  /// Ends an open job for another reason: `refused` if nothing ran, else `failed`. Returns false if
  /// it had already ended.
  bool abandon(failure error);

  /// Answers of a complete job in task order; null before completion and after `take_answers`.
  const std::vector<std::string>* answers() const;
  /// Moves out the answers of a complete job. Returns nullopt if there are none or they were taken.
  std::optional<std::vector<std::string>> take_answers();

  /// Number of results that arrived after their task, attempt or job had ended.
  std::size_t ignored_results() const { return ignored_results_; }

private:
  struct task_entry {
    task_state state = task_state::waiting;
    std::uint32_t dispatch_count = 0;
    std::uint32_t not_run_count = 0;
  };

  bool is_current_attempt(task_attempt task) const;
  record_effect ignore_result();
  void finish(job_state state, std::optional<failure> error);

  job_request request_;
  std::vector<task_entry> tasks_;
  std::deque<std::uint32_t> waiting_tasks_;
  std::vector<std::string> answers_;
  std::vector<bool> answered_;
  job_state state_ = job_state::open;
  std::optional<failure> end_error_;
  run_certainty final_certainty_ = run_certainty::not_run;
  std::size_t outstanding_count_ = 0;
  std::size_t ran_count_ = 0;
  std::size_t finished_count_ = 0;
  std::size_t unknown_count_ = 0;
  std::size_t ignored_results_ = 0;
  bool answers_taken_ = false;
};

} // namespace parsleylead
