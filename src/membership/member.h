// One member of a fleet: the SWIM protocol (Das, Gupta, Motivala, DSN 2002) with the Lifeguard extensions
// (Dadgar, Phillips, Currey, DSN-W 2018), push-pull anti-entropy as in memberlist, and detection of
// partitions, of links that fail in one direction and of name conflicts.
//
// The class is pure decision logic: it uses no socket, clock or thread. Its inputs are datagrams, the time
// and a random seed; its outputs are datagrams to send, changes of the view and the time of the next wake-up.
// The same inputs give the same outputs.
//
// Course of one probe (SWIM section 3.1). By default two probes start in each period: one of the next member
// in the shuffled round, one of the member with the oldest contact. The probe timeout follows the round trips
// measured to the member.
//
//                 probe timeout              probe timeout                        end of the period
//   ping ------------------------------> ping again ---------> indirect probes ------------------> failed
//     |  ack                               |  ack                 |  indirect ack
//     +------------------------------------+-----> succeeded      +--> succeeded, one direction is broken
//
// Status of a member in the view of another member (SWIM section 4.2):
//
//               probe failed, or gossip          timed out, quorum seen, final probe unanswered
//   alive ----------------------------> suspect -----------------------------------------------> dead
//     ^  |                                 |  ^                                                    |
//     |  | graceful leave                  |  +-- confirmed by others: shorter timeout             |
//     |  v                                 |                                                       |
//   left |      +---- refuted with a higher incarnation -------------------------------------------+
//     +--|------+
//
// The class is not thread-safe and holds all its state by value. Rejected input is counted (Counters) and
// changes nothing.
//
// The implementation has one file for each concern: member.cpp (time, periods, quorum), member_send.cpp,
// member_receive.cpp, member_probe.cpp (failure detector), member_links.cpp, member_join.cpp (unverified
// peers, seeds), member_sync.cpp (anti-entropy), member_suspicion.cpp, member_updates.cpp (gossip about
// others), member_identity.cpp (gossip about this member, name conflicts), member_metadata.cpp,
// member_leave.cpp.
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

// Properties of a member that stay the same for the lifetime of its process.
struct Identity {
  std::string name, zone;
  Address address;            // advertised
  Address secondary_address;  // advertised for a second network path; port 0 if there is none
  BootId boot_id{};
  Incarnation first_incarnation = 1;  // at start; raised above that of a previous process once it is known
  std::uint16_t cache_fill_port = 0;  // published as MemberMetadata::cache_fill_port
};

// A datagram to send.
struct OutgoingDatagram {
  Address to;
  Datagram datagram;
  bool via_secondary = false;  // to be sent from the socket of the secondary path
};

// Kind of a change of the view, or of the state of this member.
enum class ChangeKind : std::uint8_t {
  joined,
  restarted,  // a new process runs under the same name
  suspected,
  refuted,
  died,
  left,     // the member announced a graceful leave
  removed,  // the member's tombstone was pruned
  metadata_updated,
  link_broken,  // one direction of the direct link fails
  link_recovered,
  local_connectivity,  // Member::local_connectivity() changed
  view_certainty,      // the view became uncertain, or certain again
  quorum,              // this member gained or lost the quorum
  name_conflict,       // another process started or stopped using this member's name
  limit_holders        // Member::limit_holders() or limit_admitted() changed
};

// A change of the view, or of the state of this member.
struct Change {
  ChangeKind kind{};
  std::string name;               // of the member that changed
  bool detected_locally = false;  // detected by this member rather than received by gossip
};

// Counts of events since the start. The first five count input that was rejected or had no effect.
struct Counters {
  std::uint64_t stale_boot_id = 0;     // datagrams of a superseded process
  std::uint64_t late = 0;              // datagrams and updates older than Options::max_message_age
  std::uint64_t unverified_peers = 0;  // datagrams of senders whose address is not yet verified
  std::uint64_t misaddressed = 0;      // pings for another member that arrived at this address
  std::uint64_t roster_full = 0;       // updates about new members beyond Options::max_members
  std::uint64_t suspicions = 0, deaths = 0, refutations = 0, pauses = 0, sync_requests = 0;
};

