#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

#include "parsleylead/base/failure.hpp"

namespace parsleylead {

/// Why a message counts as wasted (section 8 of docs/design.md).
enum class waste_cause : std::uint8_t {
  refused_dispatch,
  recalled_credit,
  returned_credit,
  probe,
  announce,
  want_without_grant,
  duplicate_result,
  unused_grant,
};
inline constexpr std::size_t waste_causes = 8;

/// How an accepted job ended.
enum class job_outcome : std::uint8_t { complete, failed, cancelled, refused_after_acceptance };

std::string_view to_string(waste_cause value);
std::string_view to_string(job_outcome value);

/// Job counts of one kind and owner. Invariant: `accepted` is the sum of the other counts.
struct job_totals {
  std::string kind;
  std::string owner;
  std::uint64_t accepted = 0;
  std::uint64_t complete = 0;
  std::uint64_t failed = 0;
  std::uint64_t cancelled = 0;
  std::uint64_t refused_after_acceptance = 0;
  std::uint64_t open = 0;

  bool balances() const {
    return accepted == complete + failed + cancelled + refused_after_acceptance + open;
  }
};

/// Number of jobs that ended without an answer for one reason at one step.
struct reason_total {
  /// "refused_before", "failed", "cancelled" or "refused_after_acceptance".
  std::string_view category;
  std::string kind;
  std::string owner;
  reason cause = reason::none;
  step failed_step = step::none;
  std::uint64_t count = 0;
};

/// All counts at one moment.
struct account_snapshot {
  std::vector<job_totals> jobs;
  std::vector<reason_total> reasons;
  std::uint64_t tasks_started = 0;
  std::uint64_t tasks_finished = 0;
  std::uint64_t messages = 0;
  /// Indexed by `waste_cause`.
  std::array<std::uint64_t, waste_causes> wasted{};
  /// Messages between entries and of catalogue and drain notices; not included in `messages`.
  std::uint64_t control_messages = 0;
  bool balances = true;

  std::uint64_t wasted_messages() const;
};

/// Counts the jobs, tasks and messages of one process by outcome. Not thread-safe.
class account {
public:
  /// Counts a job that was refused before acceptance. `kind` and `owner` are empty if unknown.
  void record_refusal(const std::string& kind, const std::string& owner, const failure& error);
  void record_acceptance(const std::string& kind, const std::string& owner);
  void record_completion(const std::string& kind, const std::string& owner);
  /// Counts an accepted job that ended without an answer. Precondition: `outcome` is not complete.
  void record_unanswered(const std::string& kind, const std::string& owner, job_outcome outcome,
                         const failure& error);

  void record_task_start() { ++tasks_started_; }
  void record_task_end() { ++tasks_finished_; }
  /// Counts RPC calls and returns sent by this process.
  void add_messages(std::uint64_t count = 1) { messages_ += count; }
  void add_control_messages(std::uint64_t count = 1) { control_messages_ += count; }
  /// Counts messages as wasted that `add_messages` has already counted.
  void add_wasted_messages(waste_cause cause, std::uint64_t count = 1);

  /// Returns whether accepted = complete + failed + cancelled + refused after acceptance + open
  /// holds for each kind and owner.
  bool balances() const;
  /// The same check against independent counts of open jobs by (kind, owner), for example from a
  /// job table.
  bool balances(const std::map<std::pair<std::string, std::string>, std::uint64_t>& open) const;
  account_snapshot snapshot() const;

private:
  struct reason_key {
    std::string_view category;
    std::string kind;
    std::string owner;
    reason cause = reason::none;
    step failed_step = step::none;

    bool operator<(const reason_key& other) const {
      return std::tie(category, kind, owner, cause, failed_step) <
             std::tie(other.category, other.kind, other.owner, other.cause, other.failed_step);
    }
  };
  job_totals& totals(const std::string& kind, const std::string& owner);

  std::map<std::pair<std::string, std::string>, job_totals> jobs_;
  std::map<reason_key, std::uint64_t> reasons_;
  std::uint64_t tasks_started_ = 0;
  std::uint64_t tasks_finished_ = 0;
  std::uint64_t messages_ = 0;
  std::uint64_t control_messages_ = 0;
  std::array<std::uint64_t, waste_causes> wasted_{};
};

} // namespace parsleylead
