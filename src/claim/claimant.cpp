#include "parsleylead/claim/claimant.hpp"

#include <algorithm>

#include "parsleylead/base/invariant.hpp"

namespace parsleylead {

claimant::claimant(claimant_options options, std::uint64_t first_offset)
    : options_(std::move(options)),
      table_(options_.rules, first_offset, options_.max_cached_answer_bytes) {}

claim_decision claimant::refuse(const uuid& key, const uuid& submission, reason cause,
                                std::string detail) {
  ++statistics_.refused;
  return {key, submission, claim_verdict::refused, std::nullopt, cause, std::move(detail)};
}

// Decides a request whose key another submission holds. The digests are compared so that a caller
// never gets the answer to another request.
claim_decision claimant::decide_lost(const uuid& key, const uuid& submission, std::uint64_t digest,
                                     claim_holder holder) {
  if (holder.digest.value_or(digest) != digest) {
    return refuse(key, submission, reason::invalid_key, "The key belongs to another request.");
  }
  ++statistics_.duplicates;
  return {key,
          submission,
          claim_verdict::duplicate,
          std::move(holder),
          reason::duplicate_key,
          "Another submission holds the key."};
}

std::optional<claim_decision> claimant::request_claim(const uuid& key, const uuid& submission,
                                                      std::uint64_t digest, monotonic_time deadline,
                                                      monotonic_time now) {
  check_invariant(requests_.count(submission) == 0, "claim: a submission requested a claim twice");
  const auto created = key.created();
  if (!created) {
    return refuse(key, submission, reason::invalid_key, "The key is not a UUID of version 7.");
  }
  if (auto holder = table_.find(key)) {
    return decide_lost(key, submission, digest, std::move(*holder));
  }
  if (options_.rules.validate(key, table_.log_time()) == key_validity::expired) {
    return refuse(key, submission, reason::key_expired, "The key is older than its lifetime.");
  }
  if (!table_.has_complete_history(key)) {
    return refuse(key, submission, reason::claim_unavailable,
                  "Claims of this key may have been lost.");
  }
  if (requests_.size() >= options_.max_requests) {
    return refuse(key, submission, reason::claim_unavailable, "Too many claims are undecided.");
  }
  if (now >= deadline) {
    return refuse(key, submission, reason::claim_unavailable, "The deadline has passed.");
  }
  requests_.emplace(submission, request{key, digest, deadline, false});
  deadlines_.emplace(deadline, submission);
  queued_claims_.push_back(submission);
  check_invariants();
  return std::nullopt;
}

void claimant::queue_release(const uuid& key, const uuid& submission) {
  ++statistics_.releases;
  queued_releases_.push_back({key, submission});
}

void claimant::release(const uuid& key, const uuid& submission) {
  check_invariant(requests_.count(submission) == 0, "claim: an undecided claim was released");
  queue_release(key, submission);
}

void claimant::cancel_request(const uuid& submission) {
  const auto found = requests_.find(submission);
  if (found == requests_.end()) {
    return;
  }
  withdraw_claim(submission, found->second);
  erase_request(submission);
}

// Withdraws the claim of a request that is being removed or refused.
void claimant::withdraw_claim(const uuid& submission, const request& pending) {
  if (pending.batched) {
    queue_release(pending.key, submission);
    return;
  }
  queued_claims_.erase(std::find(queued_claims_.begin(), queued_claims_.end(), submission));
}

void claimant::erase_request(const uuid& submission) {
  const auto found = requests_.find(submission);
  check_invariant(found != requests_.end(), "claim: the decided request is unknown");
  deadlines_.erase({found->second.deadline, submission});
  requests_.erase(found);
  check_invariants();
}

void claimant::record_outcome(const uuid& key, const uuid& submission, std::string state,
                              std::optional<std::string> answer, monotonic_time now) {
  if (queued_outcomes_.size() >= options_.max_outcomes) {
    ++statistics_.dropped_outcomes;
    return;
  }
  if (answer && answer->size() > options_.max_logged_answer_bytes) {
    answer.reset();
  }
  queued_outcomes_.push_back({{key, submission, std::move(state), std::move(answer)}, now});
}

// When the next append may start; nothing if there is nothing to append or one is in progress.
std::optional<monotonic_time> claimant::append_due_at() const {
  if (in_flight_) {
    if (in_flight_->appending) {
      return std::nullopt;
    }
    // No claim can be granted while the log can't be read, so a retry waits for a read. The first
    // retry doesn't, because most failures are broken connections.
    const bool may_repeat = in_flight_->read_since_error || in_flight_->failures == 1;
    return may_repeat ? std::optional<monotonic_time>(in_flight_->retry_at) : std::nullopt;
  }
  const auto not_before =
      last_append_ ? *last_append_ + options_.min_append_interval : monotonic_time::min();
  if (!queued_claims_.empty() || !queued_releases_.empty()) {
    return not_before;
  }
  if (queued_outcomes_.empty()) {
    return std::nullopt;
  }
  return std::max(not_before, queued_outcomes_.front().queued_at + options_.outcome_delay);
}

std::optional<claim_batch> claimant::next_batch(monotonic_time now) {
  const auto due = append_due_at();
  if (!due || now < *due) {
    return std::nullopt;
  }
  last_append_ = now;
  if (in_flight_) {
    in_flight_->appending = true;
    in_flight_->read_since_error = false;
    ++statistics_.repeated_batches;
    return in_flight_->batch;
  }
  const claim_record record = build_record();
  in_flight_.emplace(claim_batch{record.id, encode_claim_record(record)});
  ++statistics_.batches;
  check_invariants();
  return in_flight_->batch;
}

claim_record claimant::build_record() {
  claim_record record;
  record.id = uuid::make_v7(wall_now());
  add_releases(record);
  add_claims(record);
  add_outcomes(record);
  check_invariant(!record.items.empty(), "claim: a batch is empty");
  return record;
}

void claimant::add_claims(claim_record& record) {
  while (!queued_claims_.empty() && record.items.size() < options_.max_batch_items) {
    const uuid submission = queued_claims_.front();
    queued_claims_.pop_front();
    const auto found = requests_.find(submission);
    check_invariant(found != requests_.end(), "claim: a queued claim has no request");
    check_invariant(!found->second.batched, "claim: a queued claim is already part of a batch");
    found->second.batched = true;
    record.items.emplace_back(claim_item{found->second.key, submission, options_.entry_name,
                                         options_.entry_address, found->second.digest});
  }
}

void claimant::add_releases(claim_record& record) {
  while (!queued_releases_.empty() && record.items.size() < options_.max_batch_items) {
    record.items.emplace_back(queued_releases_.front());
    queued_releases_.pop_front();
  }
}

void claimant::add_outcomes(claim_record& record) {
  std::size_t answer_bytes = 0;
  while (!queued_outcomes_.empty() && record.items.size() < options_.max_batch_items) {
    outcome_item& item = queued_outcomes_.front().item;
    answer_bytes += item.answer ? item.answer->size() : 0;
    const bool fits = answer_bytes <= options_.max_batch_answer_bytes || record.items.empty();
    if (!fits) {
      return;
    }
    record.items.emplace_back(std::move(item));
    queued_outcomes_.pop_front();
  }
}

std::optional<monotonic_time> claimant::next_due() const {
  auto due = append_due_at();
  if (!deadlines_.empty()) {
    const auto deadline = deadlines_.begin()->first;
    due = due ? std::min(*due, deadline) : deadline;
  }
  return due;
}

// Ends a failed append whose record was read, which proves that it took effect.
void claimant::finish_batch_if_known() {
  if (in_flight_ && !in_flight_->appending && in_flight_->record_read) {
    in_flight_.reset();
  }
}

void claimant::on_append_ok(std::uint64_t offset) {
  check_invariant(in_flight_ && in_flight_->appending,
                  "claim: an append ended while none was in progress");
  check_invariant(offset > 0, "claim: the log returned offset 0");
  in_flight_.reset();
}

void claimant::on_append_error(monotonic_time now) {
  check_invariant(in_flight_ && in_flight_->appending,
                  "claim: an append ended while none was in progress");
  in_flight_->appending = false;
  auto delay = options_.min_retry_interval;
  for (std::uint32_t i = 0; i < in_flight_->failures && delay < options_.max_retry_interval; ++i) {
    delay *= 2;
  }
  ++in_flight_->failures;
  in_flight_->retry_at = now + std::min(delay, options_.max_retry_interval);
  finish_batch_if_known();
}

std::vector<claim_decision> claimant::on_records(std::span<const log_record> records,
                                                 monotonic_time now) {
  std::vector<claim_decision> decisions;
  for (const log_record& record : records) {
    const auto applied = table_.apply(record);
    if (!applied) {
      continue;
    }
    if (in_flight_ && applied->id == in_flight_->batch.id) {
      in_flight_->record_read = true;
    }
    for (const applied_claim& claim : applied->claims) {
      const auto found = requests_.find(claim.submission);
      const bool is_ours =
          found != requests_.end() && found->second.batched && found->second.key == claim.key;
      if (!is_ours) {
        continue;
      }
      decisions.push_back(decide(claim, found->second, now));
      erase_request(claim.submission);
    }
  }
  if (in_flight_ && !in_flight_->appending) {
    in_flight_->read_since_error = true;
  }
  finish_batch_if_known();
  return decisions;
}

claim_decision claimant::decide(const applied_claim& claim, const request& pending,
                                monotonic_time now) {
  switch (claim.result) {
  case claim_result::won:
    return decide_won(claim, pending, now);
  case claim_result::lost:
    check_invariant(claim.holder.has_value(), "claim: a lost claim has no holder");
    return decide_lost(claim.key, claim.submission, pending.digest, *claim.holder);
  case claim_result::expired:
    return refuse(claim.key, claim.submission, reason::key_expired,
                  "The key is older than its lifetime.");
  case claim_result::too_far_ahead:
    return refuse(claim.key, claim.submission, reason::invalid_key,
                  "The key's time is ahead of the log's clock.");
  case claim_result::not_v7:
    return refuse(claim.key, claim.submission, reason::invalid_key,
                  "The key is not a UUID of version 7.");
  case claim_result::repeated:
    break;
  }
  // Reached only if another program appended a claim of this submission.
  queue_release(claim.key, claim.submission);
  return refuse(claim.key, claim.submission, reason::internal,
                "The log holds an earlier claim of the same submission.");
}

claim_decision claimant::decide_won(const applied_claim& claim, const request& pending,
                                    monotonic_time now) {
  if (!table_.has_complete_history(claim.key)) {
    queue_release(claim.key, claim.submission);
    return refuse(claim.key, claim.submission, reason::claim_unavailable,
                  "Claims of this key may have been lost.");
  }
  if (now >= pending.deadline) {
    queue_release(claim.key, claim.submission);
    return refuse(claim.key, claim.submission, reason::claim_unavailable,
                  "The claim was read after the deadline.");
  }
  ++statistics_.granted;
  return {claim.key, claim.submission, claim_verdict::granted, std::nullopt, reason::none, {}};
}

std::vector<claim_decision> claimant::expire(monotonic_time now) {
  std::vector<claim_decision> decisions;
  while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
    const uuid submission = deadlines_.begin()->second;
    const request pending = requests_.at(submission);
    withdraw_claim(submission, pending);
    decisions.push_back(refuse(pending.key, submission, reason::claim_unavailable,
                               "The claim was not decided before the deadline."));
    erase_request(submission);
  }
  return decisions;
}

bool claimant::idle() const {
  return requests_.empty() && queued_releases_.empty() && queued_outcomes_.empty() && !in_flight_;
}

void claimant::check_invariants() const {
  check_invariant(requests_.size() == deadlines_.size(),
                  "claim: the numbers of requests and deadlines differ");
  check_invariant(queued_claims_.size() <= requests_.size(),
                  "claim: there are more queued claims than requests");
}

} // namespace parsleylead
