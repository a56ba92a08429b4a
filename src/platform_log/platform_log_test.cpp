#include <doctest/doctest.h>
#include <httplib.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <condition_variable>
#include <filesystem>
#include <fstream>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>

#include "parsleylead/base/error.hpp"
#include "parsleylead/platform_log/find_offset.hpp"
#include "parsleylead/platform_log/http_log_service.hpp"
#include "parsleylead/platform_log/log_appender.hpp"
#include "parsleylead/platform_log/log_tailer.hpp"
#include "parsleylead/platform_log/memory_log_service.hpp"

namespace parsleylead {
namespace {

using std::chrono::milliseconds;

// Collects values from the threads that make the log's callbacks.
template <typename T>
class value_collector {
public:
  void push(T value) {
    const std::lock_guard lock(mutex_);
    values_.push_back(std::move(value));
    changed_.notify_all();
  }

  // Waits until there are `count` values. The time-out is reached only if the test has failed.
  std::vector<T> wait_for(std::size_t count) {
    std::unique_lock lock(mutex_);
    changed_.wait_for(lock, std::chrono::seconds(20), [&] { return values_.size() >= count; });
    return values_;
  }

private:
  std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<T> values_;
};

log_service_settings settings_for(int port) {
  log_service_settings settings;
  settings.address = {"127.0.0.1", static_cast<std::uint16_t>(port)};
  return settings;
}

void push_payloads(value_collector<std::string>& received, const log_batch& batch) {
  for (const log_record& record : batch.result.records) {
    received.push(record.payload);
  }
}

TEST_CASE("log_tailer: every record is delivered once across an outage") {
  // Failed reads must not lead to skipped or repeated records.
  memory_log_service log;
  value_collector<std::string> received;
  value_collector<absl::Status> errors;
  log_tailer_options options{"s", 1, 2, milliseconds(5), milliseconds(1), milliseconds(4)};
  REQUIRE(log.append("s", "0").ok());
  log_tailer tailer(
      log, options, [&](const log_batch& batch) { push_payloads(received, batch); },
      [&](const absl::Status& status) { errors.push(status); });
  received.wait_for(1);
  log.set_down(true);
  CHECK(error_step(errors.wait_for(2).front()) == step::log_read);
  CHECK(log.append("s", "lost").status().code() == absl::StatusCode::kUnavailable);
  log.set_down(false);
  for (int i = 1; i < 6; ++i) {
    REQUIRE(log.append("s", std::to_string(i)).ok());
  }
  CHECK(received.wait_for(6) == std::vector<std::string>{"0", "1", "2", "3", "4", "5"});
}

TEST_CASE("log_tailer: a batch shows which records the log has dropped") {
  // A replica must not mistake a stream with a gap for a complete one.
  memory_log_service log;
  for (int i = 0; i < 5; ++i) {
    REQUIRE(log.append("s", "x").ok());
  }
  log.forget_below("s", 4);
  value_collector<log_batch> batches;
  log_tailer tailer(log, {"s", 2}, [&](log_batch batch) { batches.push(std::move(batch)); });
  const auto first = batches.wait_for(1).front();
  CHECK(first.start_offset == 2);
  CHECK(first.result.earliest == 4);
  CHECK(first.result.records.front().offset == 4);
}

TEST_CASE("log_service: close ends a long poll, and a stopped appender cancels queued records") {
  // Otherwise a process would hang when it stops while the log is slow.
  memory_log_service log;
  log_tailer_options options;
  options.stream = "s";
  options.poll_wait = std::chrono::hours(1);
  log_tailer tailer(log, options, [](const log_batch&) {});
  log.set_delay(std::chrono::hours(1));
  log_appender appender(log, {"s", milliseconds(0), 2});
  value_collector<absl::StatusCode> results;
  const auto done = [&](const absl::StatusOr<std::uint64_t>& result) {
    results.push(result.status().code());
  };
  int queued = 0;
  for (int i = 0; i < 100; ++i) {
    queued += appender.append("x", done) ? 1 : 0;
  }
  CHECK(queued <= 3);
  log.close();
  appender.stop();
  tailer.stop();
  const auto codes = results.wait_for(static_cast<std::size_t>(queued));
  CHECK(codes == std::vector<absl::StatusCode>(static_cast<std::size_t>(queued),
                                               absl::StatusCode::kCancelled));
  CHECK_FALSE(appender.append("x", done));
}

TEST_CASE("log_appender: records are appended in order and one at a time") {
  // Otherwise appends could be reordered, for example a release before its claim.
  memory_log_service log;
  log.lose_replies(1);
  value_collector<bool> results;
  log_appender appender(log, {"s", milliseconds(0), 64});
  for (int i = 0; i < 20; ++i) {
    REQUIRE(
        appender.append(std::to_string(i), [&](const auto& result) { results.push(result.ok()); }));
  }
  const auto replies = results.wait_for(20);
  CHECK_FALSE(replies[0]);
  CHECK(replies[1]);
  const auto read = log.read("s", 1, 100, milliseconds(0));
  REQUIRE(read.ok());
  REQUIRE(read->records.size() == 20);
  for (std::size_t i = 0; i < 20; ++i) {
    CHECK(read->records[i].payload == std::to_string(i));
  }
}

TEST_CASE("find_offset: returns the first record at or after a time") {
  // A new replica that starts at a later offset would miss claims.
  wall_time now{milliseconds(0)};
  memory_log_service log([&] { return now; });
  CHECK(find_offset(log, "s", now).value() == 1);
  for (int i = 1; i <= 100; ++i) {
    now = wall_time(milliseconds(10 * i));
    REQUIRE(log.append("s", "x").ok());
  }
  log.forget_below("s", 7);
  for (int time = 0; time <= 1005; time += 5) {
    const auto expected = std::max(7, (time + 9) / 10);
    REQUIRE(find_offset(log, "s", wall_time(milliseconds(time))).value() ==
            static_cast<std::uint64_t>(expected));
  }
  CHECK(find_end(log, "s").value() == 101);
  log.forget_below("s", 101);
  CHECK(find_end(log, "s").value() == 101);
}

TEST_CASE("http_log_service: malformed and error answers become errors") {
  // They must not be taken for a success.
  httplib::Server server;
  std::atomic<int> status{200};
  std::string body;
  const auto respond = [&](const httplib::Request&, httplib::Response& response) {
    response.status = status;
    response.set_content(body, "application/json");
  };
  server.Post("/v1/streams/s/records", respond);
  server.Get("/v1/streams/s/records", respond);
  server.set_keep_alive_timeout(1);
  const int port = server.bind_to_any_port("127.0.0.1");
  std::thread serving([&] { server.listen_after_bind(); });
  {
    http_log_service log(settings_for(port));
    for (const char* text :
         {"", "[]", "{}", R"({"offset":0})", R"({"offset":-1})", "{\"offset\""}) {
      body = text;
      CHECK(log.append("s", "x").status().code() == absl::StatusCode::kUnavailable);
    }
    body = R"({"earliest":1,"next":2,"records":[{"offset":1,"time_ms":"now","payload":"x"}]})";
    CHECK_FALSE(log.read("s", 1, 1, milliseconds(0)).ok());
    status = 429;
    body = R"({"offset":1})";
    const auto refused = log.append("s", "x").status();
    CHECK(refused.code() == absl::StatusCode::kUnavailable);
    CHECK(error_peer(refused) == "127.0.0.1:" + std::to_string(port));
  }
  server.stop();
  serving.join();
  http_log_service unreachable(settings_for(port));
  CHECK(unreachable.append("s", "x").status().code() == absl::StatusCode::kUnavailable);
  unreachable.close();
  CHECK(unreachable.append("s", "x").status().code() == absl::StatusCode::kCancelled);
}

// Runs the standin-log program from the folder of this test.
class standin_process {
public:
  explicit standin_process(std::vector<std::string> flags)
      : port_file_(std::filesystem::temp_directory_path() /
                   ("standin-log-" + std::to_string(getpid()) + ".port")) {
    const auto binary = std::filesystem::read_symlink("/proc/self/exe").parent_path();
    flags.insert(flags.begin(), (binary / "standin-log").string());
    flags.push_back("--port_file=" + port_file_.string());
    std::vector<char*> arguments;
    arguments.reserve(flags.size() + 1);
    for (std::string& flag : flags) {
      arguments.push_back(flag.data());
    }
    arguments.push_back(nullptr);
    REQUIRE(posix_spawn(&pid_, arguments[0], nullptr, nullptr, arguments.data(), environ) == 0);
  }
  standin_process(const standin_process&) = delete;
  standin_process& operator=(const standin_process&) = delete;

