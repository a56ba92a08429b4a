#include "parsleylead/agent/agent_process.hpp"

#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <atomic>
#include <chrono>
#include <future>
#include <optional>
#include <string>
#include <utility>

#include "agent_core.hpp"
#include "agent_rpc.hpp"
#include "parsleylead/base/uuid.hpp"
#include "parsleylead/http/http_server.hpp"
#include "parsleylead/members/member_directory.hpp"
#include "parsleylead/observe/make_logger.hpp"
#include "parsleylead/platform_log/http_log_service.hpp"
#include "parsleylead/transport/rpc_server.hpp"
#include "upstream_announcement.hpp"

namespace parsleylead {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t http_threads = 8;
constexpr std::size_t max_announcement_bytes = 64UL * 1024;
// Short, because a shutdown waits for open connections.
constexpr milliseconds keep_alive_timeout{1000};
constexpr milliseconds entry_search_interval{5000};
constexpr milliseconds control_timeout{2000};
constexpr milliseconds control_poll_interval{20};

http_response error_reply(int status, std::string_view message) {
  std::string escaped;
  for (const char character : message) {
    if (character == '"' || character == '\\') {
      escaped += '\\';
    }
    escaped += character;
  }
  return {status, "{\"error\":\"" + escaped + "\"}"};
}

http_response unavailable() {
  return error_reply(503, "the agent does not respond");
}

} // namespace

class agent_process::impl {
public:
  explicit impl(agent_settings settings)
      : settings_(std::move(settings)), incarnation_(make_incarnation()),
        log_(make_logger("agent", settings_.logging)), announcements_(http_options()),
        operations_(http_options()) {
    announcements_.route("POST", "/v1/announce",
                         [this](const http_request& request) { return on_announce(request); });
    announcements_.route("DELETE", "/v1/announce",
                         [this](const http_request&) { return on_upstream_left(); });
    operations_.route("GET", ".*",
                      [this](const http_request& request) { return on_operation(request); });
  }

  ~impl() { stop_listeners(); }

  absl::Status start() {
    if (auto status = operations_.start(settings_.operations_address); !status.ok()) {
      return status;
    }
    core_.emplace(loop_, settings_, incarnation_, operations_.local_endpoint(), log_,
                  [this] { loop_.stop(); });
    rpc_.emplace(loop_, make_agent_port(*core_));
    if (auto status = rpc_->listen(settings_.rpc_address); !status.ok()) {
      return status;
    }
    core_->set_rpc_address(settings_.advertised_rpc_address.value_or(rpc_->local_endpoint()));
    if (auto status = announcements_.start(settings_.upstream.announce_address); !status.ok()) {
      return status;
    }
    schedule_entry_search();
    return absl::OkStatus();
  }

  agent_exit run() {
    loop_.run();
    stop_listeners();
    if (log_client_.has_value()) {
      log_client_->close();
    }
    directory_.reset();
    return core_->abandoned_tasks() ? agent_exit::abandoned_tasks : agent_exit::drained;
  }

  void request_stop() {
    asio::post(loop_.io(), [this] {
      if (core_.has_value()) {
        core_->stop();
      }
    });
  }

  rpc_loop& loop() { return loop_; }
  endpoint rpc_endpoint() const { return rpc_->local_endpoint(); }
  endpoint operations_endpoint() const { return operations_.local_endpoint(); }
  endpoint announce_endpoint() const { return announcements_.local_endpoint(); }

private:
  // Runs `action` on the control thread and waits for its reply, for at most `control_timeout`.
  template <class Action>
  http_response on_control_thread(Action action) {
    auto reply = std::make_shared<std::promise<http_response>>();
    auto result = reply->get_future();
    asio::post(loop_.io(), [this, reply, action = std::move(action)] {
      reply->set_value(core_.has_value() ? action(*core_) : unavailable());
    });
    for (auto waited = milliseconds::zero(); waited < control_timeout && !stopped_;
         waited += control_poll_interval) {
      if (result.wait_for(control_poll_interval) == std::future_status::ready) {
        return result.get();
      }
    }
    return unavailable();
  }

