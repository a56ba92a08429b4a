#include "parsleylead/load/senders.hpp"

#include <algorithm>
#include <thread>

#include "parsleylead/base/uuid.hpp"
#include "parsleylead/load/validate_answer.hpp"

namespace parsleylead {
namespace {

constexpr std::uint32_t max_resubmissions = 3;
constexpr std::chrono::milliseconds resubmission_delay{200};
constexpr std::chrono::milliseconds poll_interval{20};
constexpr int status_open = 202;

job_outcome outcome_without_answer(const absl::Status& status) {
  const bool sent = status.code() != absl::StatusCode::kUnavailable;
  return {sent ? job_end::lost : job_end::unreachable, sent ? "no_reply" : "connect", {}, 0};
}

} // namespace

entry_sender::entry_sender(const std::vector<endpoint>& entries, http_timeouts timeouts,
                           bool resubmit)
    : resubmit_(resubmit) {
  for (const auto& entry : entries) {
    entries_.push_back(std::make_unique<connection_pool>(entry, timeouts));
  }
}

job_outcome entry_sender::send(const job_spec& job) {
  const std::string key = job.idempotent ? std::string() : uuid::make_v7(wall_now()).to_string();
  if (job.cancel) {
    return send_and_cancel(job, key);
  }
  const auto body = job_body(job, key, true);
  auto result = post(body, next_entry_++);
  std::uint32_t resubmissions = 0;
  while (resubmit_ && !job.idempotent && resubmissions < max_resubmissions &&
         result.response.status().code() == absl::StatusCode::kAborted) {
    std::this_thread::sleep_for(resubmission_delay);
    ++resubmissions;
    result = post(body, result.entry + 1);
  }
  auto outcome = result.response.ok() ? validate_answer(job, *result.response)
                                      : outcome_without_answer(result.response.status());
  outcome.resubmissions = resubmissions;
  return outcome;
}

/// Tries the entries in turn until one accepts a connection. Once a request may have been sent, it
/// is not repeated here.
entry_sender::attempt entry_sender::post(const std::string& body, std::size_t first_entry) {
  attempt result{first_entry, absl::UnavailableError("no entry")};
  for (std::size_t i = 0; i < entries_.size(); ++i) {
    result.entry = (first_entry + i) % entries_.size();
    result.response = entries_[result.entry]->send({"POST", "/v1/jobs", body, {}});
    if (result.response.ok() || result.response.status().code() != absl::StatusCode::kUnavailable) {
      break;
    }
  }
  return result;
}

job_outcome entry_sender::send_and_cancel(const job_spec& job, const std::string& key) {
  auto [entry, response] = post(job_body(job, key, false), next_entry_++);
  if (!response.ok()) {
    return outcome_without_answer(response.status());
  }
  if (response->status != status_open) {
    return validate_answer(job, *response);
  }
  const auto path = "/v1/jobs/" + submission_of(response->body);
  std::this_thread::sleep_for(job.cancel_after);
  const auto cancelled = entries_[entry]->send({"DELETE", path, "", {}});
  if (!cancelled.ok()) {
    return outcome_without_answer(cancelled.status());
  }
  const auto result = wait_for_end(entry, path, job.budget);
  return result.ok() ? validate_answer(job, *result) : outcome_without_answer(result.status());
}

absl::StatusOr<http_response> entry_sender::wait_for_end(std::size_t entry, const std::string& path,
                                                         std::chrono::milliseconds budget) {
  auto response = entries_[entry]->send({"GET", path, "", {}});
  for (auto waited = poll_interval;
       waited <= budget && response.ok() && response->status == status_open;
       waited += poll_interval) {
    std::this_thread::sleep_for(poll_interval);
    response = entries_[entry]->send({"GET", path, "", {}});
  }
  return response;
}

job_outcome upstream_sender::send(const job_spec& job) {
  const auto submission = uuid::make_v7(wall_now()).to_string();
  const auto response = pool_.send({"POST",
                                    "/v1/tasks/" + job.kind,
                                    task_payload(job.tasks.front()),
                                    {{"x-submission", submission}, {"x-task", "0"}}});
  return response.ok() ? validate_task_answer(job.tasks.front(), *response)
                       : outcome_without_answer(response.status());
}

} // namespace parsleylead
