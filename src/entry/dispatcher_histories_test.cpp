#include <doctest/doctest.h>

#include <array>
#include <cstdlib>
#include <memory>
#include <queue>
#include <random>
#include <stdexcept>

#include "../test_support.hpp"
#include "parsleylead/catalogue/catalogue_codec.hpp"
#include "parsleylead/catalogue/catalogue_replica.hpp"
#include "parsleylead/entry/dispatcher.hpp"
#include "parsleylead/session/commit_table.hpp"
#include "parsleylead/session/dispatch_ledger.hpp"
#include "parsleylead/slot/slot_ledger.hpp"

namespace parsleylead {
namespace {

using std::chrono::milliseconds;

constexpr unsigned entry_count = 3;
constexpr unsigned agent_count = 3;
constexpr std::uint32_t agent_slots = 4;
constexpr milliseconds tick_interval{10};
constexpr milliseconds fault_phase{3000};
// Longer than the sum of the resume timeout, the longest budget and the recall timeout.
constexpr milliseconds simulated_time{9000};
constexpr milliseconds recall_timeout{1000};

struct violation : std::runtime_error {
  using std::runtime_error::runtime_error;
};

void require(bool holds, const std::string& message) {
  if (!holds) {
    throw violation(message);
  }
}

// A receiver of messages. A frozen process handles them after it resumes; a restarted process drops
// those sent before the restart.
struct process {
  unsigned start_count = 0;
  monotonic_time frozen_until{};
};

struct connection {
  bool broken = false;
  bool silent = false;
  monotonic_time stalled_until{};
  /// Last scheduled arrival in each direction; keeps the messages of a connection in order.
  std::array<monotonic_time, 2> last_arrival{};
};
using connection_ptr = std::shared_ptr<connection>;

/// A request of a caller, which may be submitted several times.
struct request {
  std::string kind;
  std::optional<std::string> key;
  std::vector<std::string> tasks;
  /// The submission that started a task, for a request with a key.
  std::optional<uuid> running_submission;
};

struct submission {
  std::size_t request = 0;
  unsigned entry = 0;
  unsigned entry_start = 0;
  int replies = 0;
  bool not_run = false;
  std::set<std::uint32_t> started;
};

struct totals {
  std::size_t complete = 0;
  std::size_t not_run = 0;
  std::size_t may_have_run = 0;
  std::size_t starts = 0;
  std::size_t duplicates = 0;
};

class simulation {
public:
  explicit simulation(std::uint64_t seed) : random_(seed) {}
  totals run();

private:
  struct event {
    monotonic_time when;
    std::uint64_t order;
    process* target;
    unsigned start_count;
    std::function<void()> action;
  };
  struct is_later {
    bool operator()(const event& a, const event& b) const {
      return std::tie(a.when, a.order) > std::tie(b.when, b.order);
    }
  };
  struct link {
    link(const session_settings& settings, sequence_allocator& numbers)
        : ledger(settings, numbers) {}
    dispatch_ledger ledger;
    connection_ptr wire;
    std::uint64_t counter = 0;
    session_id session = 0;
  };
  struct sent_task {
    std::string kind;
    std::uint32_t kind_limit;
    std::uint32_t owner_limit;
  };
  struct entry_model : process, agent_gateway, claim_gateway, peer_gateway {
    entry_model(simulation& simulated, unsigned number) : parent(simulated), index(number) {}
    bool dispatch(const task_dispatch& sent) override { return parent.send_dispatch(*this, sent); }
    void cancel(const std::string& agent, const uuid& id) override {
      parent.send_cancel(*this, agent, id);
    }
    void request_credits(const std::string& agent, const demand& waiting) override {
      parent.send_credit_request(*this, agent, waiting);
    }
    void return_credits(const std::string& agent, std::uint32_t credits) override {
      parent.send_returned_credits(*this, agent, credits);
    }
    std::optional<claim_decision> request_claim(const uuid& key, const uuid& id,
                                                std::uint64_t digest, monotonic_time deadline,
                                                monotonic_time now) override {
      return claims->request_claim(key, id, digest, deadline, now);
    }
    void release(const uuid& key, const uuid& id) override { claims->release(key, id); }
    void abandon(const uuid& /*key*/, const uuid& id) override { claims->cancel_request(id); }
    void record_outcome(const uuid& key, const uuid& id, std::string state,
                        std::optional<std::string> answer, monotonic_time now) override {
      claims->record_outcome(key, id, std::move(state), std::move(answer), now);
    }
    void fetch_job(const claim_holder& holder, milliseconds wait,
                   std::function<void(std::optional<job_reply>)> done) override {
      parent.fetch_from_peer(*this, holder, wait, done);
    }

    entry_key key() const { return {"entry" + std::to_string(index), incarnation}; }

    simulation& parent;
    unsigned index;
    std::uint64_t incarnation = 0;
    std::unique_ptr<sequence_allocator> numbers;
    std::unique_ptr<claimant> claims;
    std::unique_ptr<dispatcher> job_dispatcher;
    catalogue_replica catalogue;
    std::map<catalogue_subject, std::uint64_t> published_revisions;
    std::map<std::string, std::uint32_t> limits;
    std::map<std::string, std::unique_ptr<link>> links;
    std::map<std::tuple<uuid, std::uint32_t, std::uint32_t>, sent_task> in_flight;
    bool reading_claims = false;
    bool reading_catalogue = false;
  };
  struct agent_session {
    session_key key;
    unsigned entry = 0;
    connection_ptr wire;
  };
  struct frame {
    session_key key;
    session_id session = 0;
    std::uint64_t sequence = 0;
    uuid id;
    std::uint32_t index = 0;
    std::string kind;
    std::uint64_t revision = 0;
    milliseconds budget{0};
    slot_demand waiting;
    std::string payload;
  };
  struct agent_task {
    frame received;
    session_id waiter = 0;
  };
  struct agent_model : process {
    std::string name;
    std::uint64_t incarnation = 0;
    std::unique_ptr<commit_table> commits;
    std::unique_ptr<slot_ledger> slots;
    std::map<session_id, agent_session> sessions;
    std::map<slot_ticket, agent_task> tasks;
    std::map<std::string, std::uint64_t> revisions;
    session_id next_session = 1;
    slot_ticket next_ticket = 1;
    bool announced = false;
  };
  struct result {
    std::uint64_t sequence = 0;
    reported_state state = reported_state::not_run;
    upstream_outcome outcome;
    std::uint32_t credits = 0;
  };

