#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "absl/status/status.h"
#include "parsleylead/store/partition_log.hpp"

namespace parsleylead {

/// Simulated log with one partition and one group. Sends its answers on `deliver`.
class fake_log : public partition_log {
public:
  enum class mode : std::uint8_t {
    normal,
    /// Calls fail without any effect, and the error says so.
    busy,
    /// Appends succeed, but their answers are lost.
    lost,
    /// Calls time out without any effect.
    silent,
  };

  void read_newest(const topic_partition&, const std::string&,
                   std::function<void(absl::StatusOr<keyed_snapshot>)> done) override {
    keyed_snapshot snapshot;
    snapshot.end = records.size();
    for (const auto& [key, value] : newest()) {
      snapshot.records.push_back({key, value});
    }
    post_answer([this, snapshot, done] { done(answer(snapshot)); });
  }

  void read_records(const topic_partition&, std::uint64_t offset,
                    std::function<void(absl::StatusOr<keyed_snapshot>)> done) override {
    post_answer([this, offset, done] {
      keyed_snapshot snapshot;
      snapshot.records.assign(records.begin() + static_cast<std::ptrdiff_t>(offset), records.end());
      snapshot.end = records.size();
      done(answer(snapshot));
    });
  }

  void append(const topic_partition&, std::uint64_t end, const std::vector<keyed_record>& added,
              std::function<void(absl::StatusOr<std::uint64_t>)> done) override {
    ++appends;
    if (current_mode == mode::busy) {
      post_answer([done] { done(absl::UnavailableError("busy")); });
      return;
    }
    if (current_mode == mode::silent) {
      post_answer([done] { done(absl::DeadlineExceededError("no answer")); });
      return;
    }
    if (end != records.size()) {
      post_answer([done] { done(absl::AbortedError("another end")); });
      return;
    }
    records.insert(records.end(), added.begin(), added.end());
    const auto lost = current_mode == mode::lost;
    post_answer([done, lost, new_end = records.size()] {
      if (lost) {
        done(absl::DeadlineExceededError("no answer"));
      } else {
        done(new_end);
      }
    });
  }

  void join(const std::string&, const std::string& member, const std::string&,
            std::chrono::milliseconds, std::chrono::milliseconds timeout, std::uint64_t,
            std::function<void(absl::StatusOr<group_assignment>)> done) override {
    if (std::exchange(assigned_, holder) != holder) {
      ++generation;
    }
    if (unanswered_renewals > 0) {
      --unanswered_renewals;
      lost = [done] { done(absl::DeadlineExceededError("no answer")); };
      lost_renewal_timeout = timeout;
      return;
    }
    group_assignment assignment;
    assignment.generation = generation;
    if (member == holder) {
      assignment.partitions = {0};
    }
    post_answer([this, assignment, done] { done(answer(assignment)); });
  }

  void leave(const std::string&, const std::string&,
             std::function<void(absl::Status)> done) override {
    ++leaves;
    post_answer([done] { done(absl::OkStatus()); });
  }

  void holders(const std::string&,
               std::function<void(absl::StatusOr<std::vector<partition_holder>>)> done) override {
    post_answer([this, done] { done(answer(std::vector<partition_holder>{{0, holder}})); });
  }

  /// The newest record of each key.
  std::map<std::string, std::string> newest() const {
    std::map<std::string, std::string> by_key;
    for (const auto& record : records) {
      if (record.value.empty()) {
        by_key.erase(record.key);
      } else {
        by_key[record.key] = record.value;
      }
    }
    return by_key;
  }

  void deliver() {
    while (!answers.empty()) {
      const auto next = std::move(answers.front());
      answers.pop_front();
      next();
    }
  }

  mode current_mode = mode::normal;
  std::string holder = "one";
  std::vector<keyed_record> records;
  std::deque<std::function<void()>> answers;
  std::uint64_t generation = 0;
  int appends = 0;
  int leaves = 0;
  /// Number of renewals that are not answered; the test reports the timeout by calling `lost`.
  int unanswered_renewals = 0;
  std::function<void()> lost;
  std::chrono::milliseconds lost_renewal_timeout{0};

private:
  std::string assigned_;

  template <class Result>
  absl::StatusOr<Result> answer(Result result) const {
    if (current_mode == mode::silent) {
      return absl::DeadlineExceededError("no answer");
    }
    if (current_mode == mode::busy) {
      return absl::UnavailableError("busy");
    }
    return result;
  }

  void post_answer(std::function<void()> callback) { answers.push_back(std::move(callback)); }
};

} // namespace parsleylead
