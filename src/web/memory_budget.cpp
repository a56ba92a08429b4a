#include "parsleylead/web/memory_budget.hpp"

#include <utility>

namespace parsleylead {

const char* to_string(shed_reason reason) {
  switch (reason) {
  case shed_reason::incomplete:
    return "incomplete";
  case shed_reason::not_accepted:
    return "not_accepted";
  case shed_reason::connection_limit:
    return "connection_limit";
  case shed_reason::unread_response:
    return "unread_response";
  }
  return "unknown";
}

memory_budget::server_id memory_budget::add_server(std::size_t max_connections) {
  servers_.push_back({max_connections, 0, {}});
  return servers_.size() - 1;
}

std::optional<connection_id> memory_budget::admit(server_id at, shed_handler shed_connection,
                                                  monotonic_time now) {
  auto& admitting = servers_.at(at);
  while (admitting.connections >= admitting.max_connections) {
    const auto longest = admitting.order.next_for_connection();
    if (!longest) {
      return std::nullopt;
    }
    shed(longest->connection, shed_reason::connection_limit);
  }
  const auto id = next_connection_++;
  connections_.emplace(id, connection_record{at, std::move(shed_connection), 0, true});
  ++admitting.connections;
  admitting.order.set(id, request_phase::idle, now);
  return id;
}

void memory_budget::update(connection_id connection, request_phase phase, std::size_t bytes,
                           monotonic_time now) {
  const auto found = connections_.find(connection);
  if (found == connections_.end()) {
    return;
  }
  auto& record = found->second;
  bytes_ += bytes - record.bytes;
  record.bytes = bytes;
  if (record.open) {
    servers_.at(record.server).order.set(connection, phase, now);
    shed_excess();
  }
}

void memory_budget::shed_excess() {
  while (bytes_ > max_bytes_) {
    std::optional<shed_candidate> next;
    for (const auto& each : servers_) {
      const auto candidate = each.order.next_for_memory();
      if (candidate && (!next || sheds_before(*candidate, *next))) {
        next = candidate;
      }
    }
    if (!next) {
      return;
    }
    shed(next->connection, next->phase == request_phase::incomplete ? shed_reason::incomplete
                                                                    : shed_reason::not_accepted);
  }
}

void memory_budget::shed(connection_id connection, shed_reason reason) {
  const auto found = connections_.find(connection);
  if (found == connections_.end() || !found->second.open) {
    return;
  }
  const auto handler = std::move(found->second.shed);
  ++counts_.at(static_cast<std::size_t>(reason));
  close(connection);
  handler(reason);
}

void memory_budget::close(connection_id connection) {
  const auto found = connections_.find(connection);
  if (found == connections_.end() || !std::exchange(found->second.open, false)) {
    return;
  }
  auto& closing = servers_.at(found->second.server);
  --closing.connections;
  closing.order.remove(connection);
}

void memory_budget::remove(connection_id connection) {
  close(connection);
  const auto found = connections_.find(connection);
  if (found != connections_.end()) {
    bytes_ -= found->second.bytes;
    connections_.erase(found);
  }
}

} // namespace parsleylead
