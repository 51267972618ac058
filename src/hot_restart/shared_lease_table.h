// The file in $TMPDIR that processes of one tile server share while one takes over from the other: the claims
// on keyed requests, and who of them serves. Mapped whole and reserved at the start, so that no later write
// waits for room; one lock, held for a claim only and never waited for.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "hot_restart/key_lease_table.h"

namespace granitegap::hot_restart {

struct LeaseTableError {  // why there is no table: then nothing keyed may run
  std::string why;
};

class SharedLeaseTable {
 public:
  // `folder`: $TMPDIR. `longest`: the longest window and margin of a keyed class.
  static std::variant<SharedLeaseTable, LeaseTableError> open(const std::string& folder,
                                                              const std::string& name, std::uint64_t boot_id,
                                                              Duration longest, UnixTime now);
  SharedLeaseTable(SharedLeaseTable&& other) noexcept;
  SharedLeaseTable& operator=(SharedLeaseTable&&) = delete;
  ~SharedLeaseTable();

  // As KeyLeaseTable::claim; doubt as well where another process holds the lock at this very moment.
  Verdict claim(const Token& token, UnixTime reached, Duration span, UnixTime now);
  void never_ran(const Token& token);
  // This process can serve: others of this tile server may leave its door to it.
  void serves();
  // It takes the door no more, whatever it still answers.
  void leaves();
  // Another process that lives, and can serve, stands at the same door.
  bool another_serves() const;
  bool wiped() const { return wiped_; }  // what was found could not be believed
  static constexpr std::size_t kPlaces = 16384;
  static constexpr std::size_t kBytes = sizeof(Head) + kPlaces * sizeof(KeyLease);

 private:
  SharedLeaseTable(int fd, void* memory, std::uint64_t boot_id, Duration longest);
  Head& head() const { return *static_cast<Head*>(memory_); }
  std::span<KeyLease> places() const;
  bool lock(short type) const;
  int fd_ = -1;
  void* memory_ = nullptr;
  std::uint64_t boot_id_ = 0;
  Duration longest_{};
  std::size_t row_ = Head::kLives;
  bool wiped_ = false;
};

}  // namespace granitegap::hot_restart
