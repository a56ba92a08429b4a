#include "parsleylead/job/job.hpp"

#include <algorithm>
#include <utility>

#include "parsleylead/base/invariant.hpp"

namespace parsleylead {

std::string_view to_string(job_state value) {
  switch (value) {
  case job_state::open:
    return "open";
  case job_state::complete:
    return "complete";
  case job_state::failed:
    return "failed";
  case job_state::refused:
    return "refused";
  case job_state::cancelled:
    return "cancelled";
  }
  return "invalid";
}

std::string_view to_string(run_certainty value) {
  switch (value) {
  case run_certainty::not_run:
    return "not_run";
  case run_certainty::may_have_run:
    return "may_have_run";
  case run_certainty::ran:
    return "ran";
  }
  return "invalid";
}

bool known_to_have_run(reason cause) {
  return cause == reason::task_failed || cause == reason::answer_too_large;
}

job::job(job_request request) : request_(std::move(request)) {
  const auto count = request_.payloads.size();
  check_invariant(count > 0, "a job has no tasks");
  tasks_.resize(count);
  answers_.resize(count);
  answered_.resize(count);
  for (std::uint32_t index = 0; index < count; ++index) {
    waiting_tasks_.push_back(index);
  }
}

run_certainty job::certainty() const {
  if (ended()) {
    return final_certainty_;
  }
  if (outstanding_count_ + unknown_count_ > 0) {
    return run_certainty::may_have_run;
  }
  return ran_count_ > 0 ? run_certainty::ran : run_certainty::not_run;
}

std::vector<task_attempt> job::outstanding() const {
  std::vector<task_attempt> result;
  if (outstanding_count_ == 0) {
    return result;
  }
  for (std::uint32_t index = 0; index < tasks_.size(); ++index) {
    if (tasks_[index].state == task_state::dispatched) {
      result.push_back({index, tasks_[index].dispatch_count});
    }
  }
  return result;
}

task_state job::state_of(std::uint32_t index) const {
  return tasks_.at(index).state;
}

const std::string& job::payload(std::uint32_t index) const {
  return request_.payloads.at(index);
}

std::optional<task_attempt> job::dispatch_next() {
  if (ended() || waiting_tasks_.empty()) {
    return std::nullopt;
  }
  const auto index = waiting_tasks_.front();
  waiting_tasks_.pop_front();
  auto& task = tasks_[index];
  check_invariant(task.state == task_state::waiting && task.dispatch_count == task.not_run_count,
                  "a task was dispatched again after a dispatch that may have run");
  task.state = task_state::dispatched;
  ++task.dispatch_count;
  ++outstanding_count_;
  return task_attempt{index, task.dispatch_count};
}

record_effect job::record_answer(task_attempt task, std::string answer) {
  if (!is_current_attempt(task)) {
    return ignore_result();
  }
  tasks_[task.index].state = task_state::finished;
  --outstanding_count_;
  ++ran_count_;
  ++finished_count_;
  answers_[task.index] = std::move(answer);
  answered_[task.index] = true;
  request_.payloads[task.index] = std::string();
  if (finished_count_ < tasks_.size()) {
    return record_effect::recorded;
  }
  finish(job_state::complete, std::nullopt);
  return record_effect::ended;
}

record_effect job::record_failed(task_attempt task, failure error) {
  if (!is_current_attempt(task)) {
    return ignore_result();
  }
  tasks_[task.index].state = task_state::failed;
  --outstanding_count_;
  ++ran_count_;
  finish(job_state::failed, std::move(error));
  return record_effect::ended;
}

record_effect job::record_unknown(task_attempt task, failure error) {
  if (!is_current_attempt(task)) {
    return ignore_result();
  }
  tasks_[task.index].state = task_state::failed;
  --outstanding_count_;
  ++unknown_count_;
  finish(job_state::failed, std::move(error));
  return record_effect::ended;
}

record_effect job::record_not_run(task_attempt task, const failure& error) {
  if (!is_current_attempt(task)) {
    return ignore_result();
  }
  auto& entry = tasks_[task.index];
  entry.state = task_state::waiting;
  ++entry.not_run_count;
  --outstanding_count_;
  waiting_tasks_.push_front(task.index);
  if (entry.not_run_count <= max_placements_after_not_run) {
    return record_effect::recorded;
  }
  abandon(
      {reason::retries_exhausted, step::place, error.peer, "last refusal: " + to_string(error)});
  return record_effect::ended;
}

bool job::cancel(failure error) {
  if (ended()) {
    return false;
  }
  finish(job_state::cancelled, std::move(error));
  return true;
}

bool job::expire() {
  if (certainty() == run_certainty::not_run) {
    return abandon({reason::deadline_unreachable, step::place, "",
                    "the time budget ended before any task was started"});
  }
  return abandon(
      {reason::deadline_exceeded, step::gather, "", "the time budget ended before all answers"});
}

bool job::abandon(failure error) {
  if (ended()) {
    return false;
  }
  finish(certainty() == run_certainty::not_run ? job_state::refused : job_state::failed,
         std::move(error));
  return true;
}

const std::vector<std::string>* job::answers() const {
  return state_ == job_state::complete && !answers_taken_ ? &answers_ : nullptr;
}

std::optional<std::vector<std::string>> job::take_answers() {
  if (answers() == nullptr) {
    return std::nullopt;
  }
  answers_taken_ = true;
  return std::move(answers_);
}

bool job::is_current_attempt(task_attempt task) const {
  return !ended() && task.index < tasks_.size() &&
         tasks_[task.index].state == task_state::dispatched &&
         tasks_[task.index].dispatch_count == task.attempt;
}

record_effect job::ignore_result() {
  ++ignored_results_;
  return record_effect::ignored;
}

void job::finish(job_state state, std::optional<failure> error) {
  const auto final_certainty = certainty();
  const auto never_started = std::all_of(tasks_.begin(), tasks_.end(), [](const task_entry& task) {
    return task.state == task_state::waiting && task.dispatch_count == task.not_run_count;
  });
  check_invariant(final_certainty != run_certainty::not_run || never_started,
                  "a job is not_run although a task may have started");
  check_invariant(state != job_state::refused || never_started,
                  "a job is refused although a task may have started");
  check_invariant(
      state != job_state::complete ||
          std::all_of(answered_.begin(), answered_.end(), [](bool answered) { return answered; }),
      "a complete job lacks an answer");
  state_ = state;
  final_certainty_ = final_certainty;
  end_error_ = std::move(error);
  request_.payloads.assign(tasks_.size(), std::string());
  if (state != job_state::complete) {
    answers_.clear();
  }
}

} // namespace parsleylead
