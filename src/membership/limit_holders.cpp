#include "membership/limit_holders.h"

namespace granitegap::membership {

bool LimitHolders::update(TimePoint now, std::size_t members, bool has_quorum) {
  const auto before = count_;
  if (has_quorum)
    quorum_lost_at_.reset();
  else if (!quorum_lost_at_)
    quorum_lost_at_ = now;
  const bool is_cut_off = quorum_lost_at_ && now - *quorum_lost_at_ >= trust_time();
  if (is_cut_off) {
    count_.reset();
    window_began_at_.reset();
    return before != count_;
  }
  if (count_ && members >= *count_) {
    count_ = members;
    window_began_at_.reset();
    return before != count_;
  }
  if (!window_began_at_ || members > window_max_) restart_window(now, members);
  if (now - *window_began_at_ >= settle_time()) {
    count_ = window_max_;
    restart_window(now, members);
  }
  return before != count_;
}

void LimitHolders::restart_window(TimePoint now, std::size_t members) {
  window_began_at_ = now;
  window_max_ = members;
}

void LimitHolders::on_pause(Duration pause) {
  if (pause < trust_time()) return;
  count_.reset();
  window_began_at_.reset();
}

}  // namespace granitegap::membership
