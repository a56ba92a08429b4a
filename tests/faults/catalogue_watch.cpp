#include "catalogue_watch.hpp"

#include <algorithm>
#include <future>

#include "absl/strings/str_cat.h"
#include "http_calls.hpp"

namespace parsleylead::faults {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds poll_interval{100};
// P8: an accepted change takes effect at every reachable entry within this time.
constexpr milliseconds propagation_limit{5000};
constexpr std::uint32_t team_count = 5;

std::string team_name(std::uint32_t number) {
  return "team-" + std::to_string(number % team_count);
}

} // namespace

catalogue_watch::catalogue_watch(const site& test_site, milliseconds publish_interval)
    : site_(test_site), quota_publisher_(test_site.log(), "desk"),
      concurrent_publisher_(test_site.log(), "racer"),
      publish_thread_([this, publish_interval] { publish_periodically(publish_interval); }),
      poll_thread_([this] { poll_until_stopped(); }) {}

catalogue_watch::~catalogue_watch() {
  stop();
}

void catalogue_watch::stop() {
  if (stopped_.exchange(true)) {
    return;
  }
  publish_thread_.join();
  // Allow the last changes the time that P8 permits.
  const auto newest = [this] {
    std::uint64_t offset = 0;
    for (const auto* publisher : {&quota_publisher_, &concurrent_publisher_}) {
      for (const auto& change : publisher->accepted()) {
        offset = std::max(offset, change.revision);
      }
    }
    return offset;
  }();
  const auto running = site_.running_entries();
  wait_until(
      [&] {
        return std::all_of(running.begin(), running.end(), [&](const auto& entry) {
          const auto page = get_json(entry.second, "/v1/catalogue");
          return page.is_object() && page.value("offset", std::uint64_t{0}) >= newest;
        });
      },
      propagation_limit);
  // Wait for one more poll, which reads the final state.
  std::this_thread::sleep_for(2 * poll_interval);
  stop_polling_ = true;
  poll_thread_.join();
}

void catalogue_watch::publish_periodically(milliseconds interval) {
  for (std::uint32_t round = 1; !stopped_; ++round) {
    static_cast<void>(quota_publisher_.refresh());
    static_cast<void>(quota_publisher_.publish_quota(team_name(round), round));
    for (milliseconds slept{0}; slept < interval && !stopped_; slept += milliseconds(20)) {
      std::this_thread::sleep_for(milliseconds(20));
    }
  }
}

std::vector<std::string> catalogue_watch::publish_concurrently(int rounds) {
  constexpr std::uint32_t first_race_rate = 500'000;
  catalogue_operator other(site_.log(), "other");
  std::vector<std::string> faults;
  for (int i = 0; i < rounds; ++i) {
    const auto team = "race-" + std::to_string(i % 2);
    if (!concurrent_publisher_.refresh().ok() || !other.refresh().ok()) {
      continue;
    }
    const auto rate = first_race_rate + static_cast<std::uint32_t>(2 * i);
    auto first = std::async(std::launch::async,
                            [&] { return concurrent_publisher_.publish_quota(team, rate); });
    const auto second_result = other.publish_quota(team, rate + 1);
    const auto first_result = first.get();
    if (!first_result.ok() || !second_result.ok()) {
      const auto& status = first_result.ok() ? second_result.status() : first_result.status();
      faults.push_back("race for " + team + ": " + std::string(status.message()));
      continue;
    }
    const int accepted = (*first_result == change_result::accepted ? 1 : 0) +
                         (*second_result == change_result::accepted ? 1 : 0);
    if (accepted != 1) {
      faults.push_back("race for " + team + ": " + std::to_string(accepted) +
                       " of 2 changes on the same base were accepted");
    }
  }
  for (const auto& change : other.accepted()) {
    concurrent_publisher_.adopt(change);
  }
  return faults;
}

void catalogue_watch::poll_until_stopped() {
  while (!stop_polling_) {
    for (const auto& [name, operations] : site_.running_entries()) {
      poll(name, operations);
    }
    std::this_thread::sleep_for(poll_interval);
  }
}

