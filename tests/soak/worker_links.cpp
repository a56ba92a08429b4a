#include "worker_links.hpp"

#include <algorithm>
#include <asio/steady_timer.hpp>
#include <utility>

namespace parsleylead::soak {
namespace {

using standin::relay_direction;
using std::chrono::milliseconds;

constexpr milliseconds shortest_fault{20};
constexpr int short_fault_range_ms = 400;
constexpr int long_fault_range_ms = 2'480;
// Faults of a series, and the pauses between them.
constexpr int max_series = 5;
constexpr int series_range_ms = 280;

static_assert(max_series * 2 * (shortest_fault + milliseconds(series_range_ms)) <=
              worker_links::longest_fault);
static_assert(shortest_fault + milliseconds(long_fault_range_ms) <= worker_links::longest_fault);

std::string in_ms(milliseconds time) {
  return std::to_string(time.count()) + " ms";
}

} // namespace

worker_links::worker_links(asio::io_context& io, std::uint64_t seed,
                           std::function<void(const std::string&)> log)
    : io_(io), random_(seed), log_(std::move(log)) {}

void worker_links::add(const std::string& worker, const endpoint& listen_address,
                       const endpoint& target) {
  auto added = std::make_unique<link>();
  added->worker = worker;
  added->relay = std::make_unique<standin::relay>(io_, listen_address, target);
  links_.push_back(std::move(added));
}

void worker_links::set_listening(std::size_t number, bool listening) {
  links_.at(number)->listening = listening;
  apply(*links_.at(number));
}

void worker_links::apply(link& target) {
  const auto active = [&target](condition cause) {
    return target.active.at(static_cast<std::size_t>(cause)) > 0;
  };
  const bool lost_to_worker = active(condition::lost_to_worker);
  const bool lost_to_agent = active(condition::lost_to_agent);
  standin::relay_faults faults;
  faults.refuse = active(condition::refused) || !target.listening;
  faults.close_accepted = active(condition::closed);
  faults.silent = active(condition::silent) || (lost_to_worker && lost_to_agent);
  if (lost_to_worker != lost_to_agent) {
    faults.lost_direction =
        lost_to_worker ? relay_direction::to_target : relay_direction::to_client;
  }
  target.relay->set_faults(faults);
}

void worker_links::schedule(milliseconds delay, std::function<void()> action) {
  auto timer = std::make_shared<asio::steady_timer>(io_, delay);
  timer->async_wait([timer, action = std::move(action)](const asio::error_code&) { action(); });
}

milliseconds worker_links::random_time() {
  const int range = random_below(2) == 0 ? short_fault_range_ms : long_fault_range_ms;
  return shortest_fault + milliseconds(random_below(range + 1));
}

void worker_links::start() {
  injecting_ = true;
  inject();
}

void worker_links::inject() {
  if (!injecting_) {
    return;
  }
  inject_at(*links_.at(random_below(static_cast<int>(links_.size()))));
  // Some faults follow at once, on the same link or on another one.
  schedule(random_below(5) == 0 ? milliseconds(0) : milliseconds(50 + random_below(700)),
           [this] { inject(); });
}

void worker_links::inject_at(link& target) {
  ++faults_;
  const auto time = random_time();
  const auto begin = "link to " + target.worker + ": ";
  switch (random_below(12)) {
  case 0:
  case 1:
  case 2:
    log_(begin + "close all and refuse new ones for " + in_ms(time));
    target.relay->cut_open();
    impose(target, condition::refused, time);
    break;
  case 3:
    log_(begin + "refuse new ones for " + in_ms(time));
    impose(target, condition::refused, time);
    break;
  case 4:
    refuse_repeatedly(target, 2 + random_below(max_series - 1));
    break;
  case 5:
    log_(begin + "reset all");
    target.relay->reset_open();
    break;
  case 6:
    reset_repeatedly(target, 2 + random_below(max_series - 1));
    break;
  case 7:
    log_(begin + "close all, accept and close new ones for " + in_ms(time));
    target.relay->cut_open();
    impose(target, condition::closed, time);
    break;
  case 8:
    log_(begin + "silence all for " + in_ms(time));
    target.relay->silence_open();
    impose(target, condition::silent, time);
    break;
  case 9:
    log_(begin + "silence to the worker for " + in_ms(time));
    target.relay->silence_one_way(relay_direction::to_target);
    impose(target, condition::lost_to_worker, time);
    break;
  case 10:
    log_(begin + "silence to the agent for " + in_ms(time));
    target.relay->silence_one_way(relay_direction::to_client);
    impose(target, condition::lost_to_agent, time);
    break;
  default:
    log_(begin + "silence the open ones");
    target.relay->silence_open();
  }
}

void worker_links::impose(link& target, condition cause, milliseconds time) {
  auto& active = target.active.at(static_cast<std::size_t>(cause));
  ++active;
  apply(target);
  schedule(time, [&target, &active] {
    active = std::max(0, active - 1); // heal() sets it to zero.
    apply(target);
    target.relay->close_abandoned();
  });
}

void worker_links::refuse_repeatedly(link& target, int times) {
  const auto time = shortest_fault + milliseconds(random_below(series_range_ms + 1));
  const auto pause = shortest_fault + milliseconds(random_below(series_range_ms + 1));
  log_("link to " + target.worker + ": close all and refuse new ones " + std::to_string(times) +
       " times for " + in_ms(time) + ", every " + in_ms(time + pause));
  for (int i = 0; i < times; ++i) {
    schedule(i * (time + pause), [this, &target, time] {
      if (injecting_) {
        target.relay->cut_open();
        impose(target, condition::refused, time);
      }
    });
  }
}

void worker_links::reset_repeatedly(link& target, int times) {
  const auto pause = shortest_fault + milliseconds(random_below(series_range_ms + 1));
  log_("link to " + target.worker + ": reset all " + std::to_string(times) + " times, every " +
       in_ms(pause));
  for (int i = 0; i < times; ++i) {
    schedule(i * pause, [&target] { target.relay->reset_open(); });
  }
}

void worker_links::heal() {
  for (const auto& each : links_) {
    each->active = {};
    apply(*each);
    each->relay->close_abandoned();
    each->bytes_at_heal = each->relay->stats().bytes_forwarded;
  }
}

std::vector<std::string> worker_links::check() {
  std::vector<std::string> failures;
  for (const auto& each : links_) {
    const auto stats = each->relay->stats();
    log_("link to " + each->worker + ": " + std::to_string(stats.accepted) +
         " connections accepted, " + std::to_string(stats.silenced) + " silenced, " +
         std::to_string(stats.bytes_forwarded) + " bytes forwarded, " +
         std::to_string(stats.bytes_forwarded - each->bytes_at_heal) +
         " of them after the faults, " + std::to_string(stats.bytes_swallowed) + " discarded");
    if (each->bytes_at_heal == 0 || stats.bytes_forwarded == each->bytes_at_heal) {
      failures.push_back("the link to " + each->worker + " carried no data " +
                         (each->bytes_at_heal == 0 ? "before" : "after") +
                         " the end of its faults");
    }
  }
  return failures;
}

} // namespace parsleylead::soak
