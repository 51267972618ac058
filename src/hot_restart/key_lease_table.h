// The table in which two processes of one tile server, an old and a new one, claim keyed requests before they
// run them, so that no token runs twice in its window whichever process its tries reach. Decisions over plain
// memory: no file, no lock, no clock; whoever calls holds the lock of the memory.
//
// Doubt never runs: a damaged record, a full table, a stamp that no clock explains. Damage that is found puts
// all in doubt for one longest window, as any token may have stood there.
#pragma once
#include <array>
#include <chrono>
#include <cstdint>
#include <span>
#include <string_view>

#include "granitegap/policy.h"

namespace granitegap::hot_restart {

using UnixTime = std::chrono::sys_time<Duration>;

struct Token {  // a keyed request's, as 128 bits of hash over its class and its token
  std::uint64_t high = 0, low = 0;
  bool operator==(const Token&) const = default;
};
Token token_of(std::string_view cls, std::string_view token);

struct KeyLease {
  Token token;
  std::int64_t reached_us = 0;  // Unix, of the try that ran
  std::int64_t until_us = 0;    // Unix: its window and margin end
  std::uint64_t boot_id = 0;    // of the process that ran it
  std::uint64_t check = 0;      // over all before it; 0 in a place that is free
};

struct Head {
  std::uint64_t magic = 0, places = 0;
  std::int64_t doubt_until_us = 0;  // nothing keyed runs before
  struct Life {
    std::uint64_t id = 0;
    std::uint64_t serves = 0;  // since the process that holds this row's lock can serve
  };
  static constexpr std::size_t kLives = 8;
  std::array<Life, kLives> lives{};
  std::uint64_t check = 0;  // over magic and places
};

enum class Verdict : std::uint8_t { mine, theirs, doubt };

class KeyLeaseTable {
 public:
  KeyLeaseTable(Head& head, std::span<KeyLease> places) : head_(head), places_(places) {}
  // Makes sense of memory that another process or an earlier life left; false where it had to be wiped, and
  // all is in doubt until `now + longest`. Memory that is all zero is new and holds nothing.
  bool adopt(UnixTime now, Duration longest);

  // mine: recorded, and it may run. The window counts from `reached`; `span` is the window and its margin.
  // A claim of this same `life` is renewed: its own table of keys has let the try through. A try that reached
  // the machine after the recorded claim's end runs anew, whatever the time is now.
  Verdict claim(const Token& token, UnixTime reached, Duration span, std::uint64_t boot_id, UnixTime now,
                Duration longest);
  // The kernel never ran it: the claim of this life is given back.
  void never_ran(const Token& token, std::uint64_t boot_id);
  std::size_t in_force(UnixTime now) const;

 private:
  static constexpr std::size_t kProbes = 64;  // places looked at for one token
  static std::uint64_t check_of(const KeyLease& claim);
  static std::uint64_t check_of(const Head& head);
  void put_in_doubt(UnixTime now, Duration longest);
  Head& head_;
  std::span<KeyLease> places_;
};

}  // namespace granitegap::hot_restart