void catalogue_watch::poll(const std::string& name, const endpoint& operations) {
  const auto page = get_json(operations, "/v1/catalogue");
  if (!page.is_object() || !page.value("known", false)) {
    return;
  }
  const auto now = std::chrono::steady_clock::now();
  auto& history = histories_[name];
  if (history.first_answer_at == monotonic_time{}) {
    history.first_answer_at = now;
  }
  const auto offset = page["offset"].get<std::uint64_t>();
  if (offset < history.offset) {
    faults_.push_back(name + " moved back from offset " + std::to_string(history.offset) + " to " +
                      std::to_string(offset));
  }
  history.offset = std::max(history.offset, offset);
  for (const auto& subject : page["subjects"]) {
    if (subject["subject"] == "owner") {
      record_observation(name, history, subject["name"],
                         {subject["revision"], subject["value"]["rate_per_s"], now});
    }
  }
}

void catalogue_watch::record_observation(const std::string& entry, entry_history& history,
                                         const std::string& team, const observed_quota& seen) {
  auto& observations = history.teams[team];
  if (!observations.empty() && observations.back().revision == seen.revision) {
    if (observations.back().rate != seen.rate) {
      faults_.push_back(entry + ": " + team + " changed within revision " +
                        std::to_string(seen.revision));
    }
    return;
  }
  if (!observations.empty() && observations.back().revision > seen.revision) {
    faults_.push_back(entry + ": " + team + " reverted from revision " +
                      std::to_string(observations.back().revision) + " to " +
                      std::to_string(seen.revision));
  }
  observations.push_back(seen);
}

std::vector<std::string> catalogue_watch::check(monotonic_time reachable_since) {
  auto faults = faults_;
  if (quota_publisher_.refresh().ok()) {
    check_observations_accepted(faults);
  }
  for (const auto* publisher : {&quota_publisher_, &concurrent_publisher_}) {
    for (const auto& change : publisher->accepted()) {
      if (change.subject.type == subject_type::owner) {
        check_change(change, reachable_since, faults);
      }
    }
  }
  return faults;
}

// Checks that entries report only changes that the log accepted.
void catalogue_watch::check_observations_accepted(std::vector<std::string>& faults) const {
  for (const auto& [entry, history] : histories_) {
    for (const auto& [team, observations] : history.teams) {
      for (const auto& observation : observations) {
        if (!quota_publisher_.is_accepted(observation.revision)) {
          faults.push_back(absl::StrCat("P8: ", entry, " shows ", team, " at revision ",
                                        observation.revision, ", which the log did not accept"));
        }
      }
    }
  }
}

void catalogue_watch::check_change(const accepted_change& change, monotonic_time reachable_since,
                                   std::vector<std::string>& faults) const {
  for (const auto& [entry, operations] : site_.running_entries()) {
    const auto found = histories_.find(entry);
    if (found == histories_.end()) {
      faults.push_back(entry + " never reported its catalogue");
      continue;
    }
    const auto& history = found->second;
    const auto team = history.teams.find(change.subject.name);
    const auto limit =
        std::max({change.accepted, reachable_since, history.first_answer_at}) + propagation_limit;
    const auto label = change.subject.name + " at revision " + std::to_string(change.revision);
    const observed_quota* seen = nullptr;
    if (team != history.teams.end()) {
      for (const auto& observation : team->second) {
        seen = seen == nullptr && observation.revision >= change.revision ? &observation : seen;
      }
    }
    if (seen == nullptr) {
      faults.push_back(absl::StrCat(entry, " does not have ", label));
    } else if (seen->first_seen > limit) {
      faults.push_back(absl::StrCat(entry, " had ", label, " later than the limit"));
    } else if (seen->revision == change.revision && seen->rate != change.rate) {
      faults.push_back(absl::StrCat(entry, " has a different value for ", label));
    }
  }
}

} // namespace parsleylead::faults
