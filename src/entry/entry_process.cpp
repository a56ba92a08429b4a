#include "parsleylead/entry/entry_process.hpp"

#include <algorithm>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <atomic>
#include <future>
#include <nlohmann/json.hpp>
#include <thread>
#include <utility>

#include "agent_links.hpp"
#include "catalogue_service.hpp"
#include "claim_service.hpp"
#include "entry_port.hpp"
#include "entry_reports.hpp"
#include "member_service.hpp"
#include "parsleylead/base/invariant.hpp"
#include "parsleylead/entry/caller_request.hpp"
#include "parsleylead/entry/dispatcher.hpp"
#include "parsleylead/http/http_server.hpp"
#include "parsleylead/members/member_directory.hpp"
#include "parsleylead/observe/make_logger.hpp"
#include "parsleylead/observe/metrics_registry.hpp"
#include "parsleylead/observe/span_writer.hpp"
#include "parsleylead/transport/rpc_server.hpp"
#include "parsleylead/transport/run_on_loop.hpp"

namespace parsleylead {
namespace {

// Interval for checking sessions and members; must be small compared to probe_after.
constexpr std::chrono::milliseconds link_tick_interval{25};
// Upper limit of the time between two checks of deadlines and the backlog.
constexpr std::chrono::milliseconds max_tick_interval{100};
constexpr std::chrono::milliseconds min_tick_interval{1};
// Upper limit of wait_ms of GET /v1/jobs/{id}; callers repeat the request.
constexpr std::chrono::milliseconds max_fetch_wait{60'000};
constexpr std::size_t operations_threads = 16;
constexpr std::size_t operations_body_bytes = 64UL * 1024;
constexpr std::chrono::milliseconds drain_check_interval{20};
// After this time the entry reports ready even without agents: it then refuses jobs with the
// reason.
constexpr std::chrono::milliseconds max_wait_for_agents{3000};

monotonic_time now_on_loop() {
  return std::chrono::steady_clock::now();
}

dispatcher_options make_options(const entry_settings& settings) {
  dispatcher_options options;
  options.availability_zone = settings.availability_zone;
  options.entry_slot = settings.entry_slot;
  options.entry_slots = settings.entry_slots;
  options.answer_retention = settings.callers.answer_retention;
  options.backlog_options.order = settings.policy.order == "first_come"
                                      ? backlog_order::first_come
                                      : backlog_order::smallest_first;
  options.backlog_options.aging_share = settings.policy.aging_share;
  return options;
}

selected_policy make_policy(const entry_settings& settings) {
  auto policy = selected_policy::make(settings.policy.name, make_incarnation());
  check_invariant(policy.ok(), "the settings name an unknown policy");
  return *std::move(policy);
}

// Passes a reply from the control thread to a waiting HTTP thread.
using reply_promise = std::shared_ptr<std::promise<job_reply>>;

reply_promise make_reply_promise() {
  return std::make_shared<std::promise<job_reply>>();
}

dispatcher::reply_callback deliver_to(const reply_promise& promise) {
  return [promise](job_reply reply) { promise->set_value(std::move(reply)); };
}

http_response to_response(job_reply reply) {
  return {reply.status, std::move(reply.body), "application/json", {}};
}

job_reply unknown_submission(const std::string& id) {
  return make_failure_reply(
      id, run_certainty::may_have_run,
      {reason::unknown_submission, step::receive, "", "no reachable entry knows this submission"});
}

} // namespace

class entry_process::impl : public peer_gateway {
public:
  impl(const entry_settings& settings, log_service& log);
  // KJ members have destructors that are declared noexcept(false); this one must not throw.
  ~impl() noexcept override;
  impl(const impl&) = delete;
  impl& operator=(const impl&) = delete;

  absl::Status start();
  void run();
  void request_stop();

  asio::io_context& io() { return loop_.io(); }
  endpoint caller_endpoint() const { return callers_.local_endpoint(); }
  endpoint operations_endpoint() const { return operations_.local_endpoint(); }
  endpoint rpc_endpoint() const { return rpc_.local_endpoint(); }

  void fetch_job(const claim_holder& holder, std::chrono::milliseconds wait,
                 std::function<void(std::optional<job_reply>)> done) override;

private:
  enum class phase { serving, notifying, draining, stopped };

  // RPC address that is reported to peers.
  endpoint advertised_endpoint() const {
    return settings_.advertised_rpc_address.value_or(rpc_endpoint());
  }
  link_context make_link_context();
  member_service::callbacks make_member_callbacks();
  entry_member describe_self() const;
  void add_caller_routes();
  void add_operations_routes();

