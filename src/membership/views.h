// A read-only view of the fleet for the other modules, and the decisions that are based on it.
//
// Each member has two statuses: `status` is the current one, `certain_status` that of the last certain view.
// `uncertain` is set while many members fell silent at once. Consumers that must not act on an uncertain
// status use `certain_status`, and do not act at all without a quorum.
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
  std::vector<Peer> peers;     // the other members
  std::size_t fleet_size = 1;  // Member::fleet_size()
  bool has_quorum = true, uncertain = false;
  LocalConnectivity local_connectivity = LocalConnectivity::ok;
  bool name_conflict = false;  // another process uses this member's name
  // For fleet-wide limits (fleet_limit.h): the number of members that may hold a share, present or not;
  // absent while it is unsettled.
  std::optional<std::size_t> limit_holders = 0;
  bool limit_admitted = true;  // all other members know this process
  // Number of members removed from the fleet that may still make one call at a time.
  std::size_t limit_reserved = 0;
  TimePoint at{};  // when the snapshot was taken
};
// Returns the view of `member` at `now`.
View make_view(const Member& member, TimePoint now);

// Returns the share of the fleet that is not alive and so takes no load, 0 to 1.
double missing_fraction(const View& view);

// Returns the backoff sent to a caller: uniformly distributed over a window that widens with `missing`, the
// share of the fleet that is missing, so that the callers of a lost zone do not return all at once. It is at
// least `base`; the window ends at `max`. `random` is in [0, 1).
Duration jittered_backoff(Duration base, Duration max, double missing, double random);

// Whether decisions for the whole fleet may be based on the view.
bool is_reliable(const View& view);
// Whether `peer` may take work for the fleet: alive in both statuses, and serving or warming up.
bool is_available(const View::Peer& peer);
// Returns the score of `member` for `key` in rendezvous hashing (Thaler and Ravishankar 1998): of several
// members the one with the highest score owns the key.
std::uint64_t rendezvous_score(std::uint64_t member, std::uint64_t key);

// Returns the member that makes the health checks of an endpoint for the whole fleet while its dependency is
// unavailable: the one with the highest rendezvous_score() of this member and the available ones. Members
// with equal views select the same one, and when a member fails only its endpoints move. `endpoint` is the
// name_hash() of dependency and address.
std::uint64_t select_health_checker(const View& view, std::uint64_t endpoint);
// Whether this member checks the endpoint itself: because it is the health checker, because the view is not
// reliable, or because the health checker does not report the endpoint as unavailable (it may see no outage,
// or have no traffic).
bool should_health_check(const View& view, std::uint64_t endpoint);
// Whether the health checker is another member and reports that the endpoint recovered.
bool reported_recovered(const View& view, std::uint64_t endpoint);

}  // namespace granitegap::membership
