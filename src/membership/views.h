// What the rest of the program sees of the fleet: a read-only view, and the decisions that rest on it.
//
// Each member has two statuses: `status` as of now, and `certain_status` as of the last certain view. While
// many members fell silent at once `uncertain` is set; consumers that must not act on a doubt use the certain
// status, and act on nothing without a quorum.
#pragma once
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "membership/member.h"

namespace granitegap::membership {

// A snapshot of one member's view.
struct View {
  struct Peer {
    std::string name;
    std::uint64_t hash = 0;  // name_hash()
    Status status{}, certain_status{};
    MemberMetadata metadata;
    Address address;
    BootId boot_id{};
  };
  std::uint64_t own_hash = 0;
  std::vector<Peer> peers;     // without this member
  std::size_t fleet_size = 1;  // Member::fleet_size()
  bool has_quorum = true, uncertain = false;
  LocalConnectivity local_connectivity = LocalConnectivity::ok;
  bool name_conflict = false;  // another process uses this member's name
  // Of fleet-wide limits (fleet_limit.h): members that may hold a share, present or not, absent while that is
  // unsettled; and members removed from the fleet that may still make one call at a time.
  std::optional<std::size_t> limit_holders = 0;
  bool limit_admitted = true;  // the others have heard of this process
  std::size_t limit_reserved = 0;
  TimePoint at{};
};
View make_view(const Member& member, TimePoint now);

// The share of the fleet that is not alive, 0 to 1: members that are missing take no load.
double missing_fraction(const View& view);

// The backoff told to a caller, drawn evenly from a window that widens with the share of the fleet that is
// missing, so that the callers of a lost zone don't return all at once. Never under `base` and never over
// `max`. `random`: in [0, 1).
Duration jittered_backoff(Duration base, Duration max, double missing, double random);

// Whether decisions for the whole fleet may rest on the view.
bool is_reliable(const View& view);
// Whether it may take work for the fleet: alive in both views, and serving or warming up.
bool is_available(const View::Peer& peer);
// Rendezvous hashing (Thaler and Ravishankar 1998): of several members the one with the highest score owns
// `key`.
std::uint64_t rendezvous_score(std::uint64_t member, std::uint64_t key);

// Which member makes the health checks of an endpoint for the whole fleet while its dependency is
// unavailable: the highest rendezvous_score() of this one and the available ones. Members of equal views
// agree, and when one goes only its endpoints move. `endpoint`: name_hash() of dependency and address.
std::uint64_t select_health_checker(const View& view, std::uint64_t endpoint);
// Whether this member is to check it itself: as the health checker; or because the view is not reliable, or
// the health checker does not report that it checks (it may see no outage, or have no traffic).
bool should_health_check(const View& view, std::uint64_t endpoint);
// Whether the health checker, another member, reports that the endpoint recovered.
bool reported_recovered(const View& view, std::uint64_t endpoint);

}  // namespace granitegap::membership
