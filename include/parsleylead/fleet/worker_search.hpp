#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <utility>
#include <vector>

#include "parsleylead/base/time.hpp"
#include "parsleylead/fleet/run_types.hpp"

namespace parsleylead {

/// Whether an entry can ask the other entries of its site for workers.
enum class site_access : std::uint8_t {
  /// It knows of no other entry, so its sessions show all workers of the site.
  alone,
  /// It has a link to another entry.
  connected,
  /// It knows of other entries and has no link to any.
  isolated,
};

/// Why an entry requests a worker.
enum class request_cause : std::uint8_t {
  /// No worker in reach meets the requirement.
  none_in_reach,
  /// Tasks have waited for busy workers for some time.
  waiting,
  /// Tasks that wait for busy workers would be late.
  late,
  /// Little of the CPU in reach is free: see `reach_monitor`.
  low_reach,
};

struct worker_search_settings {
  /// A site has no worker of a kind if requests for one were made for this long without effect.
  /// Covers the restart of an agent, and some lost requests.
  std::chrono::milliseconds search_time{1'500};
  /// Delay before a request is repeated; doubles up to `max_interval`.
  std::chrono::milliseconds first_interval{100};
  std::chrono::milliseconds max_interval{1'000};
  /// A requirement is forgotten if no task has needed it for this long. Until then, jobs that no
  /// worker can run are refused at once, and requested sessions are kept.
  std::chrono::milliseconds retention{10'000};
  /// Bounds the requests of an entry. Further requirements wait for an earlier one to be forgotten.
  std::size_t max_requirements = 32;
  /// An idle worker is requested for tasks that have waited for busy ones for this long. The
  /// request is repeated after `first_idle_interval`, which doubles up to `max_idle_interval`.
  std::chrono::milliseconds busy_time{500};
  std::chrono::milliseconds first_idle_interval{1'000};
  std::chrono::milliseconds max_idle_interval{4'000};
  /// Tasks that would be late if they waited for `busy_time` have an idle worker requested at once.
  /// The request is repeated after `first_late_interval`, which doubles up to `max_late_interval`.
  std::chrono::milliseconds first_late_interval{100};
  std::chrono::milliseconds max_late_interval{1'000};
  /// The intervals are kept for this long after the last waiting task, so that tasks which wait now
  /// and then do not restart them.
  std::chrono::milliseconds busy_retention{1'000};
  /// Bounds the requests for idle workers of an entry on a full site.
  std::size_t max_busy_requirements = 4;
};

/// Searches the site for workers that meet requirements which no worker with a session to this
/// entry meets. Does no I/O: the caller makes the requests. Not thread-safe.
class worker_search {
public:
  /// A request to make now, and the number of requests for the requirement so far.
  struct due_request {
    worker_requirement requirement;
    std::uint32_t attempt = 1;
    /// Workers in reach meet the requirement, but are busy: see `add_busy`.
    bool idle = false;
    request_cause cause = request_cause::none_in_reach;
  };
  enum class event_kind : std::uint8_t { started, found, absent };
  /// A change of a search, for the log.
  struct event {
    event_kind kind = event_kind::started;
    worker_requirement requirement;
    /// Time since the search began.
    std::chrono::milliseconds age{0};
  };
  /// Returns whether a worker with a session to this entry meets the requirement.
  using reachability = std::function<bool(const worker_requirement&)>;

  explicit worker_search(worker_search_settings settings = {}) : settings_(settings) {}

  /// A task needs a worker that may not be reachable.
  void add(const worker_requirement& requirement, monotonic_time now);
  /// A task needs a worker. Retains the requirement if it is known.
  void retain(const worker_requirement& requirement, monotonic_time now);

  /// Tasks wait for workers in reach that are all busy. `slack` is the time left until they would
  /// be late; `milliseconds::max()` if nobody waits for them. Has to be called again at least every
  /// `max_busy_gap` while that lasts.
  void add_busy(const worker_requirement& requirement, std::chrono::milliseconds slack,
                monotonic_time now);
  static constexpr std::chrono::milliseconds max_busy_gap{100};

  /// Starts and ends searches, and returns the requests to make. Has to be called every few tens of
  /// milliseconds.
  std::vector<due_request> update(site_access access, const reachability& is_reachable,
                                  monotonic_time now);

  /// Returns whether the site has no worker that meets the requirement, as far as the latest
  /// requests show. Precondition: none with a session to this entry meets it.
  bool is_absent(const worker_requirement& requirement, monotonic_time now) const;
  /// As `is_absent`, and none has been reachable for `search_time`.
  bool is_lastingly_absent(const worker_requirement& requirement, monotonic_time now) const;
  /// Returns whether there is a requirement that `is_lastingly_absent` may hold for.
  bool any_reported_absent() const;
  /// Returns whether a known requirement is met by the worker, or one that waits for busy workers.
  bool is_needed(const worker_description& worker) const;
  bool empty() const { return searches_.empty(); }
  std::vector<event> take_events() { return std::exchange(events_, {}); }

private:
  struct search {
    worker_requirement requirement;
    monotonic_time last_needed{};
    /// Time of the latest `update`.
    monotonic_time updated{};
    /// Start of the search that goes on.
    std::optional<monotonic_time> since;
    monotonic_time next_request{};
    std::chrono::milliseconds interval{0};
    std::uint32_t attempts = 0;
    bool reported_absent = false;
  };

  struct busy_requirement {
    worker_requirement requirement;
    monotonic_time last{};
    monotonic_time next_request{};
    std::chrono::milliseconds interval{0};
    /// The latest `add_busy` for tasks that would be late, and the schedule of their requests.
    std::optional<monotonic_time> last_late;
    monotonic_time next_late_request{};
    std::chrono::milliseconds late_interval{0};
    std::uint32_t attempts = 0;
  };

  busy_requirement* find_or_add_busy(const worker_requirement& requirement, monotonic_time now);
  /// Returns the cause of a request that is due for the tasks, and schedules the next one.
  static std::optional<request_cause>
  take_due(busy_requirement& each, const worker_search_settings& settings, monotonic_time now);
  /// Returns whether tasks still wait.
  static bool is_waiting(const busy_requirement& each, monotonic_time now) {
    return now - each.last <= max_busy_gap;
  }
  /// Appends the requests for idle workers.
  void update_busy(site_access access, std::vector<due_request>& due, monotonic_time now);
  /// Returns whether the search was updated lately.
  bool is_recent(const search& known, monotonic_time now) const;
  search* find(const worker_requirement& requirement);
  void report(event_kind kind, const search& changed, monotonic_time now);

  worker_search_settings settings_;
  site_access access_ = site_access::alone;
  monotonic_time updated_{};
  std::vector<search> searches_;
  std::vector<busy_requirement> busy_;
  std::vector<event> events_;
};

const char* to_string(worker_search::event_kind kind);
const char* to_string(request_cause cause);

} // namespace parsleylead
