// One member of a fleet: the SWIM protocol (Das, Gupta, Motivala, DSN 2002) with the Lifeguard extensions
// (Dadgar, Phillips, Currey, DSN-W 2018), push-pull anti-entropy as in memberlist, and detection of
// partitions, of links that fail in one direction and of name conflicts.
//
// Pure decision logic: no socket, no clock, no thread. Datagrams, time and the random seed come in as values;
// datagrams to send, changes of the view and the next wake-up go out. The same inputs give the same outputs.
//
// One probe of one member (SWIM section 3.1; by default two start a period: one by the shuffled round, one of
// whichever member was not contacted for longest):
//
//            late by its own round trips         late again                       end of the period
//   ping ------------------------------> ping again ---------> indirect probes ------------------> failed
//     |  ack                               |  ack                 |  indirect ack
//     +------------------------------------+-----> succeeded      +--> succeeded, one direction is broken
//
// One member in the view of another (SWIM section 4.2):
//
//               probe failed, or gossip          timed out, quorum seen, final probe unanswered
//   alive ----------------------------> suspect -----------------------------------------------> dead
//     ^  |                                 |  ^                                                    |
//     |  | graceful leave                  |  +-- confirmed by others: shorter timeout             |
//     |  v                                 |                                                       |
//   left |      +---- refuted with a higher incarnation -------------------------------------------+
//     +--|------+
//
// Threads: one. Ownership: all values. Errors: input that can't be trusted is counted (Counters) and changes
// nothing.
//
// The implementation stands in one file a concern: member.cpp (time, periods, quorum), member_send.cpp,
// member_receive.cpp, member_probe.cpp (failure detector), member_links.cpp, member_join.cpp (unverified
// peers, seeds), member_sync.cpp (anti-entropy), member_suspicion.cpp, member_updates.cpp (gossip about
// others), member_identity.cpp (gossip about itself, name conflicts), member_metadata.cpp, member_leave.cpp.
#pragma once
#include <algorithm>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "membership/digest.h"
#include "membership/dissemination_queue.h"
#include "membership/limit_holders.h"
#include "membership/local_health.h"
#include "membership/partition_detector.h"
#include "membership/roster.h"

namespace granitegap::membership {

// What a member is for the whole life of its process.
struct Identity {
  std::string name, zone;
  Address address;            // advertised
  Address secondary_address;  // advertised for a second network path; no port: there is none
  BootId boot_id{};
  Incarnation first_incarnation = 1;  // to start with; raised above a predecessor's once that is learned
  std::uint16_t cache_fill_port = 0;  // MemberMetadata::cache_fill_port
};

// One datagram to send.
struct OutgoingDatagram {
  Address to;
  Datagram datagram;
  bool via_secondary = false;  // from the socket of the secondary path
};

// What happened to a member, or to this one.
enum class ChangeKind : std::uint8_t {
  joined,
  restarted,  // a new process under the same name
  suspected,
  refuted,
  died,
  left,     // announced a graceful leave
  removed,  // its tombstone was pruned
  metadata_updated,
  link_broken,  // one direction of the direct link fails
  link_recovered,
  local_connectivity,  // of this member
  view_certainty,      // the view became uncertain, or certain again
  quorum,              // this member gained or lost the quorum
  name_conflict,       // another process uses this member's name, or no longer does
  limit_holders        // Member::limit_holders() or limit_admitted() has changed
};

// One change of the view.
struct Change {
  ChangeKind kind{};
  std::string name;               // of the member it is about
  bool detected_locally = false;  // by this member, not learned by gossip
};

// Events since the start. The first six count input that was rejected or had no effect.
struct Counters {
  std::uint64_t stale_boot_id = 0;     // datagrams of a superseded process
  std::uint64_t late = 0;              // datagrams and updates older than Options::max_message_age
  std::uint64_t unverified_peers = 0;  // datagrams of senders whose address is not yet verified
  std::uint64_t misaddressed = 0;      // pings meant for another member at this address
  std::uint64_t roster_full = 0;       // updates of new members over Options::max_members
  std::uint64_t suspicions = 0, deaths = 0, refutations = 0, pauses = 0, sync_requests = 0;
};

// One member of a fleet. See the top of this file.
class Member {
 public:
  // `seed` of its random choices; `now` is the start of its life.
  Member(Options options, Identity self, std::uint64_t seed, TimePoint now);
  Member(const Member&) = delete;  // its parts refer to its options
  Member& operator=(const Member&) = delete;

