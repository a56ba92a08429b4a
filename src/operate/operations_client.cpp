#include "parsleylead/operate/operations_client.hpp"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <thread>

#include "parsleylead/base/error.hpp"
#include "parsleylead/base/time.hpp"
#include "parsleylead/tool/http_client.hpp"

namespace parsleylead {
namespace {

constexpr int status_ok = 200;

catalogue_position parse_position(const endpoint& address, const std::string& body) {
  catalogue_position position{address, to_string(address), 0, "", ""};
  const auto page = nlohmann::json::parse(body, nullptr, false);
  const bool valid = page.is_object() && page.contains("process") && page["process"].is_string() &&
                     page.contains("offset") && page["offset"].is_number_unsigned();
  if (!valid) {
    position.error = "malformed /v1/catalogue page";
    return position;
  }
  position.process = page["process"].get<std::string>();
  position.offset = page["offset"].get<std::uint64_t>();
  if (page.contains("digest")) {
    const auto& digest = page["digest"];
    position.digest = digest.is_string() ? digest.get<std::string>() : digest.dump();
  }
  return position;
}

/// Processes at the same offset must have the same digest. Returns the name of every process whose
/// digest differs from that of another one at its offset.
std::vector<std::string> find_diverged(const std::vector<catalogue_position>& positions) {
  std::vector<std::string> names;
  for (const auto& position : positions) {
    const bool differs =
        std::any_of(positions.begin(), positions.end(), [&](const catalogue_position& other) {
          return position.error.empty() && other.error.empty() && !position.digest.empty() &&
                 !other.digest.empty() && position.offset == other.offset &&
                 position.digest != other.digest;
        });
    if (differs) {
      names.push_back(position.process);
    }
  }
  return names;
}

} // namespace

page_reader make_page_reader(std::chrono::milliseconds timeout) {
  return
      [timeout](const endpoint& process, const std::string& path) -> absl::StatusOr<std::string> {
        const auto response = http_client(process, {timeout, timeout}).send({"GET", path, "", {}});
        if (!response.ok()) {
          return response.status();
        }
        if (response->status != status_ok) {
          return make_error(absl::StatusCode::kInternal, step::receive, to_string(process),
                            path + " returned status " + std::to_string(response->status));
        }
        return response->body;
      };
}

std::vector<catalogue_position> read_positions(const std::vector<endpoint>& processes,
                                               const page_reader& read) {
  std::vector<catalogue_position> positions;
  positions.reserve(processes.size());
  for (const auto& process : processes) {
    const auto body = read(process, "/v1/catalogue");
    if (body.ok()) {
      positions.push_back(parse_position(process, *body));
    } else {
      positions.push_back({process, to_string(process), 0, "", describe(body.status())});
    }
  }
  return positions;
}

wait_result wait_for_offset(const std::vector<endpoint>& processes, const page_reader& read,
                            const wait_options& options) {
  const auto deadline = std::chrono::steady_clock::now() + options.timeout;
  while (true) {
    wait_result result;
    result.positions = read_positions(processes, read);
    for (const auto& position : result.positions) {
      if (!position.error.empty() || position.offset < options.offset) {
        result.lagging.push_back(position.process);
      }
    }
    result.diverged = find_diverged(result.positions);
    result.reached = result.lagging.empty();
    if (result.reached || std::chrono::steady_clock::now() >= deadline) {
      return result;
    }
    std::this_thread::sleep_for(options.poll_interval);
  }
}

absl::StatusOr<std::string> make_explanation_request(const std::string& host,
                                                     const std::string& path,
                                                     const std::string& submission) {
  auto parsed = nlohmann::json::parse(submission, nullptr, false);
  if (parsed.is_discarded()) {
    return absl::InvalidArgumentError("not a JSON document");
  }
  return nlohmann::json{{"host", host}, {"path", path}, {"submission", std::move(parsed)}}.dump();
}

} // namespace parsleylead
