#include "caller_load.hpp"

#include <nlohmann/json.hpp>

#include "parsleylead/base/uuid.hpp"
#include "parsleylead/tool/http_client.hpp"

namespace parsleylead::faults {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr milliseconds connect_timeout{2000};
// Added to the budget as the reply time-out, because frozen processes reply late.
constexpr milliseconds reply_slack{12'000};
constexpr milliseconds no_entry_retry_delay{100};
constexpr int max_attempts = 3;

std::string body_of(const site& test_site, const attempt& current, int sleep_ms,
                    milliseconds budget) {
  json tasks = json::array();
  for (int i = 0; i < current.tasks; ++i) {
    tasks.push_back(json{{"sleep_ms", sleep_ms}, {"echo", current.echo(i)}}.dump());
  }
  const char* idempotent_kind = current.job % 2 == 0 ? "check" : "index";
  json body = {{"kind", test_site.kind(current.key.empty() ? idempotent_kind : "letter")},
               {"budget_ms", budget.count()},
               {"tasks", std::move(tasks)},
               {"wait", true}};
  if (!current.key.empty()) {
    body["key"] = current.key;
  }
  return body.dump();
}

} // namespace

caller_load::caller_load(const site& test_site, const load_profile& profile, std::uint64_t seed)
    : site_(test_site), profile_(profile) {
  for (int i = 0; i < profile.callers; ++i) {
    threads_.emplace_back([this, caller_seed = seed * 1000 + static_cast<std::uint64_t>(i)] {
      run_caller(caller_seed);
    });
  }
}

caller_load::~caller_load() {
  stop();
}

void caller_load::stop() {
  stopped_ = true;
  for (auto& thread : threads_) {
    if (thread.joinable()) {
      thread.join();
    }
  }
}

void caller_load::run_caller(std::uint64_t seed) {
  std::mt19937_64 random(seed);
  const auto between = [&random](int low, int high) {
    return std::uniform_int_distribution<int>(low, high)(random);
  };
  while (!stopped_ && !exhausted()) {
    attempt current;
    current.job = ++jobs_;
    current.tasks = between(profile_.min_tasks, profile_.max_tasks);
    const bool keyed = std::uniform_real_distribution<double>(0, 1)(random) < profile_.keyed_share;
    current.key = keyed ? uuid::make_v7(wall_now()).to_string() : "";
    const int sleep_ms = between(profile_.min_sleep_ms, profile_.max_sleep_ms);
    for (current.number = 1; current.number <= max_attempts; ++current.number) {
      const auto target = site_.pick_entry(random());
      if (!target) {
        std::this_thread::sleep_for(no_entry_retry_delay);
        continue;
      }
      current.target = *target;
      tasks_ += static_cast<std::uint64_t>(current.tasks);
      send(current, sleep_ms);
      record_attempt(current);
      if (current.key.empty() || current.status == 200) {
        break;
      }
    }
    std::this_thread::sleep_for(profile_.pause);
  }
}

attempt caller_load::submit_once(const site::route& target, bool keyed, int tasks, int sleep_ms) {
  attempt current;
  current.job = ++jobs_;
  current.tasks = tasks;
  current.key = keyed ? uuid::make_v7(wall_now()).to_string() : "";
  current.target = target;
  send(current, sleep_ms);
  record_attempt(current);
  return current;
}

void caller_load::send(attempt& current, int sleep_ms) {
  // A new connection for each request: on a reused connection, an idle close by the server would
  // look like an interrupted request.
  http_client client(current.target.address, {connect_timeout, profile_.budget + reply_slack});
  const auto started_at = std::chrono::steady_clock::now();
  const auto response =
      client.send({"POST", "/v1/jobs", body_of(site_, current, sleep_ms, profile_.budget), {}});
  current.duration =
      std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - started_at);
  current.still_routed_at_end = site_.is_routed(current.target);
  current.status = 0;
  current.body.clear();
  current.error.clear();
  if (response.ok()) {
    current.outcome = attempt::end::replied;
    current.status = response->status;
    current.body = response->body;
    return;
  }
  const bool not_sent = response.status().code() == absl::StatusCode::kUnavailable;
  current.outcome = not_sent ? attempt::end::not_sent : attempt::end::lost;
  current.error = std::string(response.status().message());
}

void caller_load::record_attempt(attempt current) {
  const std::lock_guard lock(mutex_);
  attempts_.push_back(std::move(current));
}

} // namespace parsleylead::faults
