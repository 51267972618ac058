#include "recovery/donor_selection.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "recovery/recovery_phase.h"

namespace granitegap::recovery {
namespace {

using membership::Status;
using Peer = membership::View::Peer;

// Boot incarnations are start times in milliseconds. Members that started within the same second rank alike.
constexpr membership::Incarnation kIncarnationsPerSecond = 1000;

// Whether the peer is alive, in service and advertises a state transfer port.
bool is_donor(const Peer& peer) {
  const auto& status = peer.metadata.recovery_status;
  return peer.status == Status::alive && status.phase == to_metadata_value(Phase::in_service) &&
         status.donor_port != 0;
}

}  // namespace

DonorSelection::DonorSelection(DonorSelectionOptions options, std::string zone, std::uint64_t seed)
    : options_(options), zone_(std::move(zone)), random_(seed) {}

void DonorSelection::begin(TimePoint now) {
  started_ = true;
  deadline_ = now + options_.total_timeout;
  open_.clear();
  requested_.clear();
  states_.clear();
  donors_.clear();
}

// Candidates are also taken from an uncertain view, because every response is checked on its own.
void DonorSelection::on_view(const membership::View& view, TimePoint now) {
  candidates_.clear();
  std::size_t with_metadata = 0;
  for (const auto& peer : view.peers) {
    with_metadata += peer.status == Status::alive && peer.metadata.version > 0;
    if (!is_donor(peer)) continue;
    auto address = peer.address;
    address.port = peer.metadata.recovery_status.donor_port;
    candidates_.push_back(
        {peer.name, peer.metadata.zone, peer.boot_id, peer.metadata.boot_incarnation, address, random_()});
  }
  const auto rank = [this](const Candidate& candidate) {
    return std::tuple(candidate.zone != zone_, candidate.boot_incarnation / kIncarnationsPerSecond,
                      candidate.random_rank);
  };
  std::sort(candidates_.begin(), candidates_.end(),
            [&](const Candidate& a, const Candidate& b) { return rank(a) < rank(b); });
  if (std::exchange(members_with_metadata_, with_metadata) != with_metadata)
    settled_at_ = now + options_.settle_time;
}

void DonorSelection::drop_overdue_requests(TimePoint now) {
  std::erase_if(open_, [&](const TransferRequest& request) { return now >= request.deadline; });
}

std::vector<TransferRequest> DonorSelection::next_requests(TimePoint now) {
  std::vector<TransferRequest> requests;
  drop_overdue_requests(now);
  if (!started_ || finished(now)) return requests;
  for (const auto& candidate : candidates_) {
    if (states_.size() + open_.size() >= options_.wanted_donors) break;
    if (requested_.size() >= options_.max_requests) break;
    if (!requested_.insert(candidate.name).second) continue;
    const auto nonce = random_() | 1;
    const auto deadline = std::min(now + options_.request_timeout, deadline_);
    open_.push_back({nonce, candidate.name, candidate.boot_id, candidate.address, deadline, now});
    requests.push_back(open_.back());
  }
  return requests;
}

DonorSelection::Verdict DonorSelection::on_response(const TransferResponse& response, TimePoint now) {
  const auto found = std::find_if(open_.begin(), open_.end(),
                                  [&](const auto& request) { return request.nonce == response.nonce; });
  if (found == open_.end()) return Verdict::late;
  const auto request = *found;
  open_.erase(found);
  if (now >= request.deadline || now >= deadline_) return Verdict::late;
  if (request.donor != response.donor || request.boot_id != response.boot_id) return Verdict::wrong_donor;
  if (!response.in_service) return Verdict::not_in_service;
  // The donor may have collected the state as early as when the request was sent, so that the time since then
  // is added to the age of every item.
  auto& state = states_.emplace_back(warm_state::age_by(response.state, now - request.sent_at));
  if (!response.view_certain || response.view_age > options_.max_view_age) state.members.clear();
  donors_.push_back(response.donor);
  return Verdict::accepted;
}

void DonorSelection::on_failure(std::uint64_t nonce) {
  std::erase_if(open_, [&](const TransferRequest& request) { return request.nonce == nonce; });
}

bool DonorSelection::all_candidates_requested() const {
  return std::all_of(candidates_.begin(), candidates_.end(),
                     [this](const Candidate& candidate) { return requested_.contains(candidate.name); });
}

bool DonorSelection::finished(TimePoint now) const {
  if (!started_ || now >= deadline_ || states_.size() >= options_.wanted_donors) return true;
  // Waits for settle_time after the first member was found, because metadata of the others may still arrive.
  if (members_with_metadata_ == 0 || now < settled_at_ || !open_.empty()) return false;
  return all_candidates_requested() || requested_.size() >= options_.max_requests;
}

std::optional<TimePoint> DonorSelection::next_deadline(TimePoint now) const {
  if (finished(now)) return std::nullopt;
  auto next = deadline_;
  for (const auto& request : open_) next = std::min(next, request.deadline);
  if (open_.empty() && members_with_metadata_ > 0 && settled_at_ > now) next = std::min(next, settled_at_);
  return next;
}

warm_state::WarmState DonorSelection::result() const { return warm_state::merge(states_); }

}  // namespace granitegap::recovery