  // Takes in a decoded datagram that had `bytes` on the wire.
  void receive(const Datagram& datagram, std::size_t bytes, TimePoint now);
  // Does what is due. To be called at next_wake() or later; earlier is harmless.
  void wake(TimePoint now);
  // When wake() is due next.
  TimePoint next_wake() const;

  // The datagrams to send since the last call, in order.
  [[nodiscard]] std::vector<OutgoingDatagram> take_outgoing() { return std::exchange(outgoing_, {}); }
  // The changes of the view since the last call, in order.
  [[nodiscard]] std::vector<Change> take_changes() { return std::exchange(changes_, {}); }

  // Publishes this member's stage and load; small changes of load are held back. Percentages of 100.
  void update_metadata(Stage stage, std::uint8_t warmup_percent, std::uint8_t pressure_percent,
                       std::vector<EndpointHealth> endpoint_health, TimePoint now);
  // Publishes the state of its recovery; small changes of offered_percent are held back.
  void update_metadata(const RecoveryStatus& recovery_status, TimePoint now);
  // Starts a graceful leave: announced until enough members acknowledge it, or kLeaveRounds times.
  void leave(TimePoint now);
  // True once a started leave is over.
  bool has_left() const;

  // Adds members known beforehand, for a simulated fleet that starts formed: not gossiped.
  void add_known_members(const std::vector<Record>& known, TimePoint now);
  // Addresses to contact beside the seeds while no other member is present; replaces earlier ones.
  void set_join_addresses(std::vector<Address> addresses) { join_addresses_ = std::move(addresses); }
  // Takes over new options while it runs; `baseline_mode` stays as it was.
  void update_options(const Options& options);

  const Identity& self() const { return self_; }
  Incarnation incarnation() const { return incarnation_; }
  const MemberMetadata& metadata() const { return metadata_; }
  // All other members.
  const Roster& roster() const { return roster_; }
  LocalConnectivity local_connectivity() const { return local_health_.local_connectivity(); }
  // When the last valid datagram of any member arrived.
  TimePoint last_received_at() const { return local_health_.last_received_at(); }
  // Whether many members fell silent at once, so that nobody is declared dead for now.
  bool uncertain() const { return partition_detector_.uncertain(); }
  // Whether more than half of the fleet is alive in this view.
  bool has_quorum() const { return partition_detector_.has_quorum(); }
  // The number of members that a quorum is counted of, this one included.
  std::size_t fleet_size() const { return std::max(roster_.quorum_base() + 1, options_.min_fleet_size); }
  // Whether the others have heard of this process, so that it may take a share of fleet-wide limits.
  bool limit_admitted() const { return limit_admitted_; }
  // Members that may hold a share of fleet-wide limits, this one included; absent while that is unsettled.
  std::optional<std::size_t> limit_holders() const { return limit_holders_.count(); }
  // Dead members that no longer count for the fleet, but are remembered: each may still run, cut off.
  std::size_t dead_outside_quorum_base() const;
  // Of another process that uses this member's name, where there is one.
  const std::optional<Address>& conflicting_address() const { return conflict_.address; }
  // Lifeguard's local health multiplier.
  unsigned health_multiplier() const { return local_health_.multiplier(); }
  const Counters& counters() const { return counters_; }
  // The number of items held besides the roster: bounded.
  std::size_t pending_items() const {
    return probes_.size() + relays_.size() + unverified_peers_.size() + dissemination_queue_.size();
  }

