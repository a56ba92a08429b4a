#include <cmath>
#include <doctest/doctest.h>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <spdlog/sinks/ostream_sink.h>
#include <sstream>
#include <thread>

#include "parsleylead/base/uuid.hpp"
#include "parsleylead/observe/latency_histogram.hpp"
#include "parsleylead/observe/make_logger.hpp"
#include "parsleylead/observe/metrics_registry.hpp"
#include "parsleylead/observe/span_writer.hpp"

namespace parsleylead {
namespace {

using namespace std::chrono_literals;

bool contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

TEST_CASE("observe: metrics text is escaped and cumulative") {
  // Guards against an external label value that makes the whole scrape invalid.
  metrics_registry metrics;
  metrics.add("parsleylead_a_total", {{"peer", "a\"b\\c\nd"}}, 2);
  metrics.add("parsleylead_a_total", {{"peer", "x"}});
  metrics.set("parsleylead_open", {}, 0.5);
  metrics.observe("parsleylead_run_seconds", {{"kind", "k"}}, 0ns);
  metrics.observe("parsleylead_run_seconds", {{"kind", "k"}}, 200s);
  metrics.observe("parsleylead_run_seconds", {{"kind", "k"}}, 150us);
  const auto text = metrics.render();
  CHECK(contains(text, "# TYPE parsleylead_a_total counter\n"
                       "parsleylead_a_total{peer=\"a\\\"b\\\\c\\nd\"} 2\n"
                       "parsleylead_a_total{peer=\"x\"} 1\n"));
  CHECK(contains(text, "# TYPE parsleylead_open gauge\nparsleylead_open 0.5\n"));
  CHECK(contains(text, "parsleylead_run_seconds_bucket{kind=\"k\",le=\"0.0001\"} 1\n"));
  CHECK(contains(text, "parsleylead_run_seconds_bucket{kind=\"k\",le=\"100\"} 2\n"));
  CHECK(contains(text, "parsleylead_run_seconds_bucket{kind=\"k\",le=\"+Inf\"} 3\n"));
  CHECK(contains(text, "parsleylead_run_seconds_count{kind=\"k\"} 3\n"));
  metrics.set("parsleylead_b_total", {}, 5);
  CHECK(contains(metrics.render(), "# TYPE parsleylead_b_total counter\n"));
  CHECK(metrics.value("parsleylead_a_total", {{"peer", "x"}}) == 1);
  CHECK(metrics.value("parsleylead_absent", {}) == 0);
}

TEST_CASE("observe: concurrent additions are not lost") {
  constexpr int threads = 4;
  constexpr int additions = 5000;
  metrics_registry metrics;
  std::vector<std::thread> workers;
  workers.reserve(threads);
  for (int i = 0; i < threads; ++i) {
    workers.emplace_back([&] {
      for (int n = 0; n < additions; ++n) {
        metrics.add("parsleylead_n_total", {{"part", std::to_string(n % 3)}});
      }
    });
  }
  for (auto& worker : workers) {
    worker.join();
  }
  double sum = 0;
  for (const auto* part : {"0", "1", "2"}) {
    sum += metrics.value("parsleylead_n_total", {{"part", part}});
  }
  CHECK(sum == threads * additions);
}

TEST_CASE("observe: a log message is written as one line") {
  // Guards against messages whose line breaks inject forged log lines.
  for (const std::string format : {"plain", "json"}) {
    std::ostringstream out;
    auto sink = std::make_shared<spdlog::sinks::ostream_sink_mt>(out);
    sink->set_formatter(make_log_formatter("entry", format));
    spdlog::logger logger("entry", sink);
    logger.warn("a \"quoted\"\nline \xff");
    const auto text = out.str();
    CHECK(text.find('\n') == text.size() - 1);
    if (format == "plain") {
      CHECK(contains(text, "Z warning entry: a \"quoted\"\\x0aline"));
      continue;
    }
    const auto line = nlohmann::json::parse(text);
    CHECK(line["level"] == "warning");
    CHECK(line["part"] == "entry");
    CHECK(contains(line["message"].get<std::string>(), "a \"quoted\"\nline"));
  }
}

TEST_CASE("observe: malformed traceparent headers are rejected") {
  const std::string valid = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01";
  const auto parsed = trace_context::parse(valid);
  REQUIRE(parsed.has_value());
  CHECK(parsed->traceparent() == valid);
  const auto child = trace_context::continue_from(valid);
  CHECK(child.trace_id_text() == "4bf92f3577b34da6a3ce929d0e0e4736");
  CHECK(child.parent_span_id_text() == "00f067aa0ba902b7");
  CHECK(child.span_id != parsed->span_id);
  CHECK(trace_context::parse("01" + valid.substr(2) + "-extra").has_value());
  for (const std::string& invalid :
       {std::string(), valid + "-extra", "ff" + valid.substr(2), "0x" + valid.substr(2),
        std::string("00-00000000000000000000000000000000-00f067aa0ba902b7-01"),
        std::string("00-4bf92f3577b34da6a3ce929d0e0e4736-0000000000000000-01"),
        std::string("00-4BF92F3577B34DA6A3CE929D0E0E4736-00f067aa0ba902b7-01")}) {
    CHECK_FALSE(trace_context::parse(invalid).has_value());
    CHECK(trace_context::continue_from(invalid).parent_span_id == 0);
  }
}

TEST_CASE("observe: spans are written or counted as dropped") {
  const auto path = std::filesystem::temp_directory_path() /
                    ("parsleylead-spans-" + uuid::make_v7(wall_now()).to_string());
  constexpr std::uint64_t sent = 50;
  std::uint64_t dropped = 0;
  {
    span_writer writer(path.string(), "entry-1", 2);
    for (std::uint64_t i = 0; i < sent; ++i) {
      writer.write({trace_context::make_root(), "dispatch", span_kind::client, {}, {}, {}, "late"});
    }
    dropped = writer.dropped();
  }
  std::ifstream file(path);
  std::uint64_t lines = 0;
  for (std::string line; std::getline(file, line); ++lines) {
    const auto parsed_span =
        nlohmann::json::parse(line)["resourceSpans"][0]["scopeSpans"][0]["spans"][0];
    CHECK(parsed_span["name"] == "dispatch");
    CHECK(parsed_span["status"]["code"] == 2);
  }
  CHECK(lines + dropped == sent);
  std::filesystem::remove(path);
  CHECK_FALSE(span_writer("", "off").enabled());
}

TEST_CASE("observe: histograms can be merged and give quantiles") {
  latency_histogram first;
  latency_histogram second;
  CHECK(first.quantile(0.5) == 0ns);
  for (int i = 1; i <= 1000; ++i) {
    (i % 2 == 0 ? first : second).record(std::chrono::milliseconds(i));
  }
  first.merge(second);
  CHECK(first.count() == 1000);
  CHECK(first.max() == 1s);
  CHECK(std::chrono::duration<double>(first.mean()).count() == doctest::Approx(0.5005));
  const auto seconds = [&](double q) {
    return std::chrono::duration<double>(first.quantile(q)).count();
  };
  CHECK(seconds(0.5) == doctest::Approx(0.5).epsilon(0.03));
  CHECK(seconds(0.99) == doctest::Approx(0.99).epsilon(0.03));
  CHECK(seconds(1) <= 1.0);
}

} // namespace
} // namespace parsleylead
