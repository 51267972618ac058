// Whom a process that is coming back asks for what they know, and what it makes of their answers. No I/O, no
// clock; times are this process's steady ones.
//
// Asked are members in full service, alive beyond doubt, that say where they answer: zone neighbours first,
// of these whoever has lived longest, and by chance where that is alike, so that the callers of a wave don't
// all fall on one. Up to `donors` answers are wanted, so many are asked at once, and one that fails, dawdles
// or says what can't be used gives its place to the next. Whoever is nobody's match is not waited for: where
// nobody in full service is left, as after a restart of all, it is over at once.
//
// Fences: an answer counts only under the number that it was asked with, from the life that was asked, within
// the time that it was given; so that one that was paused and goes on sending, or an earlier life, changes
// nothing. A view that is minutes old, or in doubt, lends its endpoints but not its members.
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
  std::size_t donors = 3;
  Duration each = std::chrono::milliseconds(300);    // for one answer
  Duration most = std::chrono::milliseconds(800);    // for all of it
  Duration max_view = std::chrono::seconds(10);      // age of a view that is still believed
  Duration settle = std::chrono::milliseconds(200);  // without anybody new, before nobody more is expected
  std::size_t tries = 12;                            // asked in all
};

struct TransferRequest {
  std::uint64_t nonce = 0;
  std::string name;
  membership::BootId boot_id{};
  membership::Address at;  // TCP
  TimePoint until{}, asked{};
};

struct TransferResponse {  // what a donor said
  std::uint64_t nonce = 0;
  std::string by;
  membership::BootId boot_id{};
  bool in_service = false, sure = false;
  Duration view_age{};
  warm_state::WarmState what;
};

class DonorSelection {
 public:
  enum class Verdict : std::uint8_t { taken, late, foreign, knows_nothing };

  DonorSelection(DonorSelectionOptions rules, std::string zone, std::uint64_t seed);
  // From the beginning, also where it had begun before.
  void begin(TimePoint now);
  void view(const membership::View& view, TimePoint now);
  // Whom to ask now; each is asked once.
  std::vector<TransferRequest> ask(TimePoint now);
  Verdict answered(const TransferResponse& offer, TimePoint now);
  void failed(std::uint64_t nonce, TimePoint now);
  // Nothing more will come, or enough has. Asked again after until().
  bool over(TimePoint now) const;
  std::optional<TimePoint> next(TimePoint now) const;
  // Of all that was taken; empty where nothing was.
  warm_state::WarmState result() const;
  std::size_t sources() const { return offers_.size(); }
  const std::vector<std::string>& from() const { return from_; }
  bool begun() const { return begun_; }

 private:
  struct Candidate {
    std::string name, zone;
    membership::BootId boot_id{};
    membership::Incarnation generation = 0;
    membership::Address at;
    std::uint64_t chance = 0;
  };
  DonorSelectionOptions rules_;
  std::string zone_;
  std::mt19937_64 random_;
  bool begun_ = false;
  std::size_t told_ = 0;  // members that have said something of themselves
  TimePoint until_{}, settled_{};
  std::vector<Candidate> candidates_;  // best first
  std::vector<TransferRequest> open_;
  std::set<std::string> asked_;
  std::vector<warm_state::WarmState> offers_;
  std::vector<std::string> from_;
};

}  // namespace granitegap::recovery
