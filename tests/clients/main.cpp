// Applies one kind of client load after the other to a small site and checks that each process
// stays alive and within the bounds of its settings, and that jobs are served. Guards against
// clients that exhaust the memory or the descriptors of a process.

#include <gflags/gflags.h>

#include <cstdio>
#include <filesystem>
#include <functional>
#include <string>
#include <vector>

#include "client_site.hpp"
#include "crowd.hpp"

DEFINE_string(binary, "build/bin/parsleylead-platform", "The program under test.");
DEFINE_string(directory, "/tmp/parsleylead-clients", "Folder for settings files and logs.");
DEFINE_string(only, "", "Plays only the cases whose names contain this text.");

namespace {

using namespace parsleylead;
using namespace parsleylead::clients;
using std::chrono::milliseconds;
using target = client_site::target;

constexpr process_bounds bounds{40, 500};
constexpr std::size_t crowd_size = 400;
// More connections than a process may have descriptors.
constexpr std::size_t large_crowd_size = 600;
constexpr milliseconds press_time{2'500};
constexpr milliseconds job_in_progress_work{3'000};
constexpr milliseconds recovery_limit{10'000};

constexpr std::size_t legal_body_bytes = std::size_t{256} * 1024;
constexpr std::size_t missing_bytes = 10;

struct client_case {
  std::string name;
  target address;
  std::size_t connections;
  client_behavior behavior;
};

std::string head(const std::string& path, const std::string& fields) {
  return "POST " + path + " HTTP/1.1\r\nhost: clients.example\r\n" + fields + "\r\n";
}

std::string repeat(const std::string& text, std::size_t count) {
  std::string result;
  result.reserve(text.size() * count);
  for (std::size_t i = 0; i < count; ++i) {
    result += text;
  }
  return result;
}

std::string with_length(const std::string& path, std::size_t length, std::size_t sent) {
  return head(path, "content-length: " + std::to_string(length) + "\r\n") + std::string(sent, ' ');
}

std::string chunked(const std::string& path) {
  constexpr std::size_t chunk_bytes = 512;
  const auto chunk = "200\r\n" + std::string(chunk_bytes, ' ') + "\r\n";
  auto text =
      head(path, "transfer-encoding: chunked\r\n") + repeat(chunk, legal_body_bytes / chunk_bytes);
  text.resize(text.size() - missing_bytes);
  return text;
}

std::string many_json_fields(const std::string& path) {
  constexpr std::size_t fields = 25'000;
  const auto body = "{" + repeat("\"a\":0,", fields) + "\"b\":0}";
  return head(path, "content-length: " + std::to_string(body.size()) + "\r\n") + body;
}

void add_bodies(std::vector<client_case>& cases, const std::string& place, target address,
                const std::string& path) {
  const auto whole = with_length(path, legal_body_bytes, legal_body_bytes - missing_bytes);
  constexpr std::size_t piece_bytes = std::size_t{4} * 1024;
  cases.push_back({"stalled body, " + place, address, crowd_size, {whole}});
  cases.push_back({"stalled body in pieces, " + place,
                   address,
                   crowd_size,
                   {whole, piece_bytes, milliseconds(10)}});
  cases.push_back({"stalled chunked body, " + place, address, crowd_size, {chunked(path)}});
  constexpr std::size_t far_over = 64 * legal_body_bytes;
  cases.push_back({"body far over the limit, " + place,
                   address,
                   crowd_size,
                   {with_length(path, far_over, 4 * legal_body_bytes)}});
}

void add_headers(std::vector<client_case>& cases, const std::string& place, target address,
                 const std::string& path) {
  constexpr std::size_t fields = 15'000;
  cases.push_back({"many header fields, " + place,
                   address,
                   crowd_size,
                   {"POST " + path + " HTTP/1.1\r\n" + repeat("a:\r\n", fields)}});
}

void add_slow_clients(std::vector<client_case>& cases, const std::string& place, target address,
                      const std::string& path) {
  constexpr milliseconds slow{100};
  const auto request = with_length(path, legal_body_bytes, legal_body_bytes / 2);
  const auto gets = repeat("GET " + path + " HTTP/1.1\r\nhost: clients.example\r\n\r\n", 4'000);
  cases.push_back({"many JSON fields, " + place, address, crowd_size, {many_json_fields(path)}});
  cases.push_back({"pipelined requests without reading, " + place, address, crowd_size, {gets}});
  cases.push_back({"slow senders, " + place, address, large_crowd_size, {request, 1, slow}});
  cases.push_back({"senders that stop halfway, " + place, address, large_crowd_size, {request}});
  cases.push_back({"silent connections, " + place, address, large_crowd_size, {std::string("P")}});
  client_behavior slow_reader{gets};
  slow_reader.read_bytes = 64;
  cases.push_back({"slow readers, " + place, address, large_crowd_size, slow_reader});
}

std::vector<client_case> all_cases() {
  std::vector<client_case> cases;
  for (const auto& [place, path] :
       {std::pair<std::string, std::string>{"path with a route", "/q1/00000000000000ff"},
        {"path without a route", "/none/00000000000000ff"}}) {
    add_bodies(cases, place, target::callers, path);
    add_headers(cases, place, target::callers, path);
    add_slow_clients(cases, place, target::callers, path);
  }
  for (const auto& [place, address, path] :
       {std::tuple<std::string, target, std::string>{"readiness", target::readiness, "/ready"},
        {"announcements", target::announcements, "/Workers.Heartbeat/x"},
        {"metrics", target::metrics, "/metrics"}}) {
    add_bodies(cases, place, address, path);
    add_headers(cases, place, address, path);
  }
  return cases;
}

/// Returns whether the case passed.
bool play(const client_case& played) {
  std::filesystem::remove_all(FLAGS_directory);
  std::filesystem::create_directories(FLAGS_directory);
  client_site site(FLAGS_binary, FLAGS_directory, bounds);
  const auto job_in_progress = std::make_shared<int>(0);
  site.submit(job_in_progress_work, job_in_progress);
  site.run_for(milliseconds(200));
  std::vector<std::string> faults;
  std::size_t opened = 0;
  {
    crowd clients(site.address_of(played.address), played.connections, played.behavior);
    site.run_for(press_time);
    opened = clients.opened();
  }
  if (!site.serves_job(recovery_limit)) {
    faults.emplace_back("no job is answered with 200 afterwards");
  }
  for (auto waited = milliseconds(0); *job_in_progress == 0 && waited < recovery_limit;
       waited += milliseconds(50)) {
    site.run_for(milliseconds(50));
  }
  if (*job_in_progress != 200) {
    faults.push_back("the job in progress was answered with " + std::to_string(*job_in_progress));
  }
  for (const auto& violation : site.violations()) {
    faults.push_back(violation);
  }
  std::printf("%s %s:%s, %zu connections opened\n", faults.empty() ? "passed" : "FAILED",
              played.name.c_str(), site.describe_peaks().c_str(), opened);
  for (const auto& fault : faults) {
    std::printf("    %s\n", fault.c_str());
  }
  std::fflush(stdout);
  return faults.empty();
}

} // namespace

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  std::size_t played = 0;
  std::size_t failed = 0;
  for (const auto& each : all_cases()) {
    if (each.name.find(FLAGS_only) != std::string::npos) {
      ++played;
      failed += play(each) ? 0 : 1;
    }
  }
  std::printf("%zu of %zu cases failed\n", failed, played);
  return played > 0 && failed == 0 ? 0 : 1;
}
