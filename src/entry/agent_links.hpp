#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "parsleylead/entry/agent_link.hpp"
#include "parsleylead/entry/gateways.hpp"

namespace parsleylead {

/// All sessions of an entry with its agents. Control thread only.
class agent_links : public agent_gateway {
public:
  /// `context` must outlive the links. It is set before the first agent is added.
  void set_context(link_context* context) { context_ = context; }

  /// An agent announced itself or was named by another entry; opens a session if there is none.
  void add(const agent_address& address, monotonic_time now);

  /// Performs what is due at every link. Must not be called from a KJ continuation.
  void tick(monotonic_time now);

  /// Drops all connections.
  void clear() { links_.clear(); }

  bool dispatch(const task_dispatch& request) override;
  void cancel(const std::string& agent, const uuid& submission) override;
  void request_credits(const std::string& agent, const demand& waiting) override;
  void return_credits(const std::string& agent, std::uint32_t credits) override;

  void push_revisions(const std::vector<std::pair<std::string, std::uint64_t>>& revisions);
  /// Asks an agent to leave.
  void drain(const std::string& agent);

  bool is_open(const std::string& agent) const;
  std::size_t open_count() const;
  void for_each(const std::function<void(const agent_link&)>& visit) const;

private:
  agent_link* find(const std::string& agent) const;

  link_context* context_ = nullptr;
  std::map<std::string, std::shared_ptr<agent_link>> links_;
};

} // namespace parsleylead
