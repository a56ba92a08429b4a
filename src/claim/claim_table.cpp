#include "parsleylead/claim/claim_table.hpp"

#include <xxhash.h>

#include <algorithm>

#include "parsleylead/base/invariant.hpp"

namespace parsleylead {
namespace {

claim_result to_result(key_validity validity) {
  switch (validity) {
  case key_validity::not_v7:
    return claim_result::not_v7;
  case key_validity::expired:
    return claim_result::expired;
  case key_validity::too_far_ahead:
    return claim_result::too_far_ahead;
  case key_validity::valid:
    break;
  }
  return claim_result::won;
}

template <typename Container, typename Value>
bool contains(const Container& container, const Value& value) {
  return std::find(container.begin(), container.end(), value) != container.end();
}

} // namespace

claim_table::claim_table(claim_rules rules, std::uint64_t next_offset, std::size_t max_answer_bytes)
    : rules_(rules), next_offset_(next_offset), max_answer_bytes_(max_answer_bytes) {}

std::optional<applied_claim_record> claim_table::apply(const log_record& record) {
  if (record.offset < next_offset_) {
    return std::nullopt;
  }
  if (record.offset > next_offset_) {
    ++statistics_.gaps;
    gap_until_ = std::max(gap_until_.value_or(record.append_time), record.append_time);
  }
  next_offset_ = record.offset + 1;
  log_time_ = std::max(log_time_, record.append_time);
  auto decoded = decode_claim_record(record.payload);
  statistics_.bad_items += decoded.bad_items;
  applied_claim_record applied;
  applied.id = decoded.id;
  for (claim_record_item& item : decoded.items) {
    if (const auto* claim = std::get_if<claim_item>(&item)) {
      applied.claims.push_back(apply_claim(*claim, record.append_time));
    } else if (const auto* release = std::get_if<release_item>(&item)) {
      apply_release(*release, record.append_time);
    } else {
      apply_outcome(std::move(std::get<outcome_item>(item)));
    }
  }
  erase_expired();
  return applied;
}

applied_claim claim_table::apply_claim(const claim_item& item, wall_time append_time) {
  applied_claim applied{item.key, item.submission, evaluate_claim(item, append_time), std::nullopt};
  if (applied.result == claim_result::lost) {
    applied.holder = find(item.key);
  }
  return applied;
}

claim_result claim_table::evaluate_claim(const claim_item& item, wall_time append_time) {
  const auto validity = rules_.validate(item.key, append_time);
  if (validity != key_validity::valid) {
    ++statistics_.invalid_keys;
    return to_result(validity);
  }
  key_state& state = keys_[item.key];
  if (state.holder == item.submission || contains(state.ineligible, item.submission)) {
    return claim_result::repeated;
  }
  if (state.holder) {
    state.ineligible.push_back(item.submission);
    return claim_result::lost;
  }
  state.holder = item.submission;
  state.entry = intern_entry(item.entry_name, item.entry_address);
  state.digest = item.digest;
  return claim_result::won;
}

// A released submission is ineligible for the key, so a delayed or repeated append of its claim has
// no effect.
void claim_table::apply_release(const release_item& item, wall_time append_time) {
  if (count_if_invalid(item.key, append_time)) {
    return;
  }
  key_state& state = keys_[item.key];
  if (!contains(state.ineligible, item.submission)) {
    state.ineligible.push_back(item.submission);
  }
  // A submission with an outcome has dispatched tasks, so it must keep the key.
  if (state.holder == item.submission && state.outcome.empty()) {
    state.holder.reset();
  }
}

void claim_table::apply_outcome(outcome_item item) {
  const auto found = keys_.find(item.key);
  const bool is_first = found != keys_.end() && found->second.holder == item.submission &&
                        found->second.outcome.empty();
  if (!is_first) {
    ++statistics_.ignored_outcomes;
    return;
  }
  found->second.outcome = std::move(item.state);
  if (item.answer) {
    cache_answer(item.key, std::move(*item.answer));
  }
}

bool claim_table::count_if_invalid(const uuid& key, wall_time append_time) {
  if (rules_.validate(key, append_time) == key_validity::valid) {
    return false;
  }
  ++statistics_.invalid_keys;
  return true;
}

void claim_table::cache_answer(const uuid& key, std::string answer) {
  answer_bytes_ += answer.size();
  keys_[key].answer = std::move(answer);
  cached_answers_.push_back(key);
  while (answer_bytes_ > max_answer_bytes_) {
    const auto oldest = keys_.find(cached_answers_.front());
    cached_answers_.pop_front();
    if (oldest != keys_.end() && oldest->second.answer) {
      answer_bytes_ -= oldest->second.answer->size();
      oldest->second.answer.reset();
      ++statistics_.evicted_answers;
    }
  }
}

// Keeps a key for `clock_skew` beyond its lifetime. If the log's clock steps back by less than
// that, no replica erases a key that can still be claimed.
void claim_table::erase_expired() {
  while (!keys_.empty()) {
    const auto oldest = keys_.begin();
    const auto created = oldest->first.created();
    check_invariant(created.has_value(),
                    "claim: the table contains a key that is not of version 7");
    if (*created + rules_.key_lifetime + rules_.clock_skew >= log_time_) {
      return;
    }
    if (oldest->second.answer) {
      answer_bytes_ -= oldest->second.answer->size();
    }
    keys_.erase(oldest);
    while (!cached_answers_.empty() && keys_.count(cached_answers_.front()) == 0) {
      cached_answers_.pop_front();
    }
  }
}

std::uint32_t claim_table::intern_entry(const std::string& name, const std::string& address) {
  const auto [found, is_new] = entry_index_.try_emplace(
      entry_identity(name, address), static_cast<std::uint32_t>(entries_.size()));
  if (is_new) {
    entries_.push_back(found->first);
  }
  return found->second;
}

std::optional<claim_holder> claim_table::find(const uuid& key) const {
  const auto found = keys_.find(key);
  if (found == keys_.end() || !found->second.holder) {
    return std::nullopt;
  }
  const key_state& state = found->second;
  const entry_identity& entry = entries_[state.entry];
  claim_holder holder{*state.holder, entry.first, entry.second, std::nullopt, state.digest};
  if (!state.outcome.empty()) {
    holder.outcome = claim_outcome{state.outcome, state.answer};
  }
  return holder;
}

bool claim_table::has_complete_history(const uuid& key) const {
  const auto created = key.created();
  return !gap_until_ || (created && *created - rules_.clock_skew > *gap_until_);
}

std::uint64_t claim_table::digest() const {
  std::string text;
  for (const auto& [key, state] : keys_) {
    text.append(key.to_string());
    text.append(state.holder ? state.holder->to_string() : "-");
    text.append(state.holder && state.digest ? std::to_string(*state.digest) : "-");
    text.append(state.outcome).append(";");
    for (const uuid& submission : state.ineligible) {
      text.append(submission.to_string());
    }
  }
  return XXH3_64bits(text.data(), text.size());
}

} // namespace parsleylead
