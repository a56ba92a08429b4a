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

/// A task whose dispatch was not run is placed again at most this often (docs/design.md, D9).
inline constexpr std::uint32_t max_placements_after_not_run = 3;

/// `refused` means ended after acceptance and certainly not run.
enum class job_state { open, complete, failed, refused, cancelled };

/// What is certain about the work of a submission that ended without an answer.
enum class run_certainty { not_run, may_have_run, ran };

enum class task_state { waiting, dispatched, finished, failed };

/// Effect of recording a task's outcome.
enum class record_effect {
  /// The task changed; the job is still open.
  recorded,
  /// The task changed and the job ended.
  ended,
  /// Late or duplicate; counted, nothing changed.
  ignored,
};

/// Names as shown to callers.
std::string_view to_string(job_state value);
std::string_view to_string(run_certainty value);

/// True for reasons of a failed task whose call certainly reached the upstream and ended there.
/// Other failures are recorded with `job::record_unknown`.
bool known_to_have_run(reason cause);

/// Contents of one submission.
struct job_request {
  uuid id;
  std::string kind;
  std::string owner;
  /// Request key of a non-idempotent submission.
  std::optional<std::string> key;
  monotonic_time accepted;
  monotonic_time deadline;
  /// One payload a task; at least one.
  std::vector<std::string> payloads;
};

/// One submission: its tasks, their outcomes and the single end of the whole (P2, P3, P4).
/// Not thread-safe. Aborts the process if P1, P2 or P4 would be violated.
class job {
public:
  /// Precondition: `request.payloads` is not empty.
  explicit job(job_request request);

  const uuid& id() const { return request_.id; }
  const std::string& kind() const { return request_.kind; }
  const std::string& owner() const { return request_.owner; }
  const std::optional<std::string>& key() const { return request_.key; }
  monotonic_time accepted() const { return request_.accepted; }
  monotonic_time deadline() const { return request_.deadline; }

  job_state state() const { return state_; }
  bool ended() const { return state_ != job_state::open; }
  /// What is certain at this moment; fixed when the job ends. A dispatch reported as not run counts
  /// as never made.
  run_certainty certainty() const;
  /// Why the job ended; nothing while it is open or when it is complete.
  const std::optional<failure>& end_error() const { return end_error_; }

  std::size_t size() const { return tasks_.size(); }
  /// Tasks that wait for a dispatch; fixed when the job ends.
  std::size_t waiting() const { return waiting_tasks_.size(); }
  /// Tasks with an outstanding dispatch. After the end: those outstanding at the end.
  std::vector<task_attempt> outstanding() const;
  /// Precondition: `index` < size().
  task_state state_of(std::uint32_t index) const;
  /// Payload of a task that has not ended. Precondition: `index` < size().
  const std::string& payload(std::uint32_t index) const;

  /// Marks the next waiting task as dispatched. Nothing if none waits or the job has ended.
  std::optional<task_attempt> dispatch_next();

  /// The task's answer arrived.
  record_effect record_answer(task_attempt task, std::string answer);
  /// The task ran and failed; the job fails.
  record_effect record_failed(task_attempt task, failure error);
  /// The task may have run; the job fails.
  record_effect record_unknown(task_attempt task, failure error);
  /// The dispatch was not run: the task waits again, or the job ends with `retries_exhausted`; the
  /// task counts in `waiting` in both cases.
  record_effect record_not_run(task_attempt task, const failure& error);

  /// Ends an open job at its caller's request. False if it had already ended.
  bool cancel(failure error);
  /// Ends an open job at its deadline: `refused` with `deadline_unreachable` if nothing ran, else
  /// `failed` with `deadline_exceeded`. False if it had already ended.
  bool expire();
  /// Ends an open job for another reason: `refused` if nothing ran, else `failed`. False if it had
  /// already ended.
  bool abandon(failure error);

  /// Answers in task order while a complete job still holds them; otherwise null.
  const std::vector<std::string>* answers() const;
  /// Moves the answers of a complete job out, once.
  std::optional<std::vector<std::string>> take_answers();

  /// Results that came after the end of their task, attempt or job.
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
