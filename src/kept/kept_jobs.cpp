#include "parsleylead/kept/kept_jobs.hpp"

#include <algorithm>
#include <utility>

#include "parsleylead/fleet/format_run.hpp"

namespace parsleylead {
namespace {

using std::chrono::milliseconds;

// Pauses before a call of the store is repeated after a failure.
constexpr milliseconds append_retry{40};
constexpr milliseconds claim_retry{100};
// Ends of single tasks wait for this long to be stored together; the last end of a job, submissions
// and cancellations are stored at once. In calm times ends have to be noted within 100 ms.
constexpr milliseconds progress_delay{40};
// A partition that goes to another member is released within this time, whatever still runs.
constexpr milliseconds release_limit{1'000};
// Changes in one append at most; with the longest payloads they stay within the store's 2 MB.
constexpr std::size_t max_changes = 200;
// The holders of partitions are read again after the first time, and not believed after the second.
constexpr milliseconds holders_fresh{1'000};
constexpr milliseconds holders_believed{30'000};

} // namespace

const char* to_string(kept_answer answer) {
  switch (answer) {
  case kept_answer::accepted:
    return "accepted";
  case kept_answer::pending:
    return "pending";
  case kept_answer::running:
    return "running";
  case kept_answer::completed:
    return "completed";
  case kept_answer::failed:
    return "failed";
  case kept_answer::cancelled:
    return "cancelled";
  case kept_answer::no_such_job:
    return "no_such_job";
  case kept_answer::not_owner:
    return "not_owner";
  case kept_answer::refused:
    return "refused";
  default:
    return "unknown";
  }
}

struct kept_jobs::pending_reply {
  reply done;
  monotonic_time deadline;
  bool answered = false;

  void answer(kept_answer what) {
    if (!std::exchange(answered, true)) {
      done(what);
    }
  }
};

struct kept_jobs::kept_job {
  kept_record record;
  /// The submission is in the store.
  bool stored = false;
  /// Handed to the port and not ended there.
  bool running = false;
  /// The job has ended; its result is not in the store yet.
  std::optional<job_verdict> closing;
  bool forgotten = false;
  std::vector<std::shared_ptr<pending_reply>> submitters;
};

struct kept_jobs::change {
  std::uint64_t job = 0;
  bool is_submission = false;
  monotonic_time queued{};
  /// When it has to be sent at the latest.
  monotonic_time due{};
  std::function<void(bool stored)> then;
};

struct kept_jobs::partition {
  enum class stage : std::uint8_t { reading, claiming, settling, open, releasing };
  partition_number number = 0;
  /// Tells this tenure from others of this process, for late answers of the store.
  std::uint64_t serial = 0;
  stage at = stage::reading;
  std::uint64_t epoch = 0;
  std::uint64_t end = 0;
  std::vector<keyed_record> read;
  bool previous_released = true;
  monotonic_time settled{};
  monotonic_time release_until{};
  std::unordered_map<std::uint64_t, kept_job> jobs;
  std::deque<std::pair<monotonic_time, std::uint64_t>> ended;
  std::deque<change> changes;
  std::vector<change> sent;
  std::vector<keyed_record> sent_records;
  /// An attempt of the sent append had no answer: it may take effect until the end has moved.
  bool sent_unknown = false;
  bool busy = false;
  monotonic_time retry_at{};
  bool failing = false;

  /// No run of an earlier epoch is left.
  bool clean = false;

  bool owned() const { return at == stage::settling || at == stage::open; }
  bool writable() const { return owned() || (at == stage::releasing && epoch != 0); }
};

kept_jobs::kept_jobs(kept_settings settings, partition_log& log, kept_port& port, event_log& events,
                     metrics_registry& metrics)
    : settings_(std::move(settings)), log_(log), port_(port), events_(events), metrics_(metrics) {}

kept_jobs::~kept_jobs() = default;

partition_number kept_jobs::partition_number_of(std::uint64_t job) const {
  return partition_of(job, settings_.partitions);
}

kept_jobs::partition* kept_jobs::find_partition(std::uint64_t job) {
  const auto found = partitions_.find(partition_number_of(job));
  return found != partitions_.end() && found->second->owned() ? found->second.get() : nullptr;
}

const kept_jobs::partition* kept_jobs::find_partition(std::uint64_t job) const {
  const auto found = partitions_.find(partition_number_of(job));
  return found != partitions_.end() && found->second->owned() ? found->second.get() : nullptr;
}

kept_jobs::partition* kept_jobs::find_held(std::uint64_t job) {
  const auto found = partitions_.find(partition_number_of(job));
  return found != partitions_.end() && found->second->writable() ? found->second.get() : nullptr;
}

kept_jobs::partition* kept_jobs::current(partition_number number, std::uint64_t serial) {
  const auto found = partitions_.find(number);
  return found != partitions_.end() && found->second->serial == serial ? found->second.get()
                                                                       : nullptr;
}

bool kept_jobs::owns(std::uint64_t job) const {
  return find_partition(job) != nullptr;
}

std::vector<partition_claim> kept_jobs::claims() const {
  std::vector<partition_claim> all;
  for (const auto& [number, each] : partitions_) {
    if (each->owned()) {
      all.push_back({number, each->epoch});
    }
  }
  return all;
}

void kept_jobs::check_lease(monotonic_time now) {
  now_ = now;
  if (!partitions_.empty() && now > lease_until_) {
    events_.write("ownership_lapsed", "partitions", partitions_.size());
    while (!partitions_.empty()) {
      give_up(partitions_.begin()->first, "lease ended", kept_answer::unknown);
    }
  }
}

void kept_jobs::claim_seen(const partition_claim& claim, monotonic_time now) {
  now_ = now;
  const auto found = partitions_.find(claim.partition);
  if (found != partitions_.end() && found->second->epoch != 0 &&
      found->second->epoch < claim.epoch) {
    give_up(claim.partition, "an agent knows a later owner", kept_answer::unknown);
  }
}

void kept_jobs::tick(monotonic_time now) {
  check_lease(now);
  finish_releases(now);
  const bool releasing = std::any_of(partitions_.begin(), partitions_.end(), [](const auto& each) {
    return each.second->at == partition::stage::releasing;
  });
  if (!renewing_ && !releasing && !leaving_ && now >= next_renewal_) {
    renew(now);
  }
  for (const auto& [number, each] : partitions_) {
    if (each->at == partition::stage::settling && now >= each->settled) {
      start_restored(*each);
    }
    forget_ended(*each, now);
    flush(*each, now);
  }
  expire_waiting(now);
}

void kept_jobs::renew(monotonic_time now) {
  renewing_ = true;
  next_renewal_ = now + settings_.renewal;
  log_.join(settings_.group, settings_.member, settings_.topic, settings_.lease, generation_,
            [this, now, alive = std::weak_ptr<int>(alive_)](absl::StatusOr<group_share> share) {
              if (alive.expired()) {
                return;
              }
              renewing_ = false;
              if (share.ok() != reachable_) {
                reachable_ = share.ok();
                events_.write(reachable_ ? "group_regained" : "group_lost", "cause",
                              std::string(share.status().message()));
              }
              if (share.ok() && !leaving_) {
                take_share(*share, now, settings_.clock());
              }
            });
}

void kept_jobs::take_share(const group_share& share, monotonic_time sent, monotonic_time now) {
  now_ = now;
  lease_until_ = sent + settings_.lease;
  generation_ = share.generation;
  for (const auto& [number, each] : partitions_) {
    if (std::find(share.partitions.begin(), share.partitions.end(), number) ==
        share.partitions.end()) {
      release(*each, now);
    }
  }
  for (const auto number : share.partitions) {
    auto& slot = partitions_[number];
    if (!slot) {
      slot = std::make_unique<partition>();
      slot->number = number;
      slot->serial = next_serial_++;
      read(number, slot->serial, "");
    }
  }
}

void kept_jobs::give_up(partition_number number, const std::string& cause,
                        kept_answer sent_submissions) {
  const auto found = partitions_.find(number);
  const auto gone = std::move(found->second);
  partitions_.erase(found);
  events_.write("partition_given_up", "partition", number, "epoch", gone->epoch, "cause", cause,
                "jobs", gone->jobs.size());
  std::set<std::uint64_t> sent;
  for (const auto& what : gone->sent) {
    sent.insert(what.job);
  }
  for (auto& [id, job] : gone->jobs) {
    if (job.running) {
      port_.drop(id);
    }
    open_jobs_ -= job.record.ended ? 0 : 1;
    for (const auto& each : job.submitters) {
      // What was never sent cannot take effect.
      each->answer(sent.contains(id) ? sent_submissions : kept_answer::refused);
    }
  }
}

void kept_jobs::release(partition& each, monotonic_time now) {
  if (each.at == partition::stage::releasing) {
    return;
  }
  // Runs of an earlier owner may be left: only time can tell the successor that they have ended.
  const bool releasable = each.at == partition::stage::open && each.clean;
  events_.write("partition_releasing", "partition", each.number, "epoch", each.epoch, "jobs",
                each.jobs.size());
  each.at = partition::stage::releasing;
  each.release_until = releasable ? now + release_limit : now;
  for (auto& [id, job] : each.jobs) {
    if (job.running) {
      port_.suspend(id);
    }
  }
}

void kept_jobs::finish_releases(monotonic_time now) {
  std::vector<partition_number> over;
  for (const auto& [number, each] : partitions_) {
    if (each->at != partition::stage::releasing) {
      continue;
    }
    const bool idle = !each->busy && each->changes.empty() && each->sent.empty() &&
                      std::none_of(each->jobs.begin(), each->jobs.end(), [this](const auto& job) {
                        return job.second.running && port_.is_placed(job.first);
                      });
    if (now >= each->release_until) {
      over.push_back(number);
    } else if (idle && each->epoch != 0) {
      // The successor need not wait for anything: nothing of this tenure runs.
      each->busy = true;
      log_.append(topic_of(number), each->end,
                  {{owner_key, write_owner({each->epoch, settings_.member, true})}},
                  [this, number = number, serial = each->serial,
                   alive = std::weak_ptr<int>(alive_)](const absl::StatusOr<std::uint64_t>& end) {
                    if (!alive.expired() && current(number, serial) != nullptr) {
                      give_up(number, end.ok() ? "released" : std::string(end.status().message()),
                              kept_answer::unknown);
                      finish_leave();
                    }
                  });
    }
  }
  for (const auto number : over) {
    give_up(number, "release took too long", kept_answer::unknown);
  }
  finish_leave();
}

void kept_jobs::leave(monotonic_time now) {
  leaving_ = true;
  for (const auto& [number, each] : partitions_) {
    release(*each, now);
  }
  finish_releases(now);
}

void kept_jobs::finish_leave() {
  if (!leaving_ || left_ || !partitions_.empty()) {
    return;
  }
  left_ = true;
  log_.leave(settings_.group, settings_.member,
             [this, alive = std::weak_ptr<int>(alive_)](const absl::Status& status) {
               if (!alive.expired()) {
                 events_.write("group_left", "ok", status.ok(), "cause",
                               std::string(status.message()));
               }
             });
}

void kept_jobs::read(partition_number number, std::uint64_t serial, const std::string& after) {
  log_.read_newest(topic_of(number), after,
                   [this, number, serial, after,
                    alive = std::weak_ptr<int>(alive_)](absl::StatusOr<keyed_snapshot> snapshot) {
                     auto* each = alive.expired() ? nullptr : current(number, serial);
                     if (each == nullptr || each->at != partition::stage::reading) {
                       return;
                     }
                     if (!snapshot.ok()) {
                       events_.write("partition_not_read", "partition", number, "cause",
                                     std::string(snapshot.status().message()));
                       // The next renewal reads it again.
                       give_up(number, "not read", kept_answer::unknown);
                       return;
                     }
                     if (after.empty()) {
                       // Pages are no snapshot: the claim fails if anything was appended since.
                       each->end = snapshot->end;
                       each->read.clear();
                     }
                     const bool more = snapshot->has_more && !snapshot->records.empty();
                     const auto last = more ? snapshot->records.back().key : std::string();
                     std::move(snapshot->records.begin(), snapshot->records.end(),
                               std::back_inserter(each->read));
                     if (more) {
                       read(number, serial, last);
                     } else {
                       claim(*each, settings_.clock());
                     }
                   });
}

void kept_jobs::claim(partition& each, monotonic_time now) {
  each.at = partition::stage::claiming;
  each.epoch = 1;
  each.previous_released = true;
  for (const auto& record : each.read) {
    if (record.key != owner_key) {
      continue;
    }
    if (const auto owner = parse_kept_owner(record.value); owner.ok()) {
      each.epoch = owner->epoch + 1;
      each.previous_released = owner->released;
    } else {
      events_.write("owner_record_skipped", "partition", each.number, "cause",
                    std::string(owner.status().message()));
    }
  }
  each.sent_records = {{owner_key, write_owner({each.epoch, settings_.member, false})}};
  each.retry_at = now;
  append(each);
}

void kept_jobs::append(partition& each) {
  each.busy = true;
  log_.append(topic_of(each.number), each.end, each.sent_records,
              [this, number = each.number, serial = each.serial,
               alive = std::weak_ptr<int>(alive_)](const absl::StatusOr<std::uint64_t>& end) {
                if (auto* at = alive.expired() ? nullptr : current(number, serial)) {
                  now_ = settings_.clock();
                  at->busy = false;
                  append_answered(*at, end);
                }
              });
}

void kept_jobs::append_answered(partition& each, const absl::StatusOr<std::uint64_t>& end) {
  if (end.ok()) {
    appended(each, *end);
    return;
  }
  metrics_.add("parsleylead_entry_store_append_failures_total", {});
  if (absl::IsAborted(end.status())) {
    if (each.sent_unknown) {
      check_appended(each);
    } else {
      give_up(each.number, "another owner has appended", kept_answer::refused);
    }
    return;
  }
  const bool nothing_done =
      absl::IsUnavailable(end.status()) || absl::IsResourceExhausted(end.status());
  if (!std::exchange(each.failing, true)) {
    events_.write("append_failed", "partition", each.number, "cause",
                  std::string(end.status().message()), "changes", each.sent.size());
  }
  each.sent_unknown = each.sent_unknown || !nothing_done;
  each.retry_at = now_ + (each.at == partition::stage::claiming ? claim_retry : append_retry);
  if (!each.sent_unknown) {
    append_refused(each);
  }
}

/// The end has moved: either by an attempt of ours without an answer, or by another owner.
void kept_jobs::check_appended(partition& each) {
  each.busy = true;
  log_.read_records(
      topic_of(each.number), each.end,
      [this, number = each.number, serial = each.serial,
       alive = std::weak_ptr<int>(alive_)](const absl::StatusOr<keyed_snapshot>& snapshot) {
        auto* at = alive.expired() ? nullptr : current(number, serial);
        if (at == nullptr) {
          return;
        }
        at->busy = false;
        const auto& sent = at->sent_records;
        const bool readable = snapshot.ok() && snapshot->records.size() >= sent.size();
        if (readable && std::equal(sent.begin(), sent.end(), snapshot->records.begin(),
                                   [](const auto& a, const auto& b) {
                                     return a.key == b.key && a.value == b.value;
                                   })) {
          appended(*at, at->end + sent.size());
        } else {
          give_up(number, readable ? "another owner has appended" : "the end cannot be read",
                  readable ? kept_answer::refused : kept_answer::unknown);
        }
      });
}

void kept_jobs::appended(partition& each, std::uint64_t end) {
  each.end = end;
  each.sent_unknown = false;
  if (std::exchange(each.failing, false)) {
    events_.write("append_regained", "partition", each.number);
  }
  if (each.at == partition::stage::claiming) {
    claimed(each, end, now_);
    return;
  }
  const auto done = std::exchange(each.sent, {});
  for (const auto& what : done) {
    what.then(true);
  }
  flush(each, now_);
}

/// Nothing of the append was done, and nothing will be.
void kept_jobs::append_refused(partition& each) {
  std::vector<change> refused;
  for (auto& what : each.sent) {
    if (what.is_submission) {
      refused.push_back(std::move(what));
    } else {
      each.changes.push_front(std::move(what));
    }
  }
  each.sent.clear();
  for (const auto& what : refused) {
    what.then(false);
  }
}

void kept_jobs::claimed(partition& each, std::uint64_t end, monotonic_time now) {
  if (now > lease_until_) {
    give_up(each.number, "claimed too late", kept_answer::unknown);
    return;
  }
  each.end = end;
  restore(each, std::exchange(each.read, {}));
  const bool at_once = each.previous_released;
  each.settled = at_once ? now : now + settings_.settle;
  each.at = partition::stage::settling;
  events_.write("partition_owned", "partition", each.number, "epoch", each.epoch, "jobs",
                each.jobs.size(), "settle_ms", at_once ? 0 : settings_.settle.count());
  port_.announce({{each.number, each.epoch}});
}

void kept_jobs::restore(partition& each, const std::vector<keyed_record>& records) {
  const auto skip = [this](const keyed_record& record, const absl::Status& status) {
    events_.write("job_record_skipped", "key", record.key, "cause", std::string(status.message()));
  };
  for (const auto& record : records) {
    const auto key = parse_kept_key(record.key);
    if (!key || key->is_progress) {
      continue;
    }
    auto parsed = parse_kept_submission(key->job, record.value);
    if (!parsed.ok()) {
      skip(record, parsed.status());
      continue;
    }
    kept_job job;
    job.stored = true;
    job.record = std::move(*parsed);
    open_jobs_ += job.record.ended ? 0 : 1;
    if (job.record.ended) {
      each.ended.emplace_back(now_ + settings_.keep_ended, key->job);
    }
    each.jobs.emplace(key->job, std::move(job));
  }
  for (const auto& record : records) {
    const auto key = parse_kept_key(record.key);
    const auto found = key && key->is_progress ? each.jobs.find(key->job) : each.jobs.end();
    if (found == each.jobs.end() || found->second.record.ended) {
      continue;
    }
    if (const auto status = parse_kept_progress(record.value, found->second.record); !status.ok()) {
      skip(record, status);
    }
  }
}

void kept_jobs::start_restored(partition& each) {
  each.at = partition::stage::open;
  each.clean = true;
  for (auto& [id, job] : each.jobs) {
    if (job.stored && !job.running && !job.record.ended && !job.closing) {
      events_.write("job_restored", "job", format_job(id), "partition", each.number, "epoch",
                    each.epoch, "first_epoch", job.record.first_epoch);
      start(each, job);
    }
  }
}

void kept_jobs::start(partition& each, kept_job& job) {
  job.running = true;
  auto spec = job.record.job;
  const auto before = (each.epoch - job.record.first_epoch) * attempts_per_epoch;
  spec.tenure = job_tenure{each.epoch, static_cast<std::uint32_t>(before), job.record.progress};
  port_.run(std::move(spec));
}

void kept_jobs::queue_change(partition& each, change what, monotonic_time now, milliseconds delay) {
  what.queued = now;
  what.due = now + delay;
  each.changes.push_back(std::move(what));
  flush(each, now);
}

void kept_jobs::flush(partition& each, monotonic_time now) {
  if (each.busy || now < each.retry_at) {
    return;
  }
  if (each.at == partition::stage::claiming) {
    append(each); // Again, after a failure.
    return;
  }
  if (!each.writable()) {
    return;
  }
  if (each.sent.empty()) {
    if (std::none_of(each.changes.begin(), each.changes.end(),
                     [now](const change& what) { return what.due <= now; })) {
      return;
    }
    each.sent_records.clear();
    std::set<std::uint64_t> written;
    while (!each.changes.empty() && each.sent.size() < max_changes) {
      each.sent.push_back(std::move(each.changes.front()));
      each.changes.pop_front();
    }
    for (const auto& what : each.sent) {
      const auto found = each.jobs.find(what.job);
      if (found == each.jobs.end() || !written.insert(what.job).second) {
        continue;
      }
      auto& job = found->second;
      if (job.forgotten) {
        each.sent_records.push_back({submission_key(what.job), ""});
      } else if (job.closing) {
        auto closed = kept_record{};
        closed.ended = job.closing;
        closed.progress = job.record.progress;
        each.sent_records.push_back({submission_key(what.job), write_submission(closed)});
        each.sent_records.push_back({progress_key(what.job), ""});
      } else if (!job.stored) {
        each.sent_records.push_back({submission_key(what.job), write_submission(job.record)});
      } else {
        each.sent_records.push_back({progress_key(what.job), write_progress(job.record)});
      }
    }
  }
  if (each.sent_records.empty()) {
    for (const auto& what : std::exchange(each.sent, {})) {
      what.then(true);
    }
    return;
  }
  append(each);
}

void kept_jobs::expire_waiting(monotonic_time now) {
  for (const auto& [number, each] : partitions_) {
    if (each->changes.empty()) {
      continue;
    }
    std::vector<change> late;
    std::deque<change> kept;
    for (auto& what : each->changes) {
      const bool expired = what.is_submission && now - what.queued > settings_.store_patience;
      (expired ? late.emplace_back() : kept.emplace_back()) = std::move(what);
    }
    each->changes = std::move(kept);
    for (const auto& what : late) {
      what.then(false);
    }
  }
  while (!waiting_.empty() && (waiting_.front()->answered || waiting_.front()->deadline <= now)) {
    const auto each = waiting_.front();
    waiting_.pop_front();
    each->answer(kept_answer::unknown);
  }
}

void kept_jobs::forget_ended(partition& each, monotonic_time now) {
  while (each.owned() && !each.ended.empty() && each.ended.front().first <= now) {
    const auto id = each.ended.front().second;
    each.ended.pop_front();
    each.jobs.at(id).forgotten = true;
    queue_change(each,
                 {id, false, now, now,
                  [this, id](bool) {
                    if (auto* at = find_partition(id)) {
                      at->jobs.erase(id);
                    }
                  }},
                 now);
  }
}

void kept_jobs::submit(fleet_job job, monotonic_time now, const reply& done) {
  now_ = now;
  auto* each = find_partition(job.id);
  if (each == nullptr) {
    done(kept_answer::not_owner);
    return;
  }
  const auto id = job.id;
  const auto known = each->jobs.find(id);
  if (known != each->jobs.end() && known->second.stored) {
    done(kept_answer::accepted);
    return;
  }
  // A change that waits behind a failing append would only be refused later.
  if (known == each->jobs.end() && (open_jobs_ >= settings_.max_open_jobs || each->failing)) {
    events_.write("job_refused", "job", format_job(id), "open_jobs", open_jobs_, "store_failing",
                  each->failing);
    done(kept_answer::refused);
    return;
  }
  auto waiting = std::make_shared<pending_reply>(
      pending_reply{done, now + 2 * settings_.store_patience, false});
  waiting_.push_back(waiting);
  auto& made = each->jobs[id];
  made.submitters.push_back(std::move(waiting));
  if (known != each->jobs.end()) {
    return; // Sent again before the store has answered.
  }
  ++open_jobs_;
  made.record.job = std::move(job);
  made.record.first_epoch = each->epoch;
  made.record.progress = empty_progress(made.record.job);
  queue_change(*each,
               {id, true, now, now,
                [this, id](bool stored) {
                  auto* at = find_held(id);
                  if (at == nullptr) {
                    return; // Given up meanwhile; the callers have their answer.
                  }
                  auto& mine = at->jobs.at(id);
                  const auto callers = std::exchange(mine.submitters, {});
                  if (stored) {
                    mine.stored = true;
                    if (at->owned()) {
                      start(*at, mine);
                    }
                  } else {
                    --open_jobs_;
                    at->jobs.erase(id);
                  }
                  events_.write(stored ? "job_accepted" : "job_refused", "job", format_job(id),
                                "partition", at->number, "epoch", at->epoch);
                  metrics_.add("parsleylead_entry_stored_jobs_total",
                               {{"answer", stored ? "accepted" : "refused"}});
                  for (const auto& caller : callers) {
                    caller->answer(stored ? kept_answer::accepted : kept_answer::refused);
                  }
                }},
               now);
}

void kept_jobs::cancel(std::uint64_t id, monotonic_time now, const reply& done) {
  now_ = now;
  auto* each = find_partition(id);
  if (each == nullptr) {
    done(kept_answer::not_owner);
    return;
  }
  const auto found = each->jobs.find(id);
  if (found == each->jobs.end() || found->second.forgotten) {
    done(kept_answer::no_such_job);
    return;
  }
  auto& job = found->second;
  if (job.record.ended) {
    done(query(id));
    return;
  }
  if (!job.stored) {
    done(kept_answer::unknown); // Its submission is not answered yet.
    return;
  }
  auto waiting = std::make_shared<pending_reply>(
      pending_reply{done, now + 2 * settings_.store_patience, false});
  waiting_.push_back(waiting);
  if (!job.closing) {
    job.closing = job_verdict::cancelled;
  }
  queue_change(*each,
               {id, false, now, now,
                [this, id, waiting](bool) {
                  if (auto* at = find_held(id)) {
                    close(*at, id);
                    waiting->answer(query(id));
                  }
                }},
               now);
}

/// The job's result is stored.
void kept_jobs::close(partition& each, std::uint64_t id) {
  auto& job = each.jobs.at(id);
  if (std::exchange(job.running, false)) {
    port_.drop(id);
  }
  if (job.record.ended) {
    return;
  }
  --open_jobs_;
  job.record.job = {};
  job.record.ended = job.closing;
  each.ended.emplace_back(now_ + settings_.keep_ended, id);
  events_.write("stored_job_ended", "job", format_job(id), "verdict", to_string(*job.closing));
}

kept_answer kept_jobs::query(std::uint64_t id) const {
  const auto* each = find_partition(id);
  if (each == nullptr) {
    return kept_answer::not_owner;
  }
  const auto found = each->jobs.find(id);
  if (found == each->jobs.end() || found->second.forgotten) {
    return kept_answer::no_such_job;
  }
  const auto& job = found->second;
  if (job.record.ended) {
    switch (*job.record.ended) {
    case job_verdict::completed:
      return kept_answer::completed;
    case job_verdict::failed:
      return kept_answer::failed;
    default:
      return kept_answer::cancelled;
    }
  }
  if (!job.stored) {
    return kept_answer::unknown;
  }
  const bool begun = job.closing || port_.has_begun(id) || job.record.first_epoch != each->epoch;
  return begun ? kept_answer::running : kept_answer::pending;
}

void kept_jobs::run_ended(worker_index worker, const run_end& end, bool is_current,
                          monotonic_time now) {
  now_ = now;
  auto* each = find_held(end.run.task.job);
  if (each == nullptr) {
    return; // The partition's owner tells the agent.
  }
  const auto id = end.run.task.job;
  const auto found = each->jobs.find(id);
  if (found == each->jobs.end() || end.run.task.step >= found->second.record.progress.size() ||
      end.run.task.index >= found->second.record.progress[end.run.task.step].size()) {
    port_.note(worker, {end.run, false}); // Of no stored job.
    return;
  }
  auto& job = found->second;
  auto& task = job.record.progress[end.run.task.step][end.run.task.index];
  const bool done = end.outcome == run_outcome::done;
  const bool is_open = !job.record.ended && !task.done;
  // The task was started again before this end was known, as its agent could not be reached.
  const bool superseded =
      done && (end.run.attempt < task.ended_attempt ||
               (is_open && job.running && !is_current && end.run.attempt > task.ended_attempt));
  if (superseded || job.record.ended) {
    events_.write("end_after_restart", "run", format_run(end.run), "outcome",
                  to_string(end.outcome), "superseded", superseded);
    port_.note(worker, {end.run, superseded});
    return;
  }
  if (is_open && end.run.attempt > task.ended_attempt && (is_current || !job.running)) {
    task.ended_attempt = end.run.attempt;
    task.done = done;
    task.failures += done ? 0 : 1;
  }
  // Otherwise it is stored, or about to be: the changes of a partition are stored in their order.
  queue_change(*each,
               {id, false, now, now,
                [this, worker, run = end.run](bool) {
                  port_.note(worker, {run, false});
                }},
               now, progress_delay);
}

void kept_jobs::job_ended(const job_result& result, monotonic_time now) {
  now_ = now;
  const bool final =
      result.verdict == job_verdict::completed || result.verdict == job_verdict::failed;
  auto* each = final ? find_held(result.id) : nullptr;
  if (each == nullptr || !each->jobs.contains(result.id)) {
    return;
  }
  auto& job = each->jobs.at(result.id);
  if (!std::exchange(job.running, false)) {
    return; // A job that need not be stored, with the same id.
  }
  if (job.closing) {
    return; // Cancelled meanwhile: that result is being stored.
  }
  job.closing = result.verdict;
  queue_change(*each,
               {result.id, false, now, now,
                [this, id = result.id](bool) {
                  if (auto* at = find_held(id)) {
                    close(*at, id);
                  }
                }},
               now);
}

void kept_jobs::find_holder(std::uint64_t job, monotonic_time now,
                            const std::function<void(std::optional<std::string>)>& done) {
  const auto answer = [this, number = partition_number_of(job), done](monotonic_time at) {
    const auto found = std::find_if(holders_.begin(), holders_.end(), [number](const auto& each) {
      return each.partition == number;
    });
    const bool believed = holders_at_ != monotonic_time{} && at - holders_at_ < holders_believed;
    done(believed && found != holders_.end() ? std::optional(found->member) : std::nullopt);
  };
  if (holders_at_ != monotonic_time{} && now - holders_at_ < holders_fresh) {
    answer(now);
    return;
  }
  holder_waits_.emplace_back([this, answer] { answer(settings_.clock()); });
  if (holder_waits_.size() > 1) {
    return; // Being read already.
  }
  log_.holders(settings_.group, [this, alive = std::weak_ptr<int>(alive_)](
                                    absl::StatusOr<std::vector<partition_holder>> holders) {
    if (alive.expired()) {
      return;
    }
    if (holders.ok()) {
      holders_ = std::move(*holders);
      holders_at_ = settings_.clock();
    } else {
      events_.write("holders_not_read", "cause", std::string(holders.status().message()));
    }
    for (const auto& each : std::exchange(holder_waits_, {})) {
      each();
    }
  });
}

} // namespace parsleylead
