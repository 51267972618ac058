// Graceful leave, announced to several members until kMinLeaveAcks acknowledge it, at most kLeaveRounds
// times.
#include <utility>

#include "membership/member.h"

namespace granitegap::membership {
namespace {

constexpr unsigned kLeaveRounds = 3;
constexpr unsigned kMinLeaveAcks = 2;

}  // namespace

bool Member::has_left() const {
  return leave_.started && (leave_.rounds >= kLeaveRounds || leave_.acks >= kMinLeaveAcks);
}

void Member::leave(TimePoint now) {
  if (std::exchange(leave_.started, true)) return;
  now_ = std::max(now_, now);
  metadata_.stage = Stage::leaving;
  probes_.clear();
  publish_metadata(now_);
  send_leave_round();
}

void Member::send_leave_round() {
  ++leave_.rounds;
  leave_.next_round_at = now_ + options_.period / 4;
  if (leave_.rounds > kLeaveRounds) return;
  for (const auto member : select_helpers(kNoMember, 2 + options_.indirect_probes)) {
    const auto ping_nonce = nonce();
    leave_.nonces.push_back(ping_nonce);
    send_about(member, Ping{ping_nonce, roster_.at(member).name, {}}, {own_record(true)});
  }
  if (roster_.present() == 0) leave_.rounds = kLeaveRounds;
}

}  // namespace granitegap::membership
