#include "group_service.hpp"

namespace parsleylead::standin {

void group_service::assign_partitions() {
  ++generation_;
  assigned_.assign(holders_.size(), "");
  if (members_.empty()) {
    holders_ = assigned_;
    return;
  }
  std::vector<std::string> names;
  for (const auto& [name, expiry] : members_) {
    names.push_back(name);
  }
  for (std::size_t i = 0; i < holders_.size(); ++i) {
    assigned_[i] = names[(i + rotation_) % names.size()];
    if (!members_.contains(holders_[i])) {
      holders_[i] = assigned_[i];
    }
  }
}

void group_service::expire(time_point now) {
  if (std::erase_if(members_, [now](const auto& member) { return member.second < now; }) > 0) {
    assign_partitions();
  }
}

std::vector<std::uint32_t> group_service::join(const std::string& member,
                                               std::chrono::milliseconds ttl,
                                               std::uint64_t generation, time_point now) {
  expire(now);
  const bool added = !members_.contains(member);
  members_[member] = now + ttl;
  if (added) {
    assign_partitions();
  }
  std::vector<std::uint32_t> held;
  for (std::size_t i = 0; i < holders_.size(); ++i) {
    if (holders_[i] == member && assigned_[i] != member && generation >= generation_) {
      holders_[i] = assigned_[i];
    }
    if (holders_[i] == member && assigned_[i] == member) {
      held.push_back(static_cast<std::uint32_t>(i));
    }
  }
  return held;
}

void group_service::leave(const std::string& member, time_point now) {
  expire(now);
  if (members_.erase(member) > 0) {
    assign_partitions();
  }
}

void group_service::reassign_all(time_point now) {
  expire(now);
  ++rotation_;
  assign_partitions();
  holders_ = assigned_;
}

} // namespace parsleylead::standin
