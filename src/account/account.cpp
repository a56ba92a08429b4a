#include "parsleylead/account/account.hpp"

#include <algorithm>
#include <numeric>

#include "parsleylead/base/invariant.hpp"

namespace parsleylead {

std::string_view to_string(waste_cause value) {
  switch (value) {
  case waste_cause::refused_dispatch:
    return "refused_dispatch";
  case waste_cause::recalled_credit:
    return "recalled_credit";
  case waste_cause::returned_credit:
    return "returned_credit";
  case waste_cause::probe:
    return "probe";
  case waste_cause::announce:
    return "announce";
  case waste_cause::want_without_grant:
    return "want_without_grant";
  case waste_cause::duplicate_result:
    return "duplicate_result";
  case waste_cause::unused_grant:
    return "unused_grant";
  }
  return "invalid";
}

std::string_view to_string(job_outcome value) {
  switch (value) {
  case job_outcome::complete:
    return "complete";
  case job_outcome::failed:
    return "failed";
  case job_outcome::cancelled:
    return "cancelled";
  case job_outcome::refused_after_acceptance:
    return "refused_after_acceptance";
  }
  return "invalid";
}

std::uint64_t account_snapshot::wasted_messages() const {
  return std::accumulate(wasted.begin(), wasted.end(), std::uint64_t{0});
}

void account::record_refusal(const std::string& kind, const std::string& owner,
                             const failure& error) {
  ++reasons_[{"refused_before", kind, owner, error.cause, error.failed_step}];
}

void account::record_acceptance(const std::string& kind, const std::string& owner) {
  auto& entry = totals(kind, owner);
  ++entry.accepted;
  ++entry.open;
}

void account::record_completion(const std::string& kind, const std::string& owner) {
  auto& entry = totals(kind, owner);
  check_invariant(entry.open > 0, "a job was completed that was not accepted");
  --entry.open;
  ++entry.complete;
}

void account::record_unanswered(const std::string& kind, const std::string& owner,
                                job_outcome outcome, const failure& error) {
  auto& entry = totals(kind, owner);
  check_invariant(entry.open > 0, "a job ended that was not accepted");
  check_invariant(outcome != job_outcome::complete, "a complete job was counted as unanswered");
  --entry.open;
  if (outcome == job_outcome::failed) {
    ++entry.failed;
  } else if (outcome == job_outcome::cancelled) {
    ++entry.cancelled;
  } else {
    ++entry.refused_after_acceptance;
  }
  ++reasons_[{to_string(outcome), kind, owner, error.cause, error.failed_step}];
}

void account::add_wasted_messages(waste_cause cause, std::uint64_t count) {
  wasted_.at(static_cast<std::size_t>(cause)) += count;
}

bool account::balances() const {
  return std::all_of(jobs_.begin(), jobs_.end(),
                     [](const auto& item) { return item.second.balances(); });
}

bool account::balances(
    const std::map<std::pair<std::string, std::string>, std::uint64_t>& open) const {
  const auto all_known = std::all_of(open.begin(), open.end(), [this](const auto& item) {
    return item.second == 0 || jobs_.contains(item.first);
  });
  return all_known && std::all_of(jobs_.begin(), jobs_.end(), [&open](const auto& item) {
           const auto found = open.find(item.first);
           auto recounted = item.second;
           recounted.open = found == open.end() ? 0 : found->second;
           return recounted.balances();
         });
}

account_snapshot account::snapshot() const {
  account_snapshot result;
  for (const auto& [key, entry] : jobs_) {
    result.jobs.push_back(entry);
  }
  for (const auto& [key, count] : reasons_) {
    result.reasons.push_back(
        {key.category, key.kind, key.owner, key.cause, key.failed_step, count});
  }
  result.tasks_started = tasks_started_;
  result.tasks_finished = tasks_finished_;
  result.messages = messages_;
  result.wasted = wasted_;
  result.control_messages = control_messages_;
  result.balances = balances();
  return result;
}

job_totals& account::totals(const std::string& kind, const std::string& owner) {
  auto& entry = jobs_[{kind, owner}];
  if (entry.accepted == 0) {
    entry.kind = kind;
    entry.owner = owner;
  }
  return entry;
}

} // namespace parsleylead
