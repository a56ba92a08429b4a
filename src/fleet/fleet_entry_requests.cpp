#include <algorithm>
#include <utility>

#include "fleet_entry_session.hpp"

namespace parsleylead {
namespace {

using std::chrono::milliseconds;

// Requests for workers that come from other entries are relayed in one frame for all that arrive
// within this time.
constexpr milliseconds request_relay_interval{60};
// Requests are recognised as duplicates for this long. They travel over at most two links.
constexpr milliseconds known_request_retention{5'000};
// Further requests of other entries are dropped. Their senders repeat them.
constexpr std::size_t max_relayed_requests = 256;
// The first attempts go to few peers, since each peer may have another fitting worker: after a
// restart of all hosts, an entry would get a session for each peer and kind of task. Later ones go
// to all peers.
constexpr std::size_t peers_of_first_attempt = 3;
constexpr std::size_t peers_of_second_attempt = 6;
// From these attempts on, a request is relayed if no fitting worker is known, and also if the agent
// of one was asked: that agent may not reach the entry.
constexpr std::uint32_t relayed_attempt = 2;
constexpr std::uint32_t always_relayed_attempt = 3;
// Each entry relays a request to this many peers. With 24 relays of a request, that reaches nearly
// all of 55 entries with each attempt.
constexpr std::size_t peers_of_relay = 6;

} // namespace

site_access fleet_entry::access_to_site() {
  const bool connected = std::any_of(sessions_.begin(), sessions_.end(), [](const auto& peer) {
    return peer->established && !peer->is_agent;
  });
  has_known_others_ = has_known_others_ || connected || dialer_.known() > 0;
  if (connected) {
    return site_access::connected;
  }
  return has_known_others_ ? site_access::isolated : site_access::alone;
}

std::vector<std::shared_ptr<fleet_entry::session>> fleet_entry::peers() const {
  std::vector<std::shared_ptr<session>> established;
  for (const auto& peer : sessions_) {
    if (peer->established && !peer->is_agent) {
      established.push_back(peer);
    }
  }
  return established;
}

void fleet_entry::request_workers(monotonic_time now) {
  for (auto& due : scheduler_.search_workers(access_to_site(), now)) {
    auto busy_agents =
        due.idle ? scheduler_.agents_for(due.requirement) : std::vector<std::uint32_t>{};
    if (due.idle) {
      const auto reach = scheduler_.measure_reach(due.requirement);
      log_.write("worker_search", "state", "requested", "idle", true, "cause", to_string(due.cause),
                 "service", due.requirement.service, "label", due.requirement.label, "cpu_millis",
                 due.requirement.needs.cpu_millis, "attempt", due.attempt, "in_reach",
                 busy_agents.size(), "cpu_in_reach", reach.total, "free_cpu", reach.free);
      metrics_.add("parsleylead_entry_idle_worker_requests_total",
                   {{"cause", to_string(due.cause)}});
    }
    send_request({self_, next_request_number_++, std::move(due.requirement), due.attempt, false,
                  due.idle, std::move(busy_agents)});
  }
  for (const auto& event : scheduler_.take_search_events()) {
    const auto& [service, label, needs] = event.requirement;
    log_.write("worker_search", "state", to_string(event.kind), "service", service, "label", label,
               "cpu_millis", needs.cpu_millis, "memory_mb", needs.memory_mb, "gpus", needs.gpus,
               "age_ms", event.age.count());
    metrics_.add("parsleylead_entry_worker_searches_total", {{"state", to_string(event.kind)}});
  }
}

void fleet_entry::send_request(worker_request request) {
  const auto all = peers();
  const auto wanted = request.attempt == 1   ? peers_of_first_attempt
                      : request.attempt == 2 ? peers_of_second_attempt
                                             : all.size();
  fleet_frame frame;
  frame.routes_version = routes_.version;
  const auto first = request.number; // Other peers with each request.
  frame.worker_requests.push_back(std::move(request));
  for (std::size_t i = 0; i < std::min(wanted, all.size()); ++i) {
    send(*all[(first + i) % all.size()], frame);
  }
}

void fleet_entry::worker_requested(const std::shared_ptr<session>& from, worker_request request,
                                   monotonic_time now) {
  const auto& sender = request.entry;
  if (sender.address == self_.address ||
      !known_requests_.try_emplace({sender.name, sender.incarnation, request.number}, now).second) {
    return;
  }
  const auto worker = scheduler_.find_worker(request);
  if (worker) {
    const auto& agent = agents_.at(*worker);
    agent->outgoing.session_requests.push_back({sender, request.idle});
    flush_soon_();
    log_.write("worker_request_passed_on", "entry", sender.name, "agent", agent->peer.name,
               "service", request.requirement.service, "label", request.requirement.label,
               "attempt", request.attempt, "idle", request.idle);
  }
  const bool relayed =
      request.attempt >= always_relayed_attempt || (!worker && request.attempt >= relayed_attempt);
  if (!request.relayed && relayed && relayed_requests_.size() < max_relayed_requests) {
    request.relayed = true;
    relayed_requests_.push_back({std::move(request), from});
  }
}

void fleet_entry::relay_requests(monotonic_time now) {
  if (now - requests_relayed_ < request_relay_interval) {
    return;
  }
  requests_relayed_ = now;
  std::erase_if(known_requests_,
                [now](const auto& each) { return now - each.second > known_request_retention; });
  const auto relayed = std::exchange(relayed_requests_, {});
  if (relayed.empty()) {
    return;
  }
  const auto all = peers();
  std::vector<fleet_frame> frames(all.size());
  for (const auto& [request, from] : relayed) {
    const auto source = from.lock();
    for (std::size_t i = 0; i < std::min(peers_of_relay, all.size()); ++i) {
      const auto target = (request.number + i) % all.size(); // Other peers with each attempt.
      if (all[target] != source && all[target]->peer.name != request.entry.name) {
        frames[target].worker_requests.push_back(request);
      }
    }
  }
  for (std::size_t i = 0; i < all.size(); ++i) {
    if (!frames[i].worker_requests.empty()) {
      frames[i].routes_version = routes_.version;
      send(*all[i], std::move(frames[i]));
    }
  }
}

} // namespace parsleylead