// A member of a fleet. The protocol is described at the top of this file.
class Member {
 public:
  // `seed` initializes the random choices; `now` is the start time of the member.
  Member(Options options, Identity self, std::uint64_t seed, TimePoint now);
  Member(const Member&) = delete;  // data members hold references to options_
  Member& operator=(const Member&) = delete;

  // Processes a decoded datagram that had `bytes` on the wire.
  void receive(const Datagram& datagram, std::size_t bytes, TimePoint now);
  // Runs the timers that are due. Must be called at next_wake() or soon after; an earlier call has no effect
  // on timers that are not due.
  void wake(TimePoint now);
  // Returns when wake() is due next.
  TimePoint next_wake() const;

  // Returns the datagrams to send since the last call, in order.
  [[nodiscard]] std::vector<OutgoingDatagram> take_outgoing() { return std::exchange(outgoing_, {}); }
  // Returns the changes since the last call, in order.
  [[nodiscard]] std::vector<Change> take_changes() { return std::exchange(changes_, {}); }

  // Publishes this member's stage and load; skips small changes of load. Percentages range from 0 to 100.
  void update_metadata(Stage stage, std::uint8_t warmup_percent, std::uint8_t pressure_percent,
                       std::vector<EndpointHealth> endpoint_health, TimePoint now);
  // Publishes the state of this member's recovery; skips small changes of offered_percent.
  void update_metadata(const RecoveryStatus& recovery_status, TimePoint now);
  // Starts a graceful leave. It is announced until enough members acknowledge it, at most kLeaveRounds times.
  void leave(TimePoint now);
  // Returns whether a started leave has ended.
  bool has_left() const;

  // Adds members that are known in advance, for a simulated fleet that starts formed. They are not gossiped.
  void add_known_members(const std::vector<Record>& known, TimePoint now);
  // Sets the addresses that are contacted in addition to the seeds while no other member is present; replaces
  // those set earlier.
  void set_join_addresses(std::vector<Address> addresses) { join_addresses_ = std::move(addresses); }
  // Applies new options to the running member, except `baseline_mode`, which keeps its value.
  void update_options(const Options& options);

  const Identity& self() const { return self_; }
  Incarnation incarnation() const { return incarnation_; }
  // Returns the metadata that this member published last.
  const MemberMetadata& metadata() const { return metadata_; }
  // Returns the known members other than this one.
  const Roster& roster() const { return roster_; }
  // Returns whether this member's datagrams reach the others and theirs arrive here.
  LocalConnectivity local_connectivity() const { return local_health_.local_connectivity(); }
  // Returns when the last valid datagram of any member arrived.
  TimePoint last_received_at() const { return local_health_.last_received_at(); }
  // Returns whether many members fell silent at once, so that no member is declared dead for now.
  bool uncertain() const { return partition_detector_.uncertain(); }
  // Returns whether more than half of the fleet is alive in this view.
  bool has_quorum() const { return partition_detector_.has_quorum(); }
  // Returns the number of members that the quorum is a majority of, including this one.
  std::size_t fleet_size() const { return std::max(roster_.quorum_base() + 1, options_.min_fleet_size); }
  // Returns whether the other members know this process, so that it may take a share of fleet-wide limits.
  bool limit_admitted() const { return limit_admitted_; }
  // Returns the number of members that may hold a share of fleet-wide limits, including this one; nullopt
  // while the number is not settled.
  std::optional<std::size_t> limit_holders() const { return limit_holders_.count(); }
  // Returns the number of dead members that have left the quorum base but still have a tombstone. Each of
  // them may still be running, cut off from this member.
  std::size_t dead_outside_quorum_base() const;
  // Returns the address of another process that uses this member's name, if there is one.
  const std::optional<Address>& conflicting_address() const { return conflict_.address; }
  // Returns Lifeguard's local health multiplier.
  unsigned health_multiplier() const { return local_health_.multiplier(); }
  const Counters& counters() const { return counters_; }
  // Returns the number of items held in the bounded lists other than the roster.
  std::size_t pending_items() const {
    return probes_.size() + relays_.size() + unverified_peers_.size() + dissemination_queue_.size();
  }

