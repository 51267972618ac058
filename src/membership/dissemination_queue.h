// Updates on their way through the fleet: each is sent on a bounded number of times, least sent and newest
// first, as many as fit (SWIM, section 4.1).
#pragma once
#include <set>
#include <unordered_map>

#include "membership/datagram.h"
#include "membership/options.h"

namespace granitegap::membership {

class DisseminationQueue {
 public:
  // Takes the place of what was waiting about the same member.
  void add(Record record, TimePoint now);
  void drop(std::uint64_t member);
  // Fills up `to` with at most `room` bytes; `times`: how often each may be sent in all; `lasts`: how long
  // one that was sent at all may go on. Guards against a fleet that has formed and repeats for a minute what
  // all know.
  void fill(std::vector<Record>& to, std::size_t room, unsigned times, Duration lasts, TimePoint now);
  std::size_t size() const { return items_.size(); }

 private:
  struct Item {
    Record record;
    TimePoint added;
    unsigned sent = 0;
    std::uint64_t order = 0;
    std::size_t bytes = 0;
  };
  struct Key {
    unsigned sent;
    std::uint64_t order, member;
    bool operator<(const Key& o) const { return sent != o.sent ? sent < o.sent : order > o.order; }
  };
  std::unordered_map<std::uint64_t, Item> items_;
  std::set<Key> queue_;
  std::uint64_t next_ = 1;
};

// How often each update is sent on in a fleet of this size. Less often where many wait, as when most of a
// fleet joins at once: new ones must not stand behind the hundredth repetition of old ones, and exchanges
// repair what is missed.
unsigned retransmit_limit(const Options& options, std::size_t fleet, std::size_t waiting);
// In how long an epidemic reaches all of them, with as much again for those that it misses at first.
Duration dissemination_time(const Options& options, std::size_t fleet);

}  // namespace granitegap::membership
