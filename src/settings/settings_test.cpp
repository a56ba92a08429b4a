#include <algorithm>
#include <doctest/doctest.h>

#include "parsleylead/settings/parse_agent_settings.hpp"
#include "parsleylead/settings/parse_entry_settings.hpp"

namespace parsleylead {
namespace {

const std::string sample_folder = PARSLEYLEAD_SOURCE_DIR "/settings/";

std::string entry_with(const std::string& extra) {
  return R"({"name":"e1","region":"r","availability_zone":"z","rpc_address":"127.0.0.1:1",
    "operations_address":"127.0.0.1:2","callers":{"address":"127.0.0.1:3"},
    "log":{"address":"127.0.0.1:4"})" +
         extra + "}";
}

template <class Settings>
std::string allowed_at(const settings_result<Settings>& result, const std::string& path) {
  const auto found = std::find_if(result.errors.begin(), result.errors.end(),
                                  [&](const setting_error& error) { return error.path == path; });
  return found == result.errors.end() ? "no error" : found->allowed;
}

TEST_CASE("settings: the samples are valid") {
  // Operators copy the samples, so the processes must accept them.
  for (const std::string user : {"iaia", "van-der-heijden"}) {
    const auto entry = load_entry_settings(sample_folder + user + "-entry.json");
    for (const auto& error : entry.errors) {
      FAIL_CHECK(to_string(error));
    }
    const auto agent = load_agent_settings(sample_folder + user + "-agent.json");
    for (const auto& error : agent.errors) {
      FAIL_CHECK(to_string(error));
    }
    REQUIRE(entry.ok());
    REQUIRE(agent.ok());
    CHECK(entry.settings->entry_slots == 4);
    CHECK(agent.settings->upstream.slots == 8);
    CHECK(agent.settings->upstream.connections == 64);
  }
}

TEST_CASE("settings: all errors are reported at once") {
  // Otherwise an operator would have to start the process once for each error.
  const auto result = parse_entry_settings(
      R"({"name":"a b","entry_slot":3,"entry_slots":2,"sessions":{"probe_after_ms":-3,
          "probe_aftr_ms":1},"claims":{"key_lifetime_s":3600},"log":{"retention_s":7199},
          "policy":{"name":"best"}} // comment)");
  CHECK_FALSE(result.ok());
  CHECK(allowed_at(result, "name").starts_with("1 to 64 letters"));
  CHECK(allowed_at(result, "region") != "no error");
  CHECK(allowed_at(result, "entry_slot") == "at most entry_slots (2)");
  CHECK(allowed_at(result, "sessions.probe_after_ms") == "an integer from 1 to 60000");
  CHECK(allowed_at(result, "sessions.probe_aftr_ms") ==
        "the nearest known field is \"probe_after_ms\"");
  CHECK(allowed_at(result, "log.retention_s") == "at least twice claims.key_lifetime_s (7200)");
  CHECK(allowed_at(result, "log.address") != "no error");
  CHECK(allowed_at(result, "policy.name").find("\"credits\"") != std::string::npos);
}

TEST_CASE("settings: values are stored in their fields") {
  const auto result = parse_entry_settings(entry_with(R"(,"sessions":{"probe_after_ms":77})"));
  REQUIRE(result.ok());
  CHECK(result.settings->sessions.probe_after == std::chrono::milliseconds(77));
  CHECK(result.settings->callers.address == endpoint{"127.0.0.1", 3});
}

TEST_CASE("settings: an advertised address must be one that peers can connect to") {
  // Peers cannot connect to port 0 or to a host name.
  const auto absent = parse_entry_settings(entry_with(""));
  REQUIRE(absent.ok());
  CHECK_FALSE(absent.settings->advertised_rpc_address.has_value());
  const auto set = parse_entry_settings(entry_with(R"(,"advertised_rpc_address":"127.0.0.1:9")"));
  REQUIRE(set.ok());
  CHECK(set.settings->advertised_rpc_address == endpoint{"127.0.0.1", 9});
  for (const std::string invalid : {"127.0.0.1:0", "host:9"}) {
    const auto result =
        parse_entry_settings(entry_with(R"(,"advertised_rpc_address":")" + invalid + "\""));
    CHECK(allowed_at(result, "advertised_rpc_address").starts_with("an address"));
  }
}

TEST_CASE("settings: rules across fields") {
  const auto long_probe_wait = parse_entry_settings(
      entry_with(R"(,"sessions":{"probe_after_ms":3500,"probe_timeout_ms":500})"));
  CHECK(allowed_at(long_probe_wait, "sessions.probe_after_ms")
            .starts_with("less than probe_timeout_ms"));
  const auto repeated_addresses = parse_agent_settings(
      R"({"rpc_address":"127.0.0.1:5","operations_address":"127.0.0.1:5",
          "upstream":{"announce_address":"127.0.0.1:0"},"seeds":["127.0.0.1:1","127.0.0.1:1"]})");
  CHECK(allowed_at(repeated_addresses, "operations_address") ==
        "an address other than that of rpc_address");
  CHECK(allowed_at(repeated_addresses, "seeds[1]") == "each address once");
}

TEST_CASE("settings: malformed text and files are errors, not exceptions") {
  CHECK(allowed_at(parse_entry_settings("{"), "") == "JSON with comments");
  CHECK(allowed_at(parse_entry_settings("[]"), "") == "an object");
  CHECK(allowed_at(parse_entry_settings("\xff"), "") == "JSON with comments");
  // Otherwise a repeated field would silently replace the first one.
  CHECK(allowed_at(parse_entry_settings(entry_with(R"(,"name":"e2")")), "name") == "once");
  // 2^63 and above must not wrap to a negative number.
  CHECK(allowed_at(parse_entry_settings(entry_with(R"(,"entry_slots":18446744073709551615)")),
                   "entry_slots") == "an integer from 1 to 1000");
  const auto missing = load_agent_settings("/nonexistent/agent.json");
  REQUIRE(missing.errors.size() == 1);
  CHECK(to_string(missing.errors[0]).find("/nonexistent/agent.json") != std::string::npos);
}

} // namespace
} // namespace parsleylead
