#include "parsleylead/evacuation/zone_evacuations.hpp"

#include <doctest/doctest.h>

namespace parsleylead {
namespace {

TEST_CASE("zone_evacuations: an older report does not bring an ended evacuation back") {
  zone_evacuations known;
  CHECK_FALSE(known.state());
  CHECK(known.merge({5, {"a"}}) == std::vector<zone_change>{{"a", true}});
  CHECK(known.merge({9, {"b"}}) == std::vector<zone_change>{{"b", true}, {"a", false}});
  CHECK(known.merge({5, {"a"}}).empty());
  CHECK(known.merge({9, {"a"}}).empty());
  CHECK(known.is_evacuated("b"));
  CHECK_FALSE(known.is_evacuated("a"));
}

TEST_CASE("zone_evacuations: records that a peer has reported before are applied again") {
  // The store is read from an offset behind the peer's state. What the peer knew must not be undone
  // by older records, nor lost.
  zone_evacuations known;
  known.apply_records(3, true, {});
  known.merge({10, {"a", "b"}});
  CHECK(known.apply_records(8, false, {{"a", true}, {"a", false}}).empty());
  CHECK(known.is_evacuated("a"));
  const std::vector<zone_change> replayed{{"a", false}, {"a", true}, {"b", true}, {"a", false}};
  CHECK(known.apply_records(12, false, replayed) == std::vector<zone_change>{{"a", false}});
  CHECK(known.state()->as_of == 12);
  CHECK(known.is_evacuated("b"));
}

TEST_CASE("zone_evacuations: a complete read ends evacuations whose record is gone") {
  // The record may be deleted while the store has also dropped the history of the deletion.
  zone_evacuations known;
  known.apply_records(3, true, {{"a", true}});
  CHECK(known.apply_records(40, true, {}) == std::vector<zone_change>{{"a", false}});
  CHECK(known.state()->zones.empty());
}

} // namespace
} // namespace parsleylead
