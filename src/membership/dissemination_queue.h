// Queue of updates to be piggybacked on datagrams (SWIM section 4.1). Each update is sent a bounded number of
// times. A datagram takes as many as fit: those sent least often first, and of these the newest.
//
// Threads: one. No errors.
#pragma once
#include <set>
#include <unordered_map>

#include "membership/datagram.h"
#include "membership/options.h"

namespace granitegap::membership {

class DisseminationQueue {
 public:
  // Adds an update; it replaces an earlier update about the same member.
  void add(Record record, TimePoint now);
  // Removes the update about `member` (name_hash()).
  void drop(std::uint64_t member);
  // Appends to `records` the updates that fit into `max_bytes`. `max_sends`: how often each update is sent in
  // all. `lifetime`: how long after it was added an update that was sent before may be sent again, so that a
  // fleet that has formed does not go on repeating what all members know.
  void fill(std::vector<Record>& records, std::size_t max_bytes, unsigned max_sends, Duration lifetime,
            TimePoint now);
  std::size_t size() const { return items_.size(); }

 private:
  struct Item {
    Record record;
    TimePoint added;
    unsigned sent = 0;        // number of datagrams that carried it
    std::uint64_t order = 0;  // rises with each added update
    std::size_t bytes = 0;    // max_encoded_size() of the record
  };
  // Sort key: least often sent first, then newest first.
  struct Key {
    unsigned sent;
    std::uint64_t order, member;
    bool operator<(const Key& other) const {
      return sent != other.sent ? sent < other.sent : order > other.order;
    }
  };
  std::unordered_map<std::uint64_t, Item> items_;  // by name_hash()
  std::set<Key> queue_;
  std::uint64_t next_order_ = 1;
};

// Returns how often each update is sent in a fleet of `fleet` members while `waiting` updates are queued. The
// number falls where many are queued, as when most of a fleet joins at once: new updates must not wait behind
// repetitions of old ones, and syncs repair what is missed.
unsigned retransmit_limit(const Options& options, std::size_t fleet, std::size_t waiting);
// Returns the time in which gossip reaches all members, doubled for the members that it misses at first.
Duration dissemination_time(const Options& options, std::size_t fleet);

}  // namespace granitegap::membership
