#include "parsleylead/fleet/fleet_frame.hpp"

#include <doctest/doctest.h>

#include <random>

#include "../test_support.hpp"

namespace parsleylead {
namespace {

using std::chrono::milliseconds;

fleet_frame full_frame() {
  fleet_frame frame;
  frame.hello = session_hello{{"entry-1", 7, "127.0.0.1:80", "a"}, true, 9};
  frame.starts.push_back({{{1, 2, 3}, 4},
                          "text",
                          {3'100, 64, 1},
                          milliseconds(60),
                          milliseconds(-20),
                          milliseconds(250),
                          3,
                          11,
                          true,
                          17});
  frame.stops.push_back({{5, 0, 1}, 2});
  frame.moves.push_back({{6, 0, 1}, 2});
  frame.ends.push_back({{{7, 0, 1}, 1},
                        run_outcome::lost,
                        milliseconds(30),
                        milliseconds(4),
                        true,
                        true,
                        true,
                        loss_cause::worker_silent});
  frame.slow_runs.push_back({{{8, 0, 1}, 1}, 12, milliseconds(900)});
  worker_status status;
  status.present = true;
  status.description.service = "desk";
  status.description.labels = {"a", "r1"};
  status.description.capacity = {32'000, 65'536, 0};
  status.slowdown = 1.25;
  status.failure_share = 0.125;
  status.cold = true;
  frame.status = status;
  frame.members.push_back({"entry-2", 8, "127.0.0.1:81", "b"});
  frame.outstanding = std::vector<run_id>{};
  frame.routes_version = 12;
  frame.routes = "{}";
  frame.routes_wanted = true;
  frame.leaving = true;
  frame.sent = milliseconds(1'700'000'000'123);
  frame.heard = milliseconds(1'700'000'000'045);
  frame.claims = {{3, 12}};
  frame.end_acks = {{{{9, 0, 1}, 1}, true}};
  frame.waiting_durable_jobs = {{{3, 40}, 7, {{"queue", 5}}}};
  frame.crashes = {{17, true}};
  frame.worker_requests = {{{"entry-4", 3, "127.0.0.1:82", "c"},
                            21,
                            {"desk", "gpu", {3'100, 64, 1}},
                            2,
                            true,
                            true,
                            {5, 6}}};
  frame.session_requests = {{{"entry-4", 3, "127.0.0.1:82", "c"}, true}};
  frame.keep_session = true;
  frame.evacuations = evacuation_state{41, {"a", "b"}};
  return frame;
}

TEST_CASE("a frame arrives as it was sent") {
  const auto sent = full_frame();
  const auto got = decode_frame(encode_frame(sent));
  REQUIRE(got.ok());
  REQUIRE(got->hello.has_value());
  CHECK(got->hello->sender == sent.hello->sender);
  CHECK(got->hello->resumed_incarnation == 9);
  CHECK(got->worker_requests == sent.worker_requests);
  CHECK(got->session_requests == sent.session_requests);
  CHECK(got->keep_session);
  CHECK(got->evacuations == sent.evacuations);
  REQUIRE(got->starts.size() == 1);
  CHECK(got->starts[0].run == sent.starts[0].run);
  CHECK(got->starts[0].payload == "text");
  CHECK(got->starts[0].needs == sent.starts[0].needs);
  CHECK(got->starts[0].due_in == milliseconds(-20));
  CHECK(got->stops == sent.stops);
  CHECK(got->moves == sent.moves);
  REQUIRE(got->ends.size() == 1);
  CHECK(got->starts[0].epoch == 11);
  CHECK(got->ends[0].outcome == run_outcome::lost);
  CHECK(got->ends[0].held);
  CHECK(got->ends[0].worker_crashed);
  CHECK(got->ends[0].suspect);
  CHECK(got->ends[0].cause == loss_cause::worker_silent);
  CHECK(got->starts[0].isolated);
  CHECK(got->starts[0].queue == 17);
  CHECK(got->crashes == sent.crashes);
  CHECK(got->claims == sent.claims);
  CHECK(got->end_acks == sent.end_acks);
  CHECK(got->waiting_durable_jobs == sent.waiting_durable_jobs);
  REQUIRE(got->status.has_value());
  CHECK(got->status->description.labels == sent.status->description.labels);
  CHECK(got->status->cold);
  CHECK(got->status->slowdown == doctest::Approx(1.25));
  CHECK(got->members == sent.members);
  REQUIRE(got->outstanding.has_value());
  CHECK(got->routes_version == 12);
  CHECK(got->routes_wanted);
  CHECK(got->leaving);
  CHECK(got->sent == milliseconds(1'700'000'000'123));
  CHECK(got->heard == milliseconds(1'700'000'000'045));
}

TEST_CASE("a frame tells no evacuations apart from unknown ones") {
  // Guards against an entry without a state that ends evacuations elsewhere, and against a state
  // without zones that is not sent.
  const auto unknown = decode_frame(encode_frame({}));
  REQUIRE(unknown.ok());
  CHECK_FALSE(unknown->evacuations.has_value());
  fleet_frame frame;
  frame.evacuations = evacuation_state{};
  CHECK_FALSE(frame.empty());
  const auto none = decode_frame(encode_frame(frame));
  REQUIRE(none.ok());
  REQUIRE(none->evacuations.has_value());
  CHECK(none->evacuations->zones.empty());
}

TEST_CASE("the tasks of a job share one copy of its payload") {
  // Guards against needless traffic between availability zones.
  fleet_frame frame;
  const std::string payload(1'000, 'p');
  for (std::uint32_t index = 0; index < 8; ++index) {
    frame.starts.push_back({{{1, 0, index}, 1}, payload, {}, {}, {}, {}});
  }
  frame.starts.push_back({{{2, 0, 0}, 1}, "other", {}, {}, {}, {}});
  const auto bytes = encode_frame(frame);
  CHECK(bytes.size() < 2 * payload.size());
  const auto got = decode_frame(bytes);
  REQUIRE(got.ok());
  REQUIRE(got->starts.size() == 9);
  CHECK(got->starts[7].payload == payload);
  CHECK(got->starts[8].payload == "other");
}

TEST_CASE("bytes that are no frame are refused, never read past their end") {
  // Guards against a crash caused by a faulty peer or one of another protocol.
  CHECK_FALSE(decode_frame("").ok());
  CHECK_FALSE(decode_frame("abc").ok());
  CHECK_FALSE(decode_frame(std::string(3, '\0')).ok());
  CHECK_FALSE(decode_frame(std::string(64, '\xff')).ok());
  const auto bytes = encode_frame(full_frame());
  std::mt19937 random(5);
  for (int i = 0; i < 2'000; ++i) {
    auto mutated = bytes;
    for (int k = 0; k < 4; ++k) {
      mutated[random() % mutated.size()] = static_cast<char>(random());
    }
    mutated.resize(mutated.size() - (random() % 32));
    const auto decoded = decode_frame(mutated);
    CHECK((decoded.ok() || !decoded.status().message().empty()));
  }
}

} // namespace
} // namespace parsleylead
