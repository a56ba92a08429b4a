#include "parsleylead/fleet/worker_candidates.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

#include "parsleylead/base/call_after.hpp"

namespace parsleylead {
namespace {

using std::chrono::milliseconds;

// Announcements wait for one answer each, so that their number has to be bounded.
constexpr std::size_t max_candidates = 8;
// Delay before a worker that did not answer is asked again.
constexpr milliseconds query_retry{100};
// Workers drop the answer to an announcement after 1 s and repeat the announcement.
constexpr milliseconds answer_limit{700};
// Candidates are asked for beyond the answer limit: a worker may announce itself every few seconds.
constexpr milliseconds candidate_lifetime{3'000};

} // namespace

struct worker_candidates::candidate {
  candidate(asio::io_context& io, worker_announcement first)
      : announcement(std::move(first)), retry_timer(io), answer_timer(io) {}

  worker_announcement announcement;
  std::vector<result_handler> handlers;
  asio::steady_timer retry_timer;
  asio::steady_timer answer_timer;
  /// Time of the latest announcement.
  monotonic_time announced_at{};
  bool query_pending = false;

  void finish(const absl::Status& result) {
    for (const auto& handler : std::exchange(handlers, {})) {
      handler(result);
    }
  }
};

worker_candidates::worker_candidates(asio::io_context& io, worker_port& worker, event_log& log,
                                     std::function<void(const worker_announcement&)> on_confirmed)
    : io_(io), worker_(worker), log_(log), on_confirmed_(std::move(on_confirmed)) {}

worker_candidates::~worker_candidates() = default;

worker_candidates::candidate_position worker_candidates::find(const std::string& id,
                                                              std::int64_t incarnation) {
  return std::find_if(candidates_.begin(), candidates_.end(), [&](const auto& each) {
    return each->announcement.id == id && each->announcement.incarnation == incarnation;
  });
}

void worker_candidates::add(const worker_announcement& announcement, result_handler done) {
  auto position = find(announcement.id, announcement.incarnation);
  if (position == candidates_.end()) {
    if (candidates_.size() >= max_candidates) {
      erase(candidates_.begin(), absl::UnavailableError("too many unconfirmed announcements"));
    }
    candidates_.push_back(std::make_unique<candidate>(io_, announcement));
    position = std::prev(candidates_.end());
  }
  auto& added = **position;
  added.announced_at = lease_now();
  if (announcement.sequence > added.announcement.sequence) {
    added.announcement = announcement;
  }
  if (added.handlers.empty()) {
    call_after(added.answer_timer, answer_limit,
               [this, id = announcement.id, incarnation = announcement.incarnation] {
                 expire(id, incarnation);
               });
  }
  added.handlers.push_back(std::move(done));
  query(announcement.id, announcement.incarnation);
}

void worker_candidates::query(const std::string& id, std::int64_t incarnation) {
  const auto position = find(id, incarnation);
  if (position == candidates_.end() || std::exchange((*position)->query_pending, true)) {
    return;
  }
  worker_.query_incarnation(id, [this, id, incarnation, alive = std::weak_ptr<int>(alive_)](
                                    const absl::StatusOr<std::int64_t>& answer) {
    if (!alive.expired()) {
      answered(id, incarnation, answer);
    }
  });
}

void worker_candidates::answered(const std::string& id, std::int64_t announced,
                                 const absl::StatusOr<std::int64_t>& incarnation) {
  const auto position = find(id, announced);
  if (position == candidates_.end()) {
    return;
  }
  auto& asked = **position;
  asked.query_pending = false;
  // A worker that does not state its incarnation is known by its id only.
  if (incarnation.ok() && (*incarnation == 0 || *incarnation == announced)) {
    const auto confirmed = std::move(*position);
    candidates_.erase(position);
    on_confirmed_(confirmed->announcement);
    confirmed->finish(absl::OkStatus());
    return;
  }
  if (incarnation.ok()) {
    erase(position,
          absl::NotFoundError("born: the worker began at " + std::to_string(*incarnation)));
    return;
  }
  if (absl::IsNotFound(incarnation.status())) {
    erase(position, incarnation.status());
    return;
  }
  if (lease_now() - asked.announced_at > candidate_lifetime) {
    erase(position, incarnation.status());
    return;
  }
  call_after(asked.retry_timer, query_retry, [this, id, announced] { query(id, announced); });
}

void worker_candidates::expire(const std::string& id, std::int64_t incarnation) {
  const auto position = find(id, incarnation);
  if (position != candidates_.end()) {
    (*position)->finish(absl::UnavailableError("the worker has not confirmed the announcement"));
  }
}

void worker_candidates::remove(const std::string& id) {
  for (;;) {
    const auto position =
        std::find_if(candidates_.begin(), candidates_.end(),
                     [&](const auto& each) { return each->announcement.id == id; });
    if (position == candidates_.end()) {
      return;
    }
    erase(position, absl::UnavailableError("the worker has deregistered"));
  }
}

void worker_candidates::erase(candidate_position position, const absl::Status& result) {
  const auto erased = std::move(*position);
  candidates_.erase(position);
  log_.write("candidate_dropped", "worker", erased->announcement.id, "life",
             erased->announcement.incarnation, "cause", std::string(result.message()));
  erased->finish(result);
}

} // namespace parsleylead
