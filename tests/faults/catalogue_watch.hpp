#pragma once

#include <atomic>
#include <map>
#include <string>
#include <thread>
#include <vector>

#include "catalogue_operator.hpp"
#include "site.hpp"

namespace parsleylead::faults {

/// Publishes quotas of teams periodically and polls /v1/catalogue of every entry.
class catalogue_watch {
public:
  catalogue_watch(const site& test_site, std::chrono::milliseconds publish_interval);
  ~catalogue_watch();
  catalogue_watch(const catalogue_watch&) = delete;
  catalogue_watch& operator=(const catalogue_watch&) = delete;

  catalogue_operator& publisher() { return quota_publisher_; }

  /// Lets two operators publish quotas of the same teams at the same time. Returns the violations.
  std::vector<std::string> publish_concurrently(int rounds);

  void stop();

  /// Returns the violations seen by the polls, and accepted changes that did not take effect at a
  /// running entry in time, counted from the later of acceptance and `reachable_since`. Call after
  /// `stop`.
  std::vector<std::string> check(monotonic_time reachable_since);
  std::size_t changes() const {
    return quota_publisher_.accepted().size() + concurrent_publisher_.accepted().size();
  }

private:
  struct observed_quota {
    std::uint64_t revision = 0;
    std::uint32_t rate = 0;
    monotonic_time first_seen{};
  };
  /// Quotas that one run of an entry reported for each team, oldest first.
  struct entry_history {
    monotonic_time first_answer_at{};
    std::uint64_t offset = 0;
    std::map<std::string, std::vector<observed_quota>> teams;
  };

  void publish_periodically(std::chrono::milliseconds interval);
  void poll_until_stopped();
  void poll(const std::string& name, const endpoint& operations);
  void record_observation(const std::string& entry, entry_history& history, const std::string& team,
                          const observed_quota& seen);
  void check_observations_accepted(std::vector<std::string>& faults) const;
  void check_change(const accepted_change& change, monotonic_time reachable_since,
                    std::vector<std::string>& faults) const;

  const site& site_;
  catalogue_operator quota_publisher_;
  catalogue_operator concurrent_publisher_;
  std::atomic<bool> stopped_{false};
  std::atomic<bool> stop_polling_{false};
  std::map<std::string, entry_history> histories_;
  std::vector<std::string> faults_;
  std::thread publish_thread_;
  std::thread poll_thread_;
};

} // namespace parsleylead::faults
