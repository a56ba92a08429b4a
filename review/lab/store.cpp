#include "store.hpp"

#include <charconv>
#include <nlohmann/json.hpp>

#include "parsleylead/base/base64.hpp"
#include "parsleylead/base/big_endian.hpp"
#include "parsleylead/base/call_after.hpp"

namespace parsleylead::review {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds tick_interval{5};
constexpr std::size_t max_page_records = 500;
constexpr std::size_t max_page_bytes = 1'000'000;
constexpr std::size_t max_read_bytes = std::size_t{1'024} * 1'024;
constexpr std::size_t length_bytes = 4;
constexpr std::size_t offset_bytes = 8;

std::string parameter(const std::string& target, const std::string& name) {
  for (const char* separator : {"?", "&"}) {
    const auto position = target.find(separator + name + "=");
    if (position != std::string::npos) {
      const auto begin = position + name.size() + 2;
      return target.substr(begin, target.find('&', begin) - begin);
    }
  }
  return {};
}

std::uint64_t number_of(const std::string& text) {
  std::uint64_t value = 0;
  std::from_chars(text.data(), text.data() + text.size(), value);
  return value;
}

web_server_limits limits_of_store(const store_limits& limits) {
  web_server_limits of_server;
  // Larger calls are refused by the store itself.
  of_server.max_body_bytes = 2 * limits.call_bytes;
  return of_server;
}

} // namespace

store::store(asio::io_context& io, const store_limits& limits)
    : limits_(limits),
      server_(io, limits_of_store(limits), [this](auto exchange) { handle(exchange); }), timer_(io),
      group_(limits.partitions) {
  tick();
}

void store::put(const std::string& topic, const std::string& key, const std::string& value) {
  write(partitions_[topic + "/0"], key, value);
}

void store::write(partition& to, std::string key, std::string value) {
  if (value.empty()) {
    to.newest.erase(key);
  } else {
    to.newest[key] = {to.end(), value};
  }
  to.records.push_back({std::move(key), std::move(value), steady_clock::now()});
}

void store::handle(const std::shared_ptr<web_exchange>& exchange) {
  const auto& target = exchange->request().target;
  const auto path = target.substr(0, target.find('?'));
  const auto name = parameter(target, "topic") + "/" + parameter(target, "part");
  if (path == "/log-append") {
    append(exchange, name);
  } else if (path == "/log-newest") {
    read_newest(exchange, name);
  } else if (path == "/log-read") {
    const milliseconds wait(number_of(parameter(target, "wait_ms")));
    read({exchange, name, number_of(parameter(target, "from")), steady_clock::now() + wait});
  } else {
    handle_group(exchange, path);
  }
}

void store::handle_group(const std::shared_ptr<web_exchange>& exchange, const std::string& path) {
  const auto now = steady_clock::now();
  const auto body = json::parse(exchange->request().body, nullptr, false);
  json result = json::object();
  if (path == "/log-join") {
    json rows = json::array();
    for (const auto number : group_.join(body["member"].get<std::string>(),
                                         milliseconds(body["ttl_ms"].get<std::int64_t>()),
                                         body["generation"].get<std::uint64_t>(), now)) {
      rows.push_back({body["topics"][0], number, 0});
    }
    result = {{"generation", group_.generation()}, {"parts", rows}};
  } else if (path == "/log-leave") {
    group_.leave(body["member"].get<std::string>(), now);
  } else if (path == "/log-owners") {
    json rows = json::array();
    for (std::size_t i = 0; i < group_.holders().size(); ++i) {
      rows.push_back({"keyed.jobs", i, group_.holders()[i], 0});
    }
    result = {{"owners", rows}};
  } else {
    exchange->respond({404, {}, "{}"});
    return;
  }
  exchange->respond({200, {}, result.dump()});
}

void store::append(const std::shared_ptr<web_exchange>& exchange, const std::string& name) {
  std::string_view body = exchange->request().body;
  auto& to = partitions_[name];
  const auto offset = to.end();
  const auto expected = parameter(exchange->request().target, "at");
  if (!expected.empty() && number_of(expected) != offset) {
    exchange->respond({412, {}, json{{"end", offset}}.dump()});
    return;
  }
  std::vector<std::string_view> records;
  bool fits = true;
  std::size_t total = 0;
  while (body.size() > length_bytes) {
    const auto length = read_big_endian(body.substr(0, length_bytes));
    records.push_back(body.substr(length_bytes, length));
    fits = fits && length <= limits_.record_bytes;
    total += length;
    body.remove_prefix(std::min(body.size(), length_bytes + length));
  }
  if (!fits || total > limits_.call_bytes) {
    ++refused_appends_;
    exchange->respond({413, {}, "{}"});
    return;
  }
  for (const auto& bytes : records) {
    const auto key_length = static_cast<unsigned char>(bytes.front());
    write(to, std::string(bytes.substr(1, key_length)), std::string(bytes.substr(1U + key_length)));
  }
  exchange->respond({200, {}, json{{"offset", offset}, {"end", to.end()}}.dump()});
}

void store::read_newest(const std::shared_ptr<web_exchange>& exchange, const std::string& name) {
  const auto after = parameter(exchange->request().target, "after");
  const auto& newest = partitions_[name].newest;
  auto next = after.empty() ? newest.begin() : newest.upper_bound(after);
  json items = json::array();
  std::size_t bytes = 0;
  for (; next != newest.end() && items.size() < max_page_records && bytes < max_page_bytes;
       ++next) {
    const auto& [key, value] = *next;
    bytes += value.second.size();
    items.push_back(
        {{"key", key}, {"value", encode_base64(value.second)}, {"offset", value.first}});
  }
  exchange->respond(
      {200,
       {},
       json{{"items", items}, {"has_more", next != newest.end()}, {"end", partitions_[name].end()}}
           .dump()});
}

void store::read(const pending_read& request) {
  const auto& from = partitions_[request.name];
  if (request.offset < from.first_offset) {
    request.exchange->respond({410, {}, json{{"first", from.first_offset}}.dump()});
    return;
  }
  if (request.offset >= from.end() && request.deadline > steady_clock::now()) {
    pending_reads_.push_back(request);
    return;
  }
  std::string body;
  append_big_endian(body, from.end(), offset_bytes);
  append_big_endian(body, from.first_offset, offset_bytes);
  for (auto offset = request.offset; offset < from.end(); ++offset) {
    const auto& entry = from.records[offset - from.first_offset];
    const auto size = 1 + entry.key.size() + entry.value.size();
    if (offset > request.offset && body.size() + size > max_read_bytes) {
      break;
    }
    append_big_endian(body, size, length_bytes);
    body += static_cast<char>(entry.key.size());
    body += entry.key + entry.value;
  }
  request.exchange->respond({200, {{"content-type", "application/octet-stream"}}, std::move(body)});
}

void store::tick() {
  const auto now = steady_clock::now();
  for (auto& [name, each] : partitions_) {
    while (!each.records.empty() && now - each.records.front().written > limits_.history) {
      each.records.pop_front();
      ++each.first_offset;
    }
  }
  auto reads = std::move(pending_reads_);
  pending_reads_.clear();
  for (const auto& pending : reads) {
    read(pending);
  }
  call_after(timer_, tick_interval, [this] { tick(); });
}

} // namespace parsleylead::review
