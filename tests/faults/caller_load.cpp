#include "caller_load.hpp"

#include <nlohmann/json.hpp>

#include "parsleylead/base/uuid.hpp"
#include "parsleylead/tool/http_client.hpp"

namespace parsleylead::faults {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr milliseconds connect_limit{2000};
// An entry replies within the budget; the rest is for frozen processes.
constexpr milliseconds reply_slack{12'000};
constexpr milliseconds no_entry_pause{100};
constexpr int max_attempts = 3;

std::string body_of(const site& place, const attempt& one, int sleep_ms, milliseconds budget) {
  json tasks = json::array();
  for (int i = 0; i < one.tasks; ++i) {
    tasks.push_back(json{{"sleep_ms", sleep_ms}, {"echo", one.echo(i)}}.dump());
  }
  const char* idempotent_kind = one.job % 2 == 0 ? "check" : "index";
  json body = {{"kind", place.kind(one.key.empty() ? idempotent_kind : "letter")},
               {"budget_ms", budget.count()},
               {"tasks", std::move(tasks)},
               {"wait", true}};
  if (!one.key.empty()) {
    body["key"] = one.key;
  }
  return body.dump();
}

} // namespace

caller_load::caller_load(const site& place, const load_profile& profile, std::uint64_t seed)
    : place_(place), profile_(profile) {
  for (int i = 0; i < profile.callers; ++i) {
    threads_.emplace_back(
        [this, caller_seed = seed * 1000 + static_cast<std::uint64_t>(i)] { call(caller_seed); });
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

void caller_load::call(std::uint64_t seed) {
  std::mt19937_64 random(seed);
  const auto between = [&random](int low, int high) {
    return std::uniform_int_distribution<int>(low, high)(random);
  };
  while (!stopped_ && !exhausted()) {
    attempt one;
    one.job = ++jobs_;
    one.tasks = between(profile_.min_tasks, profile_.max_tasks);
    const bool keyed = std::uniform_real_distribution<double>(0, 1)(random) < profile_.keyed_share;
    one.key = keyed ? uuid::make_v7(wall_now()).to_string() : "";
    const int sleep_ms = between(profile_.min_sleep_ms, profile_.max_sleep_ms);
    for (one.number = 1; one.number <= max_attempts; ++one.number) {
      const auto target = place_.pick_entry(random());
      if (!target) {
        std::this_thread::sleep_for(no_entry_pause);
        continue;
      }
      one.target = *target;
      tasks_ += static_cast<std::uint64_t>(one.tasks);
      send(one, sleep_ms);
      keep(one);
      if (one.key.empty() || one.status == 200) {
        break;
      }
    }
    std::this_thread::sleep_for(profile_.pause);
  }
}

attempt caller_load::submit_once(const site::route& target, bool keyed, int tasks, int sleep_ms) {
  attempt one;
  one.job = ++jobs_;
  one.tasks = tasks;
  one.key = keyed ? uuid::make_v7(wall_now()).to_string() : "";
  one.target = target;
  send(one, sleep_ms);
  keep(one);
  return one;
}

void caller_load::send(attempt& one, int sleep_ms) {
  // A new connection for each request: a reused one that the server closes while idle would look
  // like a request that was cut.
  http_client client(one.target.address, {connect_limit, profile_.budget + reply_slack});
  const auto begun = std::chrono::steady_clock::now();
  const auto response =
      client.send({"POST", "/v1/jobs", body_of(place_, one, sleep_ms, profile_.budget), {}});
  one.duration = std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - begun);
  one.routed_at_end = place_.is_routed(one.target);
  one.status = 0;
  one.body.clear();
  one.error.clear();
  if (response.ok()) {
    one.outcome = attempt::end::replied;
    one.status = response->status;
    one.body = response->body;
    return;
  }
  const bool not_sent = response.status().code() == absl::StatusCode::kUnavailable;
  one.outcome = not_sent ? attempt::end::not_sent : attempt::end::lost;
  one.error = std::string(response.status().message());
}

void caller_load::keep(attempt one) {
  const std::lock_guard lock(mutex_);
  attempts_.push_back(std::move(one));
}

} // namespace parsleylead::faults
