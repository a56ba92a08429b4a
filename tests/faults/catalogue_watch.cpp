#include "catalogue_watch.hpp"

#include <algorithm>
#include <future>

#include "absl/strings/str_cat.h"
#include "http_calls.hpp"

namespace parsleylead::faults {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds poll_interval{100};
// Promise P8: an accepted change is in force at every reachable entry within this time.
constexpr milliseconds spread_bound{5000};
constexpr std::uint32_t teams = 5;

std::string team_name(std::uint32_t number) {
  return "team-" + std::to_string(number % teams);
}

} // namespace

catalogue_watch::catalogue_watch(const site& place, milliseconds publish_interval)
    : place_(place), desk_(place.log(), "desk"), racer_(place.log(), "racer"),
      publisher_([this, publish_interval] { publish_all_the_time(publish_interval); }),
      poller_([this] { poll_all_the_time(); }) {}

catalogue_watch::~catalogue_watch() {
  stop();
}

void catalogue_watch::stop() {
  if (stopped_.exchange(true)) {
    return;
  }
  publisher_.join();
  // The last changes get the time that the promise gives them.
  const auto newest = [this] {
    std::uint64_t offset = 0;
    for (const auto* desk : {&desk_, &racer_}) {
      for (const auto& change : desk->accepted()) {
        offset = std::max(offset, change.revision);
      }
    }
    return offset;
  }();
  const auto running = place_.running_entries();
  wait_until(
      [&] {
        return std::all_of(running.begin(), running.end(), [&](const auto& one) {
          const auto page = get_json(one.second, "/v1/catalogue");
          return page.is_object() && page.value("offset", std::uint64_t{0}) >= newest;
        });
      },
      spread_bound);
  // One more round of polls shows the final state.
  std::this_thread::sleep_for(2 * poll_interval);
  poller_stop_ = true;
  poller_.join();
}

void catalogue_watch::publish_all_the_time(milliseconds interval) {
  for (std::uint32_t round = 1; !stopped_; ++round) {
    static_cast<void>(desk_.refresh());
    static_cast<void>(desk_.publish_quota(team_name(round), round));
    for (milliseconds slept{0}; slept < interval && !stopped_; slept += milliseconds(20)) {
      std::this_thread::sleep_for(milliseconds(20));
    }
  }
}

std::vector<std::string> catalogue_watch::race(int rounds) {
  constexpr std::uint32_t race_rates = 500'000;
  catalogue_desk other(place_.log(), "other");
  std::vector<std::string> faults;
  for (int i = 0; i < rounds; ++i) {
    const auto team = "race-" + std::to_string(i % 2);
    if (!racer_.refresh().ok() || !other.refresh().ok()) {
      continue;
    }
    const auto rate = race_rates + static_cast<std::uint32_t>(2 * i);
    auto first = std::async(std::launch::async, [&] { return racer_.publish_quota(team, rate); });
    const auto second = other.publish_quota(team, rate + 1);
    const auto one = first.get();
    if (!one.ok() || !second.ok()) {
      const auto& status = one.ok() ? second.status() : one.status();
      faults.push_back("race for " + team + ": " + std::string(status.message()));
      continue;
    }
    const int accepted =
        (*one == change_result::accepted ? 1 : 0) + (*second == change_result::accepted ? 1 : 0);
    if (accepted != 1) {
      faults.push_back("race for " + team + ": " + std::to_string(accepted) +
                       " of 2 changes on the same base were accepted");
    }
  }
  for (const auto& change : other.accepted()) {
    racer_.adopt(change);
  }
  return faults;
}

void catalogue_watch::poll_all_the_time() {
  while (!poller_stop_) {
    for (const auto& [name, operations] : place_.running_entries()) {
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
  if (history.first_answer == monotonic_time{}) {
    history.first_answer = now;
  }
  const auto offset = page["offset"].get<std::uint64_t>();
  if (offset < history.offset) {
    faults_.push_back(name + " moved back from offset " + std::to_string(history.offset) + " to " +
                      std::to_string(offset));
  }
  history.offset = std::max(history.offset, offset);
  for (const auto& subject : page["subjects"]) {
    if (subject["subject"] == "owner") {
      note(name, history, subject["name"],
           {subject["revision"], subject["value"]["rate_per_s"], now});
    }
  }
}

void catalogue_watch::note(const std::string& entry, entry_history& history,
                           const std::string& team, const sight& seen) {
  auto& sights = history.teams[team];
  if (!sights.empty() && sights.back().revision == seen.revision) {
    if (sights.back().rate != seen.rate) {
      faults_.push_back(entry + ": " + team + " changed within revision " +
                        std::to_string(seen.revision));
    }
    return;
  }
  if (!sights.empty() && sights.back().revision > seen.revision) {
    faults_.push_back(entry + ": " + team + " reverted from revision " +
                      std::to_string(sights.back().revision) + " to " +
                      std::to_string(seen.revision));
  }
  sights.push_back(seen);
}

std::vector<std::string> catalogue_watch::judge(monotonic_time reachable) {
  auto faults = faults_;
  if (desk_.refresh().ok()) {
    check_sights(faults);
  }
  for (const auto* desk : {&desk_, &racer_}) {
    for (const auto& change : desk->accepted()) {
      if (change.subject.type == subject_type::owner) {
        check_change(change, reachable, faults);
      }
    }
  }
  return faults;
}

// What an entry shows must be a change that the log accepted.
void catalogue_watch::check_sights(std::vector<std::string>& faults) const {
  for (const auto& [entry, history] : histories_) {
    for (const auto& [team, sights] : history.teams) {
      for (const auto& one : sights) {
        if (!desk_.is_accepted(one.revision)) {
          faults.push_back(absl::StrCat("P8: ", entry, " shows ", team, " at revision ",
                                        one.revision, ", which the log did not accept"));
        }
      }
    }
  }
}

void catalogue_watch::check_change(const accepted_change& change, monotonic_time reachable,
                                   std::vector<std::string>& faults) const {
  for (const auto& [entry, operations] : place_.running_entries()) {
    const auto found = histories_.find(entry);
    if (found == histories_.end()) {
      faults.push_back(entry + " never showed its catalogue");
      continue;
    }
    const auto& history = found->second;
    const auto team = history.teams.find(change.subject.name);
    const auto limit = std::max({change.accepted, reachable, history.first_answer}) + spread_bound;
    const auto label = change.subject.name + " at revision " + std::to_string(change.revision);
    const sight* seen = nullptr;
    if (team != history.teams.end()) {
      for (const auto& one : team->second) {
        seen = seen == nullptr && one.revision >= change.revision ? &one : seen;
      }
    }
    if (seen == nullptr) {
      faults.push_back(absl::StrCat(entry, " does not have ", label));
    } else if (seen->first > limit) {
      faults.push_back(absl::StrCat(entry, " had ", label, " later than the bound"));
    } else if (seen->revision == change.revision && seen->rate != change.rate) {
      faults.push_back(absl::StrCat(entry, " has another value of ", label));
    }
  }
}

} // namespace parsleylead::faults
