#include "recovery/donor_selection.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "recovery/recovery_controller.h"

namespace granitegap::recovery {

using membership::Status;

DonorSelection::DonorSelection(DonorSelectionOptions rules, std::string zone, std::uint64_t seed)
    : rules_(rules), zone_(std::move(zone)), random_(seed) {}

void DonorSelection::begin(TimePoint now) {
  begun_ = true;
  until_ = now + rules_.most;
  open_.clear();
  asked_.clear();
  offers_.clear();
  from_.clear();
}

void DonorSelection::view(const membership::View& view, TimePoint now) {
  // What a view in doubt leaves out may be there all the same, and what it has may not: it still tells whom
  // to ask, as whoever answers proves itself.
  candidates_.clear();
  std::size_t told = 0;
  for (const auto& p : view.peers) {
    told += p.status == Status::alive && p.metadata.version > 0;
    if (p.status != Status::alive || p.metadata.recovery_status.phase != 1 + std::uint8_t(Phase::full) ||
        p.metadata.recovery_status.donor_port == 0)
      continue;
    auto at = p.address;
    at.port = p.metadata.recovery_status.donor_port;
    candidates_.push_back({p.name, p.metadata.zone, p.boot_id, p.metadata.boot_incarnation, at, random_()});
  }
  std::sort(candidates_.begin(), candidates_.end(), [&](const Candidate& a, const Candidate& b) {
    const auto rank = [&](const Candidate& c) {
      return std::tuple(c.zone != zone_, c.generation / 1000,
                        c.chance);  // milliseconds to seconds: about alike
    };
    return rank(a) < rank(b);
  });
  if (std::exchange(told_, told) != told) settled_ = now + rules_.settle;
}

std::vector<TransferRequest> DonorSelection::ask(TimePoint now) {
  std::vector<TransferRequest> fresh;
  std::erase_if(open_,
                [&](const TransferRequest& q) { return now >= q.until; });  // it dawdles: the next one's turn
  if (!begun_ || over(now)) return fresh;
  for (const auto& c : candidates_) {
    if (offers_.size() + open_.size() >= rules_.donors || asked_.size() >= rules_.tries) break;
    if (!asked_.insert(c.name).second) continue;
    open_.push_back({random_() | 1, c.name, c.boot_id, c.at, std::min(now + rules_.each, until_), now});
    fresh.push_back(open_.back());
  }
  return fresh;
}

DonorSelection::Verdict DonorSelection::answered(const TransferResponse& offer, TimePoint now) {
  const auto q = std::find_if(open_.begin(), open_.end(), [&](auto& o) { return o.nonce == offer.nonce; });
  if (q == open_.end() || now >= q->until || now >= until_) {
    if (q != open_.end()) open_.erase(q);
    return Verdict::late;
  }
  const bool same = q->name == offer.by && q->boot_id == offer.boot_id;
  // As of when it was asked, at the worst: guards against an answer that took long and counts as new.
  const auto on_its_way = now - q->asked;
  open_.erase(q);
  if (!same) return Verdict::foreign;
  if (!offer.in_service) return Verdict::knows_nothing;
  offers_.push_back(warm_state::aged(offer.what, on_its_way));
  if (!offer.sure || offer.view_age > rules_.max_view) offers_.back().members.clear();
  from_.push_back(offer.by);
  return Verdict::taken;
}

void DonorSelection::failed(std::uint64_t nonce, TimePoint) {
  std::erase_if(open_, [&](const TransferRequest& q) { return q.nonce == nonce; });
}

bool DonorSelection::over(TimePoint now) const {
  if (!begun_ || now >= until_ || offers_.size() >= rules_.donors) return true;
  // Guards against an end after the first one met: the others' words are still on their way.
  if (told_ == 0 || now < settled_ || !open_.empty()) return false;
  return std::all_of(candidates_.begin(), candidates_.end(),
                     [&](const Candidate& c) { return asked_.contains(c.name); }) ||
         asked_.size() >= rules_.tries;
}

std::optional<TimePoint> DonorSelection::next(TimePoint now) const {
  if (over(now)) return std::nullopt;
  auto at = until_;
  for (const auto& q : open_) at = std::min(at, q.until);
  if (open_.empty() && told_ > 0 && settled_ > now) at = std::min(at, settled_);
  return at;
}

warm_state::WarmState DonorSelection::result() const { return warm_state::merged(offers_); }

}  // namespace granitegap::recovery
