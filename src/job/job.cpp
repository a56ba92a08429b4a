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

std::string_view to_string(run_truth value) {
  switch (value) {
  case run_truth::not_run:
    return "not_run";
  case run_truth::may_have_run:
    return "may_have_run";
  case run_truth::ran:
    return "ran";
  }
  return "invalid";
}

bool known_to_have_run(reason why) {
  return why == reason::task_failed || why == reason::answer_too_large;
}

job::job(job_request request) : request_(std::move(request)) {
  const auto count = request_.payloads.size();
  check_invariant(count > 0, "a job has at least one task");
  tasks_.resize(count);
  answers_.resize(count);
  answered_.resize(count);
  for (std::uint32_t index = 0; index < count; ++index) {
    waiting_.push_back(index);
  }
}

run_truth job::run() const {
  if (ended()) {
    return final_run_;
  }
  if (outstanding_ + unknown_ > 0) {
    return run_truth::may_have_run;
  }
  return ran_ > 0 ? run_truth::ran : run_truth::not_run;
}

std::vector<task_attempt> job::outstanding() const {
  std::vector<task_attempt> result;
  if (outstanding_ == 0) {
    return result;
  }
  for (std::uint32_t index = 0; index < tasks_.size(); ++index) {
    if (tasks_[index].state == task_state::dispatched) {
      result.push_back({index, tasks_[index].dispatches});
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

std::optional<task_attempt> job::take_waiting() {
  if (ended() || waiting_.empty()) {
    return std::nullopt;
  }
  const auto index = waiting_.front();
  waiting_.pop_front();
  auto& taken = tasks_[index];
  check_invariant(taken.state == task_state::waiting && taken.dispatches == taken.not_runs,
                  "a task is dispatched again only after a dispatch that was not run");
  taken.state = task_state::dispatched;
  ++taken.dispatches;
  ++outstanding_;
  return task_attempt{index, taken.dispatches};
}

record_effect job::record_answer(task_attempt task, std::string answer) {
  if (!accepts(task)) {
    return ignore();
  }
  tasks_[task.index].state = task_state::finished;
  --outstanding_;
  ++ran_;
  ++finished_;
  answers_[task.index] = std::move(answer);
  answered_[task.index] = true;
  request_.payloads[task.index] = std::string();
  if (finished_ < tasks_.size()) {
    return record_effect::recorded;
  }
  finish(job_state::complete, std::nullopt);
  return record_effect::ended;
}

record_effect job::record_failed(task_attempt task, failure why) {
  if (!accepts(task)) {
    return ignore();
  }
  tasks_[task.index].state = task_state::failed;
  --outstanding_;
  ++ran_;
  finish(job_state::failed, std::move(why));
  return record_effect::ended;
}

record_effect job::record_unknown(task_attempt task, failure why) {
  if (!accepts(task)) {
    return ignore();
  }
  tasks_[task.index].state = task_state::failed;
  --outstanding_;
  ++unknown_;
  finish(job_state::failed, std::move(why));
  return record_effect::ended;
}

record_effect job::record_not_run(task_attempt task, const failure& why) {
  if (!accepts(task)) {
    return ignore();
  }
  auto& returned = tasks_[task.index];
  returned.state = task_state::waiting;
  ++returned.not_runs;
  --outstanding_;
  waiting_.push_front(task.index);
  if (returned.not_runs <= max_placements_after_not_run) {
    return record_effect::recorded;
  }
  abandon({reason::retries_exhausted, step::place, why.peer, "last refusal: " + to_string(why)});
  return record_effect::ended;
}

bool job::cancel(failure why) {
  if (ended()) {
    return false;
  }
  finish(job_state::cancelled, std::move(why));
  return true;
}

bool job::expire() {
  if (run() == run_truth::not_run) {
    return abandon({reason::deadline_unreachable, step::place, "",
                    "the time budget ended before any task was started"});
  }
  return abandon(
      {reason::deadline_exceeded, step::gather, "", "the time budget ended before all answers"});
}

bool job::abandon(failure why) {
  if (ended()) {
    return false;
  }
  finish(run() == run_truth::not_run ? job_state::refused : job_state::failed, std::move(why));
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

bool job::accepts(task_attempt task) const {
  return !ended() && task.index < tasks_.size() &&
         tasks_[task.index].state == task_state::dispatched &&
         tasks_[task.index].dispatches == task.attempt;
}

record_effect job::ignore() {
  ++ignored_results_;
  return record_effect::ignored;
}

void job::finish(job_state state, std::optional<failure> why) {
  const auto truth = run();
  const auto never_started = std::all_of(tasks_.begin(), tasks_.end(), [](const task_entry& each) {
    return each.state == task_state::waiting && each.dispatches == each.not_runs;
  });
  check_invariant(truth != run_truth::not_run || never_started,
                  "a job is not_run only if no task may have started");
  check_invariant(state != job_state::refused || never_started,
                  "a job is refused only if no task may have started");
  check_invariant(state != job_state::complete ||
                      std::all_of(answered_.begin(), answered_.end(), [](bool is) { return is; }),
                  "a complete job has every answer");
  state_ = state;
  final_run_ = truth;
  end_ = std::move(why);
  request_.payloads.assign(tasks_.size(), std::string());
  if (state != job_state::complete) {
    answers_.clear();
  }
}

} // namespace parsleylead
