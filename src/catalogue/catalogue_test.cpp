#include <doctest/doctest.h>

#include <algorithm>
#include <random>

#include "parsleylead/catalogue/catalogue_codec.hpp"
#include "parsleylead/catalogue/load_catalogue.hpp"

namespace parsleylead {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr wall_time start{milliseconds(1'000'000)};

catalogue_value make_kind(std::uint32_t in_flight = 8) {
  return kind_definition{
      "desk", kind_class::urgent, false, {1, 512}, {in_flight, 100, 50, 370, milliseconds(2000)}};
}

catalogue_change make_change(std::uint64_t base, std::optional<catalogue_value> value = make_kind(),
                             const std::string& name = "letter-draft") {
  return {uuid::make_v7(start), "op", base, {subject_type::kind, name}, std::move(value)};
}

// A log in memory with direct access to its records.
class test_log {
public:
  std::uint64_t append(std::string payload, seconds age = seconds(0)) {
    records.push_back({records.size() + 1, start + age, std::move(payload)});
    return records.size();
  }
  std::uint64_t append(const catalogue_change& change, seconds age = seconds(0)) {
    return append(encode_change(change), age);
  }
  std::span<const log_record> from(std::uint64_t offset) const {
    return std::span(records).subspan(offset - 1);
  }

  std::vector<log_record> records;
};

bool has_error(const std::vector<catalogue_error>& errors, const std::string& path) {
  return std::any_of(errors.begin(), errors.end(),
                     [&](const catalogue_error& error) { return error.path == path; });
}

TEST_CASE("catalogue: encoded documents decode to equal values") {
  // A member that is missing in the encoding would be lost between operator and process.
  const auto change = make_change(7);
  CHECK(decode_change(encode_change(change)).value == change);
  const auto removal = make_change(7, std::nullopt);
  CHECK(decode_change(encode_change(removal)).value == removal);
  const catalogue_entry owner{{subject_type::owner, "desk"}, owner_quota{5, 6}};
  CHECK(decode_entry(encode_entry(owner)).value == owner);
  const catalogue_entry drain{{subject_type::drain, "entry-1"}, drain_request{}};
  CHECK(decode_entry(encode_entry(drain)).value == drain);
}

TEST_CASE("catalogue: an invalid entry is refused with all its errors") {
  // Otherwise operators would have to find their errors one by one.
  const auto result = decode_entry(R"({"subject":"kind","name":"-bad","colour":1,"value":{
    "owner":"a b","class":"fast","idempotent":"yes","needs":{"cores":-1},
    "limits":{"in_flight":0,"queue":-5,"rate_per_s":1.5,"budget_ms":1,"burst":1}}})");
  CHECK_FALSE(result.value.has_value());
  for (const char* path :
       {"name", "colour", "value.owner", "value.class", "value.idempotent", "value.needs.cores",
        "value.limits.in_flight", "value.limits.queue", "value.limits.rate_per_s",
        "value.limits.job_tasks", "value.limits.burst"}) {
    CAPTURE(path);
    CHECK(has_error(result.errors, path));
  }
  CHECK(result.errors.size() == 11);
  CHECK(to_string(result.errors.front()).find("allowed") != std::string::npos);
}

TEST_CASE("catalogue: the errors of a file contain the path of the invalid member") {
  // An invalid or repeated entry must not be left out silently.
  const std::string entry = R"({"subject":"owner","name":"desk","value":{"in_flight":1,)";
  const std::string good = entry + R"("rate_per_s":1}})";
  CHECK(decode_entries("// one\n" + good).value->size() == 1);
  const auto invalid = decode_entries("[" + good + "," + entry + R"("rate_per_s":0}},3])");
  CHECK_FALSE(invalid.value.has_value());
  CHECK(has_error(invalid.errors, "[1].name"));
  CHECK(has_error(invalid.errors, "[1].value.rate_per_s"));
  CHECK(has_error(invalid.errors, "[2]"));
}

