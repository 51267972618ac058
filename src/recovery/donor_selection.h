// Which members a recovering process asks for their warm state, and which of their responses it uses.
//
// Candidates are members in service, alive in the present view, that advertise a port for it: those of the
// same zone first, of these the longest running, then by a random rank, so that the members of a mass restart
// do not all choose one. So many are asked at once as responses are wanted; one that fails, times out or is
// not in service is replaced by the next candidate. Where no candidate is left, as after a restart of the
// complete fleet, the selection finishes without waiting.
//
// A response counts only with the nonce of an open request, from the boot id that was asked and before the
// request's deadline: a donor that was paused and continues to send, or an earlier incarnation of it, has no
// effect. From a donor whose view is old or uncertain the endpoints are used but not the members.
//
// No I/O and no clock; time points are those of this process's steady clock. Not thread-safe.
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
  std::size_t wanted_donors = 3;  // responses after which it is finished
  Duration request_timeout = std::chrono::milliseconds(300);
  Duration total_timeout = std::chrono::milliseconds(800);
  Duration max_view_age = std::chrono::seconds(10);  // of a donor's view, for its members to be used
  // So long without a newly met member, before no further candidates are expected.
  Duration settle_time = std::chrono::milliseconds(200);
  std::size_t max_requests = 12;  // in total
};

// A request to be sent to one donor.
struct TransferRequest {
  std::uint64_t nonce = 0;  // never zero
  std::string donor;        // the member's name
  membership::BootId boot_id{};
  membership::Address address;  // TCP
  TimePoint deadline{};
  TimePoint sent_at{};
};

// A donor's response, as the state transfer codec reads it.
struct TransferResponse {
  std::uint64_t nonce = 0;  // of the request
  std::string donor;
  membership::BootId boot_id{};
  bool in_service = false;    // else it has no state to give
  bool view_certain = false;  // the donor's view has a majority and no doubt
  Duration view_age{};        // since the donor last heard from a peer
  warm_state::WarmState state;
};

class DonorSelection {
 public:
  enum class Verdict : std::uint8_t {
    accepted,
    late,            // no open request has its nonce, or its deadline has passed
    wrong_donor,     // not the name or boot id that was asked
    not_in_service,  // the donor is recovering itself
  };

  // `seed` decides the nonces and the order among otherwise equal candidates.
  DonorSelection(DonorSelectionOptions options, std::string zone, std::uint64_t seed);
  // Starts a selection; one that was under way is dropped with its open requests and its results.
  void begin(TimePoint now);
  void on_view(const membership::View& view, TimePoint now);
  // The requests to send now. Each member is asked once in a selection.
  std::vector<TransferRequest> next_requests(TimePoint now);
  Verdict on_response(const TransferResponse& response, TimePoint now);
  void on_failure(std::uint64_t nonce);
  // No further response is awaited.
  bool finished(TimePoint now) const;
  // When next_requests() and finished() may change without an input; nullopt once finished.
  std::optional<TimePoint> next_deadline(TimePoint now) const;
  // The accepted states merged into one; empty without any.
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
    membership::Incarnation generation = 0;
    membership::Address address;
    std::uint64_t random_rank = 0;
  };

  void drop_overdue_requests(TimePoint now);
  bool all_candidates_asked() const;

  DonorSelectionOptions options_;
  std::string zone_;
  std::mt19937_64 random_;
  bool started_ = false;
  std::size_t members_met_ = 0;  // alive, with metadata
  TimePoint deadline_{};
  TimePoint settled_at_{};
  std::vector<Candidate> candidates_;  // best first
  std::vector<TransferRequest> open_;
  std::set<std::string> asked_;
  std::vector<warm_state::WarmState> states_;
  std::vector<std::string> donors_;
};

}  // namespace granitegap::recovery
