// Selects the members that a recovering process requests warm state from, and the responses that it uses.
//
// Candidates are members that are alive and in service in the current view and advertise a state transfer
// port. Members of the same zone are preferred, then the longest running ones, then a random rank decides, so
// that the members of a mass restart do not all choose the same donor. As many requests are open at once as
// responses are wanted. A donor that fails, times out or is not in service is replaced by the next candidate.
// If no candidate is left, as after a restart of the complete fleet, the selection finishes without waiting.
//
// A response is accepted only if it carries the nonce of an open request, comes from the requested boot id
// and arrives before the request's deadline. Late packets of a donor that was paused, and responses of a
// previous incarnation of a donor, therefore have no effect. If a donor's view is old or uncertain, its
// endpoints are used but not its members.
//
// Performs no I/O and reads no clock. Time points are those of this process's steady clock. Not thread-safe.
#pragma once
#include <cstdint>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "membership/views.h"
#include "warm_state/warm_state.h"

namespace granitegap::recovery {

struct DonorSelectionOptions {
  std::size_t wanted_donors = 3;  // number of accepted responses that finishes the selection
  Duration request_timeout = std::chrono::milliseconds(300);
  Duration total_timeout = std::chrono::milliseconds(800);
  // Members in a response are ignored if the donor's view is older than this.
  Duration max_view_age = std::chrono::seconds(10);
  // Time without a change in the number of known members after which no further candidates are expected.
  Duration settle_time = std::chrono::milliseconds(200);
  std::size_t max_requests = 12;  // per selection
};

// A request for warm state, to be sent to one donor.
struct TransferRequest {
  std::uint64_t nonce = 0;  // never zero
  std::string donor;        // the member's name
  membership::BootId boot_id{};
  membership::Address address;  // the donor's TCP address for state transfer
  TimePoint deadline{};
  TimePoint sent_at{};
};

// A donor's response, as decoded by the state transfer codec.
struct TransferResponse {
  std::uint64_t nonce = 0;  // of the request
  std::string donor;
  membership::BootId boot_id{};
  bool in_service = false;    // false: the donor is recovering itself and has no state to share
  bool view_certain = false;  // the donor's view has a quorum and is not uncertain
  Duration view_age{};        // time since the donor last received a message from a peer
  warm_state::WarmState state;
};

// Decides which donors to request warm state from, and merges the accepted responses.
class DonorSelection {
 public:
  // How a response was judged.
  enum class Verdict : std::uint8_t {
    accepted,
    late,            // no open request has its nonce, or the deadline has passed
    wrong_donor,     // the name or boot id differs from the request's
    not_in_service,  // the donor is recovering itself
  };

  // `seed` determines the nonces and the order of otherwise equal candidates.
  DonorSelection(DonorSelectionOptions options, std::string zone, std::uint64_t seed);
  // Starts a selection. Discards the open requests and results of a previous one.
  void begin(TimePoint now);
  // Replaces the candidates with those of the view.
  void on_view(const membership::View& view, TimePoint now);
  // Returns the requests to send now. Each member gets at most one request per selection.
  std::vector<TransferRequest> next_requests(TimePoint now);
  // Checks a response and keeps its state if it is accepted.
  Verdict on_response(const TransferResponse& response, TimePoint now);
  // Closes the open request with this nonce, so that the next candidate can replace its donor.
  void on_failure(std::uint64_t nonce);
  // Whether no further response is awaited.
  bool finished(TimePoint now) const;
  // Returns when next_requests() and finished() may change without an input; nullopt once finished.
  std::optional<TimePoint> next_deadline(TimePoint now) const;
  // Returns the accepted states merged into one; empty if none was accepted.
  warm_state::WarmState result() const;
  std::size_t donor_count() const { return states_.size(); }
  // The names of the donors whose responses were accepted, in order of arrival.
  const std::vector<std::string>& donors() const { return donors_; }
  bool started() const { return started_; }

 private:
  struct Candidate {
    std::string name;
    std::string zone;
    membership::BootId boot_id{};
    membership::Incarnation boot_incarnation = 0;
    membership::Address address;
    std::uint64_t random_rank = 0;
  };

  void drop_overdue_requests(TimePoint now);
  bool all_candidates_requested() const;

  DonorSelectionOptions options_;
  std::string zone_;
  std::mt19937_64 random_;
  bool started_ = false;
  std::size_t members_with_metadata_ = 0;  // alive members in the last view
  TimePoint deadline_{};
  TimePoint settled_at_{};
  std::vector<Candidate> candidates_;  // best first
  std::vector<TransferRequest> open_;
  std::set<std::string> requested_;  // names of members that got a request
  std::vector<warm_state::WarmState> states_;
  std::vector<std::string> donors_;
};

}  // namespace granitegap::recovery
