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

durable_jobs::partition* durable_jobs::find_partition(std::uint64_t job) {
  const auto found = partitions_.find(partition_number_of(job));
  return found != partitions_.end() && found->second->owned() ? found->second.get() : nullptr;
}

const durable_jobs::partition* durable_jobs::find_partition(std::uint64_t job) const {
  const auto found = partitions_.find(partition_number_of(job));
  return found != partitions_.end() && found->second->owned() ? found->second.get() : nullptr;
}

durable_jobs::partition* durable_jobs::find_held(std::uint64_t job) {
  const auto found = partitions_.find(partition_number_of(job));
  return found != partitions_.end() && found->second->writable() ? found->second.get() : nullptr;
}

durable_jobs::partition* durable_jobs::current(partition_number number, std::uint64_t serial) {
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
  if (!partitions_.empty() && now > lease_until_) {
    events_.write("ownership_lapsed", "partitions", partitions_.size());
    while (!partitions_.empty()) {
      give_up(partitions_.begin()->first, "lease ended", durable_answer::unknown);
    }
  }
}

void durable_jobs::claim_seen(const partition_claim& claim, monotonic_time now) {
  now_ = now;
  const auto found = partitions_.find(claim.partition);
  if (found != partitions_.end() && found->second->epoch != 0 &&
      found->second->epoch < claim.epoch) {
    give_up(claim.partition, "an agent knows a later owner", durable_answer::unknown);
  }
}

void durable_jobs::tick(monotonic_time now) {
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

void durable_jobs::renew(monotonic_time now) {
  renewing_ = true;
  next_renewal_ = now + settings_.renewal;
  log_.join(
      settings_.group, settings_.member, settings_.topic, settings_.lease,
      settings_.renewal_patience, generation_,
      [this, now, alive = std::weak_ptr<int>(alive_)](absl::StatusOr<group_assignment> share) {
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

void durable_jobs::take_share(const group_assignment& share, monotonic_time sent,
                              monotonic_time now) {
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

void durable_jobs::give_up(partition_number number, const std::string& cause,
                           durable_answer sent_submissions) {
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
      each->answer(sent.contains(id) ? sent_submissions : durable_answer::refused);
    }
  }
}

void durable_jobs::release(partition& each, monotonic_time now) {
  if (each.at == partition::stage::releasing) {
    return;
  }
  // Runs of an earlier owner may be left: only time can tell the successor that they have ended.
  const bool releasable = each.at == partition::stage::open;
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

void durable_jobs::finish_releases(monotonic_time now) {
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
                              durable_answer::unknown);
                      finish_leave();
                    }
                  });
    }
  }
  for (const auto number : over) {
    give_up(number, "release took too long", durable_answer::unknown);
  }
  finish_leave();
}

void durable_jobs::leave(monotonic_time now) {
  leaving_ = true;
  for (const auto& [number, each] : partitions_) {
    release(*each, now);
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

void durable_jobs::read(partition_number number, std::uint64_t serial, const std::string& after) {
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
                       give_up(number, "not read", durable_answer::unknown);
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

void durable_jobs::claim(partition& each, monotonic_time now) {
  each.at = partition::stage::claiming;
  each.epoch = 1;
  each.previous_released = true;
  for (const auto& record : each.read) {
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

void durable_jobs::claimed(partition& each, monotonic_time now) {
  if (now > lease_until_) {
    give_up(each.number, "claimed too late", durable_answer::unknown);
    return;
  }
  restore(each, std::exchange(each.read, {}));
  const bool at_once = each.previous_released;
  each.settled = at_once ? now : now + settings_.settle;
  each.at = partition::stage::settling;
  events_.write("partition_owned", "partition", each.number, "epoch", each.epoch, "jobs",
                each.jobs.size(), "settle_ms", at_once ? 0 : settings_.settle.count());
  port_.announce({{each.number, each.epoch}});
}

void durable_jobs::restore(partition& each, const std::vector<keyed_record>& records) {
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
      each.ended.emplace_back(now_ + settings_.keep_ended, key->job);
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

void durable_jobs::start_restored(partition& each) {
  each.at = partition::stage::open;
  for (auto& [id, job] : each.jobs) {
    if (job.stored && !job.running && !job.record.ended && !job.closing) {
      events_.write("job_restored", "job", format_job(id), "partition", each.number, "epoch",
                    each.epoch, "first_epoch", job.record.first_epoch);
      start(each, job);
    }
  }
}

void durable_jobs::start(partition& each, durable_job& job) {
  job.running = true;
  auto spec = job.record.job;
  const auto before = (each.epoch - job.record.first_epoch) * attempts_per_epoch;
  spec.tenure = job_tenure{each.epoch, static_cast<std::uint32_t>(before), job.record.progress};
  port_.run(std::move(spec));
}

} // namespace parsleylead
