#pragma once

#include <chrono>

namespace parsleylead {

/// Timing of the links between entries and agents. The values depend on each other:
/// `keepalive_interval` x 3 <= `max_silence` < `owner_lease`, and an entry reruns a lost task only
/// after `fleet_policy::lost_run_wait`, which exceeds `owner_lease` and a worker's lease.
struct link_timing {
  /// An idle link sends a small frame this often. With 540 agents of 6 sessions each, this is
  /// 40 frames a second at an agent and 3,600 over all entries for each ten of them.
  std::chrono::milliseconds keepalive_interval{150};
  /// A link that received no frame for this long is closed and reopened.
  std::chrono::milliseconds max_silence{450};
  /// An agent stops the runs of an entry that has been silent for this long. Together with the time
  /// to stop a run, it is below the time after which a caller may submit its job to another entry.
  std::chrono::milliseconds owner_lease{700};
  /// An agent also stops the runs of an entry whose frames show for this long that it has received
  /// nothing newer from the agent: frames may wait in a congested link after the entry has given up
  /// the agent. With the time to stop a run and the clock error, below
  /// `fleet_policy::lost_run_wait`.
  std::chrono::milliseconds unheard_limit{1'480};
  /// Between entries, where no lease depends on a link: an idle link sends a frame this often, and
  /// is closed and reopened after this silence.
  std::chrono::milliseconds peer_keepalive_interval{450};
  std::chrono::milliseconds peer_max_silence{1'500};
  std::chrono::milliseconds connect_timeout{400};
  /// Delay between two attempts to connect; doubles up to `max_reconnect_delay`.
  std::chrono::milliseconds reconnect_delay{100};
  std::chrono::milliseconds max_reconnect_delay{1'600};
  /// A process with fewer than half of its links repeats a refused connection after this time for
  /// each known entry, if that is sooner: about 60 attempts a second. Entries and agents that start
  /// together, after a loss of all hosts, would otherwise wait for up to `max_reconnect_delay`.
  std::chrono::milliseconds scarce_dial_interval{15};
  /// Entries send their whole member lists to the entries that they connected to this often: with
  /// 12 links, 13 members of 70 bytes to each, 2 KB a second.
  std::chrono::milliseconds gossip_interval{5'000};
  /// An entry tells all of its sessions of a new entry, in one frame for all that connected within
  /// this time. At a restart of 60 entries, an entry with 50 sessions sends 84 KB; whole lists on
  /// each change would be 3 MB and fill a link of 2 Mbit/s for 12 s.
  std::chrono::milliseconds news_interval{200};
  /// An entry that lacks the routes that another one has waits this long for the store before it
  /// requests them, and as long before it repeats the request.
  std::chrono::milliseconds routes_request_delay{300};
  /// Interval at which leases, silent links and timeouts are checked.
  std::chrono::milliseconds tick_interval{20};
  /// Minimum interval between two status reports of an agent to one entry.
  std::chrono::milliseconds status_interval{40};
  /// Interval of the log lines about the traffic on all links of a process.
  std::chrono::milliseconds traffic_report_interval{10'000};
  /// Interval of the checks for links beyond the maximum. An agent that closes such a link reports
  /// itself as not accepting for at least as long before, so that no order is on its way.
  std::chrono::milliseconds surplus_check_interval{500};
  /// An agent that leaves stays connected for this long after its last run, so that entries receive
  /// the end of that run, and orders that were sent before its report arrived are returned. It
  /// covers `status_interval` and a round trip between zones.
  std::chrono::milliseconds leave_notice{200};
  /// An entry that has been unreachable for this long is removed from the known members.
  std::chrono::milliseconds member_expiry{30'000};
};

} // namespace parsleylead
