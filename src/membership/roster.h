// The members that are known, by name, with what each has published and how it was last heard.
//
// Decides which update wins (SWIM section 4.2); knows nothing of probes. Entries keep their index for as long
// as they are known. Threads: one. Ownership: all values, besides the options.
#pragma once
#include <deque>
#include <random>
#include <unordered_map>

#include "membership/datagram.h"
#include "membership/options.h"
#include "membership/round_trip.h"
#include "membership/suspicion.h"

namespace granitegap::membership {

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
  Status certain_status = Status::alive;  // in the last certain view
  bool known = false;                     // false: the slot is free
  bool counts_for_quorum = false;         // in the quorum base
  bool reachable = true;                  // the last probe of it was answered, directly or indirectly
  bool knows_this_process = false;        // it answered this process as a member that it knows
  bool final_probe_sent = false;          // of a suspect: the last probe before it is declared dead
  std::uint8_t link_fault_count = 0;      // probes in a row that found the same direction broken
  bool link_inbound = false;              // that direction: true where its datagrams don't arrive here
  bool link_broken = false;               // found often enough to be certain
  MemberMetadata metadata;
  TimePoint status_since{};
  TimePoint suspicion_deadline{};    // of a suspect
  TimePoint last_received_at{};      // directly
  std::int64_t clock_offset_ms = 0;  // least seen of (own clock - its sent_ms)
  TimePoint last_timely_at{};        // when its last datagram arrived that was not late
  RoundTrip round_trip;
  SuspicionConfirmations confirmations;
  Index previous_contact = kNoMember, next_contact = kNoMember;  // in the order of last contact
};

// What merge() changed.
enum class MergeResult : std::uint8_t {
  ignored,              // older than what is known, or nothing new
  joined,               // not known before
  restarted,            // a new process under the same name
  refuted,              // alive again with a higher incarnation
  suspected,            // was alive
  suspicion_confirmed,  // one more member suspects it
  died,
  left,              // announced a graceful leave
  metadata_updated,  // only its metadata
  roster_full        // not taken: max_members reached
};

class Roster {
 public:
  // `options` must outlive it, and may change.
  explicit Roster(const Options& options) : options_(options) {}

  // Takes over what is newer in `record`, which is about another member than this one; `where` becomes its
  // index, or kNoMember. The caller sets suspicion deadlines.
  MergeResult merge(const Record& record, TimePoint now, Index& where);
  // kNoMember where it is not known.
  Index find(std::string_view name) const;
  MemberState& at(Index i) { return entries_[i]; }
  const MemberState& at(Index i) const { return entries_[i]; }
  void set_status(Index i, Status status, TimePoint now);
  // What is known of it as an update. `suspected_by` replaces the first member that suspects it.
  Record make_record(Index i, bool with_metadata, std::uint64_t suspected_by = 0) const;
  // Removes dead members and those that left, after Options::tombstone_ttl or over Options::max_tombstones;
  // calls `on_remove(Index)` before each. With `may_shrink` dead ones leave the quorum base in time.
  template <class OnRemove>
  void prune_tombstones(TimePoint now, bool may_shrink, OnRemove&& on_remove) {
    for (auto it = tombstones_.begin(); it != tombstones_.end();) {
      auto& e = entries_[*it];
      if (!e.known || (e.status != Status::dead && e.status != Status::left)) {
        it = tombstones_.erase(it);
        continue;
      }
      if (may_shrink && e.counts_for_quorum && now - e.status_since >= options_.quorum_shrink_delay)
        set_counts_for_quorum(*it, false);
      const bool over = tombstones_.size() > options_.max_tombstones;
      if (over || (now - e.status_since >= options_.tombstone_ttl && !e.counts_for_quorum)) {
        on_remove(*it);
        forget(*it);
        it = tombstones_.erase(it);
        continue;
      }
      ++it;
    }
  }

  // Takes the member into the quorum base, or out of it.
  void set_counts_for_quorum(Index i, bool counts_for_quorum);
  // Numbers of members without this one: alive or suspect; alive; counted for the quorum, and those alive.
  std::size_t present() const { return present_; }
  std::size_t alive() const { return alive_; }
  std::size_t quorum_base() const { return quorum_base_; }
  std::size_t quorum_base_alive() const { return quorum_base_alive_; }
  // Indexes are below this; some slots may be free.
  std::size_t slot_count() const { return entries_.size(); }
  std::size_t size() const { return index_.size(); }
  // Dead members and those that left, oldest first.
  const std::deque<Index>& tombstones() const { return tombstones_; }

  // Members present, in the order of last two-way contact, oldest first.
  Index oldest_contact() const { return first_; }
  Index next_contact(Index i) const { return entries_[i].next_contact; }
  // Makes it the newest in that order.
  void record_contact(Index i);

  bool is_present(Index i) const {
    const auto& e = entries_[i];
    return e.known && (e.status == Status::alive || e.status == Status::suspect);
  }

 private:
  Index add(const Record& record, TimePoint now);
  MergeResult merge_other_process(Index i, const Record& record, TimePoint now);
  MergeResult merge_status(Index i, const Record& record, TimePoint now);
  void count(const MemberState& e, int by);
  void link(Index i);
  void unlink(Index i);
  void forget(Index i);
  const Options& options_;
  std::deque<MemberState> entries_;
  std::vector<Index> free_;
  std::unordered_map<std::uint64_t, Index> index_;
  std::deque<Index> tombstones_;  // by age
  std::size_t present_ = 0, alive_ = 0, quorum_base_ = 0, quorum_base_alive_ = 0;
  Index first_ = kNoMember, last_ = kNoMember;
};

}  // namespace granitegap::membership
