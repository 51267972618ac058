#include "membership_figures.h"

#include <algorithm>
#include <utility>

namespace granitegap::bench {
namespace {

using membership::LocalConnectivity;
using membership::Status;

double ms(std::chrono::steady_clock::duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

// Sets a time once.
void note_once(double& time_ms, bool condition, std::chrono::steady_clock::duration since) {
  if (condition && time_ms < 0) time_ms = ms(since);
}

bool contains(const std::vector<std::string>& names, const std::string& name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

// Whether all processes answered, and each holds all others alive.
bool one_view(const MembershipViews& views, std::size_t running) {
  if (views.size() != running) return false;
  for (const auto& [observer, view] : views)
    for (const auto& member : view.members)
      if (member.name != observer && member.status != Status::alive) return false;
  return true;
}

}  // namespace

void MembershipFigureCollector::add(const MembershipViews& views, std::size_t running, Clock::time_point at) {
  for (const auto& [observer, view] : views) {
    count_transitions(observer, view, at);
    if (fault_.begun() && !fault_.hits(observer)) note_detection(observer, view, at);
  }
  note_times(views, running, at);
}

void MembershipFigureCollector::count_transitions(const std::string& observer,
                                                  const membership_udp::StatusReply& view,
                                                  Clock::time_point at) {
  for (const auto& member : view.members) {
    if (member.name == observer) continue;
    auto& last = last_status_.try_emplace({observer, member.name}, Status::alive).first->second;
    const auto previous = std::exchange(last, member.status);
    if (previous == member.status || fault_.explains(observer, member.name, at)) continue;
    if (member.status == Status::dead) ++figures_.false_dead;
    if (member.status == Status::suspect) ++figures_.flaps;
  }
}

// The observer itself says for how long a status has stood, so that the polls add nothing to the time.
void MembershipFigureCollector::note_detection(const std::string& observer,
                                               const membership_udp::StatusReply& view,
                                               Clock::time_point at) {
  for (const auto& member : view.members) {
    if (!fault_.hits(member.name) || member.status == Status::alive) continue;
    if (detection_ms_.contains(observer)) return;
    detection_ms_[observer] = std::max(0.0, ms(at - fault_.begun_at()) - double(member.since_ms));
  }
}

void MembershipFigureCollector::note_times(const MembershipViews& views, std::size_t running,
                                           Clock::time_point at) {
  if (!fault_.begun()) return;
  const auto since = at - fault_.begun_at();
  switch (scenario_.fault) {
    case FaultType::kill:
      note_once(figures_.agree_ms, all_hits_dead(views), since);
      break;
    case FaultType::block_output:
      note_once(figures_.knows_itself_ms, hit_process_knows(views), since);
      note_once(figures_.agree_ms, all_hits_dead(views), since);
      break;
    case FaultType::partition_halves:
      note_once(figures_.majority_ms, none_has_quorum(views), since);
      break;
    case FaultType::partition_pair:
      note_once(figures_.edge_ms, pair_reported(views), since);
      break;
    case FaultType::pause:
    case FaultType::none:
      break;
  }
  if (fault_.healed()) note_once(figures_.rejoin_ms, one_view(views, running), at - fault_.healed_at());
}

bool MembershipFigureCollector::all_hits_dead(const MembershipViews& views) const {
  for (const auto& [observer, view] : views) {
    if (fault_.hits(observer)) continue;
    for (const auto& member : view.members)
      if (fault_.hits(member.name) && member.status != Status::dead) return false;
  }
  return !views.empty();
}

bool MembershipFigureCollector::none_has_quorum(const MembershipViews& views) const {
  return std::none_of(views.begin(), views.end(), [](const auto& entry) { return entry.second.has_quorum; });
}

bool MembershipFigureCollector::hit_process_knows(const MembershipViews& views) const {
  return std::any_of(views.begin(), views.end(), [&](const auto& entry) {
    return fault_.hits(entry.first) && entry.second.local_connectivity == LocalConnectivity::outbound_broken;
  });
}

// Whether each end that answered reports the pair.
bool MembershipFigureCollector::pair_reported(const MembershipViews& views) const {
  const auto& sender = fault_.pair_sender();
  const auto& receiver = fault_.pair_receiver();
  for (const auto& [observer, view] : views) {
    if (observer != sender && observer != receiver) continue;
    const bool reported = std::any_of(view.members.begin(), view.members.end(), [&](const auto& member) {
      if (member.name == receiver && contains(member.unheard_from, sender)) return true;
      return member.name == sender && contains(member.not_reaching, receiver);
    });
    if (!reported) return false;
  }
  return true;
}

MembershipFigures MembershipFigureCollector::figures() const {
  auto figures = figures_;
  for (const auto& [observer, time_ms] : detection_ms_) figures.detection_ms.push_back(time_ms);
  return figures;
}

}  // namespace granitegap::bench
