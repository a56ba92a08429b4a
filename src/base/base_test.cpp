#include <doctest/doctest.h>

#include "parsleylead/base/endpoint.hpp"
#include "parsleylead/base/error.hpp"
#include "parsleylead/base/failure.hpp"
#include "parsleylead/base/uuid.hpp"

namespace parsleylead {
namespace {

TEST_CASE("the creation time of a v7 uuid survives formatting and parsing") {
  // Guards against a wrong byte order, with which keys would expire at random times.
  const wall_time created{std::chrono::milliseconds(1'796'361'420'123)};
  const auto id = uuid::make_v7(created);
  const auto parsed = uuid::parse(id.to_string());
  REQUIRE(parsed.has_value());
  CHECK(*parsed == id);
  CHECK(parsed->created() == created);
}

TEST_CASE("uuid rejects malformed text and other versions") {
  CHECK_FALSE(uuid::parse("").has_value());
  CHECK_FALSE(uuid::parse("0199e5a0-0000-7000-8000-00000000000g").has_value());
  const auto v4 = uuid::parse("123e4567-e89b-42d3-a456-426614174000");
  REQUIRE(v4.has_value());
  CHECK_FALSE(v4->created().has_value());
}

TEST_CASE("an error status carries step and peer") {
  // Guards against errors that are logged without the step and the peer that failed.
  const auto error = make_error(absl::StatusCode::kUnavailable, step::connect, "127.0.0.1:9", "no");
  CHECK(error_step(error) == step::connect);
  CHECK(error_peer(error) == "127.0.0.1:9");
  CHECK(describe(error) == "UNAVAILABLE at connect, peer 127.0.0.1:9: no");
}

TEST_CASE("endpoints accept IP addresses only") {
  CHECK(parse_endpoint("127.0.0.1:80").value() == endpoint{"127.0.0.1", 80});
  CHECK(to_string(parse_endpoint("[::1]:80").value()) == "[::1]:80");
  CHECK_FALSE(parse_endpoint("localhost:80").ok());
  CHECK_FALSE(parse_endpoint("127.0.0.1:70000").ok());
  CHECK_FALSE(parse_endpoint("127.0.0.1").ok());
}

TEST_CASE("unknown wire codes are mapped to defaults") {
  CHECK(reason_from_wire(static_cast<std::uint16_t>(reason::sealed)) == reason::sealed);
  CHECK(reason_from_wire(60'000) == reason::internal);
  CHECK(step_from_wire(60'000) == step::none);
}

} // namespace
} // namespace parsleylead
