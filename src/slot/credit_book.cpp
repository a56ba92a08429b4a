#include "parsleylead/slot/credit_book.hpp"

#include <algorithm>

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
  if (auto* state = current(worker, session); state != nullptr) {
    void_unused(*state);
  }
}

bool credit_book::grant(const std::string& worker, std::uint64_t session, std::uint32_t credits) {
  auto* state = current(worker, session);
  if (state == nullptr) {
    return false;
  }
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
  --found->second.unused;
  --totals_.unused;
  ++totals_.spent;
  return true;
}

std::uint32_t credit_book::give_up(const std::string& worker, std::uint64_t session,
                                   std::uint32_t asked) {
  auto* state = current(worker, session);
  if (state == nullptr) {
    return 0;
  }
  const auto given = std::min(asked, state->unused);
  state->unused -= given;
  totals_.unused -= given;
  totals_.returned += given;
  return given;
}

std::uint32_t credit_book::unused(const std::string& worker) const {
  const auto found = workers_.find(worker);
  return found == workers_.end() ? 0 : found->second.unused;
}

std::uint64_t credit_book::session(const std::string& worker) const {
  const auto found = workers_.find(worker);
  return found == workers_.end() ? 0 : found->second.session;
}

credit_book::worker_state* credit_book::current(const std::string& worker, std::uint64_t session) {
  const auto found = workers_.find(worker);
  if (found == workers_.end() || found->second.session != session) {
    return nullptr;
  }
  return &found->second;
}

void credit_book::void_unused(worker_state& state) {
  totals_.voided += state.unused;
  totals_.unused -= state.unused;
  state.unused = 0;
}

} // namespace parsleylead
