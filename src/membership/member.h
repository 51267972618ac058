// One member of a fleet: probes others, answers them, passes news on, and knows how far its own view can be
// trusted. No socket, no clock, no thread: datagrams, time and the seed come in as values; datagrams to send,
// changes of the view and the next wake-up come out. The same inputs give the same outputs.
//
// One probe of one member (by default two are begun a period: one in a shuffled round, one of whoever had no
// contact for longest):
//
//            late by its own round trips          late again                     end of the period
//   ping ------------------------------> ping again ---------> helpers ask ---------------------> silent
//     |  ack                               |  ack                 |  relayed ack
//     +------------------------------------+-----> answered       +--> answered, but one direction is broken
//
// One member in the view of another:
//
//               silent, or told so                time is over, most are seen, and asked once more
//   alive ----------------------------> suspect ---------------------------------------------------> dead
//     ^  |                                 |  ^                                                        |
//     |  | leaves in order                 |  +-- others confirm: less time                            |
//     |  v                                 |                                                           |
//   left |      +---- it refutes by a higher incarnation ----------------------------------------------+
//     +--|------+
//
// Threads: one. Ownership: all values. Errors: what can't be believed is counted (Counters) and changes
// nothing.
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
#include "membership/local_health.h"
#include "membership/partition_detector.h"
#include "membership/roster.h"

namespace granitegap::membership {

struct Identity {
  std::string name, zone;
  Address address;            // advertised
  Address secondary_address;  // advertised for a second network path; no port: there is none
  BootId boot_id{};
  Incarnation first_incarnation = 1;  // of this life; beyond it where an earlier life is heard of
  std::uint16_t cache_fill_port = 0;  // MemberMetadata::fill_port
};

struct OutgoingDatagram {
  Address to;
  Datagram datagram;
  bool via_secondary = false;  // from the socket of the secondary path
};

enum class ChangeKind : std::uint8_t {
  joined,
  restarted,  // another incarnation of the process under the same name
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
  name_conflict        // another process uses this member's name, or no longer does
};
struct Change {
  ChangeKind kind{};
  std::string name;               // whom it is about
  bool detected_locally = false;  // by this member, not learned by gossip
};

struct Counters {
  std::uint64_t stale_boot_id = 0, late = 0, unverified_peers = 0, misaddressed = 0, roster_full = 0,
                suspicions = 0, deaths = 0, refutations = 0, pauses = 0, sync_requests = 0;
};

class Member {
 public:
  Member(Options options, Identity self, std::uint64_t seed, TimePoint now);
  Member(const Member&) = delete;  // its parts look at its options
  Member& operator=(const Member&) = delete;

  // A datagram that decoded well, of `bytes` on the wire.
  void receive(const Datagram& datagram, std::size_t bytes, TimePoint now);
  // At next_wake() or after it; earlier is harmless.
  void wake(TimePoint now);
  TimePoint next_wake() const;

  // What is to be sent and what has changed since the last call, in order.
  std::vector<OutgoingDatagram> take_outgoing() { return std::exchange(outgoing_, {}); }
  std::vector<Change> take_changes() { return std::exchange(changes_, {}); }

  // What this member says of itself; version, generation, zone, twin and links are its own.
  void update_metadata(Stage stage, std::uint8_t warmup_percent, std::uint8_t pressure_percent,
                       std::vector<EndpointHealth> endpoint_health, TimePoint now);
  // The same of how it comes back; small changes of what it offers wait as those of load do.
  void update_metadata(const RecoveryStatus& recovery_status, TimePoint now);
  // Orderly: told to some until enough acknowledge it, or three times.
  void leave(TimePoint now);
  bool has_left() const { return leaving_ && (leave_rounds_ >= 3 || leave_acks_ >= 2); }

  // Whom an earlier look at the fleet has shown: probed like others, and no news to anybody.
  void add_known_members(const std::vector<Record>& known, TimePoint now);

  // Addresses to call while nobody is there, beside the seeds: of members that an earlier life knew.
  void set_join_addresses(std::vector<Address> addresses) { join_addresses_ = std::move(addresses); }

  // Fresh times and seeds; identity stays.
  void update_options(const Options& options);

  const Identity& self() const { return self_; }
  Incarnation incarnation() const { return incarnation_; }
  const MemberMetadata& metadata() const { return metadata_; }
  const Roster& roster() const { return roster_; }
  LocalConnectivity local_connectivity() const { return health_.local_connectivity(); }
  TimePoint last_received_at() const { return health_.last_received_at(); }
  bool uncertain() const { return partition_detector_.uncertain(); }
  bool has_quorum() const { return partition_detector_.has_quorum(); }
  // The agreed fleet, this one included.
  std::size_t fleet_size() const { return std::max(roster_.quorum_base() + 1, options_.min_fleet_size); }
  const std::optional<Address>& conflicting_address() const { return conflicting_address_; }
  unsigned health_multiplier() const { return health_.multiplier(); }
  const Counters& counters() const { return counters_; }
  // A bound of what the state takes besides the roster.
  std::size_t pending_items() const {
    return probes_.size() + relays_.size() + strangers_.size() + dissemination_queue_.size();
  }

