#include "parsleylead/settings/parse_agent_settings.hpp"

#include "common_fields.hpp"

namespace parsleylead {
namespace {

// An answer must fit into an internal message, which is limited to 8 MiB.
constexpr std::int64_t max_answer_bytes = 7 * mebibyte;

void read_upstream(object_reader reader, upstream_settings& target) {
  reader.address("announce_address", target.announce_address);
  reader.integer("slots", target.slots, {1, 4096});
  reader.integer("connections", target.connections, {1, 65'536});
  reader.integer("cores", target.cores, {0, 4096});
  reader.integer("memory_mb", target.memory_mb, {0, 64 * mebibyte});
  reader.duration("lease_ms", target.lease, {100, 10 * minute_ms});
  reader.duration("connect_timeout_ms", target.connect_timeout, {1, minute_ms});
  reader.integer("max_answer_bytes", target.max_answer_bytes, {1024, max_answer_bytes});
  // Each running task uses one connection.
  if (target.slots > target.connections) {
    reader.add_error("slots", std::to_string(target.slots),
                     "at most connections (" + std::to_string(target.connections) + ")");
  }
  reader.reject_unknown_fields();
}

void read_announcement_settings(object_reader& reader, agent_settings& target) {
  reader.addresses("seeds", target.seeds, presence::required);
  reader.optional_address("log_address", target.log_address);
  reader.duration("announce_interval_ms", target.announce_interval, {1, minute_ms});
  reader.duration("max_announce_interval_ms", target.max_announce_interval, {1, hour_ms});
  if (target.announce_interval > target.max_announce_interval) {
    reader.add_error("announce_interval_ms", std::to_string(target.announce_interval.count()),
                     "at most max_announce_interval_ms (" +
                         std::to_string(target.max_announce_interval.count()) + ")");
  }
}

void read_all(object_reader& reader, agent_settings& target) {
  reader.identifier("name", target.name);
  reader.identifier("region", target.region);
  reader.identifier("availability_zone", target.availability_zone);
  reader.address("rpc_address", target.rpc_address);
  reader.optional_address("advertised_rpc_address", target.advertised_rpc_address);
  reader.address("operations_address", target.operations_address);
  read_announcement_settings(reader, target);
  reader.duration("state_retention_s", target.state_retention, {1, day_s});
  reader.duration("drain_limit_ms", target.drain_limit, {1, hour_ms});
  read_upstream(reader.object("upstream"), target.upstream);
  read_logging(reader.object("logging"), target.logging);
  read_traces(reader.object("traces"), target.traces);
  require_unique_addresses(reader,
                           {{"rpc_address", target.rpc_address},
                            {"operations_address", target.operations_address},
                            {"upstream.announce_address", target.upstream.announce_address}});
  reader.reject_unknown_fields();
}

} // namespace

settings_result<agent_settings> parse_agent_settings(std::string_view text) {
  return parse_settings<agent_settings>(text, read_all);
}

settings_result<agent_settings> load_agent_settings(const std::string& path) {
  return load_settings(path, parse_agent_settings);
}

} // namespace parsleylead
