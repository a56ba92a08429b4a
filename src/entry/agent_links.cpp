#include "agent_links.hpp"

#include <algorithm>

namespace parsleylead {

void agent_links::add(const agent_address& address, monotonic_time now) {
  auto& link = links_[address.name];
  if (link == nullptr) {
    link = std::make_shared<agent_link>(*context_, address);
    return;
  }
  link->on_announced(address, now);
}

void agent_links::tick(monotonic_time now) {
  for (auto entry = links_.begin(); entry != links_.end();) {
    // Keeps the link alive during its tick, which reports outcomes.
    const auto link = entry->second;
    entry = link->tick(now) ? std::next(entry) : links_.erase(entry);
  }
}

bool agent_links::dispatch(const task_dispatch& request) {
  auto* link = find(request.agent);
  return link != nullptr && link->dispatch(request);
}

void agent_links::cancel(const std::string& agent, const uuid& submission) {
  if (auto* link = find(agent)) {
    link->cancel(submission);
  }
}

void agent_links::request_credits(const std::string& agent, const demand& waiting) {
  if (auto* link = find(agent)) {
    link->request_credits(waiting);
  }
}

void agent_links::return_credits(const std::string& agent, std::uint32_t credits) {
  if (auto* link = find(agent)) {
    link->return_credits(credits);
  }
}

void agent_links::push_revisions(
    const std::vector<std::pair<std::string, std::uint64_t>>& revisions) {
  for (const auto& [name, link] : links_) {
    link->push_revisions(revisions);
  }
}

void agent_links::drain(const std::string& agent) {
  if (auto* link = find(agent)) {
    link->drain();
  }
}

bool agent_links::is_open(const std::string& agent) const {
  const auto* link = find(agent);
  return link != nullptr && link->is_open();
}

std::size_t agent_links::open_count() const {
  return static_cast<std::size_t>(std::count_if(
      links_.begin(), links_.end(), [](const auto& entry) { return entry.second->is_open(); }));
}

void agent_links::for_each(const std::function<void(const agent_link&)>& visit) const {
  for (const auto& [name, link] : links_) {
    visit(*link);
  }
}

agent_link* agent_links::find(const std::string& agent) const {
  const auto found = links_.find(agent);
  return found == links_.end() ? nullptr : found->second.get();
}

} // namespace parsleylead