  ~standin_process() {
    std::filesystem::remove(port_file_);
    if (pid_ > 0) {
      stop();
    }
  }

  std::uint16_t port() const {
    for (int i = 0; i < 2000; ++i) {
      std::ifstream file(port_file_);
      std::uint16_t value = 0;
      if (file >> value) {
        return value;
      }
      std::this_thread::sleep_for(milliseconds(5));
    }
    return 0;
  }

  int stop() {
    kill(pid_, SIGTERM);
    int status = 0;
    waitpid(pid_, &status, 0);
    pid_ = 0;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  }

private:
  std::filesystem::path port_file_;
  pid_t pid_ = 0;
};

TEST_CASE("http_log_service and standin-log agree on the protocol") {
  // If the client and the stand-in differed, the other tests of the log would prove nothing.
  standin_process standin({"--retention_records=5", "--max_appends_per_second=100000"});
  const std::uint16_t port = standin.port();
  REQUIRE(port != 0);
  http_log_service log(settings_for(port));
  httplib::Client control("127.0.0.1", port);
  const auto command = [&](const char* body) {
    const auto result = control.Post("/control", body, "application/json");
    return result ? result->status : 0;
  };

  CHECK(log.append("s", "\"quoted\"\n{}").value() == 1);
  const auto read = log.read("s", 1, 10, milliseconds(0));
  REQUIRE(read.ok());
  CHECK(read->records.front().payload == "\"quoted\"\n{}");
  CHECK(read->next == 2);

  CHECK(command(R"({"lose_replies":1})") == 200);
  CHECK_FALSE(log.append("s", "kept").ok());
  CHECK(log.read("s", 2, 1, milliseconds(0))->records.front().payload == "kept");

  CHECK(command(R"({"down":true})") == 200);
  CHECK_FALSE(log.append("s", "refused").ok());
  CHECK_FALSE(log.read("s", 1, 1, milliseconds(0)).ok());
  CHECK(command(R"({"down":false,"forget_below":{"s":2}})") == 200);
  CHECK(log.read("s", 1, 1, milliseconds(0))->earliest == 2);
  for (int i = 0; i < 6; ++i) {
    CHECK(log.append("s", "x").ok());
  }
  CHECK(log.read("s", 1, 1, milliseconds(0))->earliest == 4);
  CHECK(command(R"({"down":1})") == 400);
  CHECK(command(R"({"unknown":1})") == 400);

  value_collector<std::string> received;
  {
    log_tailer tailer(log, {"polled", 1},
                      [&](const log_batch& batch) { push_payloads(received, batch); });
    CHECK(log.append("polled", "news").ok());
    CHECK(received.wait_for(1).front() == "news");
    const auto stats = nlohmann::json::parse(control.Get("/control/stats")->body);
    CHECK(stats["appends"] == 9);
    log.close();
  }
  CHECK(standin.stop() == 0);
}

TEST_CASE("standin-log: limits the rate of appends, and long polls do not occupy all threads") {
  // Long polls must not block the appends of other processes.
  standin_process standin({"--max_appends_per_second=3"});
  const std::uint16_t port = standin.port();
  REQUIRE(port != 0);
  http_log_service log(settings_for(port));
  // More than the number of reads that the stand-in lets wait.
  constexpr std::size_t reader_count = 120;
  std::vector<std::thread> readers;
  readers.reserve(reader_count);
  for (std::size_t i = 0; i < reader_count; ++i) {
    readers.emplace_back([&log] { (void)log.read("s", 1, 1, std::chrono::seconds(20)); });
  }
  int accepted = 0;
  int tried = 0;
  while (tried - accepted == 0 && tried < 100'000) {
    ++tried;
    const auto result = log.append("s", "x");
    accepted += result.ok() ? 1 : 0;
    if (!result.ok()) {
      CHECK(describe(result.status()).find("status 429") != std::string::npos);
    }
  }
  CHECK(accepted >= 3);
  CHECK(tried > accepted);
  log.close();
  for (std::thread& reader : readers) {
    reader.join();
  }
  CHECK(standin.stop() == 0);
}

} // namespace
} // namespace parsleylead