 private:
  // A probe of `target` under way.
  struct Probe {
    std::uint32_t nonce = 0;
    Index target = kNoMember;
    TimePoint sent_at, late_at, ends_at;
    std::uint8_t pings_sent = 0;
    bool indirect_requested = false;
    std::uint8_t helper_replies = 0;
    std::optional<std::uint32_t> indirect_heard_ms;  // Ack::heard_ms of an answer that came indirectly
  };
  // An indirect probe made on behalf of another member.
  struct IndirectProbe {
    std::uint32_t nonce = 0, requester_nonce = 0;
    std::string target;
    Address requester;
    TimePoint nack_at;
  };
  // A peer that was pinged at the address it claims, and has not answered yet.
  struct UnverifiedPeer {
    std::string name;  // empty where only the address is known
    Address address;
    BootId boot_id{};
    std::uint32_t nonce = 0;
    TimePoint expires_at;
  };
  // A sync on its way to one member, chunk by chunk.
  struct OutgoingSync {
    Address to;
    std::uint32_t nonce = 0;
    Index next_member = 0;
    std::uint16_t next_chunk = 0;
    TimePoint next_at;
    Buckets wanted;  // the others are equal on both sides
    std::size_t bucket_count = 1;
  };
  // Another process under this member's name.
  struct NameConflictState {
    std::optional<Address> address;
    BootId boot_id{};
    Incarnation incarnation = 0;  // the highest seen of it
    TimePoint expires_at, next_notice_at;
    bool yielded = false;  // the other process holds the name
  };
  struct LeaveState {
    bool started = false;
    unsigned rounds = 0, acks = 0;
    TimePoint next_round_at;
    std::vector<std::uint32_t> nonces;
  };
  // How send() completes a datagram.
  struct SendOptions {
    Index about = kNoMember;        // add what is held against this member, where that is not `alive`
    bool without_gossip = false;    // to a peer that is not verified
    std::size_t pad_to = 0;         // bytes
    std::vector<Record> updates{};  // before gossip
  };
  enum class SenderCheck : std::uint8_t { verified, unverified, late, stale };

  // ---- member.cpp ----
  void advance_clock(TimePoint now);
  void after_pause(Duration late);
  void advance_probes();
  void expire_indirect_probes();
  void run_period();
  void prune_roster();
  void admit_to_quorum_base();
  void update_limit_holders();
  bool others_may_have_quorum() const;
  std::size_t members_that_may_run() const;
  std::size_t unheard_seeds() const;
  void start_period_probes();
  void update_health();
  void update_certainty();
  void on_connectivity_changed();
  void on_certainty_changed();
  void notify(ChangeKind kind, const std::string& name, bool detected_locally = false);
  // Keeps a list from growing while nothing empties it, as without a quorum.
  static void add_once(std::vector<Index>& to, Index i) {
    if (std::find(to.begin(), to.end(), i) == to.end()) to.push_back(i);
  }

  // ---- member_send.cpp ----
  void send(const Address& to, Body body) { send(to, std::move(body), SendOptions{}); }
  void send(const Address& to, Body body, SendOptions options);
  void send_about(Index member, Body body) { send_about(member, std::move(body), {}); }
  void send_about(Index member, Body body, std::vector<Record> updates);
  void send_via_secondary(Index to, Body body);
  void ping_via_secondary(Index target, std::uint32_t nonce);
  Record own_record(bool with_metadata) const;
  Index random_present(bool alive_only);
  std::vector<Index> select_helpers(Index target, unsigned max);
  std::uint32_t nonce() { return std::uint32_t(random_()) | 1; }

  // ---- member_receive.cpp ----
  void receive_from_own_name(const Datagram& datagram);
  SenderCheck check_sender(const Sender& from, Index i);
  bool is_late(const Sender& from, MemberState& e);
  void reject_stale(const Datagram& datagram, std::size_t bytes, Index i);
  void receive_verified(const Datagram& datagram, Index from);
  void handle(const Ping& ping, const Datagram& datagram, Index from);
  void handle(const Ack& ack, const Datagram& datagram, Index from);
  void handle(const PingRequest& request, const Datagram& datagram, Index from);
  void handle(const IndirectAck& ack, const Datagram& datagram, Index from);
  void handle(const Nack& nack, const Datagram& datagram, Index from);
  void handle(const SyncRequest& request, const Datagram& datagram, Index from);
  void handle(const SyncChunk& chunk, const Datagram& datagram, Index from);
  void handle(const NameConflict&, const Datagram&, Index) {}  // only counts from the own name
  void handle(const GossipOnly&, const Datagram&, Index) {}

  // ---- member_probe.cpp ----
  bool is_probed(Index i) const;
  Index next_in_round();
  void add_to_round(Index i);
  void start_probe(Index target);
  void start_extra_probes();
  void retry_probe(Probe& probe);
  void request_indirect_probes(Probe& probe);
  void finish_probe(const Probe& probe);
  void on_probe_acked(std::vector<Probe>::iterator probe, const Ack& ack);
  Duration probe_timeout(const MemberState& e) const;

