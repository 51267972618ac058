// The known members by name, each with its published metadata and the times of the last contact.
//
// Decides which update wins (SWIM section 4.2); probing is done elsewhere. A member keeps its index for as
// long as it is known. Threads: one. Ownership: all values, except the options.
#pragma once
#include <deque>
#include <random>
#include <unordered_map>

#include "membership/datagram.h"
#include "membership/options.h"
#include "membership/round_trip.h"
#include "membership/suspicion.h"

namespace granitegap::membership {

// Index of a member in the roster.
using Index = std::uint32_t;
inline constexpr Index kNoMember = 0xffffffffu;

// One known member.
struct MemberState {
  std::string name;
  std::uint64_t hash = 0;  // name_hash()
  Address address;
  BootId boot_id{};
  Incarnation incarnation = 0;
  Status status = Status::alive;
  Status certain_status = Status::alive;  // status in the last certain view
  bool known = false;                     // false: the slot is free
  bool counts_for_quorum = false;         // belongs to the quorum base
  bool reachable = true;                  // the last probe of it was answered, directly or indirectly
  bool knows_this_process = false;        // an answer showed that it knows this process
  bool final_probe_sent = false;          // to a suspect, before it is declared dead
  std::uint8_t link_fault_count = 0;      // consecutive probes that found the same direction broken
  bool link_inbound = false;              // the broken direction; true: its datagrams don't arrive here
  bool link_broken = false;               // found broken often enough to be certain
  MemberMetadata metadata;
  TimePoint status_since{};
  TimePoint suspicion_deadline{};    // only of a suspect
  TimePoint last_received_at{};      // when its last direct datagram arrived
  std::int64_t clock_offset_ms = 0;  // minimum seen of own clock less its sent_ms
  TimePoint last_timely_at{};        // when its last datagram that was not late arrived
  RoundTrip round_trip;
  SuspicionConfirmations confirmations;
  Index previous_contact = kNoMember, next_contact = kNoMember;  // list by last contact
};

// The change that merge() made.
enum class MergeResult : std::uint8_t {
  ignored,              // the record is older than what is known, or brings nothing new
  joined,               // the member was not known before
  restarted,            // a new process under the same name
  refuted,              // alive again with a higher incarnation
  suspected,            // an alive member became a suspect
  suspicion_confirmed,  // one more member suspects the member
  died,
  left,              // the member announced a graceful leave
  metadata_updated,  // newer metadata, status unchanged
  roster_full        // the record was dropped: max_members reached
};

// The known members and the rules that merge updates about them.
class Roster {
 public:
  // `options` must outlive it, and may change.
  explicit Roster(const Options& options) : options_(options) {}

  // Applies what is newer in `record`, which must not be about this member itself. Sets `index` to the index
  // of the member, or to kNoMember. The caller sets suspicion deadlines.
  MergeResult merge(const Record& record, TimePoint now, Index& index);
  // Returns the index of a member; kNoMember where it is not known.
  Index find(std::string_view name) const;
  MemberState& at(Index index) { return entries_[index]; }
  const MemberState& at(Index index) const { return entries_[index]; }
  // Changes the status of a member, and with it the counts, the contact order and the tombstones.
  void set_status(Index index, Status status, TimePoint now);
  // Returns what is known of a member as an update. `suspected_by` replaces the first member that suspects
  // it.
  Record make_record(Index index, bool with_metadata, std::uint64_t suspected_by = 0) const;
  // Removes dead members and members that left, once older than Options::tombstone_ttl and outside the quorum
  // base, or when there are more than Options::max_tombstones. Calls `on_remove(Index)` before each removal.
  // With `may_shrink` dead members leave the quorum base after Options::quorum_shrink_delay.
  template <class OnRemove>
  void prune_tombstones(TimePoint now, bool may_shrink, OnRemove&& on_remove) {
    for (auto it = tombstones_.begin(); it != tombstones_.end();) {
      auto& member = entries_[*it];
      if (!member.known || (member.status != Status::dead && member.status != Status::left)) {
        it = tombstones_.erase(it);
        continue;
      }
      if (may_shrink && member.counts_for_quorum && now - member.status_since >= options_.quorum_shrink_delay)
        set_counts_for_quorum(*it, false);
      const bool over = tombstones_.size() > options_.max_tombstones;
      if (over || (now - member.status_since >= options_.tombstone_ttl && !member.counts_for_quorum)) {
        on_remove(*it);
        remove(*it);
        it = tombstones_.erase(it);
        continue;
      }
      ++it;
    }
  }

  // Adds the member to the quorum base, or removes it from there.
  void set_counts_for_quorum(Index index, bool counts_for_quorum);
  // Numbers of members without this one: alive or suspect; alive; in the quorum base; alive in the quorum
  // base.
  std::size_t present() const { return present_; }
  std::size_t alive() const { return alive_; }
  std::size_t quorum_base() const { return quorum_base_; }
  std::size_t quorum_base_alive() const { return quorum_base_alive_; }
  // Upper bound of the indexes; some slots may be free.
  std::size_t slot_count() const { return entries_.size(); }
  // Number of known members.
  std::size_t size() const { return index_by_hash_.size(); }
  // Dead members and those that left, oldest first.
  const std::deque<Index>& tombstones() const { return tombstones_; }

  // Iterate over the members present in the order of last two-way contact, oldest first.
  Index oldest_contact() const { return oldest_contact_; }
  Index next_contact(Index index) const { return entries_[index].next_contact; }
  // Records a two-way contact: the member becomes the newest in that order.
  void record_contact(Index index);

  // Whether the member is known, and alive or suspect.
  bool is_present(Index index) const {
    const auto& member = entries_[index];
    return member.known && (member.status == Status::alive || member.status == Status::suspect);
  }

 private:
  Index add(const Record& record, TimePoint now);
  // Merges a record of another process under the member's name.
  MergeResult merge_other_process(Index index, const Record& record, TimePoint now);
  // Merges a record of the process that is known.
  MergeResult merge_status(Index index, const Record& record, TimePoint now);
  // Adds `delta` to each of the counts that the member belongs to.
  void adjust_counts(const MemberState& member, int delta);
  // Appends the member to the list by last contact, or removes it from there.
  void link(Index index);
  void unlink(Index index);
  void remove(Index index);
  const Options& options_;
  std::deque<MemberState> entries_;
  std::vector<Index> free_slots_;
  std::unordered_map<std::uint64_t, Index> index_by_hash_;
  std::deque<Index> tombstones_;  // oldest first
  std::size_t present_ = 0, alive_ = 0, quorum_base_ = 0, quorum_base_alive_ = 0;
  Index oldest_contact_ = kNoMember, newest_contact_ = kNoMember;
};

}  // namespace granitegap::membership
