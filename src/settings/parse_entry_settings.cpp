#include "parsleylead/settings/parse_entry_settings.hpp"

#include "common_fields.hpp"

namespace parsleylead {
namespace {

// A body that becomes one dispatch must fit into an internal message, which is limited to 8 MiB.
constexpr std::int64_t max_body_bytes = 8 * mebibyte;
// Outcomes and claims share the batches appended to the log; larger answers would delay claims.
constexpr std::int64_t max_logged_answer_bytes = 64LL * 1024;
constexpr std::int64_t max_entry_slots = 1000;

void read_callers(object_reader reader, caller_settings& target) {
  reader.address("address", target.address);
  reader.integer("threads", target.threads, {1, 4096});
  reader.integer("max_body_bytes", target.max_body_bytes, {1024, max_body_bytes});
  reader.duration("keep_alive_ms", target.keep_alive, {0, 10 * minute_ms});
  reader.duration("answer_retention_s", target.answer_retention, {1, day_s});
  reader.reject_unknown_fields();
}

void read_sessions(object_reader reader, session_settings& target) {
  reader.duration("probe_after_ms", target.probe_after, {1, minute_ms});
  reader.duration("probe_timeout_ms", target.probe_timeout, {1, minute_ms});
  reader.duration("idle_probe_interval_ms", target.idle_probe_interval, {1, hour_ms});
  reader.duration("resume_timeout_ms", target.resume_timeout, {1, 10 * minute_ms});
  reader.duration("connect_timeout_ms", target.connect_timeout, {1, minute_ms});
  const auto loss_timeout = target.probe_timeout + target.resume_timeout;
  if (target.probe_after >= loss_timeout) {
    reader.add_error("probe_after_ms", std::to_string(target.probe_after.count()),
                     "less than probe_timeout_ms + resume_timeout_ms (" +
                         std::to_string(loss_timeout.count()) + ")");
  }
  reader.reject_unknown_fields();
}

void read_log(object_reader reader, log_service_settings& target,
              std::chrono::seconds key_lifetime) {
  reader.address("address", target.address);
  reader.duration("connect_timeout_ms", target.connect_timeout, {1, minute_ms});
  reader.duration("request_timeout_ms", target.request_timeout, {1, 10 * minute_ms});
  reader.duration("retention_s", target.retention, {2, 365 * day_s});
  // A new replica must find all claims whose keys are still valid.
  if (target.retention < 2 * key_lifetime) {
    reader.add_error("retention_s", std::to_string(target.retention.count()),
                     "at least twice claims.key_lifetime_s (" +
                         std::to_string((2 * key_lifetime).count()) + ")");
  }
  reader.reject_unknown_fields();
}

void read_claims(object_reader reader, claim_settings& target) {
  reader.integer("partitions", target.partitions, {1, 256});
  reader.duration("key_lifetime_s", target.key_lifetime, {1, 30 * day_s});
  reader.duration("clock_skew_s", target.clock_skew, {0, day_s});
  reader.duration("min_append_interval_ms", target.min_append_interval, {0, minute_ms});
  reader.integer("max_logged_answer_bytes", target.max_logged_answer_bytes,
                 {0, max_logged_answer_bytes});
  reader.reject_unknown_fields();
}

void read_catalogue(object_reader reader, catalogue_settings& target) {
  reader.duration("poll_wait_ms", target.poll_wait, {1, minute_ms});
  reader.duration("snapshot_after_s", target.snapshot_after, {1, 365 * day_s});
  reader.reject_unknown_fields();
}

void read_policy(object_reader reader, policy_settings& target) {
  reader.choice("name", target.name,
                {"credits", "shared", "random", "round_robin", "two_choices", "probing"});
  reader.choice("order", target.order, {"smallest_first", "first_come"});
  reader.ratio("aging_share", target.aging_share);
  reader.reject_unknown_fields();
}

void read_identity(object_reader& reader, entry_settings& target) {
  reader.identifier("name", target.name);
  reader.identifier("region", target.region);
  reader.identifier("availability_zone", target.availability_zone);
  reader.address("rpc_address", target.rpc_address);
  reader.optional_address("advertised_rpc_address", target.advertised_rpc_address);
  reader.address("operations_address", target.operations_address);
  reader.integer("entry_slot", target.entry_slot, {1, max_entry_slots});
  reader.integer("entry_slots", target.entry_slots, {1, max_entry_slots});
  if (target.entry_slot > target.entry_slots) {
    reader.add_error("entry_slot", std::to_string(target.entry_slot),
                     "at most entry_slots (" + std::to_string(target.entry_slots) + ")");
  }
  reader.addresses("seeds", target.seeds, presence::optional);
}

void read_times(object_reader& reader, entry_settings& target) {
  reader.duration("exchange_interval_ms", target.exchange_interval, {1, minute_ms});
  reader.duration("drain_notice_ms", target.drain_notice, {0, 10 * minute_ms});
  reader.duration("drain_limit_ms", target.drain_limit, {1, hour_ms});
}

void read_all(object_reader& reader, entry_settings& target) {
  read_identity(reader, target);
  read_times(reader, target);
  read_callers(reader.object("callers"), target.callers);
  read_sessions(reader.object("sessions"), target.sessions);
  read_claims(reader.object("claims"), target.claims);
  read_log(reader.object("log"), target.log, target.claims.key_lifetime);
  read_catalogue(reader.object("catalogue"), target.catalogue);
  read_policy(reader.object("policy"), target.policy);
  read_logging(reader.object("logging"), target.logging);
  read_traces(reader.object("traces"), target.traces);
  require_unique_addresses(reader, {{"rpc_address", target.rpc_address},
                                    {"operations_address", target.operations_address},
                                    {"callers.address", target.callers.address}});
  reader.reject_unknown_fields();
}

} // namespace

settings_result<entry_settings> parse_entry_settings(std::string_view text) {
  return parse_settings<entry_settings>(text, read_all);
}

settings_result<entry_settings> load_entry_settings(const std::string& path) {
  return load_settings(path, parse_entry_settings);
}

} // namespace parsleylead
