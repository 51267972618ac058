#include "membership/limit_holders.h"

namespace granitegap::membership {

bool LimitHolders::update(TimePoint now, std::size_t members, bool in_minority) {
  const auto before = count_;
  if (!in_minority)
    in_minority_since_.reset();
  else if (!in_minority_since_)
    in_minority_since_ = now;
  const bool is_isolated = in_minority_since_ && now - *in_minority_since_ >= isolation_timeout();
  if (is_isolated) {
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
  if (pause < isolation_timeout()) return;
  count_.reset();
  window_began_at_.reset();
}

}  // namespace granitegap::membership