  // Searches the log for entries while no session is open: the configured ones may have been
  // replaced.
  void schedule_entry_search() {
    if (!settings_.log_address.has_value()) {
      return;
    }
    search_timer_.expires_after(entry_search_interval);
    search_timer_.async_wait([this](const asio::error_code& error) {
      if (error) {
        return;
      }
      if (core_->session_count() == 0) {
        search_entries_in_log();
      }
      schedule_entry_search();
    });
  }

  void search_entries_in_log() {
    if (directory_.has_value()) {
      directory_->refresh();
      return;
    }
    log_service_settings log;
    log.address = *settings_.log_address;
    log_client_.emplace(log);
    directory_.emplace(*log_client_, member_directory_options{},
                       [this](std::vector<member_record> members) {
                         asio::post(loop_.io(), [this, members = std::move(members)] {
                           for (const auto& member : members) {
                             core_->add_discovered_entry(member.address);
                           }
                         });
                       });
  }

  static http_server_options http_options() {
    return {http_threads, max_announcement_bytes, keep_alive_timeout};
  }

  http_response on_announce(const http_request& request) {
    auto parsed = parse_announcement(request.body, settings_.upstream);
    if (!parsed.ok()) {
      return error_reply(400, std::string(parsed.status().message()));
    }
    return on_control_thread([announcement = *std::move(parsed)](agent_core& core) {
      core.on_announcement(announcement);
      return http_response{200, "{}"};
    });
  }

  http_response on_upstream_left() {
    return on_control_thread([](agent_core& core) {
      core.on_upstream_left();
      return http_response{200, "{}"};
    });
  }

  http_response on_operation(const http_request& request) {
    return on_control_thread([path = request.path](agent_core& core) -> http_response {
      if (path == "/health") {
        return {200, R"({"healthy":true})"};
      }
      if (path == "/ready") {
        return core.ready() ? http_response{200, R"({"ready":true})"}
                            : http_response{503, R"({"ready":false})"};
      }
      if (path == "/metrics") {
        return {200, core.metrics(), "text/plain; version=0.0.4"};
      }
      if (path == "/v1/account") {
        return {200, to_json(core.account())};
      }
      if (path == "/v1/catalogue") {
        return {200, core.revisions_json()};
      }
      if (path == "/v1/members") {
        return {200, core.members_json()};
      }
      return error_reply(404, "unknown path");
    });
  }

  void stop_listeners() {
    stopped_ = true;
    announcements_.set_closing(true);
    operations_.set_closing(true);
    announcements_.stop();
    operations_.stop();
  }

  agent_settings settings_;
  std::uint64_t incarnation_;
  std::shared_ptr<spdlog::logger> log_;
  std::atomic<bool> stopped_ = false;
  rpc_loop loop_;
  // Declared before `rpc_`, whose sessions refer to it, so that it is destroyed later.
  std::optional<agent_core> core_;
  std::optional<rpc_server> rpc_;
  asio::steady_timer search_timer_{loop_.io()};
  std::optional<http_log_service> log_client_;
  std::optional<member_directory> directory_;
  http_server announcements_;
  http_server operations_;
};

agent_process::agent_process(agent_settings settings)
    : impl_(std::make_unique<impl>(std::move(settings))) {}

agent_process::~agent_process() = default;

absl::Status agent_process::start() {
  return impl_->start();
}

agent_exit agent_process::run() {
  return impl_->run();
}

void agent_process::request_stop() {
  impl_->request_stop();
}

endpoint agent_process::rpc_endpoint() const {
  return impl_->rpc_endpoint();
}

endpoint agent_process::operations_endpoint() const {
  return impl_->operations_endpoint();
}

endpoint agent_process::announce_endpoint() const {
  return impl_->announce_endpoint();
}

asio::io_context& agent_process::io() {
  return impl_->loop().io();
}

} // namespace parsleylead
