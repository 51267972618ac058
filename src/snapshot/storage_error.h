// The error type for stored files and for messages in a checksum envelope.
//
// A StorageError contains the step that failed, the cause, and the file if there is one. Causes are
// std::error_code values: an errno, or a StorageErrc if no errno describes the cause.
#pragma once
#include <cstdint>
#include <filesystem>
#include <string>
#include <system_error>
#include <type_traits>
#include <variant>

namespace granitegap::snapshot {

// The operation that failed.
enum class StorageStep : std::uint8_t {
  create_directory,
  open_lock_file,
  lock_directory,
  open_file,
  read_file,
  create_file,
  write_file,
  sync_file,
  rename_file,
  remove_file,
  open_directory,
  sync_directory,
};
// Returns the step as it appears in error messages, such as "opening the file".
const char* step_text(StorageStep step);

// Causes that no errno describes.
enum class StorageErrc : std::uint8_t {
  damaged = 1,     // truncated, checksum mismatch, or fields out of bounds
  too_large,       // longer than the maximum size of its format
  foreign_format,  // the magic number is not that of the expected format
  other_version,   // the expected format in another version
  name_too_long,   // a name field exceeds its bound
  lock_held,       // another process holds the directory lock
};
const std::error_category& storage_category();
std::error_code make_error_code(StorageErrc code);

struct StorageError {
  StorageStep step{};
  std::error_code cause;
  std::filesystem::path path{};  // empty for bytes that did not come from a file
  // "STEP: CAUSE" on one line, without the path.
  [[nodiscard]] std::string message() const;
};

// A value, or the error that occurred instead.
template <class T>
using StorageResult = std::variant<T, StorageError>;

// Returns an error with the current errno as its cause.
StorageError errno_error(StorageStep step, const std::filesystem::path& path);
// Returns an error for rejected content; its step is StorageStep::read_file.
StorageError format_error(StorageErrc cause);

}  // namespace granitegap::snapshot

template <>
struct std::is_error_code_enum<granitegap::snapshot::StorageErrc> : std::true_type {};
