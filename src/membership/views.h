// What the rest of the program sees of the fleet: a read-only picture, and the decisions of its consumers.
//
// Two pictures stand beside each other: `present` as it is held now, and `certain` as it was when it was last
// beyond doubt. While they differ `uncertain` is set; a consumer that must not act on a doubt takes the
// certain one, and nothing where there is no majority.
#pragma once
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "membership/member.h"

namespace granitegap::membership {

struct View {
  struct Peer {
    std::string name;
    std::uint64_t hash = 0;
    Status status{}, certain_status{};
    MemberMetadata metadata;
    Address address;
    BootId boot_id{};
  };
  std::uint64_t own_hash = 0;
  std::vector<Peer> peers;     // without this one
  std::size_t fleet_size = 1;  // the agreed fleet, this one included
  bool has_quorum = true, uncertain = false;
  LocalConnectivity local_connectivity = LocalConnectivity::ok;
  bool name_conflict = false;  // another process lives under this one's name
  TimePoint at{};
};
View make_view(const Member& member, TimePoint now);

// The part of the agreed fleet that is not there, 0 to 1, by the present view: who is missing takes no load.
double missing_fraction(const View& view);

// How long a caller is kept off, drawn evenly from a window that widens with the part of the fleet that is
// missing: guards against the callers of a lost zone returning together. Never under `base` and never over
// `most`. `random`: in [0, 1).
Duration jittered_backoff(Duration base, Duration most, double missing, double random);

// Whether decisions for the whole fleet may rest on it.
bool is_reliable(const View& view);
// Takes its part of what one does for all: alive in both pictures, and serving or warming up.
bool is_available(const View::Peer& peer);
// Rendezvous hashing (Thaler and Ravishankar 1998): of several members the one with the highest score does
// it.
std::uint64_t rendezvous_score(std::uint64_t member, std::uint64_t key);

// Who probes an endpoint for all while its dependency is out: the highest rendezvous_score() over this one
// and those that serve or warm up, alive in the certain and the present view. Every member of one view names
// the same, and when one goes only what it probed moves. `endpoint`: name_hash() of dependency and address.
std::uint64_t health_checker_of(const View& view, std::uint64_t endpoint);
// Whether this one is to probe it: as the chosen one; or because nobody who could be relied on does, as
// without a majority, or where the chosen one does not say that it probes (it may see no outage, or have no
// traffic).
bool should_health_check(const View& view, std::uint64_t endpoint);
// The chosen one, not this one, has found it back.
bool reported_recovered(const View& view, std::uint64_t endpoint);

}  // namespace granitegap::membership