  // Events.
  bool chance(double probability) {
    return std::uniform_real_distribution<>(0, 1)(random_) < probability;
  }
  std::uint64_t random_integer(std::uint64_t from, std::uint64_t to) {
    return std::uniform_int_distribution<std::uint64_t>(from, to)(random_);
  }
  std::chrono::microseconds random_delay(std::uint64_t longest_us = 4000) {
    return std::chrono::microseconds(random_integer(100, longest_us));
  }
  bool in_fault_phase() const { return now_ < begin_ + fault_phase; }
  void schedule(monotonic_time when, process* target, std::function<void()> action) {
    const unsigned start_count = target == nullptr ? 0 : target->start_count;
    queue_.push({when, ++order_, target, start_count, std::move(action)});
  }
  void send(const connection_ptr& wire, std::size_t direction, process& target,
            std::function<void()> action) {
    if (wire->broken || wire->silent) {
      return;
    }
    auto& last_arrival = wire->last_arrival[direction];
    last_arrival = std::max({now_ + random_delay(), last_arrival, wire->stalled_until});
    schedule(last_arrival, &target, [wire, action = std::move(action)] {
      if (!wire->broken && !wire->silent) {
        action();
      }
    });
  }
  wall_time wall() const {
    return wall_time(std::chrono::seconds(1000)) +
           std::chrono::duration_cast<milliseconds>(now_ - begin_);
  }
  agent_model& agent_named(const std::string& name) { return *agents_.at(name.back() - '0'); }

  // Entries.
  void start_entry(entry_model& entry);
  void tick_entry(entry_model& entry);
  void tick_link(entry_model& entry, const std::string& name);
  void open_link(entry_model& entry, const std::string& name);
  void on_reply(entry_model& entry, const std::string& name, std::uint64_t counter,
                std::uint64_t incarnation, session_id session, const std::vector<result>& resumed,
                std::uint32_t credits);
  void on_result(entry_model& entry, const std::string& name, std::uint64_t counter,
                 const result& received);
  void report_outcome(entry_model& entry, const std::string& name, const outstanding_dispatch& sent,
                      const result* received);
  link* current_link(entry_model& entry, const std::string& name, std::uint64_t counter);
  void break_connection(entry_model& entry, const std::string& name);
  bool send_dispatch(entry_model& entry, const task_dispatch& sent);
  void send_cancel(entry_model& entry, const std::string& name, const uuid& id);
  void send_credit_request(entry_model& entry, const std::string& name, demand waiting);
  void send_returned_credits(entry_model& entry, const std::string& name, std::uint32_t credits);
  void fetch_from_peer(entry_model& entry, const claim_holder& holder, milliseconds wait,
                       const std::function<void(std::optional<job_reply>)>& done);
  void pump_claims(entry_model& entry);
  void read_logs(entry_model& entry);
  void apply_catalogue(entry_model& entry);

  // Agents.
  void start_agent(agent_model& agent);
  void open_session(agent_model& agent, entry_model& entry, const session_key& key,
                    const session_hello& hello, const connection_ptr& wire);
  void close_session(agent_model& agent, session_id id);
  void on_dispatch(agent_model& agent, const connection_ptr& wire, frame received);
  void refuse(agent_model& agent, const connection_ptr& wire, const frame& received, reason cause,
              std::uint32_t credits);
  void send_result(agent_model& agent, const agent_session& session, const result& sent);
  void end_task(agent_model& agent, slot_ticket ticket, upstream_outcome outcome);
  result result_of(agent_model& agent, const entry_key& key, std::uint64_t sequence);
  void send_credit_changes(agent_model& agent, const slot_actions& actions);
  void set_upstream(agent_model& agent, bool announced);
  agent_description describe(const agent_model& agent) const {
    const bool serves = agent.announced;
    return {agent.name, "zone", {"check", "draft", "flood"}, serves ? agent_slots : 0, 8, 4096};
  }

  // Callers, operators and faults.
  void submit(std::size_t number, unsigned entry);
  void on_caller_reply(const uuid& id, const job_reply& reply);
  void submit_random_request();
  void publish_random_change();
  void inject_random_fault();
  void check_invariants();
  void check_final_state();

