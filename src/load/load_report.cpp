#include "parsleylead/load/load_report.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <numeric>
#include <spdlog/fmt/fmt.h>

#include "parsleylead/base/reason.hpp"

namespace parsleylead {
namespace {

using nlohmann::json;

constexpr auto all_ends =
    std::to_array({job_end::complete, job_end::failed, job_end::refused, job_end::cancelled,
                   job_end::wrong, job_end::lost, job_end::unreachable});

double to_ms(std::chrono::nanoseconds value) {
  return std::chrono::duration<double, std::milli>(value).count();
}

json response_json(const latency_histogram& times) {
  return {{"count", times.count()},
          {"mean_ms", to_ms(times.mean())},
          {"p50_ms", to_ms(times.quantile(0.5))},
          {"p90_ms", to_ms(times.quantile(0.9))},
          {"p99_ms", to_ms(times.quantile(0.99))},
          {"max_ms", to_ms(times.max())}};
}

json slowdown_json(const value_histogram& values) {
  return {{"mean", values.mean()},
          {"p50", values.quantile(0.5)},
          {"p90", values.quantile(0.9)},
          {"p99", values.quantile(0.99)},
          {"max", values.max()}};
}

/// Whether the deadline passed before the complete answer arrived. A job that was refused because
/// it would miss its deadline counts as refused, not as late.
bool is_late(const job_spec& job, const job_outcome& outcome) {
  if (outcome.end == job_end::complete) {
    return outcome.response_time > job.budget;
  }
  return outcome.reason == to_string(reason::deadline_exceeded) ||
         outcome.reason == to_string(reason::budget_exhausted);
}

std::string reasons_text(const std::map<std::string, std::uint64_t>& reasons) {
  std::string text;
  for (const auto& [reason, count] : reasons) {
    text += fmt::format("    {:<28}{}\n", reason, count);
  }
  return text;
}

} // namespace

std::string_view to_string(job_end value) {
  switch (value) {
  case job_end::complete:
    return "complete";
  case job_end::failed:
    return "failed";
  case job_end::refused:
    return "refused";
  case job_end::cancelled:
    return "cancelled";
  case job_end::wrong:
    return "wrong";
  case job_end::lost:
    return "lost";
  case job_end::unreachable:
    return "unreachable";
  }
  return "lost";
}

std::chrono::nanoseconds ideal_response_time(const job_spec& job, const ideal_capacity& capacity) {
  std::chrono::duration<double> longest{0};
  std::chrono::duration<double> total{0};
  for (const auto& task : job.tasks) {
    longest = std::max(longest, std::chrono::duration<double>(task.run_time));
    total += task.run_time;
  }
  const double best_speed = capacity.best_speed > 0 ? capacity.best_speed : capacity.mean_speed;
  const double all_slots = std::max(1U, capacity.slots) * capacity.mean_speed;
  const auto ideal = std::max(longest / best_speed, total / all_slots);
  return std::chrono::round<std::chrono::nanoseconds>(ideal);
}

void load_report::add(const job_spec& job, const job_outcome& outcome) {
  ++jobs_by_end_.at(static_cast<std::size_t>(outcome.end));
  resubmissions_ += outcome.resubmissions;
  for (const auto& task : job.tasks) {
    offered_work_ += task.run_time;
  }
  if (outcome.end == job_end::refused) {
    ++refused_by_reason_[outcome.reason];
  }
  if (outcome.end == job_end::failed) {
    ++failed_by_reason_[outcome.reason];
  }
  if (outcome.end == job_end::wrong) {
    ++wrong_by_reason_[outcome.reason];
  }
  if (is_late(job, outcome)) {
    late_tasks_ += job.tasks.size();
  }
  if (outcome.end != job_end::complete) {
    return;
  }
  complete_tasks_ += job.tasks.size();
  if (job.cancel) {
    return;
  }
  response_times_.record(outcome.response_time);
  const auto ideal = ideal_response_time(job, capacity_);
  if (ideal.count() > 0) {
    slowdowns_.record(to_ms(outcome.response_time) / to_ms(ideal));
  }
}

void load_report::add_messages(const message_counts& counts) {
  has_messages_ = true;
  messages_ += counts;
}

std::uint64_t load_report::count(job_end end) const {
  return jobs_by_end_.at(static_cast<std::size_t>(end));
}

double load_report::wasted_messages() const {
  return std::accumulate(messages_.wasted.begin(), messages_.wasted.end(), 0.0,
                         [](double sum, const auto& item) { return sum + item.second; });
}

/// Returns the value divided by the number of complete tasks, or 0 if there are none.
double load_report::per_task(double value) const {
  return complete_tasks_ == 0 ? 0 : value / static_cast<double>(complete_tasks_);
}

std::string load_report::to_json() const {
  json ends;
  for (const auto end : all_ends) {
    ends[std::string(to_string(end))] = count(end);
  }
  const auto sent = std::accumulate(jobs_by_end_.begin(), jobs_by_end_.end(), std::uint64_t{0});
  json report = {{"sent", sent},
                 {"not_sent", not_sent_},
                 {"ends", ends},
                 {"refused_by_reason", refused_by_reason_},
                 {"failed_by_reason", failed_by_reason_},
                 {"wrong_by_reason", wrong_by_reason_},
                 {"resubmissions", resubmissions_},
                 {"complete_tasks", complete_tasks_},
                 {"late_tasks", late_tasks_},
                 {"offered_work_s", offered_work_.count()},
                 {"elapsed_s", elapsed_.count()},
                 {"response_time", response_json(response_times_)},
                 {"slowdown", slowdown_json(slowdowns_)}};
  if (has_messages_) {
    json by_cause = json::object();
    for (const auto& [cause, value] : messages_.wasted) {
      by_cause[cause] = per_task(value);
    }
    report["messages"] = {{"total", messages_.messages},
                          {"per_task", per_task(messages_.messages)},
                          {"wasted_total", wasted_messages()},
                          {"wasted_per_task", per_task(wasted_messages())},
                          {"wasted_per_task_by_cause", by_cause}};
  }
  if (!unread_processes_.empty()) {
    report["processes_not_read"] = unread_processes_;
  }
  return report.dump(2);
}

std::string load_report::to_text() const {
  std::string text;
  for (const auto& [name, value] : totals()) {
    text += fmt::format("{:<32}{:.10g}\n", name, value);
    if (name == "refused") {
      text += reasons_text(refused_by_reason_);
    } else if (name == "failed") {
      text += reasons_text(failed_by_reason_);
    } else if (name == "wrong") {
      text += reasons_text(wrong_by_reason_);
    }
  }
  for (const auto& [cause, value] : messages_.wasted) {
    text += fmt::format("    wasted per task, {:<20} {:.4f}\n", cause, per_task(value));
  }
  for (const auto& name : unread_processes_) {
    text += "messages of " + name +
            " are missing: its /metrics could not be read or has no message counts\n";
  }
  return text;
}

std::string load_report::csv_header() const {
  std::string line;
  for (const auto& item : totals()) {
    line.append(line.empty() ? "" : ",").append(item.first);
  }
  return line;
}

std::string load_report::csv_row() const {
  std::string line;
  for (const auto& item : totals()) {
    line += fmt::format("{}{:.10g}", line.empty() ? "" : ",", item.second);
  }
  return line;
}

std::vector<load_report::column> load_report::totals() const {
  std::vector<column> result;
  std::uint64_t sent = 0;
  for (const auto end : all_ends) {
    sent += count(end);
  }
  result.emplace_back("sent", static_cast<double>(sent));
  result.emplace_back("not_sent", static_cast<double>(not_sent_));
  for (const auto end : all_ends) {
    result.emplace_back(std::string(to_string(end)), static_cast<double>(count(end)));
  }
  result.emplace_back("resubmissions", static_cast<double>(resubmissions_));
  result.emplace_back("complete_tasks", static_cast<double>(complete_tasks_));
  result.emplace_back("late_tasks", static_cast<double>(late_tasks_));
  result.emplace_back("offered_work_s", offered_work_.count());
  result.emplace_back("elapsed_s", elapsed_.count());
  result.emplace_back("response_mean_ms", to_ms(response_times_.mean()));
  result.emplace_back("response_p50_ms", to_ms(response_times_.quantile(0.5)));
  result.emplace_back("response_p90_ms", to_ms(response_times_.quantile(0.9)));
  result.emplace_back("response_p99_ms", to_ms(response_times_.quantile(0.99)));
  result.emplace_back("response_max_ms", to_ms(response_times_.max()));
  result.emplace_back("slowdown_mean", slowdowns_.mean());
  result.emplace_back("slowdown_p50", slowdowns_.quantile(0.5));
  result.emplace_back("slowdown_p90", slowdowns_.quantile(0.9));
  result.emplace_back("slowdown_p99", slowdowns_.quantile(0.99));
  result.emplace_back("slowdown_max", slowdowns_.max());
  // NaN if no process could be read, as opposed to 0 for no messages.
  const double not_available = std::numeric_limits<double>::quiet_NaN();
  result.emplace_back("messages_per_task",
                      has_messages_ ? per_task(messages_.messages) : not_available);
  result.emplace_back("wasted_per_task",
                      has_messages_ ? per_task(wasted_messages()) : not_available);
  return result;
}

} // namespace parsleylead