 private:
  struct Probe {
    std::uint32_t nonce = 0;
    Index target = kNoMember;
    TimePoint sent, late_at, verdict_at;
    std::uint8_t stage = 0;  // pings sent
    bool asked = false;
    std::uint8_t helpers_heard = 0;
    std::optional<std::uint32_t> relayed;  // heard_ms of a relayed answer
  };
  struct Relay {  // asked for somebody else
    std::uint32_t nonce = 0, theirs = 0;
    std::string target;
    Address origin;
    TimePoint until;
  };
  struct UnverifiedPeer {  // whose address has not yet been proven
    std::string name;
    Address address;
    BootId boot_id{};
    std::uint32_t nonce = 0;
    TimePoint until;
  };
  struct Exchange {  // pieces on their way to one member
    Address to;
    std::uint32_t nonce = 0;
    Index next = 0;
    std::uint16_t index = 0;
    TimePoint at;
    Buckets wanted;           // the rest is held alike on both sides
    std::size_t buckets = 1;  // of how many
  };

  // ---- member.cpp: time, self, state of others ----
  void begin(TimePoint now);
  void paused(Duration late);
  void each_period(TimePoint now);
  void judge(TimePoint now);
  void judge_suspects(TimePoint now);
  void apply(const Record& record, TimePoint now, bool own = false, bool in_exchange = false);
  void about_self(const Record& record, TimePoint now);
  void go_beyond(Incarnation seen, TimePoint now);
  void accuse(Index i, TimePoint now);
  void set_deadline(Index i);
  void withdraw_own_accusations(TimePoint now);
  void mirror_certain(Index i);
  void say(ChangeKind kind, const std::string& name, bool own = false) {
    changes_.push_back({kind, name, own});
  }
  // Guards against a list that grows with every flap while nothing empties it, as without a majority.
  static void add_once(std::vector<Index>& to, Index i) {
    if (std::find(to.begin(), to.end(), i) == to.end()) to.push_back(i);
  }
  void retell(TimePoint now);
  void note_name_conflict(const Address& where, TimePoint now);
  bool may_remove(TimePoint now) const;
  Record own_record(bool with_metadata) const;
  bool fine_change(Stage stage, std::uint8_t warmup_percent, std::uint8_t pressure_percent,
                   const std::vector<EndpointHealth>& endpoint_health, TimePoint now) const;

  // ---- probing.cpp: probes, links, exchanges, strangers ----
  void on(const Ping& ping, const Datagram& datagram, Index from, TimePoint now);
  void on(const Ack& ack, const Datagram& datagram, Index from, TimePoint now);
  void on(const PingRequest& ask, const Datagram& datagram, TimePoint now);
  void on(const IndirectAck& relayed);
  void on(const Nack& nack);
  void on(const SyncRequest& ask, const Datagram& datagram, TimePoint now);
  void on(const SyncChunk& piece);
  void probe_more(TimePoint now);
  void begin_probe(Index target, TimePoint now);
  void probe_late(Probe& probe, TimePoint now);
  void probe_ended(const Probe& probe, TimePoint now);
  void ask_helpers(Probe& probe, TimePoint now);
  void link_answered(Index i, TimePoint now);
  void link_relayed(Index i, const Probe& probe, std::uint32_t heard_ms, TimePoint now);
  void set_link(Index i, bool broken, bool inbound, TimePoint now);
  Index next_in_round();
  std::vector<Index> helpers_for(Index target, unsigned most);
  void ask_exchange(Index with, TimePoint now);
  void send_pieces(TimePoint now);
  void meet(const Datagram& datagram, std::size_t room, TimePoint now);
  void call_absent(TimePoint now);
  void send_leave(TimePoint now);
  void send(const Address& to, Body body, TimePoint now, Index about = kNoMember, std::size_t filler_to = 0,
            std::vector<Record> first = {});
  // By the second path, where both ends have one.
  void send_via_secondary(Index to, Body body, TimePoint now);
  void ping_via_secondary(Index target, std::uint32_t nonce, TimePoint now);
  Index random_present(bool alive_only);
  std::uint32_t nonce() { return std::uint32_t(random_()) | 1; }
  Duration late_after(const MemberState& e) const;

  Options options_;
  Identity self_;
  std::uint64_t own_hash_;
  Incarnation incarnation_;
  MemberMetadata metadata_;
  std::mt19937_64 random_;
  TimePoint started_, now_, next_period_;
  std::uint64_t periods_ = 0;
  Roster roster_;
  LocalHealth health_;
  PartitionDetector partition_detector_;
  DisseminationQueue dissemination_queue_;
  std::vector<Probe> probes_;
  std::vector<Relay> relays_;
  std::vector<UnverifiedPeer> strangers_;
  std::vector<Exchange> exchanges_;
  std::vector<Index> suspects_;
  std::vector<Index> checked_links_;  // with link_checks or a broken link
  std::vector<Index> uncounted_;      // joined; in the agreed fleet once most are seen
  std::vector<Index> round_;
  std::size_t round_at_ = 0;
  std::vector<Address> join_addresses_;
  TimePoint next_exchange_, last_heal_, refuted_at_, told_at_;
  Index last_heard_ = kNoMember;
  bool joined_ = false;  // a full exchange has come in
  unsigned joins_ = 0;   // exchanges asked for since the start
  bool was_uncertain_ = false, had_majority_ = true;
  LocalConnectivity was_hearing_ = LocalConnectivity::ok;
  std::optional<Address> conflicting_address_;
  BootId conflicting_boot_id_{};
  Incarnation conflicting_incarnation_ = 0;  // the highest that it was heard of with
  TimePoint conflict_expires_at_, next_conflict_notice_;
  bool yielding_ = false;  // the twin holds the name
  bool leaving_ = false;
  unsigned leave_rounds_ = 0, leave_acks_ = 0;
  TimePoint leave_next_;
  std::vector<std::uint32_t> leave_nonces_;
  std::vector<OutgoingDatagram> outgoing_;
  std::vector<Change> changes_;
  Counters counters_;
};

}  // namespace granitegap::membership