 private:
  // A probe of `target` in progress.
  struct Probe {
    std::uint32_t nonce = 0;
    Index target = kNoMember;
    TimePoint sent_at, late_at, ends_at;
    std::uint8_t pings_sent = 0;
    bool indirect_requested = false;
    std::uint8_t helper_replies = 0;
    std::optional<std::uint32_t> indirect_heard_ms;  // Ack::heard_ms of an answer received indirectly
  };
  // An indirect probe made on behalf of another member.
  struct IndirectProbe {
    std::uint32_t nonce = 0, requester_nonce = 0;
    std::string target;
    Address requester;
    TimePoint nack_at;
  };
  // A peer that was pinged at the address it advertises and has not answered yet.
  struct UnverifiedPeer {
    std::string name;  // empty if only the address is known
    Address address;
    BootId boot_id{};
    std::uint32_t nonce = 0;
    TimePoint expires_at;
  };
  // A sync that is being sent to a member in chunks.
  struct OutgoingSync {
    Address to;
    std::uint32_t nonce = 0;
    Index next_member = 0;
    std::uint16_t next_chunk = 0;
    TimePoint next_at;
    Buckets wanted;  // buckets to send; the others are equal on both sides
    std::size_t bucket_count = 1;
  };
  // State of a conflict with another process that uses this member's name.
  struct NameConflictState {
    std::optional<Address> address;
    BootId boot_id{};
    Incarnation incarnation = 0;  // highest incarnation seen of the other process
    TimePoint expires_at, next_notice_at;
    bool yielded = false;  // the other process holds the name
  };
  // State of this member's graceful leave.
  struct LeaveState {
    bool started = false;
    unsigned rounds = 0, acks = 0;
    TimePoint next_round_at;
    std::vector<std::uint32_t> nonces;
  };
  // Determines how send() completes a datagram.
  struct SendOptions {
    Index about = kNoMember;        // member whose record is added if its status is not `alive`
    bool without_gossip = false;    // set for peers that are not verified
    std::size_t pad_to = 0;         // minimum size in bytes, reached by padding
    std::vector<Record> updates{};  // records that precede the gossip
  };
  // Result of check_sender().
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
  std::size_t possibly_running_members() const;
  std::size_t count_unheard_seeds() const;
  void start_period_probes();
  void update_health();
  void update_certainty();
  void on_connectivity_changed();
  void on_certainty_changed();
  void notify(ChangeKind kind, const std::string& name, bool detected_locally = false);
  // Appends an index unless the list contains it. Lists would grow without bound while nothing empties them,
  // for example without a quorum.
  static void add_once(std::vector<Index>& to, Index member) {
    if (std::find(to.begin(), to.end(), member) == to.end()) to.push_back(member);
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
  SenderCheck check_sender(const Sender& from, Index member);
  bool is_late(const Sender& from, MemberState& state);
  void reject_stale(const Datagram& datagram, std::size_t bytes, Index member);
  void receive_verified(const Datagram& datagram, Index from);
  void handle(const Ping& ping, const Datagram& datagram, Index from);
  void handle(const Ack& ack, const Datagram& datagram, Index from);
  void handle(const PingRequest& request, const Datagram& datagram, Index from);
  void handle(const IndirectAck& ack, const Datagram& datagram, Index from);
  void handle(const Nack& nack, const Datagram& datagram, Index from);
  void handle(const SyncRequest& request, const Datagram& datagram, Index from);
  void handle(const SyncChunk& chunk, const Datagram& datagram, Index from);
  void handle(const NameConflict&, const Datagram&, Index) {}  // valid only from this member's own name
  void handle(const GossipOnly&, const Datagram&, Index) {}

  // ---- member_probe.cpp ----
  bool is_probed(Index member) const;
  Index next_in_round();
  void add_to_round(Index member);
  void start_probe(Index target);
  void start_extra_probes();
  void retry_probe(Probe& probe);
  void request_indirect_probes(Probe& probe);
  void finish_probe(const Probe& probe);
  void on_probe_acked(std::vector<Probe>::iterator probe, const Ack& ack);
  Duration probe_timeout(const MemberState& state) const;

  // ---- member_links.cpp ----
  void on_direct_answer(Index member);
  void on_indirect_answer(const Probe& probe, std::uint32_t heard_ms);
  void set_link(Index member, bool broken, bool inbound);
  void apply_link_report(Index member, const MemberMetadata& metadata);
  void probe_monitored_links();

  // ---- member_join.cpp ----
  void receive_unverified(const Datagram& datagram, std::size_t bytes, Index member);
  void on_verification(const Datagram& datagram, const Ack& ack);
  void answer_unverified(const Datagram& datagram, const Ping& ping, std::size_t bytes, Index member);
  void verify_peer(const Sender& from, std::size_t max_bytes);
  void contact_address(const Address& to);
  std::vector<Address> absent_seeds() const;
  void contact_absent_members();
  void contact_dead_member();

  void announce_to_unaware_members();
  bool may_hold_limit_share();

  // ---- member_sync.cpp ----
  void request_due_sync();
  void request_sync(Index peer);
  void send_sync_chunks();
  std::vector<Record> next_chunk(OutgoingSync& sync);

  // ---- member_suspicion.cpp ----
  void suspect(Index member);
  void set_suspicion_deadline(Index member);
  void ping_own_suspects();
  void check_suspicion_deadlines();
  void send_final_probe(Index member);
  void declare_dead(Index member);
  bool may_declare_dead() const;
  void withdraw_own_suspicions();

  // ---- member_updates.cpp ----
  void apply(const Record& record, bool detected_locally = false, bool in_sync = false);
  void on_alive_again(Index member, MergeResult merged, Status before, bool detected_locally);
  void on_merged(Index member, MergeResult merged, Status before, bool detected_locally);
  void update_certain_status(Index member);

  // ---- member_identity.cpp ----
  void apply_about_self(const Record& record);
  void refute_to(std::uint64_t suspected_by);
  void on_other_process(const Record& record);
  void on_superseded(const Record& record);
  void raise_incarnation_above(Incarnation seen);
  void record_name_conflict(const Address& address);
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
  std::vector<Index> monitored_links_;      // members with a link_fault_count or a broken link
  std::vector<Index> quorum_base_pending_;  // joined members, added to the quorum base once there is a quorum
  std::vector<Index> probe_round_;
  std::size_t probe_round_position_ = 0;
  std::vector<Address> join_addresses_;
  TimePoint next_sync_at_, last_rejoin_sync_at_, refuted_at_, refutation_sent_at_, load_published_at_;
  Index last_sender_ = kNoMember;
  bool joined_ = false;  // a complete sync has been received
  bool limit_admitted_ = false;
  std::optional<TimePoint> known_to_all_since_;  // used only until limit_admitted_ is set
  unsigned syncs_requested_ = 0;                 // by request_due_sync(), since the start
  bool was_uncertain_ = false, had_quorum_ = true;
  LocalConnectivity previous_connectivity_ = LocalConnectivity::ok;
  NameConflictState conflict_;
  LeaveState leave_;
  std::vector<OutgoingDatagram> outgoing_;
  std::vector<Change> changes_;
  Counters counters_;
};

}  // namespace granitegap::membership
