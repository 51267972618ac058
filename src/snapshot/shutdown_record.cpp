#include "snapshot/shutdown_record.h"

#include <sys/stat.h>

#include <cerrno>
#include <string_view>

#include "snapshot/atomic_file.h"
#include "snapshot/checksum_envelope.h"
#include "snapshot/little_endian.h"

namespace granitegap::snapshot {
namespace {

constexpr char kMagic[] = "gge1";
constexpr char kFileName[] = "ended";
constexpr std::size_t kMaxFileBytes = 512, kMaxTextBytes = 200;

// Appends a string as its length, a 64-bit integer, followed by its bytes.
void append_text(std::string& bytes, const std::string& text) {
  const auto bounded = text.substr(0, kMaxTextBytes);
  append_uint64(bytes, bounded.size());
  bytes += bounded;
}

// Reads the fields of the body in order. After a field that is truncated or too long, every read returns an
// empty value and complete() is false.
class BodyReader {
 public:
  explicit BodyReader(std::string_view bytes) : bytes_(bytes) {}

  std::uint64_t read_uint64() {
    if (!valid_ || bytes_.size() - offset_ < kUint64Bytes) {
      valid_ = false;
      return 0;
    }
    const auto value = uint64_at(bytes_, offset_);
    offset_ += kUint64Bytes;
    return value;
  }

  std::string read_text() {
    const auto size = read_uint64();
    if (!valid_ || size > kMaxTextBytes || bytes_.size() - offset_ < size) {
      valid_ = false;
      return {};
    }
    const auto text = bytes_.substr(offset_, size);
    offset_ += size;
    return std::string(text);
  }

  // Whether every field was valid and no bytes remain.
  bool complete() const { return valid_ && offset_ == bytes_.size(); }

 private:
  std::string_view bytes_;
  std::size_t offset_ = 0;
  bool valid_ = true;
};

}  // namespace

std::string encode(const ShutdownRecord& record) {
  std::string body;
  append_text(body, record.name);
  append_text(body, record.shutdown_at.kernel_boot_id);
  append_uint64(body, std::uint64_t(record.shutdown_at.since_boot.count()));
  append_uint64(body, std::uint64_t(record.shutdown_at.unix_us));
  return wrap_with_checksum(kMagic, body);
}

StorageResult<ShutdownRecord> decode_shutdown_record(const std::string& bytes) {
  const auto body = unwrap_checked(kMagic, bytes, kMaxFileBytes);
  if (const auto* error = std::get_if<StorageError>(&body)) return *error;
  BodyReader reader(std::get<std::string_view>(body));
  ShutdownRecord record;
  record.name = reader.read_text();
  record.shutdown_at.kernel_boot_id = reader.read_text();
  record.shutdown_at.since_boot = Duration(std::int64_t(reader.read_uint64()));
  record.shutdown_at.unix_us = std::int64_t(reader.read_uint64());
  if (!reader.complete()) return format_error(StorageErrc::damaged);
  return record;
}

recovery::PreviousIncarnation previous_incarnation(const ShutdownRecord& record, const ClockStamp& now) {
  recovery::PreviousIncarnation previous;
  if (same_boot(record.shutdown_at, now))
    previous.clean_shutdown_age = now.since_boot - record.shutdown_at.since_boot;
  previous.clock_setback = unix_clock_setback(record.shutdown_at, now);
  return previous;
}

StorageResult<std::optional<ShutdownRecord>> read_shutdown_record(const std::filesystem::path& directory) {
  const auto path = directory / kFileName;
  struct stat status {};
  if (::stat(path.c_str(), &status) != 0 && errno == ENOENT) return std::nullopt;
  const auto bytes = read_file(path, kMaxFileBytes + 1);  // one byte more detects a file that is too long
  if (const auto* error = std::get_if<StorageError>(&bytes)) return *error;
  auto record = decode_shutdown_record(std::get<std::string>(bytes));
  if (auto* error = std::get_if<StorageError>(&record)) {
    error->path = path;
    return *error;
  }
  return std::get<ShutdownRecord>(std::move(record));
}

std::optional<StorageError> write_shutdown_record(const std::filesystem::path& directory,
                                                  const ShutdownRecord& record) {
  return replace_file_atomically(directory, kFileName, encode(record));
}

std::optional<StorageError> remove_shutdown_record(const std::filesystem::path& directory) {
  return remove_file_durably(directory, kFileName);
}

}  // namespace granitegap::snapshot