  // ---- member_links.cpp ----
  void on_direct_answer(Index i);
  void on_indirect_answer(const Probe& probe, std::uint32_t heard_ms);
  void set_link(Index i, bool broken, bool inbound);
  void take_link_report(Index i, const MemberMetadata& metadata);
  void probe_monitored_links();

  // ---- member_join.cpp ----
  void receive_unverified(const Datagram& datagram, std::size_t bytes, Index i);
  void on_verification(const Datagram& datagram, const Ack& ack);
  void answer_unverified(const Datagram& datagram, const Ping& ping, std::size_t bytes, Index i);
  void verify_peer(const Sender& from, std::size_t max_bytes);
  void contact_address(const Address& to);
  std::vector<Address> absent_seeds() const;
  void contact_absent();
  void contact_dead();

  void announce_to_unaware();
  bool may_be_admitted();

  // ---- member_sync.cpp ----
  void request_due_sync();
  void request_sync(Index with);
  void send_sync_chunks();
  std::vector<Record> next_chunk(OutgoingSync& sync);

  // ---- member_suspicion.cpp ----
  void suspect(Index i);
  void set_suspicion_deadline(Index i);
  void ping_own_suspects();
  void judge_suspects();
  void send_final_probe(Index i);
  void declare_dead(Index i);
  bool may_declare_dead() const;
  void withdraw_own_suspicions();

  // ---- member_updates.cpp ----
  void apply(const Record& record, bool detected_locally = false, bool in_sync = false);
  void on_alive_again(Index i, MergeResult merged, Status before, bool detected_locally);
  void on_merged(Index i, MergeResult merged, Status before, bool detected_locally);
  void update_certain_status(Index i);

  // ---- member_identity.cpp ----
  void apply_about_self(const Record& record);
  void refute_to(std::uint64_t suspected_by);
  void on_other_process(const Record& record);
  void on_superseded(const Record& record);
  void raise_incarnation_above(Incarnation seen);
  void note_name_conflict(const Address& address);
  void expire_name_conflict();

  // ---- member_metadata.cpp ----
  void publish_metadata(TimePoint now);
  void publish_links_and_conflict();
  bool is_small_load_change(Stage stage, std::uint8_t warmup_percent, std::uint8_t pressure_percent,
                            const std::vector<EndpointHealth>& endpoint_health, TimePoint now) const;

  // ---- member_leave.cpp ----
  void send_leave_round();

  Options options_;
  Identity self_;
  std::uint64_t own_hash_;
  Incarnation incarnation_;
  MemberMetadata metadata_;
  std::mt19937_64 random_;
  TimePoint started_at_, now_, next_period_at_;
  std::uint64_t period_count_ = 0;
  Roster roster_;
  LocalHealth local_health_;
  PartitionDetector partition_detector_;
  LimitHolders limit_holders_;
  DisseminationQueue dissemination_queue_;
  std::vector<Probe> probes_;
  std::vector<IndirectProbe> relays_;
  std::vector<UnverifiedPeer> unverified_peers_;
  std::vector<OutgoingSync> outgoing_syncs_;
  std::vector<Index> suspects_;
  std::vector<Index> monitored_links_;      // with link_fault_count or a broken link
  std::vector<Index> quorum_base_pending_;  // joined; in the quorum base once a quorum is seen
  std::vector<Index> probe_round_;
  std::size_t probe_round_position_ = 0;
  std::vector<Address> join_addresses_;
  TimePoint next_sync_at_, last_rejoin_sync_at_, refuted_at_, refutation_sent_at_, load_published_at_;
  Index last_sender_ = kNoMember;
  bool joined_ = false;  // a complete sync has come in
  bool limit_admitted_ = false;
  std::optional<TimePoint> known_to_all_since_;  // only before limit_admitted_
  unsigned syncs_requested_ = 0;                 // since the start
  bool was_uncertain_ = false, had_quorum_ = true;
  LocalConnectivity previous_connectivity_ = LocalConnectivity::ok;
  NameConflictState conflict_;
  LeaveState leave_;
  std::vector<OutgoingDatagram> outgoing_;
  std::vector<Change> changes_;
  Counters counters_;
};

}  // namespace granitegap::membership
