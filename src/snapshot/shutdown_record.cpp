#include "snapshot/shutdown_record.h"

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <time.h>
#include <unistd.h>
#include <xxhash.h>

#include <algorithm>
#include <cerrno>
#include <fstream>
#include <system_error>

namespace granitegap::snapshot {
namespace {

constexpr char kMagic[] = "gge1";  // its last character is the format's version
constexpr char kName[] = "ended", kLock[] = "lock";
constexpr std::size_t kMax = 512, kMaxText = 200;

Fault fault(const char* step) { return {step, std::generic_category().message(errno)}; }

// A descriptor that is closed when it goes out of sight.
class File {
 public:
  File(const std::filesystem::path& path, int flags) : fd_(::open(path.c_str(), flags | O_CLOEXEC, 0600)) {}
  ~File() {
    if (fd_ >= 0) ::close(fd_);
  }
  File(const File&) = delete;
  File& operator=(const File&) = delete;
  explicit operator bool() const { return fd_ >= 0; }
  int get() const { return fd_; }

 private:
  int fd_;
};

void put(std::string& to, std::uint64_t value) {
  for (int i = 0; i < 8; ++i) to += char(value >> (8 * i));
}
void put(std::string& to, const std::string& text) {
  const auto part = text.substr(0, kMaxText);
  put(to, part.size());
  to += part;
}

struct Cursor {
  std::string_view bytes;
  std::size_t at;
  bool good = true;
  std::uint64_t number() {
    std::uint64_t value = 0;
    if (bytes.size() - at < 8) return good = false, 0;
    for (int i = 0; i < 8; ++i) value |= std::uint64_t(std::uint8_t(bytes[at++])) << (8 * i);
    return value;
  }
  std::string text() {
    const auto size = number();
    if (!good || size > kMaxText || bytes.size() - at < size) return good = false, std::string();
    at += size;
    return std::string(bytes.substr(at - size, size));
  }
};

std::optional<Fault> sync_folder(const std::filesystem::path& folder) {
  const File dir(folder, O_RDONLY | O_DIRECTORY);
  if (!dir) return fault("opening the directory");
  if (::fsync(dir.get()) != 0) return fault("syncing the directory");
  return std::nullopt;
}

}  // namespace

bool same_boot(const Stamp& then, const Stamp& now) {
  return !now.boot.empty() && then.boot == now.boot && now.since_boot >= then.since_boot;
}

std::string seal(std::string_view magic, std::string_view body) {
  std::string bytes(magic);
  put(bytes, XXH3_64bits(body.data(), body.size()));
  return bytes.append(body);
}

std::variant<std::string_view, Fault> unseal(std::string_view magic, std::string_view bytes,
                                             std::size_t most) {
  const Fault bad{"reading it", "damaged"};
  if (bytes.size() > most) return Fault{"reading it", "too large"};
  if (bytes.size() < kSeal) return bad;
  if (bytes.substr(0, 3) != magic.substr(0, 3)) return Fault{"reading it", "not a file of this program"};
  if (bytes[3] != magic[3]) return Fault{"reading it", "of another version"};
  Cursor sum{bytes, 4};
  const auto body = bytes.substr(kSeal);
  if (sum.number() != XXH3_64bits(body.data(), body.size())) return bad;
  return body;
}

Stamp read_stamp() {
  Stamp s;
  timespec t{};
  if (std::ifstream in("/proc/sys/kernel/random/boot_id");
      in >> s.boot && ::clock_gettime(CLOCK_BOOTTIME, &t) == 0)
    s.since_boot = Duration(t.tv_sec * 1'000'000LL + t.tv_nsec / 1000);
  else
    s.boot.clear();
  if (::clock_gettime(CLOCK_REALTIME, &t) == 0) s.unix_us = t.tv_sec * 1'000'000LL + t.tv_nsec / 1000;
  return s;
}

std::string encode(const Ended& e) {
  std::string body;
  put(body, e.name);
  put(body, e.at.boot);
  put(body, std::uint64_t(e.at.since_boot.count()));
  put(body, std::uint64_t(e.at.unix_us));
  return seal(kMagic, body);
}

std::variant<Ended, Fault> decode(const std::string& bytes) {
  const auto body = unseal(kMagic, bytes, kMax);
  if (const auto* fault = std::get_if<Fault>(&body)) return *fault;
  Cursor c{std::get<std::string_view>(body), 0};
  Ended e;
  e.name = c.text();
  e.at.boot = c.text();
  e.at.since_boot = Duration(std::int64_t(c.number()));
  e.at.unix_us = std::int64_t(c.number());
  if (!c.good || c.at != c.bytes.size()) return Fault{"reading it", "damaged"};
  return e;
}

Duration clock_behind(const Stamp& then, const Stamp& now) {
  const auto passed = same_boot(then, now) ? (now.since_boot - then.since_boot).count() : 0;
  return Duration(std::max<std::int64_t>(then.unix_us + passed - now.unix_us, 0));
}

recovery::PreviousIncarnation previous_incarnation(const Ended& ended, const Stamp& now) {
  recovery::PreviousIncarnation found;
  if (same_boot(ended.at, now)) found.clean_shutdown_age = now.since_boot - ended.at.since_boot;
  found.clock_setback = clock_behind(ended.at, now);
  return found;
}

DirectoryLock::~DirectoryLock() {
  if (fd_ >= 0) ::close(fd_);
}

std::optional<Fault> DirectoryLock::take(const std::filesystem::path& folder) {
  if (held()) return std::nullopt;
  if (::mkdir(folder.c_str(), 0700) != 0 && errno != EEXIST) return fault("making the directory");
  const int fd = ::open((folder / kLock).c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
  if (fd < 0) return fault("opening the lock");
  if (::flock(fd, LOCK_EX | LOCK_NB) != 0) {
    const auto why = errno == EWOULDBLOCK ? Fault{"locking the directory", "another process holds it"}
                                          : fault("locking the directory");
    ::close(fd);
    return why;
  }
  fd_ = fd;
  return std::nullopt;
}

std::variant<std::string, Fault> read_file(const std::filesystem::path& path, std::size_t most) {
  const File file(path, O_RDONLY);
  if (!file) return fault("opening it");
  std::string bytes(most, '\0');
  std::size_t have = 0;
  while (have < bytes.size()) {
    const auto got = ::read(file.get(), bytes.data() + have, bytes.size() - have);
    if (got < 0 && errno == EINTR) continue;
    if (got < 0) return fault("reading it");
    if (got == 0) break;
    have += std::size_t(got);
  }
  bytes.resize(have);
  return bytes;
}

std::optional<Fault> replace_file(const std::filesystem::path& folder, const std::string& name,
                                  const std::string& bytes) {
  const auto fresh = folder / (name + ".new");
  {
    const File file(fresh, O_WRONLY | O_CREAT | O_TRUNC);
    if (!file) return fault("creating it");
    std::size_t have = 0;
    while (have < bytes.size()) {
      const auto put = ::write(file.get(), bytes.data() + have, bytes.size() - have);
      if (put < 0 && errno == EINTR) continue;
      if (put < 0) return fault("writing it");
      have += std::size_t(put);
    }
    if (::fsync(file.get()) != 0) return fault("syncing it");
  }
  if (::rename(fresh.c_str(), (folder / name).c_str()) != 0) return fault("renaming it");
  return sync_folder(folder);
}

std::variant<Ended, Nothing, Fault> read_ended(const std::filesystem::path& folder) {
  struct stat there {};
  if (::stat((folder / kName).c_str(), &there) != 0 && errno == ENOENT) return Nothing{};
  auto bytes = read_file(folder / kName, kMax + 1);
  if (auto* bad = std::get_if<Fault>(&bytes)) return *bad;
  auto decoded = decode(std::get<std::string>(bytes));
  if (auto* bad = std::get_if<Fault>(&decoded)) return *bad;
  return std::get<Ended>(std::move(decoded));
}

std::optional<Fault> write_ended(const std::filesystem::path& folder, const Ended& ended) {
  return replace_file(folder, kName, encode(ended));
}

std::optional<Fault> take_ended(const std::filesystem::path& folder) {
  if (::unlink((folder / kName).c_str()) != 0 && errno != ENOENT) return fault("taking it away");
  return sync_folder(folder);
}

}  // namespace granitegap::snapshot
