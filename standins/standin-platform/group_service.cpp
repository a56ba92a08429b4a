#include "group_service.hpp"

namespace parsleylead::standin {

void group_service::share_out() {
  ++generation_;
  wanted_.assign(holders_.size(), "");
  if (members_.empty()) {
    holders_ = wanted_;
    return;
  }
  std::vector<std::string> names;
  for (const auto& [name, until] : members_) {
    names.push_back(name);
  }
  for (std::size_t i = 0; i < holders_.size(); ++i) {
    wanted_[i] = names[(i + shift_) % names.size()];
    if (!members_.contains(holders_[i])) {
      holders_[i] = wanted_[i];
    }
  }
}

void group_service::expire(time_point now) {
  if (std::erase_if(members_, [now](const auto& each) { return each.second < now; }) > 0) {
    share_out();
  }
}

std::vector<std::uint32_t> group_service::join(const std::string& member,
                                               std::chrono::milliseconds ttl,
                                               std::uint64_t generation, time_point now) {
  expire(now);
  const bool added = !members_.contains(member);
  members_[member] = now + ttl;
  if (added) {
    share_out();
  }
  std::vector<std::uint32_t> mine;
  for (std::size_t i = 0; i < holders_.size(); ++i) {
    if (holders_[i] == member && wanted_[i] != member && generation >= generation_) {
      holders_[i] = wanted_[i];
    }
    if (holders_[i] == member && wanted_[i] == member) {
      mine.push_back(static_cast<std::uint32_t>(i));
    }
  }
  return mine;
}

void group_service::leave(const std::string& member, time_point now) {
  expire(now);
  if (members_.erase(member) > 0) {
    share_out();
  }
}

void group_service::reassign_all(time_point now) {
  expire(now);
  ++shift_;
  share_out();
  holders_ = wanted_;
}

} // namespace parsleylead::standin
