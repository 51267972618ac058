// What one life of a process leaves to the next on disk: that it ended in order, and when. One small file in
// a directory of its own, written last of all and taken away first of all; docs/recovery.md tells why.
//
// Blocking; call it off the io thread. Errors: values that name the step and the system's word for it; a file
// that can't be believed is no file, and says so.
#pragma once
#include <cstdint>
#include <filesystem>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "granitegap/policy.h"
#include "recovery/restart_quarantine.h"

namespace granitegap::snapshot {

// Two clocks, read together. `boot` names the boot whose clock `since_boot` is; empty where it can't be told.
struct Stamp {
  std::string boot;
  Duration since_boot{};
  std::int64_t unix_us = 0;
};
Stamp read_stamp();

struct Fault {
  std::string step, why;
  std::string text() const { return step + ": " + why; }
};
struct Ended {  // in order
  std::string name;
  Stamp at;
};
struct Nothing {};  // there is no such file

// ---- The bytes; no I/O ----
// What lies on disk: four characters of which the last is the format's version, the XXH3 of the rest, the
// rest.
inline constexpr std::size_t kSeal = 12;
std::string seal(std::string_view magic, std::string_view body);
// The body, or why it is not believed.
std::variant<std::string_view, Fault> unseal(std::string_view magic, std::string_view bytes,
                                             std::size_t most);
// Whether `now` counts on from `then` by one boot's clock.
bool same_boot(const Stamp& then, const Stamp& now);

std::string encode(const Ended& ended);
std::variant<Ended, Fault> decode(const std::string& bytes);

// What the file proves at `now`: the span since the end only by one boot's clock, as a Unix clock may have
// jumped in between.
recovery::PreviousIncarnation previous_incarnation(const Ended& ended, const Stamp& now);
// How far the Unix clock stands behind what was stamped then: exactly by one boot's clock, else what is seen
// of it.
Duration clock_behind(const Stamp& then, const Stamp& now);

// ---- Files ----
// Up to `most` bytes of it.
std::variant<std::string, Fault> read_file(const std::filesystem::path& path, std::size_t most);
// Written aside, synced, renamed, the directory synced: the old one or the new one, whatever happens.
std::optional<Fault> replace_file(const std::filesystem::path& folder, const std::string& name,
                                  const std::string& bytes);

std::variant<Ended, Nothing, Fault> read_ended(const std::filesystem::path& folder);
// Durable before it returns without a fault.
std::optional<Fault> write_ended(const std::filesystem::path& folder, const Ended& ended);
std::optional<Fault> take_ended(const std::filesystem::path& folder);

// One process at a time owns the directory: guards against a predecessor that is still draining, and would
// write its end after this one has begun. Given back by the system when the process is over, however.
class DirectoryLock {
 public:
  DirectoryLock() = default;
  ~DirectoryLock();
  DirectoryLock(const DirectoryLock&) = delete;
  DirectoryLock& operator=(const DirectoryLock&) = delete;
  // Makes the directory where it is missing. Without a fault it is held.
  std::optional<Fault> take(const std::filesystem::path& folder);
  bool held() const { return fd_ >= 0; }

 private:
  int fd_ = -1;
};

}  // namespace granitegap::snapshot
