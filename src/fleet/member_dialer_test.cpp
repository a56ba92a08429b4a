#include "parsleylead/fleet/member_dialer.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>

#include "../test_support.hpp"

namespace parsleylead {
namespace {

using std::chrono::milliseconds;

fleet_member member(int number, const std::string& zone = "a") {
  return {"entry-" + std::to_string(number), 1, "127.0.0.1:" + std::to_string(number), zone};
}

TEST_CASE("known entries are dialled once, and again after an increasing delay") {
  member_dialer dialer({}, "agent", "a", "", 4);
  CHECK(dialer.learn({member(1)}, at_ms(0)));
  CHECK_FALSE(dialer.learn({member(1)}, at_ms(0)));
  CHECK(dialer.due(at_ms(0)).size() == 1);
  CHECK(dialer.due(at_ms(1)).empty());
  dialer.lost("127.0.0.1:1", at_ms(10));
  CHECK(dialer.due(at_ms(50)).empty());
  CHECK(dialer.due(at_ms(111)).size() == 1);
  dialer.linked("127.0.0.1:1", at_ms(120));
  CHECK(dialer.linked_members().size() == 1);
  CHECK(dialer.due(at_ms(60'000)).empty());
}

TEST_CASE("a link that breaks is dialled again at once") {
  // Guards against leases that expire although the connection was merely reset.
  member_dialer dialer({}, "agent", "a", "", 4);
  dialer.learn({member(1)}, at_ms(0));
  dialer.due(at_ms(0));
  dialer.linked("127.0.0.1:1", at_ms(1));
  dialer.confirm(member(1), at_ms(2));
  dialer.lost("127.0.0.1:1", at_ms(500));
  CHECK(dialer.due(at_ms(500)).size() == 1);
}

TEST_CASE("a peer that closes each connection before its hello is dialled with a backoff") {
  // Guards against a connection in each turn of the loop to a process that refuses the hello, or
  // behind a relay whose target is down. The soak saw 506 connections in 30 s.
  member_dialer dialer({}, "agent", "a", "", 4);
  dialer.learn({member(1)}, at_ms(0));
  int attempts = 0;
  for (std::int64_t now = 0; now < 10'000; now += 20) {
    for (const auto& address : dialer.due(at_ms(now))) {
      ++attempts;
      dialer.linked(address, at_ms(now));
      dialer.lost(address, at_ms(now));
    }
  }
  CHECK(attempts <= 12);
}

TEST_CASE("a process without links finds entries that start within a second or two") {
  // Guards against agents that connect 1.6 s after the entries when all hosts start together.
  member_dialer dialer({}, "agent", "a", "", 6);
  for (int i = 0; i < 9; ++i) {
    dialer.learn({member(i)}, at_ms(0));
  }
  constexpr std::int64_t entries_start = 1'600;
  std::size_t attempts = 0;
  std::int64_t connected = 0;
  for (std::int64_t now = 0; now < 5'000 && connected == 0; now += 20) {
    for (const auto& address : dialer.due(at_ms(now))) {
      ++attempts;
      if (now < entries_start) {
        dialer.lost(address, at_ms(now));
      } else {
        dialer.linked(address, at_ms(now));
      }
    }
    connected = dialer.links() >= 6 ? now : 0;
  }
  CHECK(connected > 0);
  CHECK(connected <= entries_start + 160);
  CHECK(attempts <= 130);
}

TEST_CASE("a process with most of its links dials a dead entry with the whole backoff") {
  // Guards against attempts in steady state to hosts that no longer exist.
  member_dialer dialer({}, "agent", "a", "", 6);
  for (int i = 0; i < 6; ++i) {
    dialer.learn({member(i)}, at_ms(0));
  }
  std::size_t attempts = 0;
  for (std::int64_t now = 0; now < 10'000; now += 20) {
    for (const auto& address : dialer.due(at_ms(now))) {
      if (address == "127.0.0.1:0") {
        ++attempts;
        dialer.lost(address, at_ms(now));
      } else {
        dialer.linked(address, at_ms(now));
      }
    }
  }
  CHECK(attempts <= 12);
}

TEST_CASE("the own address is never dialled, and a changed entry is reported as new") {
  member_dialer dialer({}, "entry-1", "a", "127.0.0.1:1", 4);
  CHECK_FALSE(dialer.learn({member(1)}, at_ms(0)));
  CHECK(dialer.learn({member(2)}, at_ms(0)));
  auto restarted = member(2);
  restarted.incarnation = 2;
  CHECK(dialer.learn({restarted}, at_ms(5)));
}

TEST_CASE("reports of others do not undo what an entry itself said") {
  // Guards against outdated member lists that make processes dial and announce an entry again and
  // again after a restart of all hosts.
  member_dialer dialer({}, "agent", "a", "", 4);
  auto restarted = member(1);
  restarted.incarnation = 5;
  dialer.learn({member(1)}, at_ms(0));
  dialer.due(at_ms(0));
  dialer.linked("127.0.0.1:1", at_ms(1));
  CHECK(dialer.confirm(restarted, at_ms(2)));
  CHECK_FALSE(dialer.confirm(restarted, at_ms(3)));
  CHECK_FALSE(dialer.learn({member(1)}, at_ms(4)));
  CHECK(dialer.linked_members() == std::vector<fleet_member>{restarted});
  dialer.lost("127.0.0.1:1", at_ms(5));
  restarted.incarnation = 6;
  CHECK(dialer.learn({restarted}, at_ms(7)));
  CHECK(dialer.confirm(restarted, at_ms(8)));
}

TEST_CASE("alternating reports of two incarnations cause no connection attempts at each report") {
  // Guards against many processes that dial an unreachable entry whenever outdated member lists
  // circulate.
  member_dialer dialer({}, "agent", "a", "", 4);
  auto restarted = member(1);
  restarted.incarnation = 5;
  int attempts = 0;
  for (std::int64_t now = 0; now < 2'000; now += 10) {
    dialer.learn({now % 20 == 0 ? member(1) : restarted}, at_ms(now));
    for (const auto& address : dialer.due(at_ms(now))) {
      ++attempts;
      dialer.lost(address, at_ms(now));
    }
  }
  CHECK(attempts <= 20);
}

TEST_CASE("links are bounded, the own zone is preferred, and failing entries use up no link") {
  member_dialer dialer({}, "agent", "a", "", 2);
  dialer.learn({member(1, "b"), member(2, "b"), member(3, "a"), member(4, "a")}, at_ms(0));
  const auto first = dialer.due(at_ms(0));
  REQUIRE(first.size() == 2);
  for (const auto& address : first) {
    CHECK((address == "127.0.0.1:3" || address == "127.0.0.1:4"));
  }
  std::int64_t now = 0;
  std::size_t others = 0;
  for (int i = 0; i < 400; ++i) {
    now += 20;
    for (const auto& address : dialer.due(at_ms(now))) {
      if (address == "127.0.0.1:3" || address == "127.0.0.1:4") {
        dialer.lost(address, at_ms(now));
      } else {
        dialer.linked(address, at_ms(now));
        ++others;
      }
    }
    // Attempts of the first round fail too.
    if (i == 0) {
      dialer.lost(first[0], at_ms(now));
      dialer.lost(first[1], at_ms(now));
    }
  }
  CHECK(others == 2);
}

TEST_CASE("links beyond the maximum are named, the least preferred ones") {
  // Guards against links that accumulate: to the seeds, which every process connects to first, and
  // to entries that stood in for others during a restart in turn.
  member_dialer dialer({}, "agent", "a", "", 2);
  dialer.learn({member(1, "b"), member(2, "b")}, at_ms(0));
  REQUIRE(dialer.due(at_ms(0)).size() == 2);
  for (const int number : {1, 2}) {
    dialer.linked(member(number).address, at_ms(1));
    dialer.confirm(member(number, "b"), at_ms(1));
  }
  CHECK(dialer.surplus(at_ms(1)).empty());
  dialer.learn({member(3, "a"), member(4, "a")}, at_ms(2));
  REQUIRE(dialer.due(at_ms(2)).size() == 2);
  dialer.linked(member(3).address, at_ms(3));
  CHECK(dialer.surplus(at_ms(3)).empty()); // The new link may still fail.
  dialer.confirm(member(3, "a"), at_ms(4));
  REQUIRE(dialer.surplus(at_ms(4)).size() == 1);
  dialer.linked(member(4).address, at_ms(5));
  dialer.confirm(member(4, "a"), at_ms(5));
  auto surplus = dialer.surplus(at_ms(5));
  std::sort(surplus.begin(), surplus.end());
  CHECK(surplus == std::vector<std::string>{member(1).address, member(2).address});
  for (const auto& address : surplus) {
    dialer.lost(address, at_ms(6));
  }
  CHECK(dialer.due(at_ms(5'000)).empty());
  CHECK(dialer.surplus(at_ms(5'000)).empty());
}

TEST_CASE("links between entries reach all zones") {
  // Guards against entries that know nothing of other zones, as they have more entries in their own
  // zone than links: requests, counts of waiting jobs and members did not leave the zone.
  member_dialer dialer({}, "entry-0", "a", "127.0.0.1:0", 12, link_preference::all_zones);
  std::vector<fleet_member> members;
  for (int number = 1; number <= 54; ++number) {
    members.push_back(member(number, std::string(1, static_cast<char>('a' + number % 4))));
  }
  dialer.learn(members, at_ms(0));
  std::map<std::string, int> zones;
  for (const auto& address : dialer.due(at_ms(0))) {
    const auto found = std::find_if(members.begin(), members.end(),
                                    [&](const auto& each) { return each.address == address; });
    ++zones[found->availability_zone];
  }
  CHECK(zones["a"] == 6);
  CHECK(zones["b"] + zones["c"] + zones["d"] == 6);
}

TEST_CASE("a requested link is kept beyond the maximum until the request ends") {
  // Guards against requested links that are never made, are closed while they are needed, or stay.
  member_dialer dialer({}, "agent", "a", "", 1);
  dialer.learn({member(1, "a")}, at_ms(0));
  REQUIRE(dialer.due(at_ms(0)).size() == 1);
  dialer.linked(member(1).address, at_ms(1));
  dialer.confirm(member(1, "a"), at_ms(1));
  REQUIRE(dialer.request(member(2, "b"), at_ms(3'000), 1, at_ms(10)));
  CHECK_FALSE(dialer.request(member(3, "b"), at_ms(3'000), 1, at_ms(10)));
  CHECK(dialer.due(at_ms(10)) == std::vector<std::string>{member(2).address});
  dialer.linked(member(2).address, at_ms(11));
  dialer.confirm(member(2, "b"), at_ms(12));
  CHECK_FALSE(dialer.is_preferred(member(2).address));
  CHECK(dialer.surplus(at_ms(2'999)).empty());
  dialer.extend_request(member(2).address, at_ms(6'000), at_ms(2'999));
  CHECK(dialer.surplus(at_ms(5'999)).empty());
  CHECK(dialer.surplus(at_ms(6'000)) == std::vector<std::string>{member(2).address});
  dialer.extend_request(member(2).address, at_ms(9'000), at_ms(6'000));
  CHECK(dialer.surplus(at_ms(6'001)).size() == 1);
  CHECK(dialer.request(member(3, "b"), at_ms(9'000), 1, at_ms(6'001)));
}

TEST_CASE("a requested link that fails is dialled again with a backoff") {
  member_dialer dialer({}, "agent", "a", "", 1);
  int attempts = 0;
  for (std::int64_t now = 0; now < 10'000; now += 20) {
    dialer.request(member(2, "b"), at_ms(now + 3'000), 8, at_ms(now));
    for (const auto& address : dialer.due(at_ms(now))) {
      ++attempts;
      dialer.lost(address, at_ms(now));
    }
  }
  CHECK(attempts >= 5);
  CHECK(attempts <= 12);
}

TEST_CASE("an entry that stays unreachable is removed") {
  member_dialer dialer({}, "agent", "a", "", 2);
  dialer.learn({member(1)}, at_ms(0));
  dialer.due(at_ms(0));
  dialer.lost("127.0.0.1:1", at_ms(400));
  dialer.due(at_ms(30'001));
  CHECK(dialer.known() == 0);
}

} // namespace
} // namespace parsleylead
