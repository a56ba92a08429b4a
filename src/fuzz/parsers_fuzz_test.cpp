#include <doctest/doctest.h>

#include <span>

#include "../agent/upstream_announcement.hpp"
#include "../test_support.hpp"
#include "mutate.hpp"
#include "parsleylead/base/endpoint.hpp"
#include "parsleylead/catalogue/catalogue_codec.hpp"
#include "parsleylead/catalogue/catalogue_replica.hpp"
#include "parsleylead/claim/claim_table.hpp"
#include "parsleylead/entry/caller_request.hpp"
#include "parsleylead/settings/parse_agent_settings.hpp"
#include "parsleylead/settings/parse_entry_settings.hpp"

namespace parsleylead {
namespace {

constexpr int input_count = 4000;

template <typename Function>
void for_each_mutation(std::uint64_t seed, const std::string& text, Function&& function) {
  std::mt19937_64 random(seed);
  for (int i = 0; i < input_count; ++i) {
    const auto input = mutate(text, random);
    INFO("input: ", input);
    function(input);
  }
}

const std::string job_json =
    R"({"kind":"draft","key":"00000000-0000-7000-8000-000000000001","budget_ms":500,)"
    R"("tasks":["a",{"base64":"AAEC"}],"wait":true})";
const std::string kind_entry_json =
    R"({"subject":"kind","name":"draft","value":{"owner":"desk","class":"urgent",)"
    R"("idempotent":false,"needs":{"cores":1,"memory_mb":512},"limits":{"in_flight":8,)"
    R"("queue":100,"rate_per_s":50,"job_tasks":370,"budget_ms":2000}}})";

catalogue_change make_change(unsigned id, std::uint64_t base) {
  catalogue_change change;
  change.id = test_id(id);
  change.operator_name = "operator";
  change.base_revision = base;
  change.subject = {subject_type::owner, "desk"};
  change.value = owner_quota{8, 100};
  return change;
}

TEST_CASE("request bodies are parsed or rejected with a reason") {
  // Guards against a malformed body that crashes the process or is accepted as an incomplete job.
  for_each_mutation(1, job_json, [](const std::string& input) {
    const auto parsed = parse_caller_request(input);
    if (const auto* error = std::get_if<failure>(&parsed)) {
      CHECK(error->cause == reason::malformed_request);
      CHECK_FALSE(error->detail.empty());
    } else {
      CHECK_FALSE(std::get<caller_request>(parsed).tasks.empty());
      CHECK_FALSE(std::get<caller_request>(parsed).kind.empty());
    }
  });
  const std::string deep = R"({"kind":"a","tasks":)" + std::string(200'000, '[');
  CHECK(std::holds_alternative<failure>(parse_caller_request(deep)));
  CHECK(std::holds_alternative<failure>(
      parse_caller_request(deep + std::string(200'000, ']') + "}")));
}

TEST_CASE("settings files are parsed or rejected with the invalid fields") {
  // Guards against a process that starts with settings that it parsed only in part.
  const std::string text =
      R"({"name":"e","region":"r","availability_zone":"z","rpc_address":"127.0.0.1:1",)"
      R"("operations_address":"127.0.0.1:2","callers":{"address":"127.0.0.1:3","threads":4},)"
      R"("log":{"address":"127.0.0.1:4"},"upstream":{"announce_address":"127.0.0.1:5"}})";
  for_each_mutation(2, text, [](const std::string& input) {
    const auto entry = parse_entry_settings(input);
    CHECK(entry.ok() == entry.errors.empty());
    const auto agent = parse_agent_settings(input);
    CHECK(agent.ok() == agent.errors.empty());
    for (const auto& error : entry.errors) {
      CHECK_FALSE(to_string(error).empty());
    }
  });
}

TEST_CASE("catalogue documents are decoded or rejected with the invalid fields") {
  // Guards against a change that is only partly decoded and still accepted.
  catalogue_replica replica;
  const std::vector<log_record> records{{1, wall_time{}, encode_change(make_change(1, 0))}};
  replica.apply(records);
  const auto check_decoded = [](const auto& decoded) {
    CHECK(decoded.value.has_value() == decoded.errors.empty());
  };
  for_each_mutation(3, kind_entry_json, [&](const std::string& input) {
    check_decoded(decode_entry(input));
    check_decoded(decode_entries("[" + input + "]"));
  });
  for_each_mutation(4, records[0].payload,
                    [&](const std::string& input) { check_decoded(decode_change(input)); });
  for_each_mutation(5, encode_snapshot(replica.snapshot()), [&](const std::string& input) {
    check_decoded(decode_snapshot(input));
    static_cast<void>(is_snapshot(input));
  });
}

TEST_CASE("announcements and addresses are parsed or rejected") {
  // Guards against an agent that crashes or serves no kind after a corrupt announcement.
  const std::string text = R"({"name":"u","address":"127.0.0.1:9","kinds":["a","b"],"slots":4,)"
                           R"("connections":8,"cores":16,"memory_mb":1024})";
  for_each_mutation(6, text, [](const std::string& input) {
    const auto parsed = parse_announcement(input, {});
    CHECK((parsed.ok() || !parsed.status().message().empty()));
  });
  for_each_mutation(7, "127.0.0.1:65535", [](const std::string& input) {
    const auto parsed = parse_endpoint(input);
    CHECK((!parsed.ok() || parse_endpoint(to_string(*parsed)).ok()));
    static_cast<void>(uuid::parse(input));
  });
}

TEST_CASE("corrupt records neither stop replicas nor make them diverge") {
  // Guards against one record in the log that makes entries diverge, or that keeps them from
  // applying the records after it. The tables differ in answer cache size and repeated records,
  // the catalogue replicas in batch size.
  const auto make_claim_record = [](unsigned key, unsigned submission) {
    return encode_claim_record(
        {test_id(9),
         {claim_item{test_id(key), test_id(submission), "e", "127.0.0.1:1", 7},
          outcome_item{test_id(key), test_id(submission), "complete", "answer"},
          release_item{test_id(key + 1), test_id(submission)}}});
  };
  std::mt19937_64 random(8);
  std::vector<log_record> claims;
  std::vector<log_record> changes;
  catalogue_replica live_replica;
  for (unsigned i = 0; i < input_count; ++i) {
    const bool intact = i % 10 == 0;
    const auto valid = make_claim_record(i / 3, i);
    const auto change =
        encode_change(make_change(i, live_replica.revision({subject_type::owner, "desk"})));
    const auto offset = std::uint64_t{i} + 1;
    const wall_time appended{std::chrono::seconds(100)};
    claims.push_back({offset, appended, intact ? valid : mutate(valid, random)});
    changes.push_back({offset, appended, intact ? change : mutate(change, random)});
    live_replica.apply(std::span(changes).last(1));
    if (intact) {
      REQUIRE(live_replica.revision({subject_type::owner, "desk"}) == offset);
    }
  }
  claim_table first_table({}, 1, 1'000'000);
  claim_table second_table({}, 1, 500);
  for (const auto& record : claims) {
    REQUIRE(first_table.apply(record).has_value());
  }
  for (const auto& record : claims) {
    second_table.apply(record);
    second_table.apply(record);
  }
  CHECK(first_table.digest() == second_table.digest());
  CHECK(first_table.next_offset() == second_table.next_offset());
  const auto last = make_claim_record(50'000, 50'001);
  first_table.apply({first_table.next_offset(), wall_time{std::chrono::seconds(100)}, last});
  CHECK(first_table.find(test_id(50'000)).has_value());
  catalogue_replica batched_replica;
  for (std::size_t i = 0; i < changes.size(); i += 7) {
    batched_replica.apply(std::span(changes).first(std::min(i + 7, changes.size())));
  }
  CHECK(batched_replica.applied_offset() == live_replica.applied_offset());
  CHECK(batched_replica.state_digest() == live_replica.state_digest());
}

} // namespace
} // namespace parsleylead
