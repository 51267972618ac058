// The members that are known, by name, with what each has told and how it was last heard.
//
// Decides which record wins; knows nothing of probes. Entries keep their index for as long as they are known.
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

struct MemberState {
  std::string name;
  std::uint64_t hash = 0;
  Address address;
  BootId boot_id{};
  Incarnation incarnation = 0;
  Status status = Status::alive;
  Status certain_status = Status::alive;  // as of the last certain view
  bool known = false;                     // false: the place is free
  bool counts_for_quorum = false;         // in the agreed fleet
  bool reachable = true;                  // the last probe of it, by any way, was answered
  bool final_probe_sent = false;          // before it is held dead it is asked once more
  std::uint8_t link_fault_count = 0;      // in a row that found the same direction broken
  bool link_inbound = false;              // that direction: what it sends does not arrive
  bool link_broken = false;               // sure of it
  MemberMetadata metadata;
  TimePoint status_since{};          // of its status
  TimePoint suspicion_deadline{};    // of a suspect
  TimePoint last_heard_at{};         // itself, without a relay
  std::int64_t clock_offset_ms = 0;  // least seen of (mine - its sent_ms)
  TimePoint last_timely_at{};        // the last datagram of it that was not late
  RoundTrip round_trip;
  SuspicionConfirmations confirmations;
  Index previous_contact = kNoMember, next_contact = kNoMember;  // in the order of last contact
};

// What a record changed.
enum class MergeResult : std::uint8_t {
  ignored,              // older than what is known, or nothing new
  joined,               // not known before
  restarted,            // another incarnation of the process under the same name
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

  // `record` is about another member than this one. Times of suspicion are the caller's.
  MergeResult merge(const Record& record, TimePoint now, Index& where);
  Index find(std::string_view name) const;
  MemberState& at(Index i) { return entries_[i]; }
  const MemberState& at(Index i) const { return entries_[i]; }
  void set_status(Index i, Status status, TimePoint now);
  Record record_of(Index i, bool with_metadata, std::uint64_t suspected_by = 0) const;
  // Tombstones past their time or over their bound go; `gone` hears each before. Counted ones leave the
  // agreed fleet where `shrink` says so.
  template <class Gone>
  void prune_tombstones(TimePoint now, bool may_shrink, Gone&& gone) {
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
        gone(*it);
        forget(*it);
        it = tombstones_.erase(it);
        continue;
      }
      ++it;
    }
  }

  void set_counts_for_quorum(Index i, bool counts_for_quorum);
  // Members that are alive or suspect; alive ones alone; the agreed fleet and those of it alive. Without this
  // process itself.
  std::size_t present() const { return present_; }
  std::size_t alive() const { return alive_; }
  std::size_t quorum_base() const { return quorum_base_; }
  std::size_t quorum_base_alive() const { return quorum_base_alive_; }
  std::size_t slot_count() const { return entries_.size(); }
  std::size_t size() const { return index_.size(); }
  const std::deque<Index>& tombstones() const { return tombstones_; }

  // The order of last two-way contact, oldest first, of those present.
  Index oldest_contact() const { return first_; }
  Index next_contact(Index i) const { return entries_[i].next_contact; }
  void record_contact(Index i);

  bool is_present(Index i) const {
    const auto& e = entries_[i];
    return e.known && (e.status == Status::alive || e.status == Status::suspect);
  }

 private:
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
