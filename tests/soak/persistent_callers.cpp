#include "persistent_callers.hpp"

#include <array>
#include <nlohmann/json.hpp>

#include "parsleylead/base/call_after.hpp"
#include "parsleylead/fleet/format_run.hpp"

namespace parsleylead::soak {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

// Longest pauses between the requests of the callers of small jobs, one caller each at each entry.
// A connection is idle for this long at most, so that stops meet idle and busy ones.
constexpr std::array small_job_pauses{milliseconds(20),    milliseconds(20),   milliseconds(80),
                                      milliseconds(80),    milliseconds(300),  milliseconds(800),
                                      milliseconds(1'800), milliseconds(4'000)};
// Callers of jobs that run longer than the stop grace period (6 s), at each entry.
constexpr int long_job_callers = 2;
// A caller waits this much longer than the deadline that it sends.
constexpr milliseconds response_margin{2'000};
constexpr milliseconds small_job_deadline{4'000};
constexpr milliseconds long_job_deadline{14'000};
// As on the platform: a job without a known outcome is sent again after this time.
constexpr milliseconds resend_delay{1'300};
constexpr milliseconds redirect_delay{20};
constexpr milliseconds refusal_delay{300};
// A small job must be served by one of the entries within this time.
constexpr milliseconds service_timeout{9'000};

enum class call_kind : std::uint8_t { queue, best_effort, durable, long_job, wide_job };

enum class caller_kind : std::uint8_t { small_jobs, long_jobs, wide_jobs };

const char* to_string(call_kind kind) {
  constexpr std::array names{"queue query", "best-effort job", "durable job", "long job",
                             "wide job"};
  return names.at(static_cast<std::size_t>(kind));
}

bool is_submission(call_kind kind) {
  return kind != call_kind::queue;
}

} // namespace

struct persistent_callers::caller {
  explicit caller(asio::io_context& io) : timer(io) {}

  caller_kind kind = caller_kind::small_jobs;
  milliseconds longest_pause{0};
  /// Index of the entry that gets each new request first.
  std::size_t home = 0;
  /// The caller pauses before its next request.
  bool pausing = false;
  /// One connection to each entry.
  std::vector<std::unique_ptr<web_client>> connections;
  asio::steady_timer timer;
};

struct persistent_callers::call_state {
  caller* owner = nullptr;
  call_kind kind = call_kind::queue;
  std::uint64_t id = 0;
  std::size_t entry = 0;
  std::uint32_t tasks = 1;
  int work_ms = 0;
  int estimate_ms = 0;
  int cpu_millis = 1'000;
  milliseconds deadline = small_job_deadline;
  bool submitted = false;
  steady_clock::time_point began_at = steady_clock::now();
  steady_clock::time_point sent_at;

  std::string payload() const { return std::to_string(work_ms) + " " + std::to_string(cpu_millis); }
};

persistent_callers::persistent_callers(asio::io_context& io, const std::vector<endpoint>& entries,
                                       std::uint64_t seed, soak_judge& judge,
                                       std::function<void(const std::string&)> on_stored)
    : io_(io), random_(seed), judge_(judge), on_stored_(std::move(on_stored)) {
  const auto add = [&](std::size_t home, caller_kind kind, milliseconds longest_pause) {
    auto added = std::make_unique<caller>(io_);
    added->kind = kind;
    added->longest_pause = longest_pause;
    added->home = home;
    for (const auto& entry : entries) {
      added->connections.push_back(std::make_unique<web_client>(io_, entry, 1));
    }
    callers_.push_back(std::move(added));
  };
  for (std::size_t home = 0; home < entries.size(); ++home) {
    for (const auto pause : small_job_pauses) {
      add(home, caller_kind::small_jobs, pause);
    }
    for (int i = 0; i < long_job_callers; ++i) {
      add(home, caller_kind::long_jobs, milliseconds(500));
    }
    add(home, caller_kind::wide_jobs, milliseconds(2'500));
  }
}

persistent_callers::~persistent_callers() = default;

void persistent_callers::start() {
  running_ = true;
  for (const auto& each : callers_) {
    wait(*each);
  }
}

void persistent_callers::use_idle_connections(std::size_t entry) {
  for (const auto& each : callers_) {
    if (each->home == entry && each->pausing && each->kind == caller_kind::small_jobs) {
      each->timer.cancel();
      begin(*each);
    }
  }
}

void persistent_callers::wait(caller& each) {
  each.pausing = true;
  call_after(each.timer, milliseconds(random_below(static_cast<int>(each.longest_pause.count()))),
             [this, &each] {
               // use_idle_connections may have ended the pause after the timer had expired.
               if (each.pausing) {
                 begin(each);
               }
             });
}

void persistent_callers::begin(caller& each) {
  each.pausing = false;
  if (!running_ || (each.kind != caller_kind::small_jobs && !long_jobs_)) {
    return;
  }
  auto call = std::make_shared<call_state>();
  call->owner = &each;
  call->entry = each.home;
  renew(*call);
  switch (each.kind) {
  case caller_kind::long_jobs:
    call->kind = call_kind::long_job;
    call->work_ms = 6'500 + random_below(2'500);
    call->estimate_ms = call->work_ms;
    call->deadline = long_job_deadline;
    break;
  case caller_kind::wide_jobs:
    // Its tasks need most of a worker, so that they or others wait. The estimate, far above the
    // work, keeps the job from being refused before the entry stops.
    call->kind = call_kind::wide_job;
    call->tasks = 1 + random_below(2);
    call->cpu_millis = call->tasks == 1 ? 15'500 : 12'000;
    call->work_ms = 1'500;
    call->estimate_ms = 8'000;
    call->deadline = long_job_deadline;
    break;
  default: {
    const int choice = random_below(10);
    call->kind = choice < 6   ? call_kind::best_effort
                 : choice < 8 ? call_kind::durable
                              : call_kind::queue;
    call->work_ms = 20 + random_below(280);
    call->estimate_ms = call->work_ms;
  }
  }
  ++open_;
  send(call);
}

void persistent_callers::renew(call_state& call) {
  call.id = random_();
  call.submitted = false;
}

void persistent_callers::send(const std::shared_ptr<call_state>& call) {
  ++counts_.requests;
  const auto name = format_job(call->id);
  web_request request{"GET", "/q1/", {{"host", "soak.example"}}, ""};
  request.headers.emplace_back("x-deadline-ms", std::to_string(call->deadline.count()));
  if (call->kind != call_kind::queue) {
    request.target += name;
  }
  if (is_submission(call->kind)) {
    request.method = "POST";
    request.body = json{{"spec", call->payload()},
                        {"best_effort", call->kind != call_kind::durable},
                        {"steps", json::array({{{"count", call->tasks},
                                                {"cpu", call->cpu_millis},
                                                {"mem_mb", 64},
                                                {"estimate_ms", call->estimate_ms}}})}}
                       .dump();
    if (!call->submitted) {
      judge_.job_submitted(name, call->payload(), call->tasks, call->kind == call_kind::durable);
    }
  }
  call->sent_at = steady_clock::now();
  call->owner->connections.at(call->entry)
      ->call(std::move(request), call->deadline + response_margin,
             [this, call](const absl::StatusOr<web_response>& response) {
               handle_response(call, response);
             });
}

void persistent_callers::retry(const std::shared_ptr<call_state>& call, milliseconds delay) {
  const bool small = call->kind == call_kind::best_effort || call->kind == call_kind::durable;
  if (!small || steady_clock::now() + delay - call->began_at > service_timeout) {
    if (small) {
      judge_.record_violation("no entry served the " + std::string(to_string(call->kind)) + " " +
                              format_job(call->id) + " within " +
                              std::to_string(service_timeout.count()) + " ms");
    }
    end(call);
    return;
  }
  call->entry = (call->entry + 1) % call->owner->connections.size();
  call_after(call->owner->timer, delay, [this, call] { send(call); });
}

void persistent_callers::end(const std::shared_ptr<call_state>& call) {
  --open_;
  wait(*call->owner);
}

void persistent_callers::handle_response(const std::shared_ptr<call_state>& call,
                                         const absl::StatusOr<web_response>& response) {
  const auto name = format_job(call->id);
  if (absl::IsUnavailable(response.status())) {
    ++counts_.redirected;
    retry(call, redirect_delay);
    return;
  }
  const bool not_sent_whole = absl::IsAborted(response.status());
  if (not_sent_whole || !response.ok() || response->status == 504) {
    if (not_sent_whole) {
      ++counts_.redirected;
    } else if (!response.ok()) {
      ++counts_.lost;
      const auto waited =
          std::chrono::round<milliseconds>(steady_clock::now() - call->sent_at).count();
      judge_.request_lost(to_string(call->kind), is_submission(call->kind) ? name : "",
                          std::to_string(waited) +
                              " ms after it was sent: " + std::string(response.status().message()));
    } else {
      ++counts_.unresolved;
    }
    resubmit(call, not_sent_whole ? redirect_delay : resend_delay);
    return;
  }
  if (response->status == 429 || response->status == 503) {
    ++counts_.refused;
    if (is_submission(call->kind)) {
      judge_.job_refused(name);
      renew(*call);
    }
    retry(call, refusal_delay);
    return;
  }
  if (response->status != 200) {
    judge_.record_violation(std::string(to_string(call->kind)) + " " + name +
                            " got the unexpected status " + std::to_string(response->status));
    end(call);
    return;
  }
  if (is_submission(call->kind)) {
    handle_submitted(call, *response);
  } else {
    end(call);
  }
}

void persistent_callers::resubmit(const std::shared_ptr<call_state>& call, milliseconds delay) {
  if (is_submission(call->kind)) {
    call->submitted = true;
    judge_.job_resubmitted(format_job(call->id));
  }
  retry(call, delay);
}

void persistent_callers::handle_submitted(const std::shared_ptr<call_state>& call,
                                          const web_response& response) {
  const auto name = format_job(call->id);
  if (call->kind == call_kind::durable) {
    ++counts_.stored;
    judge_.job_accepted(name);
    on_stored_(name);
  } else if (response.body.find("completed") != std::string::npos) {
    ++counts_.completed;
    judge_.job_completed(name);
  } else {
    judge_.job_reported_failed(name);
  }
  end(call);
}

} // namespace parsleylead::soak
