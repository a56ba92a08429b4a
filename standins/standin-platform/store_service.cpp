#include "store_service.hpp"

#include <charconv>
#include <nlohmann/json.hpp>

#include "parsleylead/base/base64.hpp"
#include "parsleylead/base/big_endian.hpp"
#include "parsleylead/base/call_after.hpp"

namespace parsleylead::standin {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds tick_interval{10};
// The real store returns 500 records in a page; shorter pages make tests read several.
constexpr std::size_t max_page_records = 100;
constexpr std::size_t length_bytes = 4;
constexpr std::size_t offset_bytes = 8;

std::string parameter(const std::string& target, const std::string& name) {
  const auto position = target.find(name + "=", target.find('?'));
  if (position == std::string::npos) {
    return {};
  }
  const auto begin = position + name.size() + 1;
  return target.substr(begin, target.find('&', begin) - begin);
}

std::uint64_t parse_number(const std::string& text) {
  std::uint64_t value = 0;
  std::from_chars(text.data(), text.data() + text.size(), value);
  return value;
}

} // namespace

store_service::store_service(asio::io_context& io)
    : server_(io, {}, [this](auto exchange) { handle(exchange); }), timer_(io) {
  tick();
}

void store_service::put(const std::string& name, const std::string& key, const std::string& value) {
  auto& destination = topics_[name.find('/') == std::string::npos ? name + "/0" : name];
  if (value.empty()) {
    destination.newest.erase(key);
  } else {
    destination.newest[key] = {destination.end(), value};
  }
  destination.records.push_back({key, value});
}

void store_service::trim_history() {
  for (auto& [name, contents] : topics_) {
    contents.first_offset = contents.end();
    contents.records.clear();
  }
}

void store_service::respond(const std::shared_ptr<web_exchange>& exchange, web_response response) {
  if (mode_ == answer_mode::lost) {
    exchange->abort();
  } else {
    exchange->respond(std::move(response));
  }
}

void store_service::handle(const std::shared_ptr<web_exchange>& exchange) {
  if (mode_ == answer_mode::silent) {
    unanswered_.push_back(exchange);
    return;
  }
  if (mode_ == answer_mode::busy) {
    exchange->respond({503, {}, "{}"});
    return;
  }
  const auto& target = exchange->request().target;
  const auto path = target.substr(0, target.find('?'));
  const auto name = parameter(target, "topic") + "/" + parameter(target, "part");
  if (path == "/log-append") {
    append(exchange, name);
  } else if (path == "/log-newest") {
    read_newest(exchange, name);
  } else if (path == "/log-read") {
    const milliseconds wait(parse_number(parameter(target, "wait_ms")));
    read({exchange, name, parse_number(parameter(target, "from")), steady_clock::now() + wait},
         true);
  } else {
    handle_group(exchange, path);
  }
}

void store_service::handle_group(const std::shared_ptr<web_exchange>& exchange,
                                 const std::string& path) {
  const auto now = steady_clock::now();
  const auto body = json::parse(exchange->request().body, nullptr, false);
  json result = json::object();
  if (path == "/log-join") {
    json rows = json::array();
    for (const auto partition : group_.join(body["member"].get<std::string>(),
                                            milliseconds(body["ttl_ms"].get<std::int64_t>()),
                                            body["generation"].get<std::uint64_t>(), now)) {
      rows.push_back({body["topics"][0], partition, 0});
    }
    result = {{"generation", group_.generation()}, {"parts", rows}};
  } else if (path == "/log-leave") {
    group_.leave(body["member"].get<std::string>(), now);
  } else if (path == "/log-owners") {
    json rows = json::array();
    for (std::size_t i = 0; i < group_.holders().size(); ++i) {
      rows.push_back({"topic", i, group_.holders()[i], 0});
    }
    result = {{"parts", rows}};
  } else {
    exchange->respond({404, {}, "{}"});
    return;
  }
  respond(exchange, {200, {}, result.dump()});
}

void store_service::append(const std::shared_ptr<web_exchange>& exchange, const std::string& name) {
  std::string_view body = exchange->request().body;
  const auto offset = topics_[name].end();
  const auto expected = parameter(exchange->request().target, "at");
  if (!expected.empty() && parse_number(expected) != offset) {
    respond(exchange, {412, {}, json{{"end", offset}}.dump()});
    return;
  }
  while (body.size() > length_bytes) {
    const auto length = read_big_endian(body.substr(0, length_bytes));
    const auto bytes = body.substr(length_bytes, length);
    const auto key_length = static_cast<unsigned char>(bytes.front());
    put(name, std::string(bytes.substr(1, key_length)), std::string(bytes.substr(1U + key_length)));
    body.remove_prefix(std::min(body.size(), length_bytes + length));
  }
  respond(exchange, {200, {}, json{{"offset", offset}, {"end", topics_[name].end()}}.dump()});
}

void store_service::read_newest(const std::shared_ptr<web_exchange>& exchange,
                                const std::string& name) {
  const auto after = parameter(exchange->request().target, "after");
  const auto& newest = topics_[name].newest;
  auto next = after.empty() ? newest.begin() : newest.upper_bound(after);
  json items = json::array();
  for (; next != newest.end() && items.size() < max_page_records; ++next) {
    const auto& [key, value] = *next;
    items.push_back(
        {{"key", key}, {"value", encode_base64(value.second)}, {"offset", value.first}});
  }
  respond(exchange,
          {200,
           {},
           json{{"items", items}, {"has_more", next != newest.end()}, {"end", topics_[name].end()}}
               .dump()});
}

void store_service::read(const pending_read& request, bool may_wait) {
  const auto& source = topics_[request.topic];
  if (request.offset < source.first_offset) {
    respond(request.exchange, {410, {}, json{{"first", source.first_offset}}.dump()});
    return;
  }
  if (may_wait && request.offset >= source.end() && request.deadline > steady_clock::now()) {
    pending_reads_.push_back(request);
    return;
  }
  std::string body;
  append_big_endian(body, source.end(), offset_bytes);
  append_big_endian(body, source.first_offset, offset_bytes);
  for (auto offset = request.offset; offset < source.end(); ++offset) {
    const auto& entry = source.records[offset - source.first_offset];
    append_big_endian(body, 1 + entry.key.size() + entry.value.size(), length_bytes);
    body += static_cast<char>(entry.key.size());
    body += entry.key + entry.value;
  }
  respond(request.exchange, {200, {{"content-type", "application/octet-stream"}}, std::move(body)});
}

void store_service::tick() {
  if (mode_ == answer_mode::normal) {
    auto reads = std::move(pending_reads_);
    pending_reads_.clear();
    for (const auto& pending : reads) {
      read(pending, true);
    }
  }
  call_after(timer_, tick_interval, [this] { tick(); });
}

} // namespace parsleylead::standin
