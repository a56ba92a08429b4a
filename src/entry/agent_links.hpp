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

/// The links of an entry to all its agents. Control thread only.
class agent_links : public agent_gateway {
public:
  /// `context` must outlive the links and be set before the first agent is added.
  void set_context(link_context* context) { context_ = context; }

  /// Adds an agent that announced itself or was listed by another entry. Opens a session if there
  /// is none.
  void add(const agent_address& address, monotonic_time now);

  /// Sends the due probes and reconnects of all links. Must not be called from a KJ continuation.
  void tick(monotonic_time now);

  /// Closes all connections.
  void clear() { links_.clear(); }

  bool dispatch(const task_dispatch& request) override;
  void cancel(const std::string& agent, const uuid& submission) override;
  void request_credits(const std::string& agent, const demand& waiting) override;
  void return_credits(const std::string& agent, std::uint32_t credits) override;

  void push_revisions(const std::vector<std::pair<std::string, std::uint64_t>>& revisions);
  /// Asks an agent to drain.
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
