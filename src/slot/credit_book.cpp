#include "parsleylead/slot/credit_book.hpp"

#include <algorithm>
#include <utility>

namespace parsleylead {

void credit_book::open(const std::string& worker, std::uint64_t session) {
  auto& state = workers_[worker];
  void_unused(state);
  state.session = session;
}

void credit_book::close(const std::string& worker) {
  const auto found = workers_.find(worker);
  if (found == workers_.end()) {
    return;
  }
  void_unused(found->second);
  workers_.erase(found);
}

void credit_book::void_credits(const std::string& worker, std::uint64_t session) {
  if (auto* state = find_current(worker, session); state != nullptr) {
    void_unused(*state);
  }
}

bool credit_book::grant(const std::string& worker, std::uint64_t session, std::uint32_t credits,
                        bool dedicated_message) {
  auto* state = find_current(worker, session);
  if (state == nullptr) {
    return false;
  }
  const auto grant_number = dedicated_message ? ++last_grant_number_ : 0;
  state->grant_numbers.insert(state->grant_numbers.end(), credits, grant_number);
  state->unused += credits;
  totals_.granted += credits;
  totals_.unused += credits;
  return true;
}

bool credit_book::spend(const std::string& worker) {
  const auto found = workers_.find(worker);
  if (found == workers_.end() || found->second.unused == 0) {
    return false;
  }
  auto& state = found->second;
  state.last_spent_grant = std::max(state.last_spent_grant, state.grant_numbers.front());
  state.grant_numbers.pop_front();
  --state.unused;
  --totals_.unused;
  ++totals_.spent;
  return true;
}

std::uint32_t credit_book::return_unused(const std::string& worker, std::uint64_t session,
                                         std::uint32_t max_credits) {
  auto* state = find_current(worker, session);
  if (state == nullptr) {
    return 0;
  }
  const auto returned = std::min(max_credits, state->unused);
  drop_newest(*state, returned);
  totals_.unused -= returned;
  totals_.returned += returned;
  return returned;
}

std::uint32_t credit_book::unused(const std::string& worker) const {
  const auto found = workers_.find(worker);
  return found == workers_.end() ? 0 : found->second.unused;
}

std::uint64_t credit_book::session(const std::string& worker) const {
  const auto found = workers_.find(worker);
  return found == workers_.end() ? 0 : found->second.session;
}

credit_book::worker_state* credit_book::find_current(const std::string& worker,
                                                     std::uint64_t session) {
  const auto found = workers_.find(worker);
  if (found == workers_.end() || found->second.session != session) {
    return nullptr;
  }
  return &found->second;
}

void credit_book::void_unused(worker_state& state) {
  totals_.voided += state.unused;
  totals_.unused -= state.unused;
  drop_newest(state, state.unused);
}

void credit_book::drop_newest(worker_state& state, std::uint32_t count) {
  for (std::uint32_t i = 0; i < count; ++i) {
    const auto grant_number = state.grant_numbers.back();
    state.grant_numbers.pop_back();
    const bool last_of_message =
        state.grant_numbers.empty() || state.grant_numbers.back() != grant_number;
    if (grant_number > state.last_spent_grant && last_of_message) {
      ++unused_grants_;
    }
  }
  state.unused -= count;
}

std::uint64_t credit_book::take_unused_grants() {
  return std::exchange(unused_grants_, 0);
}

} // namespace parsleylead
