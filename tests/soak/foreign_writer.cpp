#include "foreign_writer.hpp"

#include <chrono>
#include <limits>
#include <nlohmann/json.hpp>
#include <utility>

#include "parsleylead/base/time.hpp"

namespace parsleylead::soak {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr milliseconds call_timeout{2'000};
constexpr std::size_t nesting = 15'000;
constexpr std::int64_t distant_time = std::int64_t{1} << 62;

json announcement() {
  return {{"service", "desk"},
          {"address", "127.0.0.1:8099"},
          {"state", "ready"},
          {"capacity", {{"cpu", 2'000}, {"mem_mb", 4'096}, {"gpu", 0}}},
          {"labels", {"a", "r1-1"}},
          {"sequence", 4},
          {"born", wall_now().time_since_epoch().count()}};
}

} // namespace

foreign_writer::foreign_writer(asio::io_context& io, std::uint64_t seed, soak_judge& judge)
    : io_(io), random_(seed), judge_(judge) {}

void foreign_writer::add_agent(const endpoint& announcements) {
  agents_.push_back(std::make_unique<web_client>(io_, announcements, 1));
}

void foreign_writer::send(const std::vector<std::string>& worker_ids) {
  const auto agent = below(agents_.size());
  auto id = "i-foreign-" + std::to_string(below(1'000));
  auto body = announcement();
  std::string text;
  switch (below(8)) {
  case 0:
    body["service"] = "other";
    break;
  case 1:
    body["sequence"] = std::numeric_limits<std::uint64_t>::max();
    break;
  case 2:
    body["born"] = distant_time;
    break;
  case 3:
    body["address"] = "127.0.0.1:99999";
    break;
  case 4:
    body["labels"] = "nested";
    text = body.dump();
    text.replace(text.find(R"("nested")"), 8,
                 std::string(nesting, '[') + std::string(nesting, ']'));
    break;
  case 5:
    id = "%00%1b%0a";
    break;
  case 6:
    id = worker_ids.at(agent);
    body["born"] = distant_time;
    break;
  default:
    id = worker_ids.at(agent);
    body["sequence"] = -1;
  }
  agents_[agent]->call({"POST", "/Workers.Heartbeat/" + id, {}, text.empty() ? body.dump() : text},
                       call_timeout, [this, id](const absl::StatusOr<web_response>& response) {
                         if (!response.ok()) {
                           return; // The agent is down.
                         }
                         if (response->status == 200) {
                           judge_.record_violation(
                               "an announcement of another writer was accepted, id " + id);
                         } else {
                           ++refused_;
                         }
                       });
}

} // namespace parsleylead::soak
