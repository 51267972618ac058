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
inline constexpr Index kNobody = 0xffffffffu;

struct Entry {
  std::string name;
  std::uint64_t hash = 0;
  Address address;
  BootId boot_id{};
  Incarnation incarnation = 0;
  Status status = Status::alive;
  Status certain = Status::alive;  // as of the last certain view
  bool known = false;              // false: the place is free
  bool counted = false;            // in the agreed fleet
  bool reachable = true;           // the last probe of it, by any way, was answered
  bool last_asked = false;         // before it is held dead it is asked once more
  std::uint8_t link_checks = 0;    // in a row that found the same direction broken
  bool link_in = false;            // that direction: what it sends does not arrive
  bool link_broken = false;        // sure of it
  MemberMetadata metadata;
  TimePoint since{};                 // of its status
  TimePoint deadline{};              // of a suspect
  TimePoint heard{};                 // itself, without a relay
  std::int64_t clock_offset_ms = 0;  // least seen of (mine - its sent_ms)
  TimePoint timely{};                // the last datagram of it that was not late
  RoundTrip round_trip;
  SuspicionConfirmations accusers;
  Index before = kNobody, after = kNobody;  // in the order of last contact
};

// What a record changed.
enum class MergeResult : std::uint8_t {
  nothing,
  joined,     // not known before
  restarted,  // another life under its name
  refuted,    // alive again by a higher incarnation
  suspected,  // from alive
  confirmed,  // one more has found it silent
  died,
  departed,  // in order
  metadata,  // only what it says of itself
  full       // no room for it
};

class Roster {
 public:
  // `options` must outlive it, and may change.
  explicit Roster(const Options& options) : options_(options) {}

  // `record` is about another member than this one. Times of suspicion are the caller's.
  MergeResult merge(const Record& record, TimePoint now, Index& where);
  Index find(std::string_view name) const;
  Entry& at(Index i) { return entries_[i]; }
  const Entry& at(Index i) const { return entries_[i]; }
  void set_status(Index i, Status status, TimePoint now);
  Record record_of(Index i, bool with_metadata, std::uint64_t suspector = 0) const;
  // Tombstones past their time or over their bound go; `gone` hears each before. Counted ones leave the
  // agreed fleet where `shrink` says so.
  template <class Gone>
  void bury(TimePoint now, bool may_shrink, Gone&& gone) {
    for (auto it = tombs_.begin(); it != tombs_.end();) {
      auto& e = entries_[*it];
      if (!e.known || (e.status != Status::dead && e.status != Status::left)) {
        it = tombs_.erase(it);
        continue;
      }
      if (may_shrink && e.counted && now - e.since >= options_.shrink_after) set_counted(*it, false);
      const bool over = tombs_.size() > options_.max_tombstones;
      if (over || (now - e.since >= options_.forget_after && !e.counted)) {
        gone(*it);
        forget(*it);
        it = tombs_.erase(it);
        continue;
      }
      ++it;
    }
  }

  void set_counted(Index i, bool counted);
  // Members that are alive or suspect; alive ones alone; the agreed fleet and those of it alive. Without this
  // process itself.
  std::size_t present() const { return present_; }
  std::size_t alive() const { return alive_; }
  std::size_t agreed() const { return agreed_; }
  std::size_t agreed_alive() const { return agreed_alive_; }
  std::size_t places() const { return entries_.size(); }
  std::size_t known() const { return index_.size(); }
  const std::deque<Index>& tombs() const { return tombs_; }

  // The order of last two-way contact, oldest first, of those present.
  Index oldest_contact() const { return first_; }
  Index next_contact(Index i) const { return entries_[i].after; }
  void contact(Index i);

  bool is_present(Index i) const {
    const auto& e = entries_[i];
    return e.known && (e.status == Status::alive || e.status == Status::suspect);
  }

 private:
  void count(const Entry& e, int by);
  void link(Index i);
  void unlink(Index i);
  void forget(Index i);
  const Options& options_;
  std::deque<Entry> entries_;
  std::vector<Index> free_;
  std::unordered_map<std::uint64_t, Index> index_;
  std::deque<Index> tombs_;  // by age
  std::size_t present_ = 0, alive_ = 0, agreed_ = 0, agreed_alive_ = 0;
  Index first_ = kNobody, last_ = kNobody;
};

}  // namespace granitegap::membership
