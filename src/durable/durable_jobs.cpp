// Durable jobs: the group of owners, and claims and releases of partitions.

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

#include "durable_state.hpp"
#include "parsleylead/fleet/format_run.hpp"

namespace parsleylead {
namespace {

using std::chrono::milliseconds;

// A partition that goes to another member is released within this time, whatever still runs.
constexpr milliseconds release_limit{1'000};

} // namespace

durable_jobs::durable_jobs(durable_settings settings, partition_log& log, durable_port& port,
                           event_log& events, metrics_registry& metrics)
    : settings_(std::move(settings)), log_(log), port_(port), events_(events), metrics_(metrics) {}

durable_jobs::~durable_jobs() = default;

partition_number durable_jobs::partition_number_of(std::uint64_t job) const {
  return partition_of(job, settings_.partitions);
}

durable_jobs::partition_state* durable_jobs::find_partition(std::uint64_t job) {
  const auto found = partitions_.find(partition_number_of(job));
  return found != partitions_.end() && found->second->owned() ? found->second.get() : nullptr;
}

const durable_jobs::partition_state* durable_jobs::find_partition(std::uint64_t job) const {
  const auto found = partitions_.find(partition_number_of(job));
  return found != partitions_.end() && found->second->owned() ? found->second.get() : nullptr;
}

durable_jobs::partition_state* durable_jobs::find_writable(std::uint64_t job) {
  const auto found = partitions_.find(partition_number_of(job));
  return found != partitions_.end() && found->second->writable() ? found->second.get() : nullptr;
}

durable_jobs::partition_state* durable_jobs::find_by_serial(partition_number number,
                                                            std::uint64_t serial) {
  const auto found = partitions_.find(number);
  return found != partitions_.end() && found->second->serial == serial ? found->second.get()
                                                                       : nullptr;
}

bool durable_jobs::owns(std::uint64_t job) const {
  return find_partition(job) != nullptr;
}

std::vector<partition_claim> durable_jobs::claims() const {
  std::vector<partition_claim> all;
  for (const auto& [number, each] : partitions_) {
    if (each->owned()) {
      all.push_back({number, each->epoch});
    }
  }
  return all;
}

void durable_jobs::check_lease(monotonic_time now) {
  now_ = now;
  if (!partitions_.empty() && now > lease_end_) {
    events_.write("ownership_lapsed", "partitions", partitions_.size());
    while (!partitions_.empty()) {
      drop_partition(partitions_.begin()->first, "lease ended", durable_answer::unknown);
    }
  }
}

void durable_jobs::claim_seen(const partition_claim& claim, monotonic_time now) {
  now_ = now;
  const auto found = partitions_.find(claim.partition);
  if (found != partitions_.end() && found->second->epoch != 0 &&
      found->second->epoch < claim.epoch) {
    drop_partition(claim.partition, "an agent knows a later owner", durable_answer::unknown);
  }
}

void durable_jobs::tick(monotonic_time now) {
  check_lease(now);
  finish_releases(now);
  const bool releasing = std::any_of(partitions_.begin(), partitions_.end(), [](const auto& each) {
    return each.second->current_stage == partition_state::stage::releasing;
  });
  if (!renewing_ && !releasing && !leaving_ && now >= next_renewal_) {
    renew_lease(now);
  }
  for (const auto& [number, each] : partitions_) {
    if (each->current_stage == partition_state::stage::settling && now >= each->settle_end) {
      start_restored_jobs(*each);
    }
    forget_ended(*each, now);
    flush(*each, now);
  }
  expire_waiting(now);
}

void durable_jobs::renew_lease(monotonic_time now) {
  renewing_ = true;
  next_renewal_ = now + settings_.renewal_interval;
  log_.join(
      settings_.group, settings_.member, settings_.topic, settings_.lease,
      settings_.renewal_timeout, generation_,
      [this, now, alive = std::weak_ptr<int>(alive_)](absl::StatusOr<group_assignment> share) {
        if (alive.expired()) {
          return;
        }
        renewing_ = false;
        if (share.ok() != store_reachable_) {
          store_reachable_ = share.ok();
          events_.write(store_reachable_ ? "group_regained" : "group_lost", "cause",
                        std::string(share.status().message()));
        }
        if (share.ok() && !leaving_) {
          apply_assignment(*share, now, settings_.clock());
        }
      });
}

void durable_jobs::apply_assignment(const group_assignment& share, monotonic_time sent,
                                    monotonic_time now) {
  now_ = now;
  lease_end_ = sent + settings_.lease;
  generation_ = share.generation;
  for (const auto& [number, each] : partitions_) {
    if (std::find(share.partitions.begin(), share.partitions.end(), number) ==
        share.partitions.end()) {
      release_partition(*each, now);
    }
  }
  for (const auto number : share.partitions) {
    auto& slot = partitions_[number];
    if (!slot) {
      slot = std::make_unique<partition_state>();
      slot->number = number;
      slot->serial = next_serial_++;
      read_partition(number, slot->serial, "");
    }
  }
}

void durable_jobs::drop_partition(partition_number number, const std::string& cause,
                                  durable_answer sent_submissions) {
  const auto found = partitions_.find(number);
  const auto gone = std::move(found->second);
  partitions_.erase(found);
  events_.write("partition_given_up", "partition", number, "epoch", gone->epoch, "cause", cause,
                "jobs", gone->jobs.size());
  std::set<std::uint64_t> sent;
  for (const auto& what : gone->sent_changes) {
    sent.insert(what.job);
  }
  for (auto& [id, job] : gone->jobs) {
    if (job.running) {
      port_.drop_job(id);
    }
    open_jobs_ -= job.record.ended ? 0 : 1;
    for (const auto& each : job.submitters) {
      // What was never sent cannot take effect.
      each->answer(sent.contains(id) ? sent_submissions : durable_answer::refused);
    }
  }
}

void durable_jobs::release_partition(partition_state& each, monotonic_time now) {
  if (each.current_stage == partition_state::stage::releasing) {
    return;
  }
  // Runs of an earlier owner may be left: only time can tell the successor that they have ended.
  const bool releasable = each.current_stage == partition_state::stage::open;
  events_.write("partition_releasing", "partition", each.number, "epoch", each.epoch, "jobs",
                each.jobs.size());
  each.current_stage = partition_state::stage::releasing;
  each.release_deadline = releasable ? now + release_limit : now;
  for (auto& [id, job] : each.jobs) {
    if (job.running) {
      port_.suspend_job(id);
    }
  }
}

void durable_jobs::finish_releases(monotonic_time now) {
  std::vector<partition_number> over;
  for (const auto& [number, each] : partitions_) {
    if (each->current_stage != partition_state::stage::releasing) {
      continue;
    }
    const bool idle = !each->store_call_pending && each->changes.empty() &&
                      each->sent_changes.empty() &&
                      std::none_of(each->jobs.begin(), each->jobs.end(), [this](const auto& job) {
                        return job.second.running && port_.is_placed(job.first);
                      });
    if (now >= each->release_deadline) {
      over.push_back(number);
    } else if (idle && each->epoch != 0) {
      // The successor need not wait for anything: nothing of this tenure runs.
      each->store_call_pending = true;
      log_.append(topic_of(number), each->log_end,
                  {{owner_key, write_owner({each->epoch, settings_.member, true})}},
                  [this, number = number, serial = each->serial,
                   alive = std::weak_ptr<int>(alive_)](const absl::StatusOr<std::uint64_t>& end) {
                    if (!alive.expired() && find_by_serial(number, serial) != nullptr) {
                      drop_partition(number,
                                     end.ok() ? "released" : std::string(end.status().message()),
                                     durable_answer::unknown);
                      finish_leave();
                    }
                  });
    }
  }
  for (const auto number : over) {
    drop_partition(number, "release took too long", durable_answer::unknown);
  }
  finish_leave();
}

void durable_jobs::leave(monotonic_time now) {
  leaving_ = true;
  for (const auto& [number, each] : partitions_) {
    release_partition(*each, now);
  }
  finish_releases(now);
}

void durable_jobs::finish_leave() {
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

void durable_jobs::read_partition(partition_number number, std::uint64_t serial,
                                  const std::string& after) {
  log_.read_newest(topic_of(number), after,
                   [this, number, serial, after,
                    alive = std::weak_ptr<int>(alive_)](absl::StatusOr<keyed_snapshot> snapshot) {
                     auto* each = alive.expired() ? nullptr : find_by_serial(number, serial);
                     if (each == nullptr ||
                         each->current_stage != partition_state::stage::reading) {
                       return;
                     }
                     if (!snapshot.ok()) {
                       events_.write("partition_not_read", "partition", number, "cause",
                                     std::string(snapshot.status().message()));
                       // The next renewal reads it again.
                       drop_partition(number, "not read", durable_answer::unknown);
                       return;
                     }
                     if (after.empty()) {
                       // Pages are no snapshot: the claim fails if anything was appended since.
                       each->log_end = snapshot->end;
                       each->read_records.clear();
                     }
                     const bool more = snapshot->has_more && !snapshot->records.empty();
                     const auto last = more ? snapshot->records.back().key : std::string();
                     std::move(snapshot->records.begin(), snapshot->records.end(),
                               std::back_inserter(each->read_records));
                     if (more) {
                       read_partition(number, serial, last);
                     } else {
                       claim_partition(*each, settings_.clock());
                     }
                   });
}

void durable_jobs::claim_partition(partition_state& each, monotonic_time now) {
  each.current_stage = partition_state::stage::claiming;
  each.epoch = 1;
  each.previous_released = true;
  for (const auto& record : each.read_records) {
    if (record.key != owner_key) {
      continue;
    }
    if (const auto owner = parse_durable_owner(record.value); owner.ok()) {
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

void durable_jobs::partition_claimed(partition_state& each, monotonic_time now) {
  if (now > lease_end_) {
    drop_partition(each.number, "claimed too late", durable_answer::unknown);
    return;
  }
  restore_jobs(each, std::exchange(each.read_records, {}));
  const bool at_once = each.previous_released;
  each.settle_end = at_once ? now : now + settings_.settle_time;
  each.current_stage = partition_state::stage::settling;
  events_.write("partition_owned", "partition", each.number, "epoch", each.epoch, "jobs",
                each.jobs.size(), "settle_ms", at_once ? 0 : settings_.settle_time.count());
  port_.announce_claims({{each.number, each.epoch}});
}

void durable_jobs::restore_jobs(partition_state& each, const std::vector<keyed_record>& records) {
  const auto skip = [this](const keyed_record& record, const absl::Status& status) {
    events_.write("job_record_skipped", "key", record.key, "cause", std::string(status.message()));
  };
  for (const auto& record : records) {
    const auto key = parse_durable_key(record.key);
    if (!key || key->is_progress) {
      continue;
    }
    auto parsed = parse_durable_submission(key->job, record.value);
    if (!parsed.ok()) {
      skip(record, parsed.status());
      continue;
    }
    durable_job job;
    job.stored = true;
    job.record = std::move(*parsed);
    open_jobs_ += job.record.ended ? 0 : 1;
    if (job.record.ended) {
      each.ended.emplace_back(now_ + settings_.ended_retention, key->job);
    }
    each.jobs.emplace(key->job, std::move(job));
  }
  for (const auto& record : records) {
    const auto key = parse_durable_key(record.key);
    const auto found = key && key->is_progress ? each.jobs.find(key->job) : each.jobs.end();
    if (found == each.jobs.end() || found->second.record.ended) {
      continue;
    }
    if (const auto status = parse_durable_progress(record.value, found->second.record);
        !status.ok()) {
      skip(record, status);
    }
  }
}

void durable_jobs::start_restored_jobs(partition_state& each) {
  each.current_stage = partition_state::stage::open;
  for (auto& [id, job] : each.jobs) {
    if (job.stored && !job.running && !job.record.ended && !job.pending_verdict) {
      events_.write("job_restored", "job", format_job(id), "partition", each.number, "epoch",
                    each.epoch, "first_epoch", job.record.first_epoch);
      start_job(each, job);
    }
  }
}

void durable_jobs::start_job(partition_state& each, durable_job& job) {
  job.running = true;
  auto spec = job.record.job;
  const auto before = (each.epoch - job.record.first_epoch) * attempts_per_epoch;
  spec.ownership =
      job_ownership{each.epoch, static_cast<std::uint32_t>(before), job.record.progress};
  port_.run_job(std::move(spec));
}

} // namespace parsleylead