TEST_CASE("catalogue: decoders return errors for malformed payloads") {
  // A record of another program in the log must not crash the replicas.
  const std::string deep(200'000, '[');
  const std::string closed = deep + std::string(200'000, ']');
  for (const std::string& text :
       {std::string(), std::string("null"), std::string("\xFF\xFE"), std::string("{\"type\":[]}"),
        deep, closed, "{\"type\":" + closed + "}", std::string("{\"type\":\"snapshot\"}"),
        std::string(R"({"type":"snapshot","covered":1e99,"entries":{},"tombstones":[3]})")}) {
    CHECK_FALSE(decode_change(text).errors.empty());
    CHECK_FALSE(decode_snapshot(text).errors.empty());
    CHECK_FALSE(decode_entry(text).errors.empty());
  }
  CHECK_FALSE(decode_entry(R"({"subject":"drain","name":"a","name":"b","value":{}})").value);
  std::mt19937_64 random(1);
  const std::string valid = encode_change(make_change(1));
  for (int i = 0; i < 2000; ++i) {
    std::string text = valid;
    text[random() % text.size()] = static_cast<char>(random());
    const auto result = decode_change(text);
    REQUIRE(result.value.has_value() == result.errors.empty());
  }
}

TEST_CASE("catalogue_replica: the first of two concurrent changes wins; a repeat has no effect") {
  // Otherwise an update would be lost, or the retry of an append reported as a conflict.
  test_log log;
  const auto first = make_change(0, make_kind(1));
  const auto second = make_change(0, make_kind(2));
  log.append(first);
  log.append(second);
  log.append(first);
  const auto update = make_change(1, make_kind(3));
  log.append(update);
  log.append(first);
  catalogue_replica replica;
  const auto results = replica.apply(log.records);
  REQUIRE(results.size() == 5);
  CHECK(results[0].result == change_result::accepted);
  CHECK(results[1].result == change_result::conflict);
  CHECK(results[2].result == change_result::duplicate);
  CHECK(results[3].result == change_result::accepted);
  CHECK(results[4].result == change_result::conflict);
  CHECK(replica.find_kind("letter-draft")->limits.in_flight == 3);
  CHECK(replica.revision({subject_type::kind, "letter-draft"}) == 4);
  CHECK(replica.find_change(first.id)->result == change_result::accepted);
  CHECK(replica.history().size() == 5);
}

TEST_CASE("catalogue_replica: a removed subject keeps its revision") {
  // A delayed change from before the removal must not restore the subject.
  test_log log;
  const auto put = make_change(0);
  log.append(put);
  log.append(make_change(1, std::nullopt));
  log.append(put);
  log.append(make_change(2, std::nullopt));
  catalogue_replica replica;
  const auto results = replica.apply(log.records);
  CHECK(results[1].result == change_result::accepted);
  CHECK(results[2].result == change_result::conflict);
  CHECK(results[3].result == change_result::conflict);
  CHECK(replica.find_kind("letter-draft") == nullptr);
  CHECK(replica.revision({subject_type::kind, "letter-draft"}) == 2);
  log.append(make_change(2));
  CHECK(replica.apply(log.records).front().result == change_result::accepted);
  CHECK(replica.find_kind("letter-draft") != nullptr);
}

TEST_CASE("catalogue_replica: corrupt records are counted and skipped") {
  // A replica must not stop, or diverge from the others, at a record that it cannot decode.
  test_log log;
  log.append(make_change(0));
  log.append("\x01garbage");
  auto invalid_snapshot = encode_snapshot({100, {}, {}});
  log.append(invalid_snapshot);
  log.append(make_change(1, make_kind(9)));
  catalogue_replica replica;
  const auto results = replica.apply(log.records);
  CHECK(results[1].result == change_result::corrupt);
  CHECK(results[2].result == change_result::corrupt);
  CHECK(replica.corrupt_records() == 2);
  CHECK(replica.find_kind("letter-draft")->limits.in_flight == 9);
}

TEST_CASE("catalogue: a snapshot with a wrong digest is refused") {
  // A corrupt snapshot must not become the state of new replicas.
  test_log log;
  log.append(make_change(0));
  catalogue_replica replica;
  replica.apply(log.records);
  std::string text = encode_snapshot(replica.snapshot());
  CHECK(decode_snapshot(text).value == replica.snapshot());
  text.replace(text.find("\"queue\":100"), 11, "\"queue\":101");
  const auto corrupt = decode_snapshot(text);
  CHECK_FALSE(corrupt.value.has_value());
  CHECK(has_error(corrupt.errors, "digest"));
}

TEST_CASE("catalogue_replica: never returns to an older state and stops at a gap") {
  // A change must not be reverted by an older snapshot, nor be missed silently.
  test_log log;
  for (std::uint64_t i = 0; i < 6; ++i) {
    log.append(make_change(i, make_kind(static_cast<std::uint32_t>(i + 1))));
  }
  catalogue_replica replica;
  replica.apply(std::span(log.records).first(2));
  const auto old = replica.snapshot();
  replica.apply(std::span(log.records).first(3));
  CHECK_FALSE(replica.install_snapshot(old));
  CHECK(replica.apply(log.from(5)).empty());
  CHECK(replica.has_gap());
  CHECK(replica.applied_offset() == 3);
  catalogue_replica peer;
  peer.apply(std::span(log.records).first(4));
  CHECK(replica.install_snapshot(peer.snapshot()));
  CHECK(replica.apply(log.from(5)).size() == 2);
  CHECK_FALSE(replica.has_gap());
  CHECK(replica.find_kind("letter-draft")->limits.in_flight == 6);
}

TEST_CASE("load_catalogue: a new replica loads the state or reports that it is unknown") {
  // After the log has dropped changes, an incomplete catalogue must not be taken for the real one.
  test_log log;
  log.append(make_change(0));
  log.append(make_change(1, make_kind(2)));
  catalogue_replica writer;
  writer.apply(log.records);
  const auto peer = writer.snapshot();
  log.append(encode_snapshot(peer));
  log.append(make_change(2, make_kind(4)));
  writer.apply(log.records);

  CHECK(load_catalogue({}, 1, std::nullopt)->applied_offset() == 0);
  CHECK(load_catalogue(log.records, 1, std::nullopt)->state_digest() == writer.state_digest());
  CHECK(load_catalogue(log.from(3), 3, std::nullopt)->state_digest() == writer.state_digest());
  CHECK_FALSE(load_catalogue(log.from(4), 4, std::nullopt).has_value());
  CHECK_FALSE(load_catalogue({}, 5, std::nullopt).has_value());
  CHECK_FALSE(load_catalogue(log.from(4), 4, peer).has_value());
  CHECK(load_catalogue(log.from(4), 4, writer.snapshot())->state_digest() == writer.state_digest());
  CHECK(load_catalogue(log.from(3), 3, catalogue_snapshot{})->state_digest() ==
        writer.state_digest());
  CHECK(load_catalogue({}, 5, writer.snapshot())->applied_offset() == 4);
}

TEST_CASE("catalogue_replica: a snapshot is due before the log drops the state") {
  // Otherwise changes, or a catalogue without changes, would exceed the log's retention.
  test_log log;
  catalogue_replica replica;
  CHECK_FALSE(replica.snapshot_due(start + seconds(1000), seconds(100)));
  log.append(make_change(0));
  replica.apply(log.records);
  CHECK_FALSE(replica.snapshot_due(start + seconds(99), seconds(100)));
  CHECK(replica.snapshot_due(start + seconds(100), seconds(100)));
  log.append(make_change(1), seconds(50));
  log.append(encode_snapshot(replica.snapshot()), seconds(100));
  replica.apply(log.records);
  CHECK_FALSE(replica.snapshot_due(start + seconds(149), seconds(100)));
  CHECK(replica.snapshot_due(start + seconds(150), seconds(100)));
  log.append(encode_snapshot(replica.snapshot()), seconds(160));
  replica.apply(log.records);
  CHECK_FALSE(replica.snapshot_due(start + seconds(259), seconds(100)));
  CHECK(replica.snapshot_due(start + seconds(260), seconds(100)));
  const auto from_peer = load_catalogue({}, 5, replica.snapshot());
  CHECK(from_peer->snapshot_due(start, seconds(100)));
  const auto from_both = load_catalogue(log.from(3), 3, replica.snapshot());
  CHECK_FALSE(from_both->snapshot_due(start + seconds(259), seconds(100)));
}

// A log with changes on current and stale revisions, removals, repeated and corrupt records and
// snapshots.
test_log make_random_log(std::mt19937_64& random, std::size_t size) {
  test_log log;
  catalogue_replica writer;
  catalogue_change last = make_change(0);
  const auto below = [&](std::uint64_t bound) { return random() % bound; };
  seconds age(0);
  for (std::size_t i = 0; i < size; ++i) {
    age += below(20) == 0 ? seconds(std::chrono::hours(100)) : seconds(1);
    const std::string name = "kind-" + std::to_string(below(5));
    const std::uint64_t choice = below(10);
    if (choice == 0) {
      log.append("{damaged", age);
    } else if (choice == 1) {
      log.append(encode_snapshot(writer.snapshot()), age);
    } else if (choice == 2) {
      log.append(last, age);
    } else {
      const std::uint64_t current = writer.revision({subject_type::kind, name});
      const std::uint64_t base = choice == 3 ? below(i + 1) : current;
      const auto limit = static_cast<std::uint32_t>(1 + below(100));
      last = below(4) == 0 ? make_change(base, std::nullopt, name)
                           : make_change(base, make_kind(limit), name);
      log.append(last, age);
    }
    writer.apply(log.from(log.records.size()));
  }
  return log;
}

void apply_in_batches(catalogue_replica& replica, const test_log& log, std::mt19937_64& random) {
  while (replica.applied_offset() < log.records.size()) {
    const auto rest = log.from(replica.applied_offset() + 1);
    replica.apply(rest.first(std::min<std::size_t>(rest.size(), 1 + random() % 7)));
  }
}

TEST_CASE("catalogue_replica: batches and starting points do not affect the final digest") {
  // Replicas must not diverge, or a change would be in force at some entries only.
  std::size_t loaded = 0;
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    CAPTURE(seed);
    std::mt19937_64 random(seed);
    const test_log log = make_random_log(random, 80);
    catalogue_replica whole;
    whole.apply(log.records);
    catalogue_replica batched;
    apply_in_batches(batched, log, random);
    REQUIRE(batched.state_digest() == whole.state_digest());
    REQUIRE(batched.corrupt_records() == whole.corrupt_records());
    const std::uint64_t earliest = 2 + random() % 60;
    auto from_snapshot = load_catalogue(log.from(earliest), earliest, std::nullopt);
    if (from_snapshot) {
      ++loaded;
      REQUIRE(from_snapshot->state_digest() == whole.state_digest());
    }
    catalogue_replica peer;
    peer.apply(std::span(log.records).first(40));
    auto from_peer = catalogue_replica(peer.snapshot());
    apply_in_batches(from_peer, log, random);
    REQUIRE(from_peer.state_digest() == whole.state_digest());
  }
  CHECK(loaded > 20);
}

TEST_CASE("catalogue_replica: old tombstones are dropped") {
  // Otherwise the memory use would grow with every drained process.
  test_log log;
  log.append(make_change(0));
  log.append(make_change(1, std::nullopt));
  log.append(make_change(0, make_kind(), "other"),
             std::chrono::duration_cast<seconds>(tombstone_lifetime));
  catalogue_replica replica;
  replica.apply(log.records);
  CHECK(replica.snapshot().tombstones.empty());
  CHECK(replica.revision({subject_type::kind, "letter-draft"}) == 0);
}

} // namespace
} // namespace parsleylead
