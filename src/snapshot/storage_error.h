// The error type of this module's files and of messages in its envelope.
//
// A StorageError names the step that failed, the cause, and the file where there is one. Causes are
// std::error_code values: an errno of the system, or a StorageErrc where the content is not accepted.
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
// The step as error messages name it, such as "opening it".
const char* text_of(StorageStep step);

// Causes that no errno names.
enum class StorageErrc : std::uint8_t {
  damaged = 1,     // truncated, checksum mismatch, or fields out of bounds
  too_large,       // longer than any valid one
  foreign_format,  // the magic number is another program's
  other_version,   // the magic number is this program's, its version is not
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

// The value, or why there is none.
template <class T>
using StorageResult = std::variant<T, StorageError>;

// An error with the current errno as its cause.
StorageError errno_error(StorageStep step, const std::filesystem::path& path);
// Content that is not accepted: the step is StorageStep::read_file.
StorageError format_error(StorageErrc cause);

}  // namespace granitegap::snapshot

template <>
struct std::is_error_code_enum<granitegap::snapshot::StorageErrc> : std::true_type {};
