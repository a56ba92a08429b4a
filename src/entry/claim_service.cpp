#include "claim_service.hpp"

#include <algorithm>
#include <asio/post.hpp>
#include <utility>

#include "parsleylead/platform_log/find_offset.hpp"

namespace parsleylead {
namespace {

constexpr std::chrono::milliseconds offset_retry_delay{100};
// Upper limit of the time between two checks of deadlines.
constexpr std::chrono::milliseconds max_tick_interval{50};

monotonic_time now_on_loop() {
  return std::chrono::steady_clock::now();
}

claimant_options make_options(const entry_settings& settings) {
  claimant_options options;
  options.rules = {settings.claims.key_lifetime, settings.claims.clock_skew};
  options.entry_name = settings.name;
  options.min_append_interval = settings.claims.min_append_interval;
  options.max_logged_answer_bytes = settings.claims.max_logged_answer_bytes;
  return options;
}

} // namespace

claim_service::claim_service(asio::io_context& io, log_service& log, const entry_settings& settings)
    : io_(io), log_(log), options_(make_options(settings)),
      poll_wait_(settings.catalogue.poll_wait), timer_(io), alive_(std::make_shared<bool>(true)) {
  for (std::uint32_t i = 0; i < settings.claims.partitions; ++i) {
    auto added = std::make_unique<partition>();
    added->stream = "claims-" + std::to_string(i);
    partitions_.push_back(std::move(added));
  }
}

claim_service::~claim_service() {
  stop();
}

void claim_service::start(std::string rpc_address, decision_callback on_decision) {
  options_.entry_address = std::move(rpc_address);
  on_decision_ = std::move(on_decision);
  for (auto& target : partitions_) {
    target->offset_finder = std::thread([this, &target = *target] { find_first_offset(target); });
  }
  tick();
}

void claim_service::stop() {
  *alive_ = false;
  stopping_ = true;
  timer_.cancel();
  for (auto& target : partitions_) {
    if (target->offset_finder.joinable()) {
      target->offset_finder.join();
    }
    target->tailer.reset();
    target->appender.reset();
  }
}

// Finds the first offset that a new claimant has to read. Runs on its own thread and retries until
// the log answers.
void claim_service::find_first_offset(partition& target) {
  while (!stopping_) {
    const auto first = find_offset(log_, target.stream, options_.rules.replay_start(wall_now()));
    if (first.ok()) {
      asio::post(io_, [this, alive = alive_, &target, offset = *first] {
        if (*alive) {
          start_partition(target, offset);
        }
      });
      return;
    }
    std::this_thread::sleep_for(offset_retry_delay);
  }
}

void claim_service::start_partition(partition& target, std::uint64_t first_offset) {
  target.claims = std::make_unique<claimant>(options_, first_offset);
  // No interval between appends: the claimant limits their rate and has at most one in flight.
  target.appender = std::make_unique<log_appender>(
      log_, log_appender_options{target.stream, std::chrono::milliseconds(0), 4});
  log_tailer_options options;
  options.stream = target.stream;
  options.start_offset = first_offset;
  options.poll_wait = poll_wait_;
  target.tailer =
      std::make_unique<log_tailer>(log_, options, [this, alive = alive_, &target](log_batch batch) {
        asio::post(io_, [this, alive, &target, batch = std::move(batch)] {
          if (*alive) {
            deliver(target.claims->on_records(batch.result.records, now_on_loop()));
            append_pending(target);
          }
        });
      });
  const auto now = now_on_loop();
  for (const auto& request : std::exchange(target.waiting_requests, {})) {
    const auto decision = target.claims->request_claim(request.key, request.submission,
                                                       request.digest, request.deadline, now);
    if (decision) {
      on_decision_(*decision);
    }
  }
  append_pending(target);
}

void claim_service::append_pending(partition& target) {
  if (target.claims == nullptr) {
    return;
  }
  const auto now = now_on_loop();
  deliver(target.claims->expire(now));
  auto batch = target.claims->next_batch(now);
  if (!batch) {
    return;
  }
  const bool queued = target.appender->append(
      std::move(batch->payload),
      [this, alive = alive_, &target](absl::StatusOr<std::uint64_t> offset) {
        asio::post(io_, [this, alive, &target, offset = std::move(offset)] {
          if (!*alive) {
            return;
          }
          if (offset.ok()) {
            target.claims->on_append_ok(*offset);
          } else {
            target.claims->on_append_error(now_on_loop());
          }
          append_pending(target);
        });
      });
  if (!queued) {
    target.claims->on_append_error(now);
  }
}

void claim_service::tick() {
  const auto now = now_on_loop();
  auto next = now + max_tick_interval;
  for (auto& target : partitions_) {
    expire_waiting(*target, now);
    append_pending(*target);
    if (target->claims != nullptr) {
      next = std::min(next, target->claims->next_due().value_or(next));
    }
  }
  timer_.expires_at(std::max(next, now + std::chrono::milliseconds(1)));
  timer_.async_wait([this, alive = alive_](const asio::error_code& error) {
    if (!error && *alive) {
      tick();
    }
  });
}

void claim_service::expire_waiting(partition& target, monotonic_time now) {
  std::vector<waiting_request> expired_requests;
  std::erase_if(target.waiting_requests, [&](const waiting_request& request) {
    const bool expired = request.deadline <= now;
    if (expired) {
      expired_requests.push_back(request);
    }
    return expired;
  });
  for (const auto& request : expired_requests) {
    claim_decision decision;
    decision.key = request.key;
    decision.submission = request.submission;
    decision.cause = reason::claim_unavailable;
    decision.detail = "the log cannot be read";
    on_decision_(decision);
  }
}

void claim_service::deliver(const std::vector<claim_decision>& decisions) {
  for (const auto& decision : decisions) {
    on_decision_(decision);
  }
}

claim_service::partition& claim_service::partition_of(const uuid& key) {
  const auto stream = claim_stream(key, static_cast<std::uint32_t>(partitions_.size()));
  const auto found = std::find_if(partitions_.begin(), partitions_.end(),
                                  [&](const auto& target) { return target->stream == stream; });
  return **found;
}

std::optional<claim_decision> claim_service::request_claim(const uuid& key, const uuid& submission,
                                                           std::uint64_t digest,
                                                           monotonic_time deadline,
                                                           monotonic_time now) {
  auto& target = partition_of(key);
  if (target.claims == nullptr) {
    target.waiting_requests.push_back({key, submission, digest, deadline});
    return std::nullopt;
  }
  auto decision = target.claims->request_claim(key, submission, digest, deadline, now);
  append_pending(target);
  return decision;
}

void claim_service::release(const uuid& key, const uuid& submission) {
  auto& target = partition_of(key);
  target.claims->release(key, submission);
  append_pending(target);
}

void claim_service::abandon(const uuid& key, const uuid& submission) {
  auto& target = partition_of(key);
  std::erase_if(target.waiting_requests,
                [&](const auto& request) { return request.submission == submission; });
  if (target.claims != nullptr) {
    target.claims->cancel_request(submission);
    append_pending(target);
  }
}

void claim_service::record_outcome(const uuid& key, const uuid& submission, std::string state,
                                   std::optional<std::string> answer, monotonic_time now) {
  auto& target = partition_of(key);
  target.claims->record_outcome(key, submission, std::move(state), std::move(answer), now);
  append_pending(target);
}

bool claim_service::idle() const {
  return std::all_of(partitions_.begin(), partitions_.end(), [](const auto& target) {
    return target->waiting_requests.empty() &&
           (target->claims == nullptr || target->claims->idle());
  });
}

claimant_statistics claim_service::statistics() const {
  claimant_statistics sum;
  for (const auto& target : partitions_) {
    if (target->claims == nullptr) {
      continue;
    }
    const auto& part = target->claims->statistics();
    sum.batches += part.batches;
    sum.repeated_batches += part.repeated_batches;
    sum.granted += part.granted;
    sum.duplicates += part.duplicates;
    sum.refused += part.refused;
    sum.releases += part.releases;
    sum.dropped_outcomes += part.dropped_outcomes;
  }
  return sum;
}

std::uint64_t claim_service::next_offset() const {
  const auto& first = partitions_.front()->claims;
  return first == nullptr ? 0 : first->table().next_offset();
}

} // namespace parsleylead
