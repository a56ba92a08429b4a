#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <map>
#include <memory>
#include <random>
#include <set>

#include "parsleylead/claim/claimant.hpp"
#include "parsleylead/platform_log/find_offset.hpp"
#include "parsleylead/platform_log/memory_log_service.hpp"

namespace parsleylead {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* stream = "claims-0";
constexpr wall_time wall_start{seconds(1'000'000)};
constexpr monotonic_time begin{seconds(1000)};
constexpr std::uint64_t test_digest = 7;

uuid new_id() {
  return uuid::make_v7(wall_start);
}

claimant_options make_options(const std::string& name) {
  claimant_options options;
  options.rules = {seconds(60), seconds(5)};
  options.entry_name = name;
  options.entry_address = "127.0.0.1:1";
  return options;
}

// A log and clocks that all claimants of a test share.
struct test_site {
  wall_time wall = wall_start;
  monotonic_time now = begin;
  memory_log_service log{[this] { return wall; }};

  void advance(milliseconds time) {
    wall += time;
    now += time;
  }
  std::uint64_t append(const std::string& payload) { return log.append(stream, payload).value(); }
  std::vector<log_record> read(std::uint64_t from, std::size_t count = 1000) {
    return log.read(stream, from, count, milliseconds(0)).value().records;
  }
};

// Appends the due batch, if any, and reads all new records.
std::vector<claim_decision> append_and_read(test_site& site, claimant& target) {
  if (const auto batch = target.next_batch(site.now)) {
    target.on_append_ok(site.append(batch->payload));
  }
  return target.on_records(site.read(target.table().next_offset()), site.now);
}

std::string claim_text(const uuid& key, const uuid& submission) {
  return encode_claim_record(
      {new_id(), {claim_item{key, submission, "other", "127.0.0.1:2", std::nullopt}}});
}

std::string release_text(const uuid& key, const uuid& submission) {
  return encode_claim_record({new_id(), {release_item{key, submission}}});
}

TEST_CASE("claim records are decoded as encoded, and malformed items are skipped") {
  // Guards against a malformed item that hides other claims of its record.
  const uuid key = new_id();
  const claim_record record{new_id(),
                            {claim_item{key, new_id(), "entry", "127.0.0.1:7", 0xab},
                             release_item{key, new_id()},
                             outcome_item{key, new_id(), "complete", "\"answer\"\n"},
                             outcome_item{key, new_id(), "failed", std::nullopt}}};
  const auto decoded = decode_claim_record(encode_claim_record(record));
  CHECK(decoded.id == record.id);
  CHECK(decoded.items == record.items);
  CHECK(decoded.bad_items == 0);

  const std::string good = encode_claim_record({record.id, {record.items[1]}});
  const auto mixed = decode_claim_record("[3,{\"type\":\"claim\"}," + good.substr(1));
  CHECK(mixed.items.size() == 1);
  CHECK(mixed.bad_items == 3);
  for (const std::string& text : {std::string(), std::string("{}"), std::string("[]"),
                                  std::string("\xFF"), std::string(100'000, '[')}) {
    CHECK(decode_claim_record(text).bad_items == 1);
  }
  const claim_record binary{new_id(), {outcome_item{key, new_id(), "complete", "\xFF\xFE"}}};
  const auto without = decode_claim_record(encode_claim_record(binary));
  CHECK_FALSE(std::get<outcome_item>(without.items.at(0)).answer.has_value());
  CHECK(claim_stream(key, 1) == "claims-0");
}

TEST_CASE("the first claim wins and a release frees the key for later claims only") {
  // Guards against two holders of a key, and against a repeated or delayed append that gives the
  // key back to a submission that lost or released it.
  test_site site;
  claim_table table({seconds(60), seconds(5)}, 1, 1000);
  const uuid key = new_id();
  const uuid first = new_id();
  const uuid second = new_id();
  const uuid third = new_id();
  for (const std::string& text :
       {claim_text(key, first), claim_text(key, second), claim_text(key, first),
        release_text(key, second), release_text(key, first), claim_text(key, first),
        claim_text(key, second), claim_text(key, third)}) {
    site.append(text);
  }
  std::vector<claim_result> results;
  for (const log_record& record : site.read(1)) {
    const auto applied = table.apply(record);
    for (const applied_claim& claim : applied->claims) {
      results.push_back(claim.result);
    }
  }
  using enum claim_result;
  CHECK(results == std::vector<claim_result>{won, lost, repeated, repeated, repeated, won});
  CHECK(table.find(key)->submission == third);
  CHECK(table.find(key)->entry_name == "other");
  CHECK_FALSE(table.apply(site.read(1).front()).has_value());
}

TEST_CASE("keys are validated against the log's time and erased after their lifetime") {
  // Guards against a key that can be claimed again after a replica has erased its claim.
  test_site site;
  claim_table table({seconds(60), seconds(5)}, 1, 1000);
  const uuid old = uuid::make_v7(wall_start - seconds(61));
  const uuid ahead = uuid::make_v7(wall_start + seconds(6));
  const uuid key = uuid::make_v7(wall_start);
  const auto result_of = [&](const uuid& claimed) {
    site.append(claim_text(claimed, new_id()));
    return table.apply(site.read(table.next_offset()).front())->claims.at(0).result;
  };
  CHECK(result_of(old) == claim_result::expired);
  CHECK(result_of(ahead) == claim_result::too_far_ahead);
  CHECK(result_of(*uuid::parse("123e4567-e89b-42d3-a456-426614174000")) == claim_result::not_v7);
  CHECK(result_of(key) == claim_result::won);
  site.advance(seconds(60));
  CHECK(result_of(key) == claim_result::lost);
  site.advance(seconds(4));
  CHECK(result_of(key) == claim_result::expired);
  CHECK(table.size() == 1);
  site.advance(seconds(2));
  site.append("[]");
  table.apply(site.read(table.next_offset()).front());
  CHECK(table.size() == 0);
}

TEST_CASE("answers are a bounded cache") {
  // Guards against unbounded memory for the answers of all entries.
  test_site site;
  claim_table table({seconds(60), seconds(5)}, 1, 25);
  std::vector<uuid> keys;
  for (int i = 0; i < 3; ++i) {
    const uuid key = new_id();
    const uuid submission = new_id();
    keys.push_back(key);
    site.append(claim_text(key, submission));
    site.append(encode_claim_record(
        {new_id(), {outcome_item{key, submission, "complete", std::string(10, 'x')}}}));
    site.append(encode_claim_record({new_id(), {outcome_item{key, new_id(), "failed", "y"}}}));
  }
  for (const log_record& record : site.read(1)) {
    table.apply(record);
  }
  CHECK(table.find(keys[0])->outcome == claim_outcome{"complete", std::nullopt});
  CHECK(table.find(keys[2])->outcome == claim_outcome{"complete", std::string(10, 'x')});
  CHECK(table.statistics().evicted_answers == 1);
  CHECK(table.statistics().ignored_outcomes == 3);
}

TEST_CASE("claims are batched, with one append at a time and a minimum interval") {
  // Guards against one append for each request, which would overload the log.
  test_site site;
  claimant target(make_options("a"), 1);
  const auto deadline = site.now + seconds(10);
  for (int i = 0; i < 3; ++i) {
    CHECK_FALSE(
        target.request_claim(new_id(), new_id(), test_digest, deadline, site.now).has_value());
  }
  const auto batch = target.next_batch(site.now);
  REQUIRE(batch.has_value());
  CHECK(decode_claim_record(batch->payload).items.size() == 3);
  CHECK_FALSE(
      target.request_claim(new_id(), new_id(), test_digest, deadline, site.now).has_value());
  site.advance(seconds(1));
  CHECK_FALSE(target.next_batch(site.now).has_value());
  target.on_append_ok(site.append(batch->payload));
  REQUIRE(target.next_batch(site.now).has_value());
  target.on_append_ok(2);
  CHECK_FALSE(
      target.request_claim(new_id(), new_id(), test_digest, deadline, site.now).has_value());
  CHECK_FALSE(target.next_batch(site.now).has_value());
  CHECK(target.next_due() == site.now + milliseconds(10));
}

TEST_CASE("the decision on a duplicate contains the holder and its outcome") {
  // Guards against a second run of a request, and against a caller that can't find its answer.
  test_site site;
  claimant first(make_options("a"), 1);
  claimant second(make_options("b"), 1);
  const uuid key = new_id();
  const uuid submission = new_id();
  const auto deadline = site.now + seconds(1);
  first.request_claim(key, submission, test_digest, deadline, site.now);
  second.request_claim(key, new_id(), test_digest, deadline, site.now);
  CHECK(append_and_read(site, first).at(0).verdict == claim_verdict::granted);
  const auto decision = append_and_read(site, second).at(0);
  CHECK(decision.verdict == claim_verdict::duplicate);
  CHECK(decision.cause == reason::duplicate_key);
  CHECK(decision.holder->submission == submission);
  CHECK(decision.holder->entry_name == "a");
  first.record_outcome(key, submission, "complete", "done", site.now);
  CHECK_FALSE(first.next_batch(site.now).has_value());
  site.advance(milliseconds(100));
  append_and_read(site, first);
  append_and_read(site, second);
  const auto known = second.request_claim(key, new_id(), test_digest, deadline, site.now);
  REQUIRE(known.has_value());
  CHECK(known->holder->outcome == claim_outcome{"complete", "done"});
  CHECK(first.idle());
}

TEST_CASE("a key of another request is refused, before and after its claim was read") {
  // Guards against a caller that receives the answer to another request.
  test_site site;
  claimant first(make_options("a"), 1);
  claimant second(make_options("b"), 1);
  const uuid key = new_id();
  const auto deadline = site.now + seconds(1);
  first.request_claim(key, new_id(), test_digest, deadline, site.now);
  second.request_claim(key, new_id(), test_digest + 1, deadline, site.now);
  CHECK(append_and_read(site, first).at(0).verdict == claim_verdict::granted);
  const auto refused = append_and_read(site, second).at(0);
  CHECK(refused.verdict == claim_verdict::refused);
  CHECK(refused.cause == reason::invalid_key);
  CHECK(refused.detail == "The key belongs to another request.");
  const auto later = second.request_claim(key, new_id(), test_digest + 1, deadline, site.now);
  REQUIRE(later.has_value());
  CHECK(later->cause == reason::invalid_key);
  const auto same = second.request_claim(key, new_id(), test_digest, deadline, site.now);
  REQUIRE(same.has_value());
  CHECK(same->verdict == claim_verdict::duplicate);
}

TEST_CASE("a claim without a digest is valid, one with a malformed digest is not") {
  // Guards against diverging replicas while entries of two versions run at the same time.
  const uuid key = new_id();
  const auto text = claim_text(key, new_id());
  CHECK(decode_claim_record(text).items.size() == 1);
  for (const char* digest : {"\"12\"", "\"00000000000000zz\"", "7", "null"}) {
    auto damaged = text;
    damaged.replace(damaged.find("\"address\""), 0, std::string("\"digest\":") + digest + ",");
    CHECK(decode_claim_record(damaged).bad_items == 1);
  }
}

TEST_CASE("a failed append is found by reading or retried with the same id") {
  // Guards against a claim that is lost, or mistaken for that of another entry, after a lost reply.
  test_site site;
  claimant target(make_options("a"), 1);
  const auto deadline = site.now + seconds(10);
  target.request_claim(new_id(), new_id(), test_digest, deadline, site.now);
  const auto first_batch = target.next_batch(site.now);
  site.append(first_batch->payload);
  target.on_append_error(site.now);
  CHECK(target.on_records(site.read(1), site.now).at(0).verdict == claim_verdict::granted);
  CHECK(target.idle());

  target.request_claim(new_id(), new_id(), test_digest, deadline, site.now + milliseconds(20));
  const auto lost = target.next_batch(site.now + milliseconds(20));
  target.on_append_error(site.now + milliseconds(20));
  CHECK_FALSE(target.next_batch(site.now + milliseconds(69)).has_value());
  const auto repeated = target.next_batch(site.now + milliseconds(70));
  REQUIRE(repeated.has_value());
  CHECK(repeated->id == lost->id);
  CHECK(repeated->payload == lost->payload);
  target.on_append_error(site.now + milliseconds(70));
  CHECK_FALSE(target.next_batch(site.now + seconds(5)).has_value());
  target.on_records({}, site.now + seconds(5));
  const auto again = target.next_batch(site.now + seconds(5));
  REQUIRE(again.has_value());
  // Two of the three appends take effect.
  site.append(again->payload);
  target.on_append_ok(site.append(again->payload));
  const auto decisions = target.on_records(site.read(2), site.now + seconds(5));
  REQUIRE(decisions.size() == 1);
  CHECK(decisions[0].verdict == claim_verdict::granted);
}

TEST_CASE("a request past its deadline is refused and its claim released") {
  // Guards against a grant after the caller received "not run", and against a key that stays
  // claimed although nothing ran.
  test_site site;
  claimant target(make_options("a"), 1);
  const uuid key = new_id();
  const uuid sent = new_id();
  const uuid queued = new_id();
  const auto deadline = site.now + seconds(1);
  target.request_claim(key, sent, test_digest, deadline, site.now);
  const auto batch = target.next_batch(site.now);
  target.request_claim(new_id(), queued, test_digest, deadline, site.now);
  CHECK(target.expire(deadline - milliseconds(1)).empty());
  const auto refused = target.expire(deadline);
  REQUIRE(refused.size() == 2);
  CHECK(refused[0].cause == reason::claim_unavailable);
  CHECK(target.statistics().releases == 1);
  target.on_append_ok(site.append(batch->payload));
  CHECK(target.on_records(site.read(1), deadline).empty());
  CHECK(target.table().find(key)->submission == sent);
  site.advance(seconds(1));
  CHECK(append_and_read(site, target).empty());
  CHECK_FALSE(target.table().find(key).has_value());
  CHECK(target.idle());
}

TEST_CASE("a claim that is read after its deadline is not granted") {
  // Guards against an entry that is paused and then runs a request that has timed out.
  test_site site;
  claimant target(make_options("a"), 1);
  target.request_claim(new_id(), new_id(), test_digest, site.now + seconds(1), site.now);
  const auto batch = target.next_batch(site.now);
  target.on_append_ok(site.append(batch->payload));
  const auto decisions = target.on_records(site.read(1), site.now + seconds(1));
  CHECK(decisions.at(0).cause == reason::claim_unavailable);
  CHECK(target.statistics().releases == 1);
}

TEST_CASE("a key is not granted if the log may have dropped claims of it") {
  // Guards against a second run after the log dropped records that this entry had not read.
  test_site site;
  claimant target(make_options("a"), 1);
  const uuid key = uuid::make_v7(site.wall);
  site.append(claim_text(key, new_id()));
  site.advance(seconds(1));
  site.append("[]");
  site.log.forget_below(stream, 2);
  target.on_records(site.read(1), site.now);
  const auto refused =
      target.request_claim(key, new_id(), test_digest, site.now + seconds(1), site.now);
  REQUIRE(refused.has_value());
  CHECK(refused->cause == reason::claim_unavailable);
  site.advance(seconds(7));
  const uuid later = uuid::make_v7(site.wall);
  CHECK_FALSE(target.request_claim(later, new_id(), test_digest, site.now + seconds(1), site.now)
                  .has_value());
}

TEST_CASE("requests that cannot be claimed are refused immediately") {
  // Guards against unbounded queues while the log is unavailable.
  test_site site;
  auto options = make_options("a");
  options.max_requests = 1;
  options.max_outcomes = 1;
  claimant target(options, 1);
  const auto deadline = site.now + seconds(1);
  CHECK(target.request_claim(uuid(), new_id(), test_digest, deadline, site.now)->cause ==
        reason::invalid_key);
  CHECK(target.request_claim(new_id(), new_id(), test_digest, site.now, site.now)->cause ==
        reason::claim_unavailable);
  const uuid waiting = new_id();
  CHECK_FALSE(target.request_claim(new_id(), waiting, test_digest, deadline, site.now).has_value());
  CHECK(target.request_claim(new_id(), new_id(), test_digest, deadline, site.now)->cause ==
        reason::claim_unavailable);
  target.cancel_request(waiting);
  CHECK(target.idle());
  target.record_outcome(new_id(), new_id(), "complete", std::nullopt, site.now);
  target.record_outcome(new_id(), new_id(), "complete", std::nullopt, site.now);
  CHECK(target.statistics().dropped_outcomes == 1);
}

// Simulates several entries that share a log, with lost replies, late and repeated appends, pauses,
// crashes, outages and steps of the log's clock.
class claim_simulation {
public:
  explicit claim_simulation(std::uint64_t seed) : random_(seed) {
    for (std::size_t i = 0; i < entry_count; ++i) {
      restart(i);
    }
  }

  void run(int steps) {
    for (int i = 0; i < steps; ++i) {
      step();
    }
    check_convergence();
  }

  std::uint64_t granted = 0;
  std::uint64_t duplicates = 0;
  std::uint64_t refused = 0;

private:
  struct open_claim {
    uuid key;
    uuid submission;
  };
  struct entry {
    std::unique_ptr<claimant> target;
    std::vector<open_claim> granted_claims;
    std::set<uuid> undecided;
  };
  static constexpr std::size_t entry_count = 4;
  static constexpr std::size_t key_count = 6;

  std::uint64_t random_below(std::uint64_t bound) { return random_() % bound; }

  void step() {
    const std::size_t index = random_below(entry_count);
    site_.advance(milliseconds(random_below(40)));
    const std::uint64_t choice = random_below(100);
    if (choice < 25) {
      request(entries_[index]);
    } else if (choice < 55) {
      append(entries_[index]);
    } else if (choice < 85) {
      read(entries_[index], 1 + random_below(12));
    } else if (choice < 92) {
      end_one_claim(entries_[index]);
    } else if (choice < 94) {
      apply_delayed_append();
    } else if (choice < 96) {
      restart(index);
    } else if (choice < 97) {
      site_.log.set_down(random_below(4) == 0);
    } else if (choice < 98) {
      site_.advance(seconds(random_below(20)));
    } else if (choice < 99) {
      site_.wall -= seconds(random_below(3));
    } else {
      expire(entries_[index]);
    }
  }

  uuid pick_key() {
    uuid& key = keys_[random_below(key_count)];
    if (key == uuid() || random_below(8) == 0) {
      key = uuid::make_v7(site_.wall + seconds(3) - seconds(random_below(60)));
    }
    return key;
  }

  void request(entry& requester) {
    const uuid key = pick_key();
    const uuid submission = new_id();
    requester.undecided.insert(submission);
    const auto deadline = site_.now + milliseconds(random_below(4000));
    if (const auto known =
            requester.target->request_claim(key, submission, test_digest, deadline, site_.now)) {
      record_decisions(requester, {*known});
    }
  }

  void append(entry& source) {
    const auto batch = source.target->next_batch(site_.now);
    if (!batch) {
      return;
    }
    const std::uint64_t fault = random_below(10);
    if (fault == 0) {
      delayed_appends_.push_back(batch->payload);
      source.target->on_append_error(site_.now);
      return;
    }
    site_.log.lose_replies(fault < 3 ? 1 : 0);
    const auto result = site_.log.append(stream, batch->payload);
    if (result.ok()) {
      source.target->on_append_ok(*result);
    } else {
      source.target->on_append_error(site_.now);
    }
  }

  // Applies an append that was delayed after its connection had failed.
  void apply_delayed_append() {
    if (!delayed_appends_.empty()) {
      site_.log.lose_replies(0);
      (void)site_.log.append(stream, delayed_appends_.back());
      delayed_appends_.pop_back();
    }
  }

  void read(entry& reader, std::size_t count) {
    const auto result =
        site_.log.read(stream, reader.target->table().next_offset(), count, milliseconds(0));
    if (result.ok()) {
      record_decisions(reader, reader.target->on_records(result->records, site_.now));
    }
  }

  void expire(entry& target) { record_decisions(target, target.target->expire(site_.now)); }

  void record_decisions(entry& requester, const std::vector<claim_decision>& decisions) {
    for (const claim_decision& decision : decisions) {
      REQUIRE(requester.undecided.erase(decision.submission) == 1);
      if (decision.verdict == claim_verdict::granted) {
        ++granted;
        REQUIRE(holders_.emplace(decision.key, decision.submission).second);
        requester.granted_claims.push_back({decision.key, decision.submission});
      } else {
        duplicates += decision.verdict == claim_verdict::duplicate ? 1 : 0;
        refused += decision.verdict == claim_verdict::refused ? 1 : 0;
      }
    }
  }

  void end_one_claim(entry& target) {
    if (target.granted_claims.empty()) {
      return;
    }
    const open_claim claim = target.granted_claims.back();
    target.granted_claims.pop_back();
    if (random_below(2) == 0) {
      holders_.erase(claim.key);
      target.target->release(claim.key, claim.submission);
    } else {
      target.target->record_outcome(claim.key, claim.submission, "complete", "x", site_.now);
    }
  }

  // Simulates a crash: granted claims stay in the log, undecided requests are lost.
  void restart(std::size_t index) {
    const auto rules = make_options("").rules;
    const auto first = find_offset(site_.log, stream, rules.replay_start(site_.wall));
    if (first.ok()) {
      entries_[index] = {};
      entries_[index].target =
          std::make_unique<claimant>(make_options("e" + std::to_string(index)), *first);
    }
  }

  void check_convergence() {
    site_.log.set_down(false);
    for (int round = 0; round < 50; ++round) {
      site_.advance(milliseconds(1000));
      for (entry& target : entries_) {
        expire(target);
        append(target);
        read(target, 100'000);
      }
    }
    for (entry& target : entries_) {
      REQUIRE(target.undecided.empty());
      read(target, 100'000);
      REQUIRE(target.target->table().digest() == entries_[0].target->table().digest());
    }
  }

  std::mt19937_64 random_;
  test_site site_;
  std::array<entry, entry_count> entries_;
  std::array<uuid, key_count> keys_{};
  std::vector<std::string> delayed_appends_;
  /// By key, the submission that was granted it and has not released it.
  std::map<uuid, uuid> holders_;
};

TEST_CASE("a key is granted to one submission at a time, under random faults") {
  // Guards against a second run of a non-idempotent request under combined faults.
  std::uint64_t granted = 0;
  std::uint64_t duplicates = 0;
  std::uint64_t refused = 0;
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    CAPTURE(seed);
    claim_simulation simulation(seed);
    simulation.run(3000);
    granted += simulation.granted;
    duplicates += simulation.duplicates;
    refused += simulation.refused;
  }
  MESSAGE("granted " << granted << ", duplicates " << duplicates << ", refused " << refused);
  CHECK(granted > 1000);
  CHECK(duplicates > 1000);
  CHECK(refused > 1000);
}

} // namespace
} // namespace parsleylead