  http_response submit(const http_request& request);
  http_response fetch(const http_request& request);
  http_response cancel(const http_request& request);
  void fetch_from_members(const std::string& id, std::chrono::milliseconds wait,
                          const dispatcher::reply_callback& reply);
  void record_reply(const caller_request& request, const trace_context& context,
                    std::chrono::system_clock::time_point received, const job_reply& reply);

  http_response ready();
  http_response metrics();

  void on_catalogue_changes(const std::vector<subject_change>& changes);
  void apply_change(const subject_change& change, monotonic_time now);
  void apply_drain(const std::string& process);

  void start_directory();
  void schedule_tick();
  void schedule_links();
  void begin_drain();
  void continue_drain(monotonic_time deadline);
  void stop_now();
  void stop_loop();

  entry_settings settings_;
  log_service& log_;
  std::shared_ptr<spdlog::logger> logger_;
  metrics_registry metrics_;
  span_writer spans_;
  std::uint64_t incarnation_ = make_incarnation();
  monotonic_time started_at_ = now_on_loop();
  std::atomic<int> stop_requests_{0};
  phase phase_ = phase::serving;

  rpc_loop loop_;
  sequence_allocator numbers_;
  agent_links links_;
  claim_service claims_;
  catalogue_service catalogue_;
  dispatcher dispatcher_;
  member_service members_;
  link_context link_context_;
  rpc_server rpc_;
  http_server callers_;
  http_server operations_;
  std::optional<member_directory> directory_;
  asio::steady_timer tick_timer_;
  asio::steady_timer link_timer_;
  asio::steady_timer drain_timer_;
  /// Stops the HTTP servers while the control loop still runs.
  std::thread http_stop_thread_;
};

entry_process::impl::impl(const entry_settings& settings, log_service& log)
    : settings_(settings), log_(log), logger_(make_logger("entry", settings.logging)),
      spans_(settings.traces.path, settings.name), claims_(loop_.io(), log, settings_),
      catalogue_(loop_.io(), log, settings_),
      dispatcher_(make_options(settings_), make_policy(settings_), links_, claims_, *this),
      members_(loop_, settings_, make_member_callbacks()), link_context_(make_link_context()),
      rpc_(loop_, make_entry_port({dispatcher_, links_, catalogue_, members_, loop_})),
      callers_(
          {settings.callers.threads, settings.callers.max_body_bytes, settings.callers.keep_alive}),
      operations_({operations_threads, operations_body_bytes, settings.callers.keep_alive}),
      tick_timer_(loop_.io()), link_timer_(loop_.io()), drain_timer_(loop_.io()) {
  links_.set_context(&link_context_);
}

entry_process::impl::~impl() noexcept = default;

// Start and stop.

absl::Status entry_process::impl::start() {
  if (auto status = rpc_.listen(settings_.rpc_address); !status.ok()) {
    return status;
  }
  add_operations_routes();
  if (auto status = operations_.start(settings_.operations_address); !status.ok()) {
    return status;
  }
  add_caller_routes();
  if (auto status = callers_.start(settings_.callers.address); !status.ok()) {
    operations_.stop();
    return status;
  }
  members_.start(describe_self());
  claims_.start(to_string(advertised_endpoint()), [this](const claim_decision& decision) {
    dispatcher_.on_claim(decision, now_on_loop());
  });
  catalogue_.start([this](const auto& changes) { on_catalogue_changes(changes); });
  start_directory();
  schedule_tick();
  schedule_links();
  logger_->info("Listening for callers at {}, operators at {}, peers at {}.",
                to_string(caller_endpoint()), to_string(operations_endpoint()),
                to_string(rpc_endpoint()));
  return absl::OkStatus();
}

void entry_process::impl::run() {
  loop_.run();
  if (http_stop_thread_.joinable()) {
    http_stop_thread_.join();
  }
  // No handler runs any more. Stop the threads before closing the connections.
  log_.close();
  directory_.reset();
  claims_.stop();
  catalogue_.stop();
  members_.stop();
  links_.clear();
  logger_->info("Stopped.");
}

void entry_process::impl::request_stop() {
  const int request = ++stop_requests_;
  asio::post(loop_.io(), [this, request] {
    if (request == 1) {
      begin_drain();
    } else {
      stop_now();
    }
  });
}

void entry_process::impl::begin_drain() {
  if (phase_ != phase::serving) {
    return;
  }
  logger_->info("Draining with {} open jobs.", dispatcher_.open_jobs());
  phase_ = phase::notifying;
  members_.set_leaving();
  callers_.set_closing(true);
  drain_timer_.expires_after(settings_.drain_notice);
  drain_timer_.async_wait([this](const asio::error_code& error) {
    if (error) {
      return;
    }
    phase_ = phase::draining;
    dispatcher_.refuse_new_jobs({reason::entry_leaving, step::admit, settings_.name,
                                 "this entry is leaving; submit to another one"});
    continue_drain(now_on_loop() + settings_.drain_limit);
  });
}

void entry_process::impl::continue_drain(monotonic_time deadline) {
  const auto now = now_on_loop();
  const bool done =
      dispatcher_.open_jobs() == 0 && dispatcher_.tasks_in_flight() == 0 && claims_.idle();
  if (done || now >= deadline) {
    stop_now();
    return;
  }
  drain_timer_.expires_after(drain_check_interval);
  drain_timer_.async_wait([this, deadline](const asio::error_code& error) {
    if (!error) {
      continue_drain(deadline);
    }
  });
}

// Ends all open jobs with a failure, lets the HTTP servers send the replies and stops the process.
void entry_process::impl::stop_now() {
  if (phase_ == phase::stopped) {
    return;
  }
  phase_ = phase::stopped;
  const failure leaving{reason::entry_leaving, step::drain, settings_.name, "this entry stopped"};
  dispatcher_.refuse_new_jobs(leaving);
  dispatcher_.abandon_open_jobs(leaving, now_on_loop());
  // Stopping an HTTP server waits for its handlers, and these need the control thread.
  http_stop_thread_ = std::thread([this] {
    callers_.stop();
    operations_.stop();
    loop_.stop();
  });
}

// Callers.

void entry_process::impl::add_caller_routes() {
  callers_.route("POST", "/v1/jobs", [this](const auto& request) { return submit(request); });
  callers_.route("GET", "/v1/jobs/([^/]+)", [this](const auto& request) { return fetch(request); });
  callers_.route("DELETE", "/v1/jobs/([^/]+)",
                 [this](const auto& request) { return cancel(request); });
}

http_response entry_process::impl::submit(const http_request& request) {
  const auto received = std::chrono::system_clock::now();
  auto parsed = parse_caller_request(request.body);
  if (const auto* error = std::get_if<failure>(&parsed)) {
    run_on_loop(loop_, [this, error] { dispatcher_.accounts().record_refusal("", "", *error); });
    return to_response(make_failure_reply("", run_certainty::not_run, *error));
  }
  auto& parsed_request = std::get<caller_request>(parsed);
  const auto context = trace_context::continue_from(request.traceparent);
  parsed_request.traceparent = context.traceparent();
  const auto promise = make_reply_promise();
  asio::post(loop_.io(), [this, parsed_request, promise]() mutable {
    dispatcher_.submit(std::move(parsed_request), now_on_loop(), deliver_to(promise));
  });
  auto reply = promise->get_future().get();
  record_reply(parsed_request, context, received, reply);
  return to_response(std::move(reply));
}

void entry_process::impl::record_reply(const caller_request& request, const trace_context& context,
                                       std::chrono::system_clock::time_point received,
                                       const job_reply& reply) {
  const auto ended = std::chrono::system_clock::now();
  const auto status = std::to_string(reply.status);
  metrics_.observe("parsleylead_entry_response_seconds", {{"status", status}}, ended - received);
  if (!spans_.enabled()) {
    return;
  }
  span job_span;
  job_span.context = context;
  job_span.name = "job";
  job_span.kind = span_kind::server;
  job_span.start = received;
  job_span.end = ended;
  job_span.attributes = {{"kind", request.kind}, {"status", status}};
  job_span.error = reply.status >= 400 ? status : "";
  spans_.write(std::move(job_span));
}

http_response entry_process::impl::fetch(const http_request& request) {
  const auto& id = request.captures.front();
  const auto submission = uuid::parse(id);
  if (!submission) {
    return to_response(unknown_submission(id));
  }
  const auto wait_parameter = request.query.find("wait_ms");
  const long wait_ms =
      wait_parameter == request.query.end() ? 0 : std::atol(wait_parameter->second.c_str());
  const auto wait =
      std::clamp(std::chrono::milliseconds(wait_ms), std::chrono::milliseconds(0), max_fetch_wait);
  const auto promise = make_reply_promise();
  asio::post(loop_.io(), [this, id, submission = *submission, wait, promise] {
    const auto callback = deliver_to(promise);
    if (!dispatcher_.fetch(submission, wait.count() > 0, callback)) {
      fetch_from_members(id, wait, callback);
    }
  });
  return to_response(promise->get_future().get());
}

void entry_process::impl::fetch_from_members(const std::string& id, std::chrono::milliseconds wait,
                                             const dispatcher::reply_callback& reply) {
  members_.fetch_job("", id, wait, [id, reply](std::optional<job_reply> found) {
    reply(found ? *std::move(found) : unknown_submission(id));
  });
}

http_response entry_process::impl::cancel(const http_request& request) {
  const auto& id = request.captures.front();
  const auto submission = uuid::parse(id);
  if (!submission) {
    return to_response(unknown_submission(id));
  }
  const auto promise = make_reply_promise();
  asio::post(loop_.io(), [this, id, submission = *submission, promise] {
    const auto callback = deliver_to(promise);
    if (dispatcher_.cancel(submission, now_on_loop(), callback)) {
      return;
    }
    members_.cancel_job(id, [id, callback](std::optional<job_reply> found) {
      callback(found ? *std::move(found) : unknown_submission(id));
    });
  });
  return to_response(promise->get_future().get());
}

void entry_process::impl::fetch_job(const claim_holder& holder, std::chrono::milliseconds wait,
                                    std::function<void(std::optional<job_reply>)> done) {
  members_.fetch_job(holder.entry_address, holder.submission.to_string(), wait, std::move(done));
}

// Operators.

void entry_process::impl::add_operations_routes() {
  operations_.route("GET", "/health", [](const auto&) { return http_response{200, "{}"}; });
  operations_.route("GET", "/ready", [this](const auto&) { return ready(); });
  operations_.route("GET", "/metrics", [this](const auto&) { return metrics(); });
  operations_.route("GET", "/v1/catalogue", [this](const auto&) {
    return run_on_loop(loop_, [this] {
      return http_response{200, catalogue_report(settings_.name, catalogue_.replica())};
    });
  });
  operations_.route("GET", "/v1/members", [this](const auto&) {
    return run_on_loop(loop_, [this] {
      return http_response{
          200, members_report(members_.self(), members_.members(), links_, dispatcher_)};
    });
  });
  operations_.route("GET", "/v1/account", [this](const auto&) {
    return run_on_loop(loop_, [this] {
      return http_response{200, account_report(settings_.name, dispatcher_.accounts().snapshot())};
    });
  });
}

http_response entry_process::impl::ready() {
  return run_on_loop(loop_, [this] {
    const bool leaving = phase_ != phase::serving;
    const bool has_catalogue = catalogue_.replica() != nullptr;
    const bool has_agents =
        links_.open_count() > 0 || now_on_loop() - started_at_ > max_wait_for_agents;
    const bool is_ready = !leaving && has_catalogue && has_agents;
    const nlohmann::json body = {{"ready", is_ready},
                                 {"leaving", leaving},
                                 {"catalogue", has_catalogue},
                                 {"agents", links_.open_count()}};
    return http_response{is_ready ? 200 : 503, body.dump()};
  });
}

http_response entry_process::impl::metrics() {
  return run_on_loop(loop_, [this] {
    entry_gauges gauges;
    gauges.open_jobs = dispatcher_.open_jobs();
    gauges.waiting_tasks = dispatcher_.waiting_tasks();
    gauges.tasks_in_flight = dispatcher_.tasks_in_flight();
    gauges.open_sessions = links_.open_count();
    gauges.catalogue_offset = catalogue_.offset();
    gauges.log_reachable = catalogue_.is_log_reachable();
    gauges.claims = claims_.statistics();
    update_metrics(metrics_, dispatcher_.accounts().snapshot(), gauges);
    return http_response{200, metrics_.render(), "text/plain; version=0.0.4", {}};
  });
}

// Catalogue and members.

void entry_process::impl::on_catalogue_changes(const std::vector<subject_change>& changes) {
  const auto now = now_on_loop();
  std::vector<std::pair<std::string, std::uint64_t>> revisions;
  for (const auto& change : changes) {
    apply_change(change, now);
    if (change.subject.type == subject_type::kind) {
      revisions.emplace_back(change.subject.name, change.revision);
    }
    logger_->info("Catalogue: {} is now at revision {}{}.", to_string(change.subject),
                  change.revision, change.value == nullptr ? " (removed)" : "");
  }
  dispatcher_.mark_catalogue_loaded();
  if (!revisions.empty()) {
    links_.push_revisions(revisions);
  }
}

void entry_process::impl::apply_change(const subject_change& change, monotonic_time now) {
  const auto& name = change.subject.name;
  switch (change.subject.type) {
  case subject_type::kind:
    if (change.value == nullptr) {
      dispatcher_.remove_kind(name, change.revision);
    } else {
      dispatcher_.set_kind(name, std::get<kind_definition>(*change.value), change.revision, now);
    }
    return;
  case subject_type::owner:
    if (change.value == nullptr) {
      dispatcher_.remove_owner(name);
    } else {
      dispatcher_.set_owner(name, std::get<owner_quota>(*change.value), now);
    }
    return;
  case subject_type::drain:
    if (change.value != nullptr) {
      apply_drain(name);
    }
    return;
  }
}

void entry_process::impl::apply_drain(const std::string& process) {
  if (process == settings_.name) {
    begin_drain();
    return;
  }
  links_.drain(process);
}

entry_member entry_process::impl::describe_self() const {
  entry_member self;
  self.name = settings_.name;
  self.incarnation = incarnation_;
  self.address = to_string(advertised_endpoint());
  self.operations_address = to_string(operations_endpoint());
  self.availability_zone = settings_.availability_zone;
  return self;
}

member_service::callbacks entry_process::impl::make_member_callbacks() {
  member_service::callbacks callbacks;
  callbacks.catalogue_offset = [this] { return catalogue_.offset(); };
  callbacks.needs_peer_snapshot = [this] {
    return catalogue_.needs_peer_snapshot() || !catalogue_.is_log_reachable();
  };
  callbacks.on_snapshot = [this](const catalogue_snapshot& snapshot) {
    catalogue_.on_peer_snapshot(snapshot);
  };
  callbacks.on_agent = [this](const agent_address& agent) { links_.add(agent, now_on_loop()); };
  callbacks.on_exchange = [this] { dispatcher_.accounts().add_control_messages(); };
  return callbacks;
}

link_context entry_process::impl::make_link_context() {
  return {loop_,
          settings_.sessions,
          numbers_,
          dispatcher_,
          [this](wire::EntryInfo::Builder info) { fill_entry_info(info, members_.self()); },
          [this] { return catalogue_.kind_revisions(); },
          [this] { members_.refresh(); },
          [this](const std::string& agent) {
            const auto* replica = catalogue_.replica();
            if (replica != nullptr && replica->is_draining(agent)) {
              links_.drain(agent);
            }
          }};
}

// Member records in the log let processes find entries when all their configured addresses are
// outdated.
void entry_process::impl::start_directory() {
  member_directory_options options;
  options.self = member_record{settings_.name, *parse_endpoint(members_.self().address)};
  directory_.emplace(log_, options, [this](std::vector<member_record> members) {
    asio::post(loop_.io(), [this, members = std::move(members)] {
      for (const auto& member : members) {
        members_.add_candidate(member.address);
      }
    });
  });
}

// Timers.

void entry_process::impl::schedule_tick() {
  const auto now = now_on_loop();
  dispatcher_.tick(now);
  const auto latest = now + max_tick_interval;
  const auto next = std::min(dispatcher_.next_event(now).value_or(latest), latest);
  tick_timer_.expires_at(std::max(next, now + min_tick_interval));
  tick_timer_.async_wait([this](const asio::error_code& error) {
    if (!error) {
      schedule_tick();
    }
  });
}

void entry_process::impl::schedule_links() {
  const auto now = now_on_loop();
  links_.tick(now);
  members_.tick(now);
  link_timer_.expires_after(link_tick_interval);
  link_timer_.async_wait([this](const asio::error_code& error) {
    if (!error) {
      schedule_links();
    }
  });
}

entry_process::entry_process(const entry_settings& settings, log_service& log)
    : impl_(std::make_unique<impl>(settings, log)) {}

entry_process::~entry_process() = default;

absl::Status entry_process::start() {
  return impl_->start();
}

void entry_process::run() {
  impl_->run();
}

void entry_process::request_stop() {
  impl_->request_stop();
}

asio::io_context& entry_process::io() {
  return impl_->io();
}

endpoint entry_process::caller_endpoint() const {
  return impl_->caller_endpoint();
}

endpoint entry_process::operations_endpoint() const {
  return impl_->operations_endpoint();
}

endpoint entry_process::rpc_endpoint() const {
  return impl_->rpc_endpoint();
}

} // namespace parsleylead
