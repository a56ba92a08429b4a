// Durable jobs: membership of the group of owners, claims and releases of partitions.

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

#include "durable_state.hpp"
#include "parsleylead/fleet/format_run.hpp"

namespace parsleylead {
namespace {

using std::chrono::milliseconds;

// A partition that moves to another member is dropped after this time, even if tasks still run.
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
  for (const auto& [number, partition] : partitions_) {
    if (partition->owned()) {
      all.push_back({number, partition->epoch});
    }
  }
  return all;
}

void durable_jobs::check_lease(monotonic_time now) {
  now_ = now;
  if (!partitions_.empty() && now > lease_end_) {
    events_.write("ownership_lapsed", "partitions", partitions_.size());
    while (!partitions_.empty()) {
      drop_partition(partitions_.begin()->first, "the lease expired", durable_answer::unknown);
    }
  }
}

void durable_jobs::claim_seen(const partition_claim& claim, monotonic_time now) {
  now_ = now;
  const auto found = partitions_.find(claim.partition);
  if (found != partitions_.end() && found->second->epoch != 0 &&
      found->second->epoch < claim.epoch) {
    drop_partition(claim.partition, "an agent reported a newer claim", durable_answer::unknown);
  }
}

void durable_jobs::tick(monotonic_time now) {
  check_lease(now);
  finish_releases(now);
  const bool releasing =
      std::any_of(partitions_.begin(), partitions_.end(), [](const auto& partition) {
        return partition.second->current_stage == partition_state::stage::releasing;
      });
  if (!renewing_ && !releasing && !leaving_ && now >= next_renewal_) {
    renew_lease(now);
  }
  for (const auto& [number, partition] : partitions_) {
    if (partition->current_stage == partition_state::stage::settling &&
        now >= partition->settle_end) {
      finish_settling(*partition, now);
    }
    forget_ended(*partition, now);
    flush(*partition, now);
  }
  expire_waiting(now);
}

void durable_jobs::renew_lease(monotonic_time now) {
  renewing_ = true;
  next_renewal_ = now + settings_.renewal_interval;
  log_.join(
      settings_.group, settings_.member, settings_.topic, settings_.lease,
      settings_.renewal_timeout, generation_,
      [this, now, alive = std::weak_ptr<int>(alive_)](absl::StatusOr<group_assignment> assignment) {
        if (alive.expired()) {
          return;
        }
        renewing_ = false;
        if (assignment.ok() != store_reachable_) {
          store_reachable_ = assignment.ok();
          events_.write(store_reachable_ ? "group_regained" : "group_lost", "cause",
                        std::string(assignment.status().message()));
        }
        if (assignment.ok() && !leaving_) {
          apply_assignment(*assignment, now, settings_.clock());
        }
      });
}

void durable_jobs::apply_assignment(const group_assignment& assignment, monotonic_time sent,
                                    monotonic_time now) {
  now_ = now;
  lease_end_ = sent + settings_.lease;
  const bool reassigned =
      std::exchange(generation_, assignment.generation) != assignment.generation;
  for (const auto& [number, partition] : partitions_) {
    if (std::find(assignment.partitions.begin(), assignment.partitions.end(), number) ==
        assignment.partitions.end()) {
      release_partition(*partition, now);
    }
  }
  for (const auto number : assignment.partitions) {
    if (number >= settings_.partitions) {
      events_.write("partition_unknown", "partition", number);
      continue;
    }
    auto& slot = partitions_[number];
    if (!slot) {
      slot = std::make_unique<partition_state>();
      slot->number = number;
      slot->serial = next_serial_++;
      read_partition(number, slot->serial, "");
    } else if (reassigned && slot->owned()) {
      // It may have been assigned to another member and back since the last renewal.
      verify_ownership(*slot);
    }
  }
}

void durable_jobs::verify_ownership(partition_state& partition) {
  if (partition.store_call_pending) {
    return; // Its answer tells as much.
  }
  log_.read_records(
      topic_of(partition.number), partition.log_end,
      [this, number = partition.number, serial = partition.serial, end = partition.log_end,
       alive = std::weak_ptr<int>(alive_)](const absl::StatusOr<keyed_snapshot>& snapshot) {
        auto* current = alive.expired() ? nullptr : find_by_serial(number, serial);
        const bool appended = snapshot.ok() && !snapshot->records.empty();
        // A record after a later end may be this owner's own.
        if (current != nullptr && appended && current->log_end == end &&
            !current->store_call_pending) {
          drop_partition(number, "another owner has appended", durable_answer::unknown);
        }
      });
}

void durable_jobs::drop_partition(partition_number number, const std::string& cause,
                                  durable_answer sent_submissions) {
  const auto found = partitions_.find(number);
  const auto dropped = std::move(found->second);
  partitions_.erase(found);
  events_.write("partition_given_up", "partition", number, "epoch", dropped->epoch, "cause", cause,
                "jobs", dropped->jobs.size());
  if (dropped->writable()) {
    port_.announce_claims({{number, withdrawn_epoch}});
  }
  std::set<std::uint64_t> sent_jobs;
  for (const auto& change : dropped->sent_changes) {
    sent_jobs.insert(change.job);
  }
  for (auto& [id, job] : dropped->jobs) {
    if (job.running) {
      port_.drop_job(id);
    }
    if (!job.record.ended) {
      remove_open(job.record);
    }
    for (const auto& submitter : job.submitters) {
      // A submission that was never sent cannot take effect.
      submitter->answer(sent_jobs.contains(id) ? sent_submissions : durable_answer::refused);
    }
  }
}

void durable_jobs::release_partition(partition_state& partition, monotonic_time now) {
  if (partition.current_stage == partition_state::stage::releasing) {
    return;
  }
  // While runs of an earlier owner may be active, no release is stored, so that the successor waits
  // for `settle_time`.
  const bool releasable = partition.current_stage == partition_state::stage::open;
  events_.write("partition_releasing", "partition", partition.number, "epoch", partition.epoch,
                "jobs", partition.jobs.size());
  partition.current_stage = partition_state::stage::releasing;
  partition.release_deadline = releasable ? now + release_limit : now;
  for (auto& [id, job] : partition.jobs) {
    if (job.running) {
      port_.suspend_job(id);
    }
  }
}

void durable_jobs::finish_releases(monotonic_time now) {
  std::vector<partition_number> expired;
  for (const auto& [number, partition] : partitions_) {
    if (partition->current_stage != partition_state::stage::releasing) {
      continue;
    }
    const bool idle =
        !partition->store_call_pending && partition->changes.empty() &&
        partition->sent_changes.empty() &&
        std::none_of(partition->jobs.begin(), partition->jobs.end(), [this](const auto& job) {
          return job.second.running && port_.is_placed(job.first);
        });
    if (now >= partition->release_deadline) {
      expired.push_back(number);
    } else if (idle && partition->epoch != 0) {
      // No task of this epoch is running, so that the successor can start at once.
      partition->store_call_pending = true;
      log_.append(topic_of(number), partition->log_end,
                  {{owner_key, write_owner(partition->owner_record(settings_.member, true))}},
                  [this, number = number, serial = partition->serial,
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
  for (const auto number : expired) {
    drop_partition(number, "the time limit for the release has passed", durable_answer::unknown);
  }
  finish_leave();
}

void durable_jobs::leave(monotonic_time now) {
  leaving_ = true;
  for (const auto& [number, partition] : partitions_) {
    release_partition(*partition, now);
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
  log_.read_newest(
      topic_of(number), after,
      [this, number, serial, after,
       alive = std::weak_ptr<int>(alive_)](absl::StatusOr<keyed_snapshot> snapshot) {
        auto* partition = alive.expired() ? nullptr : find_by_serial(number, serial);
        if (partition == nullptr || partition->current_stage != partition_state::stage::reading) {
          return;
        }
        if (!snapshot.ok()) {
          events_.write("partition_not_read", "partition", number, "cause",
                        std::string(snapshot.status().message()));
          // The next renewal of the lease starts another read.
          drop_partition(number, "the partition could not be read", durable_answer::unknown);
          return;
        }
        if (after.empty()) {
          // The pages are not a consistent snapshot: the claim fails if records were appended after
          // the first page was read.
          partition->log_end = snapshot->end;
          partition->read_records.clear();
        }
        const bool more = snapshot->has_more && !snapshot->records.empty();
        const auto last = more ? snapshot->records.back().key : std::string();
        std::move(snapshot->records.begin(), snapshot->records.end(),
                  std::back_inserter(partition->read_records));
        if (more) {
          read_partition(number, serial, last);
        } else {
          claim_partition(*partition, settings_.clock());
        }
      });
}

void durable_jobs::claim_partition(partition_state& partition, monotonic_time now) {
  partition.current_stage = partition_state::stage::claiming;
  partition.epoch = 1;
  partition.previous_released = true;
  for (const auto& record : partition.read_records) {
    if (record.key != owner_key) {
      continue;
    }
    if (const auto owner = parse_durable_owner(record.value); owner.ok()) {
      partition.epoch = owner->epoch + 1;
      partition.restart_epoch = owner->restart_epoch;
      partition.previous_released = owner->released;
    } else {
      events_.write("owner_record_skipped", "partition", partition.number, "cause",
                    std::string(owner.status().message()));
    }
  }
  partition.sent_records = {
      {owner_key, write_owner(partition.owner_record(settings_.member, false))}};
  partition.retry_at = now;
  append(partition);
}

void durable_jobs::partition_claimed(partition_state& partition, monotonic_time now) {
  if (now > lease_end_) {
    drop_partition(partition.number, "the lease expired during the claim", durable_answer::unknown);
    return;
  }
  restore_jobs(partition, std::exchange(partition.read_records, {}));
  partition.claimed = true;
  const bool at_once = partition.previous_released;
  partition.settle_end = at_once ? now : now + settings_.settle_time;
  partition.current_stage = partition_state::stage::settling;
  events_.write("partition_owned", "partition", partition.number, "epoch", partition.epoch, "jobs",
                partition.jobs.size(), "settle_ms", at_once ? 0 : settings_.settle_time.count());
  port_.announce_claims({{partition.number, partition.epoch}});
}

void durable_jobs::restore_jobs(partition_state& partition,
                                const std::vector<keyed_record>& records) {
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
    if (!job.record.ended) {
      add_open(job.record);
    } else {
      partition.ended.emplace_back(now_ + settings_.ended_retention, key->job);
    }
    partition.jobs.emplace(key->job, std::move(job));
  }
  for (const auto& record : records) {
    const auto key = parse_durable_key(record.key);
    const auto found =
        key && key->is_progress ? partition.jobs.find(key->job) : partition.jobs.end();
    if (found == partition.jobs.end() || found->second.record.ended) {
      continue;
    }
    if (const auto status = parse_durable_progress(record.value, found->second.record);
        !status.ok()) {
      skip(record, status);
    }
  }
}

void durable_jobs::finish_settling(partition_state& partition, monotonic_time now) {
  const bool restarts = std::any_of(partition.jobs.begin(), partition.jobs.end(),
                                    [](const auto& job) { return job.second.awaits_restart(); });
  if (!restarts) {
    start_restored_jobs(partition);
    return;
  }
  if (std::exchange(partition.storing_restart_epoch, true)) {
    return;
  }
  // Stored before the first restart: a later owner must not use the ends of runs whose tasks were
  // started again in this epoch.
  partition.restart_epoch = partition.epoch;
  queue_change(partition,
               {store_change::kind::restart_epoch, 0, now, now,
                [this, number = partition.number, serial = partition.serial](bool) {
                  auto* current = find_by_serial(number, serial);
                  if (current != nullptr &&
                      current->current_stage == partition_state::stage::settling) {
                    start_restored_jobs(*current);
                  }
                }},
               now);
}

void durable_jobs::start_restored_jobs(partition_state& partition) {
  partition.current_stage = partition_state::stage::open;
  for (auto& [id, job] : partition.jobs) {
    if (job.awaits_restart()) {
      events_.write("job_restored", "job", format_job(id), "partition", partition.number, "epoch",
                    partition.epoch, "first_epoch", job.record.first_epoch);
      start_job(partition, job);
    }
  }
}

void durable_jobs::start_job(partition_state& partition, durable_job& job) {
  job.running = true;
  auto spec = job.record.job;
  const auto before = (partition.epoch - job.record.first_epoch) * attempts_per_epoch;
  spec.ownership =
      job_ownership{partition.epoch, static_cast<std::uint32_t>(before), job.record.progress};
  port_.run_job(std::move(spec));
}

} // namespace parsleylead