  std::mt19937_64 random_;
  const monotonic_time begin_ = at_ms(0);
  monotonic_time now_ = begin_;
  std::uint64_t order_ = 0;
  std::priority_queue<event, std::vector<event>, is_later> queue_;
  session_settings settings_;
  std::vector<std::unique_ptr<entry_model>> entries_;
  std::vector<std::unique_ptr<agent_model>> agents_;
  std::vector<log_record> claim_log_;
  std::vector<log_record> catalogue_log_;
  catalogue_replica reference_;
  std::map<std::uint64_t, std::uint64_t> digests_;
  monotonic_time log_down_until_{};
  std::vector<request> requests_;
  std::map<uuid, submission> submissions_;
  unsigned next_id_ = 1;
  uuid last_id_;
  totals totals_;
};

// Entries.

void simulation::start_entry(entry_model& entry) {
  for (auto& [name, old] : entry.links) {
    break_connection(entry, name);
  }
  ++entry.start_count;
  entry.frozen_until = {};
  entry.incarnation = ++order_;
  entry.links.clear();
  entry.in_flight.clear();
  entry.job_dispatcher.reset();
  entry.numbers = std::make_unique<sequence_allocator>();
  claimant_options claims;
  claims.entry_name = "entry" + std::to_string(entry.index);
  claims.entry_address = "127.0.0.1:" + std::to_string(entry.index + 1);
  entry.claims = std::make_unique<claimant>(claims, 1);
  dispatcher_options options;
  options.entry_slot = entry.index + 1;
  options.entry_slots = entry_count;
  options.make_submission_id = [this] { return last_id_ = test_id(1000 + next_id_++); };
  entry.job_dispatcher = std::make_unique<dispatcher>(
      options, selected_policy::make("credits", 1).value(), entry, entry, entry);
  entry.catalogue = catalogue_replica();
  entry.published_revisions.clear();
  entry.limits.clear();
  entry.reading_claims = entry.reading_catalogue = false;
  const auto& peer = *entries_.at((entry.index + 1) % entry_count);
  if (&peer != &entry && chance(0.5)) {
    entry.catalogue.install_snapshot(peer.catalogue.snapshot());
    apply_catalogue(entry);
  }
  schedule(now_, &entry, [this, &entry] { tick_entry(entry); });
}

void simulation::tick_entry(entry_model& entry) {
  entry.job_dispatcher->tick(now_);
  for (const auto& agent : agents_) {
    if (!entry.links.contains(agent->name) && agent->frozen_until <= now_) {
      entry.links.emplace(agent->name, std::make_unique<link>(settings_, *entry.numbers));
      open_link(entry, agent->name);
    } else if (entry.links.contains(agent->name)) {
      tick_link(entry, agent->name);
    }
  }
  pump_claims(entry);
  read_logs(entry);
  schedule(now_ + tick_interval, &entry, [this, &entry] { tick_entry(entry); });
}

void simulation::tick_link(entry_model& entry, const std::string& name) {
  auto& target = *entry.links.at(name);
  switch (target.ledger.next_action(now_)) {
  case session_action::none:
    return;
  case session_action::probe: {
    auto& agent = agent_named(name);
    const auto numbers = target.ledger.take_acknowledgements();
    send(target.wire, 0, agent,
         [this, &entry, &agent, name, numbers, wire = target.wire, counter = target.counter,
          key = entry.key()] {
           agent.commits->acknowledge(key, numbers);
           send(wire, 1, entry, [this, &entry, name, counter] {
             if (auto* alive = current_link(entry, name, counter)) {
               alive->ledger.on_frame_received(now_);
             }
           });
         });
    return;
  }
  case session_action::reopen:
    open_link(entry, name);
    return;
  case session_action::declare_lost:
    break;
  }
  const auto lost = target.ledger.mark_lost();
  entry.links.erase(name);
  entry.job_dispatcher->on_agent_lost(name);
  for (const auto& sent : lost) {
    report_outcome(entry, name, sent, nullptr);
  }
}

void simulation::open_link(entry_model& entry, const std::string& name) {
  auto& target = *entry.links.at(name);
  entry.job_dispatcher->on_session_suspended(name);
  const auto hello = target.ledger.start_session(now_);
  target.counter = hello.counter;
  target.session = 0;
  target.wire = std::make_shared<connection>();
  if (in_fault_phase() && chance(0.1)) {
    target.wire->silent = true;
  }
  auto& agent = agent_named(name);
  const session_key key{entry.key(), hello.counter};
  send(target.wire, 0, agent, [this, &agent, &entry, key, hello, wire = target.wire] {
    open_session(agent, entry, key, hello, wire);
  });
}

simulation::link* simulation::current_link(entry_model& entry, const std::string& name,
                                           std::uint64_t counter) {
  const auto found = entry.links.find(name);
  return found != entry.links.end() && found->second->counter == counter ? found->second.get()
                                                                         : nullptr;
}

void simulation::break_connection(entry_model& entry, const std::string& name) {
  auto& target = *entry.links.at(name);
  if (target.wire == nullptr || target.wire->broken) {
    return;
  }
  target.wire->broken = true;
  schedule(now_ + random_delay(), &entry, [this, &entry, name, counter = target.counter] {
    if (auto* broken = current_link(entry, name, counter)) {
      broken->session = 0;
      broken->ledger.on_disconnected(now_);
      entry.job_dispatcher->on_session_suspended(name);
    }
  });
  auto& agent = agent_named(name);
  schedule(now_ + random_delay(20'000), &agent, [this, &agent, wire = target.wire] {
    for (const auto& [id, session] : agent.sessions) {
      if (session.wire == wire) {
        agent.commits->disconnect_session(session.key, now_);
        close_session(agent, id);
        return;
      }
    }
  });
}

void simulation::on_reply(entry_model& entry, const std::string& name, std::uint64_t counter,
                          std::uint64_t incarnation, session_id session,
                          const std::vector<result>& resumed, std::uint32_t credits) {
  auto* target = current_link(entry, name, counter);
  if (target == nullptr) {
    return;
  }
  std::vector<dispatch_report> states;
  std::map<std::uint64_t, const result*> results;
  for (const auto& report : resumed) {
    states.push_back({report.sequence, report.state});
    results.emplace(report.sequence, &report);
  }
  target->session = session;
  const auto outcomes = target->ledger.resume(counter, incarnation, states, now_);
  auto& agent = agent_named(name);
  entry.job_dispatcher->on_session_opened(describe(agent), counter, credits, now_);
  for (const auto& outcome : outcomes) {
    const auto sequence = outcome.dispatch.sequence;
    const bool known = outcome.state != reported_state::unknown && results.contains(sequence);
    if (outcome.state != reported_state::running) {
      report_outcome(entry, name, outcome.dispatch, known ? results.at(sequence) : nullptr);
      continue;
    }
    // Requests the result of a task that still runs.
    send(target->wire, 0, agent,
         [this, &agent, wire = target->wire, session, sequence, key = entry.key()] {
           for (auto& [ticket, task] : agent.tasks) {
             if (task.received.sequence == sequence && task.received.key.entry == key) {
               task.waiter = session;
               return;
             }
           }
           const auto found = agent.sessions.find(session);
           if (found != agent.sessions.end()) {
             send_result(agent, found->second, result_of(agent, key, sequence));
           }
         });
  }
}

void simulation::on_result(entry_model& entry, const std::string& name, std::uint64_t counter,
                           const result& received) {
  auto* target = current_link(entry, name, counter);
  if (target == nullptr) {
    return;
  }
  target->ledger.on_frame_received(now_);
  const bool held =
      received.state == reported_state::finished || received.state == reported_state::failed;
  const auto sent = target->ledger.finish(received.sequence, held);
  entry.job_dispatcher->on_credits(name, counter, received.credits, credit_origin::result, now_);
  if (sent) {
    report_outcome(entry, name, *sent, &received);
  } else {
    entry.job_dispatcher->tick(now_);
  }
}

void simulation::report_outcome(entry_model& entry, const std::string& name,
                                const outstanding_dispatch& sent, const result* received) {
  dispatch_outcome outcome;
  outcome.error = {reason::agent_lost, step::resume, name, "nothing is known of the task"};
  if (received != nullptr && received->state != reported_state::unknown) {
    outcome.state = received->state == reported_state::finished ? outcome_state::finished
                    : received->state == reported_state::failed ? outcome_state::failed
                                                                : outcome_state::not_run;
    outcome.answer = received->outcome.answer;
    outcome.error = received->outcome.error;
    outcome.run_time = received->outcome.run_time;
  }
  entry.in_flight.erase({sent.submission, sent.task.index, sent.task.attempt});
  entry.job_dispatcher->on_outcome(sent.submission, sent.task, std::move(outcome), now_);
}

bool simulation::send_dispatch(entry_model& entry, const task_dispatch& sent) {
  auto& target = *entry.links.at(sent.agent);
  if (target.session == 0) {
    return false;
  }
  const auto sequence = target.ledger.dispatch(sent.submission, sent.task, now_);
  if (!sequence) {
    return false;
  }
  entry.in_flight[{sent.submission, sent.task.index, sent.task.attempt}] = {
      sent.kind, entry.limits.at("kind " + sent.kind), entry.limits.at("owner desk")};
  frame message;
  message.key = {entry.key(), target.counter};
  message.session = target.session;
  message.sequence = *sequence;
  message.id = sent.submission;
  message.index = sent.task.index;
  message.kind = sent.kind;
  message.revision = sent.revision;
  message.budget = sent.budget;
  message.waiting = {sent.waiting.key, sent.waiting.waiting};
  message.payload = *sent.payload;
  auto& agent = agent_named(sent.agent);
  const auto numbers = target.ledger.take_acknowledgements();
  send(target.wire, 0, agent, [this, &agent, wire = target.wire, message, numbers] {
    agent.commits->acknowledge(message.key.entry, numbers);
    on_dispatch(agent, wire, message);
  });
  return true;
}

void simulation::send_cancel(entry_model& entry, const std::string& name, const uuid& id) {
  const auto found = entry.links.find(name);
  if (found == entry.links.end() || found->second->session == 0) {
    return;
  }
  auto& target = *found->second;
  auto& agent = agent_named(name);
  const session_key key{entry.key(), target.counter};
  send(target.wire, 0, agent, [this, &agent, key, sequences = target.ledger.sequences_of(id)] {
    for (const auto sequence : sequences) {
      if (agent.commits->cancel(key, sequence) != cancel_result::running) {
        continue;
      }
      for (const auto& [ticket, task] : agent.tasks) {
        if (task.received.sequence == sequence && task.received.key.entry == key.entry) {
          schedule(now_ + random_delay(), &agent, [this, &agent, number = ticket] {
            end_task(agent, number,
                     {task_end::failed, "", {reason::cancelled, step::run, agent.name, ""}});
          });
        }
      }
    }
  });
}

void simulation::send_credit_request(entry_model& entry, const std::string& name, demand waiting) {
  const auto found = entry.links.find(name);
  if (found == entry.links.end() || found->second->session == 0) {
    return;
  }
  auto& target = *found->second;
  auto& agent = agent_named(name);
  send(target.wire, 0, agent,
       [this, &entry, &agent, name, waiting, wire = target.wire, counter = target.counter,
        session = target.session] {
         if (!agent.sessions.contains(session)) {
           return;
         }
         const auto actions = agent.slots->request_credits(session, {waiting.key, waiting.waiting});
         send_credit_changes(agent, actions);
         send(wire, 1, entry, [this, &entry, name, counter, credits = actions.reply_credits] {
           if (auto* alive = current_link(entry, name, counter)) {
             alive->ledger.on_frame_received(now_);
             entry.job_dispatcher->on_credits(name, counter, credits, credit_origin::request_reply,
                                              now_);
           }
         });
       });
}

void simulation::send_returned_credits(entry_model& entry, const std::string& name,
                                       std::uint32_t credits) {
  const auto found = entry.links.find(name);
  if (found == entry.links.end() || found->second->session == 0) {
    return;
  }
  auto& agent = agent_named(name);
  send(found->second->wire, 0, agent, [this, &agent, credits, session = found->second->session] {
    if (agent.sessions.contains(session)) {
      send_credit_changes(agent, agent.slots->return_credits(session, credits));
    }
  });
}

void simulation::fetch_from_peer(entry_model& entry, const claim_holder& holder, milliseconds wait,
                                 const std::function<void(std::optional<job_reply>)>& done) {
  auto& peer = *entries_.at(static_cast<std::size_t>(holder.entry_address.back() - '1'));
  auto pending = std::make_shared<bool>(true);
  const auto finish = [pending, done](std::optional<job_reply> reply) {
    if (std::exchange(*pending, false)) {
      done(std::move(reply));
    }
  };
  schedule(now_ + wait + milliseconds(100), &entry, [finish] { finish(std::nullopt); });
  schedule(now_ + random_delay(), &peer,
           [this, &entry, &peer, finish, id = holder.submission, wait] {
             const auto answer = [this, &entry, finish](const job_reply& reply) {
               schedule(now_ + random_delay(), &entry, [finish, reply] { finish(reply); });
             };
             if (!peer.job_dispatcher->fetch(id, wait > milliseconds(0), answer)) {
               schedule(now_ + random_delay(), &entry, [finish] { finish(std::nullopt); });
             }
           });
}

void simulation::pump_claims(entry_model& entry) {
  for (const auto& decision : entry.claims->expire(now_)) {
    entry.job_dispatcher->on_claim(decision, now_);
  }
  auto batch = entry.claims->next_batch(now_);
  if (!batch) {
    return;
  }
  const bool append_uncertain = in_fault_phase() && chance(0.15);
  const bool takes_effect = !append_uncertain || chance(0.7);
  const auto append_at =
      now_ + random_delay() + milliseconds(append_uncertain ? random_integer(0, 300) : 0);
  auto offset = std::make_shared<std::uint64_t>(0);
  schedule(append_at, nullptr, [this, offset, takes_effect, payload = std::move(batch->payload)] {
    if (takes_effect && now_ >= log_down_until_) {
      claim_log_.push_back({claim_log_.size() + 1, wall(), payload});
      *offset = claim_log_.size();
    }
  });
  const auto reply_at = append_uncertain ? now_ + milliseconds(30) : append_at + random_delay();
  schedule(reply_at, &entry, [this, &entry, offset, append_uncertain] {
    if (append_uncertain || *offset == 0) {
      entry.claims->on_append_error(now_);
    } else {
      entry.claims->on_append_ok(*offset);
    }
    pump_claims(entry);
  });
}

void simulation::read_logs(entry_model& entry) {
  if (!std::exchange(entry.reading_claims, true)) {
    schedule(now_ + random_delay(), nullptr, [this, &entry, start_count = entry.start_count] {
      std::vector<log_record> records;
      const bool up = now_ >= log_down_until_;
      if (up && start_count == entry.start_count) {
        const auto from = entry.claims->table().next_offset() - 1;
        const auto count = std::min<std::size_t>(claim_log_.size() - from, 20);
        records.assign(claim_log_.begin() + static_cast<long>(from),
                       claim_log_.begin() + static_cast<long>(from + count));
      }
      schedule(now_ + random_delay(), &entry, [this, &entry, up, records = std::move(records)] {
        entry.reading_claims = false;
        if (!up) {
          return;
        }
        for (const auto& decision : entry.claims->on_records(records, now_)) {
          entry.job_dispatcher->on_claim(decision, now_);
        }
        pump_claims(entry);
      });
    });
  }
  if (now_ < log_down_until_ || std::exchange(entry.reading_catalogue, true)) {
    return;
  }
  schedule(now_ + random_delay(40'000), &entry, [this, &entry, end = catalogue_log_.size()] {
    entry.reading_catalogue = false;
    // With some probability all records are delivered a second time.
    const auto known = static_cast<std::size_t>(entry.catalogue.applied_offset());
    const auto from = chance(0.2) ? 0 : std::min(known, end);
    entry.catalogue.apply(std::span(catalogue_log_).subspan(from, end - from));
    require(entry.catalogue.applied_offset() >= known, "a catalogue replica moved back");
    apply_catalogue(entry);
  });
}

// Passes changed subjects to the dispatcher, as the entry process does.
void simulation::apply_catalogue(entry_model& entry) {
  const auto offset = entry.catalogue.applied_offset();
  const auto digest = entry.catalogue.state_digest();
  require(digests_.try_emplace(offset, digest).first->second == digest,
          "catalogue replicas with the same offset differ");
  if (offset == 0) {
    return;
  }
  entry.job_dispatcher->mark_catalogue_loaded();
  auto removed = entry.published_revisions;
  for (const auto& item : entry.catalogue.entries()) {
    const auto& subject = item.entry.subject;
    removed.erase(subject);
    if (std::exchange(entry.published_revisions[subject], item.revision) == item.revision) {
      continue;
    }
    if (const auto* kind = std::get_if<kind_definition>(&item.entry.value)) {
      entry.limits[to_string(subject)] = kind->limits.in_flight;
      entry.job_dispatcher->set_kind(subject.name, *kind, item.revision, now_);
    } else if (const auto* owner = std::get_if<owner_quota>(&item.entry.value)) {
      entry.limits[to_string(subject)] = owner->in_flight;
      entry.job_dispatcher->set_owner(subject.name, *owner, now_);
    }
  }
  for (const auto& [subject, revision] : removed) {
    entry.published_revisions.erase(subject);
    entry.job_dispatcher->remove_kind(subject.name, entry.catalogue.revision(subject));
  }
  for (const auto& [name, target] : entry.links) {
    auto& agent = agent_named(name);
    if (target->session != 0) {
      send(target->wire, 0, agent, [&agent, revisions = entry.published_revisions] {
        for (const auto& [subject, revision] : revisions) {
          auto& known = agent.revisions[subject.name];
          known = std::max(known, revision);
        }
      });
    }
  }
}

// Agents.

void simulation::start_agent(agent_model& agent) {
  for (const auto& entry : entries_) {
    if (entry->links.contains(agent.name)) {
      break_connection(*entry, agent.name);
    }
  }
  ++agent.start_count;
  agent.frozen_until = {};
  agent.incarnation = ++order_;
  agent.commits = std::make_unique<commit_table>(agent.incarnation);
  agent.slots = std::make_unique<slot_ledger>();
  agent.sessions.clear();
  agent.tasks.clear();
  agent.revisions.clear();
  agent.announced = true;
  agent.slots->resize(agent_slots, entry_count);
}

void simulation::open_session(agent_model& agent, entry_model& entry, const session_key& key,
                              const session_hello& hello, const connection_ptr& wire) {
  const auto opening = agent.commits->open_session(key, hello.agent_incarnation, hello.outstanding,
                                                   hello.acknowledged, now_);
  if (!opening.accepted) {
    return;
  }
  for (const auto& [id, session] : agent.sessions) {
    if (session.key.entry == key.entry) {
      close_session(agent, id);
      break;
    }
  }
  const auto id = agent.next_session++;
  agent.sessions.emplace(id, agent_session{key, entry.index, wire});
  const auto actions = agent.slots->open(id, entry_count);
  std::vector<result> resumed;
  for (const auto& task : opening.tasks) {
    auto report = result_of(agent, key.entry, task.sequence);
    if (task.state == resume_state::sealed) {
      report.state = reported_state::not_run;
      report.outcome.error = {reason::sealed, step::resume, agent.name, ""};
    }
    resumed.push_back(std::move(report));
  }
  send(wire, 1, entry,
       [this, &entry, name = agent.name, counter = key.counter, incarnation = agent.incarnation, id,
        resumed, credits = actions.reply_credits] {
         on_reply(entry, name, counter, incarnation, id, resumed, credits);
       });
}

void simulation::close_session(agent_model& agent, session_id id) {
  agent.sessions.erase(id);
  send_credit_changes(agent, agent.slots->close(id));
}

simulation::result simulation::result_of(agent_model& agent, const entry_key& key,
                                         std::uint64_t sequence) {
  result known{sequence, reported_state::unknown, {}, 0};
  if (agent.commits->is_running(key, sequence)) {
    known.state = reported_state::running;
  } else if (const auto* outcome = agent.commits->outcome(key, sequence)) {
    known.outcome = *outcome;
    known.state = outcome->end == task_end::finished ? reported_state::finished
                  : outcome->end == task_end::failed ? reported_state::failed
                                                     : reported_state::not_run;
  }
  return known;
}

void simulation::send_result(agent_model& agent, const agent_session& session, const result& sent) {
  auto& entry = *entries_.at(session.entry);
  send(session.wire, 1, entry,
       [this, &entry, name = agent.name, counter = session.key.counter, sent] {
         on_result(entry, name, counter, sent);
       });
}

void simulation::refuse(agent_model& agent, const connection_ptr& wire, const frame& received,
                        reason cause, std::uint32_t credits) {
  const agent_session from{received.key,
                           static_cast<unsigned>(received.key.entry.name.back() - '0'), wire};
  const failure error{cause, step::dispatch, agent.name, ""};
  send_result(
      agent, from,
      {received.sequence, reported_state::not_run, {task_end::not_run, "", error}, credits});
}

void simulation::on_dispatch(agent_model& agent, const connection_ptr& wire, frame received) {
  const auto& key = received.key;
  // Frames of earlier sessions are refused by the commit table alone, so that its fencing is
  // tested.
  const auto current = std::find_if(agent.sessions.begin(), agent.sessions.end(),
                                    [&](auto& item) { return item.second.key.entry == key.entry; });
  if (!agent.commits->is_current(key) || current == agent.sessions.end()) {
    refuse(agent, wire, received, reason::stale_session, 0);
    return;
  }
  const auto session = current->first;
  auto cause = reason::none;
  if (!agent.announced) {
    cause = reason::upstream_absent;
  } else if (received.revision < agent.revisions[received.kind]) {
    cause = reason::stale_revision;
  } else {
    agent.revisions[received.kind] = received.revision;
    cause = agent.commits->accept(key, received.sequence);
  }
  if (cause != reason::none) {
    refuse(agent, wire, received, cause, agent.slots->refundable_credits(session));
    return;
  }
  const auto ticket = agent.next_ticket++;
  slot_actions actions;
  const auto taken = agent.slots->dispatch(session, ticket, received.waiting, false, actions);
  if (taken != slot_result::slot_taken) {
    agent.commits->cancel(key, received.sequence);
    send_credit_changes(agent, actions);
    refuse(agent, wire, received, reason::no_free_slot, 0);
    return;
  }
  if (!agent.commits->start(key, received.sequence, now_, now_ + received.budget)) {
    const auto ended = agent.slots->end_task(session);
    refuse(agent, wire, received, reason::budget_exhausted, ended.reply_credits);
    send_credit_changes(agent, actions);
    send_credit_changes(agent, ended);
    return;
  }
  auto& started = submissions_.at(received.id);
  require(agent.announced, "a task started without an announced upstream");
  require(!started.not_run, "a task of a submission that was reported as not run started");
  upstream_outcome outcome{
      task_end::finished, "answer to " + received.payload, {}, milliseconds(5)};
  auto time = random_delay(60'000);
  if (in_fault_phase() && chance(0.04)) {
    // The call failed before any byte reached the upstream.
    outcome = {task_end::not_run, "", {reason::connect_failed, step::start, agent.name, ""}, {}};
  } else {
    ++totals_.starts;
    require(started.started.insert(received.index).second, "a task of a submission started twice");
    auto& origin = requests_.at(started.request);
    require(!origin.key || origin.running_submission.value_or(received.id) == received.id,
            "two submissions ran the same request key");
    origin.running_submission = received.id;
    if (in_fault_phase() && chance(0.02)) {
      outcome = {task_end::failed, "", {reason::task_failed, step::run, agent.name, ""}, {}};
    } else if (in_fault_phase() && chance(0.01)) {
      time = received.budget;
      outcome = {task_end::failed, "", {reason::deadline_exceeded, step::run, agent.name, ""}, {}};
    }
  }
  agent.tasks.emplace(ticket, agent_task{std::move(received), session});
  schedule(now_ + time, &agent,
           [this, &agent, ticket, outcome] { end_task(agent, ticket, outcome); });
  send_credit_changes(agent, actions);
}

void simulation::end_task(agent_model& agent, slot_ticket ticket, upstream_outcome outcome) {
  const auto found = agent.tasks.find(ticket);
  if (found == agent.tasks.end()) {
    return;
  }
  const auto task = std::move(found->second);
  agent.tasks.erase(found);
  const auto& key = task.received.key.entry;
  agent.commits->finish(key, task.received.sequence, std::move(outcome));
  const auto waiting = agent.sessions.find(task.waiter);
  const auto actions = agent.slots->end_task(waiting == agent.sessions.end() ? 0 : task.waiter);
  if (waiting != agent.sessions.end()) {
    auto sent = result_of(agent, key, task.received.sequence);
    sent.credits = actions.reply_credits;
    send_result(agent, waiting->second, sent);
  }
  send_credit_changes(agent, actions);
}

void simulation::send_credit_changes(agent_model& agent, const slot_actions& actions) {
  for (const auto& change : actions.grants) {
    const auto& session = agent.sessions.at(change.session);
    auto& entry = *entries_.at(session.entry);
    send(
        session.wire, 1, entry,
        [this, &entry, name = agent.name, counter = session.key.counter, credits = change.credits] {
          if (current_link(entry, name, counter) != nullptr) {
            entry.job_dispatcher->on_credits(name, counter, credits, credit_origin::grant, now_);
          }
        });
  }
  for (const auto& change : actions.recalls) {
    const auto& session = agent.sessions.at(change.session);
    auto& entry = *entries_.at(session.entry);
    const auto requested = change.credits;
    auto pending = std::make_shared<bool>(true);
    const auto finish = [this, &agent, pending, id = change.session,
                         requested](std::uint32_t returned) {
      if (std::exchange(*pending, false)) {
        send_credit_changes(agent, agent.slots->on_recall_answer(id, requested, returned));
      }
    };
    schedule(now_ + recall_timeout, &agent, [finish, requested] { finish(requested); });
    send(session.wire, 1, entry,
         [this, &entry, &agent, finish, requested, wire = session.wire, name = agent.name,
          counter = session.key.counter] {
           const auto returned = current_link(entry, name, counter) == nullptr
                                     ? 0
                                     : entry.job_dispatcher->on_recall(name, counter, requested);
           send(wire, 0, agent, [finish, returned] { finish(returned); });
         });
  }
}

void simulation::set_upstream(agent_model& agent, bool announced) {
  if (std::exchange(agent.announced, announced) == announced) {
    return;
  }
  for (const auto& [id, session] : agent.sessions) {
    auto& entry = *entries_.at(session.entry);
    send(session.wire, 1, entry,
         [this, &entry, announced, counter = session.key.counter, info = describe(agent)] {
           if (current_link(entry, info.name, counter) == nullptr) {
             return;
           }
           if (announced) {
             entry.job_dispatcher->on_agent_changed(info, now_);
           } else {
             entry.job_dispatcher->on_agent_leaving(info.name, counter);
           }
         });
  }
  send_credit_changes(agent, agent.slots->resize(announced ? agent_slots : 0, entry_count));
}

// Callers, operators and faults.

void simulation::submit(std::size_t number, unsigned index) {
  auto& entry = *entries_.at(index);
  if (entry.frozen_until > now_) {
    return;
  }
  const auto& requested = requests_.at(number);
  caller_request job;
  job.kind = requested.kind;
  job.key = requested.key;
  job.tasks = requested.tasks;
  job.budget = milliseconds(random_integer(100, 1500));
  const auto before = next_id_;
  auto id = std::make_shared<uuid>(test_id(900'000'000 + static_cast<unsigned>(++order_)));
  // The id is known only after the call, so replies during the call are kept. Tasks start only in
  // later events.
  auto known = std::make_shared<bool>(false);
  auto first = std::make_shared<std::vector<job_reply>>();
  entry.job_dispatcher->submit(std::move(job), now_,
                               [this, id, known, first](const job_reply& reply) {
                                 if (*known) {
                                   on_caller_reply(*id, reply);
                                 } else {
                                   first->push_back(reply);
                                 }
                               });
  if (next_id_ != before) {
    *id = last_id_;
  }
  *known = true;
  submissions_.emplace(*id, submission{number, index, entry.start_count, 0, false, {}});
  for (const auto& reply : *first) {
    on_caller_reply(*id, reply);
  }
}

void simulation::on_caller_reply(const uuid& id, const job_reply& reply) {
  auto& target = submissions_.at(id);
  require(++target.replies == 1, "a job was answered twice");
  const auto has = [&reply](const char* text) {
    return reply.body.find(text) != std::string::npos;
  };
  if (has("\"state\":\"complete\"")) {
    ++totals_.complete;
    std::vector<std::string> answers;
    for (const auto& task : requests_.at(target.request).tasks) {
      answers.push_back("answer to " + task);
    }
    const auto expected = make_complete_reply("", answers).body;
    const auto length = expected.find("\"submission\"");
    require(reply.body.substr(0, length) == expected.substr(0, length),
            "a job was completed with other answers than its own");
    return;
  }
  if (!has("\"run\":\"not_run\"")) {
    ++totals_.may_have_run;
    return;
  }
  ++totals_.not_run;
  // The reply contains the id of the submission that it describes; a refused request has none.
  constexpr std::size_t id_length = 36;
  const auto position = reply.body.find("\"submission\":\"");
  const auto named = uuid::parse(reply.body.substr(position + 14, id_length));
  auto& subject = named ? submissions_.at(*named) : target;
  require(subject.started.empty(), "a submission that started was reported as not run");
  subject.not_run = true;
}

void simulation::submit_random_request() {
  const auto entry = static_cast<unsigned>(random_integer(0, entry_count - 1));
  if (!requests_.empty() && chance(0.3)) {
    // Submits an earlier request again at any entry, as a caller does after a timeout.
    const auto number =
        random_integer(requests_.size() < 8 ? 0 : requests_.size() - 8, requests_.size() - 1);
    totals_.duplicates += requests_.at(number).key ? 1 : 0;
    submit(number, entry);
    return;
  }
  const auto number = static_cast<unsigned>(requests_.size());
  request created;
  created.kind = chance(0.4) ? "draft" : chance(0.6) ? "check" : "flood";
  if (created.kind == "draft") {
    created.key = test_id(number).to_string();
  }
  const auto tasks = random_integer(1, created.kind == "flood" ? 12 : 4);
  for (std::uint64_t i = 0; i < tasks; ++i) {
    created.tasks.push_back(std::to_string(number) + "/" + std::to_string(i));
  }
  requests_.push_back(std::move(created));
  submit(number, entry);
}

void simulation::publish_random_change() {
  catalogue_change change;
  change.id = test_id(500'000 + static_cast<unsigned>(catalogue_log_.size()));
  change.operator_name = "operator";
  const auto index = catalogue_log_.size();
  const std::array names{"check", "draft", "flood"};
  const bool first = index < 4;
  const auto subject = first ? index : random_integer(0, 3);
  if (subject == 3) {
    change.subject = {subject_type::owner, "desk"};
    change.value =
        owner_quota{static_cast<std::uint32_t>(first ? 8 : random_integer(2, 12)), 100'000};
  } else {
    change.subject = {subject_type::kind, names[subject]};
    kind_definition kind;
    kind.owner = "desk";
    kind.idempotent = subject != 1;
    kind.limits = {static_cast<std::uint32_t>(first ? 6 : random_integer(2, 9)), 300, 100'000, 50,
                   milliseconds(2000)};
    if (first || !chance(subject == 2 ? 0.5 : 0.1)) {
      change.value = kind;
    }
  }
  const auto base = reference_.revision(change.subject);
  change.base_revision = !first && base > 0 && chance(0.2) ? base - 1 : base;
  auto payload = encode_change(change);
  if (!first && chance(0.15)) {
    payload.resize(random_integer(0, payload.size()));
  }
  catalogue_log_.push_back({index + 1, wall(), payload});
  reference_.apply(std::span(catalogue_log_).subspan(index));
  digests_.emplace(reference_.applied_offset(), reference_.state_digest());
}

void simulation::inject_random_fault() {
  auto& entry = *entries_.at(random_integer(0, entry_count - 1));
  auto& agent = *agents_.at(random_integer(0, agent_count - 1));
  const auto found = entry.links.find(agent.name);
  const auto wire = found == entry.links.end() ? nullptr : found->second->wire;
  switch (random_integer(0, 11)) {
  case 0:
    start_entry(entry);
    return;
  case 1:
    start_agent(agent);
    return;
  case 2:
    entry.frozen_until = now_ + milliseconds(random_integer(10, 1500));
    return;
  case 3:
    agent.frozen_until = now_ + milliseconds(random_integer(10, 1500));
    return;
  case 4:
  case 5:
    if (wire != nullptr) {
      break_connection(entry, agent.name);
    }
    return;
  case 6:
    if (wire != nullptr) {
      wire->silent = true;
    }
    return;
  case 7:
    if (wire != nullptr) {
      wire->stalled_until = now_ + milliseconds(random_integer(100, 2500));
    }
    return;
  case 8:
    log_down_until_ = now_ + milliseconds(random_integer(20, 600));
    return;
  case 9:
    set_upstream(agent, !agent.announced);
    return;
  case 10:
    publish_random_change();
    return;
  default:
    break;
  }
  std::vector<uuid> open;
  for (const auto& [id, tracked] : submissions_) {
    if (tracked.entry == entry.index && tracked.entry_start == entry.start_count &&
        tracked.replies == 0) {
      open.push_back(id);
    }
  }
  for (const auto& id : open) {
    if (entry.frozen_until <= now_ && chance(0.5)) {
      entry.job_dispatcher->cancel(id, now_, [](const job_reply&) {});
    }
  }
}

void simulation::check_invariants() {
  std::map<std::string, std::size_t> running;
  std::map<std::string, std::size_t> limit;
  for (const auto& entry : entries_) {
    require(entry->job_dispatcher->accounts().balances(), "an account does not balance");
    require(entry->in_flight.size() == entry->job_dispatcher->tasks_in_flight(),
            "the count of tasks in flight is wrong");
    for (const auto& [key, sent] : entry->in_flight) {
      // Tasks that were dispatched under a higher limit may still run after it was lowered.
      auto& kind_limit = limit["kind " + sent.kind];
      auto& owner_limit = limit["owner desk"];
      kind_limit = std::max<std::size_t>(kind_limit, sent.kind_limit);
      owner_limit = std::max<std::size_t>(owner_limit, sent.owner_limit);
      ++running["kind " + sent.kind];
      ++running["owner desk"];
    }
  }
  for (const auto& [name, count] : running) {
    require(count <= limit.at(name), "more tasks in flight than the limit of " + name);
  }
  for (const auto& agent : agents_) {
    const auto& slots = *agent->slots;
    require(slots.granted() == 0 || slots.granted() + slots.running() <= slots.slots(),
            "more credits and running tasks than slots");
    require(slots.running() == agent->tasks.size(), "the count of running tasks is wrong");
  }
}

void simulation::check_final_state() {
  for (const auto& entry : entries_) {
    require(entry->job_dispatcher->open_jobs() == 0, "a job never ended");
    require(entry->job_dispatcher->tasks_in_flight() == 0, "a task stays in flight");
    require(entry->job_dispatcher->waiting_tasks() == 0, "a task of an ended job waits");
    require(entry->claims->idle(), "a claim stays undecided");
    require(entry->catalogue.applied_offset() == catalogue_log_.size(), "a replica is behind");
  }
  for (const auto& [id, tracked] : submissions_) {
    const bool lost = entries_.at(tracked.entry)->start_count != tracked.entry_start;
    require(lost || tracked.replies == 1, "a caller was never answered");
  }
  for (const auto& agent : agents_) {
    require(agent->commits->running() == 0, "an agent counts a task that has ended");
  }
}

totals simulation::run() {
  for (unsigned i = 0; i < agent_count; ++i) {
    agents_.push_back(std::make_unique<agent_model>());
    agents_.back()->name = "agent" + std::to_string(i);
    start_agent(*agents_.back());
  }
  for (unsigned i = 0; i < entry_count; ++i) {
    entries_.push_back(std::make_unique<entry_model>(*this, i));
  }
  for (auto& entry : entries_) {
    start_entry(*entry);
  }
  for (int i = 0; i < 4; ++i) {
    publish_random_change();
  }
  for (auto when = begin_ + milliseconds(100); when < begin_ + fault_phase;
       when += random_delay(40'000)) {
    schedule(when, nullptr, [this] { submit_random_request(); });
  }
  for (auto when = begin_ + milliseconds(200); when < begin_ + fault_phase;
       when += random_delay(120'000)) {
    schedule(when, nullptr, [this] { inject_random_fault(); });
  }
  schedule(begin_ + fault_phase, nullptr, [this] {
    for (auto& agent : agents_) {
      set_upstream(*agent, true);
    }
  });
  while (!queue_.empty() && queue_.top().when < begin_ + simulated_time) {
    auto next = queue_.top();
    queue_.pop();
    if (next.target != nullptr && next.target->start_count != next.start_count) {
      continue;
    }
    if (next.target != nullptr && next.target->frozen_until > next.when) {
      next.when = next.target->frozen_until;
      next.order = ++order_;
      queue_.push(std::move(next));
      continue;
    }
    now_ = next.when;
    next.action();
    check_invariants();
  }
  check_final_state();
  return totals_;
}

TEST_CASE("the dispatcher keeps its guarantees in random histories of faults") {
  // Guards against tasks that start twice, started jobs reported as not run, lost jobs and exceeded
  // limits when connections, processes, the log, upstreams and callers fail in any combination.
  const char* more = std::getenv("PARSLEYLEAD_HISTORIES");
  const std::uint64_t seeds = more == nullptr ? 120 : std::strtoull(more, nullptr, 10);
  totals sum;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    CAPTURE(seed);
    try {
      const auto part = simulation(seed).run();
      sum.complete += part.complete;
      sum.not_run += part.not_run;
      sum.may_have_run += part.may_have_run;
      sum.starts += part.starts;
      sum.duplicates += part.duplicates;
    } catch (const violation& broken) {
      FAIL_CHECK(std::string(broken.what()));
    }
  }
  MESSAGE(sum.complete << " complete, " << sum.not_run << " not run, " << sum.may_have_run
                       << " may have run, " << sum.starts << " starts, " << sum.duplicates
                       << " duplicates");
  CHECK(sum.complete > 10 * seeds);
  CHECK(sum.not_run > seeds);
  CHECK(sum.may_have_run > seeds);
}

} // namespace
} // namespace parsleylead
