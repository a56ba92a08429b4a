#pragma once

#include <atomic>
#include <map>
#include <string>
#include <thread>
#include <vector>

#include "catalogue_desk.hpp"
#include "site.hpp"

namespace parsleylead::faults {

/// Publishes quotas of teams all the time and polls /v1/catalogue of every entry.
class catalogue_watch {
public:
  catalogue_watch(const site& place, std::chrono::milliseconds publish_interval);
  ~catalogue_watch();
  catalogue_watch(const catalogue_watch&) = delete;
  catalogue_watch& operator=(const catalogue_watch&) = delete;

  catalogue_desk& desk() { return desk_; }

  /// Two operators publish for the same teams at once. Returns what must not happen.
  std::vector<std::string> race(int rounds);

  void stop();

  /// Faults seen by the polls, and accepted changes that were not in force at a running entry
  /// within the bound after the later of the acceptance and `reachable`. Call after `stop`.
  std::vector<std::string> judge(monotonic_time reachable);
  std::size_t changes() const { return desk_.accepted().size() + racer_.accepted().size(); }

private:
  struct sight {
    std::uint64_t revision = 0;
    std::uint32_t rate = 0;
    monotonic_time first{};
  };
  /// What one start of an entry showed of each team, oldest first.
  struct entry_history {
    monotonic_time first_answer{};
    std::uint64_t offset = 0;
    std::map<std::string, std::vector<sight>> teams;
  };

  void publish_all_the_time(std::chrono::milliseconds interval);
  void poll_all_the_time();
  void poll(const std::string& name, const endpoint& operations);
  void note(const std::string& entry, entry_history& history, const std::string& team,
            const sight& seen);
  void check_sights(std::vector<std::string>& faults) const;
  void check_change(const accepted_change& change, monotonic_time reachable,
                    std::vector<std::string>& faults) const;

  const site& place_;
  catalogue_desk desk_;
  catalogue_desk racer_;
  std::atomic<bool> stopped_{false};
  std::atomic<bool> poller_stop_{false};
  std::map<std::string, entry_history> histories_;
  std::vector<std::string> faults_;
  std::thread publisher_;
  std::thread poller_;
};

} // namespace parsleylead::faults
