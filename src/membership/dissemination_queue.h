// Updates that wait to be piggybacked on datagrams (SWIM section 4.1): each is sent a bounded number of
// times, the least sent and newest first, as many as fit.
#pragma once
#include <set>
#include <unordered_map>

#include "membership/datagram.h"
#include "membership/options.h"

namespace granitegap::membership {

class DisseminationQueue {
 public:
  // Replaces an update about the same member.
  void add(Record record, TimePoint now);
  // Removes the update about `member` (name_hash()).
  void drop(std::uint64_t member);
  // Appends to `to` what fits into `room` bytes. `limit`: how often each update may be sent in all;
  // `lifetime`: how long one that was sent once may still be sent, so that a fleet that has formed does not
  // repeat for long what all know.
  void fill(std::vector<Record>& to, std::size_t room, unsigned limit, Duration lifetime, TimePoint now);
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
    bool operator<(const Key& other) const {
      return sent != other.sent ? sent < other.sent : order > other.order;
    }
  };
  std::unordered_map<std::uint64_t, Item> items_;
  std::set<Key> queue_;
  std::uint64_t next_ = 1;
};

// How often each update is sent in a fleet of this size. Less often where many wait, as when most of a fleet
// joins at once: new ones must not wait behind repetitions of old ones, and syncs repair what is missed.
unsigned retransmit_limit(const Options& options, std::size_t fleet, std::size_t waiting);
// In how long gossip reaches all members, and again as long for those it misses at first.
Duration dissemination_time(const Options& options, std::size_t fleet);

}  // namespace granitegap::membership
