#include "snapshot/storage_error.h"

#include <cerrno>

namespace granitegap::snapshot {
namespace {

class StorageCategory : public std::error_category {
 public:
  const char* name() const noexcept override { return "granitegap.storage"; }
  std::string message(int code) const override {
    switch (StorageErrc(code)) {
      case StorageErrc::damaged:
        return "damaged (truncated, checksum mismatch or invalid field)";
      case StorageErrc::too_large:
        return "larger than the maximum size";
      case StorageErrc::foreign_format:
        return "unknown format (magic number does not match)";
      case StorageErrc::other_version:
        return "unsupported format version";
      case StorageErrc::name_too_long:
        return "a name exceeds its maximum length";
      case StorageErrc::lock_held:
        return "held by another process";
    }
    return "unknown error";
  }
};

}  // namespace

const char* step_text(StorageStep step) {
  switch (step) {
    case StorageStep::create_directory:
      return "creating the directory";
    case StorageStep::open_lock_file:
      return "opening the lock file";
    case StorageStep::lock_directory:
      return "acquiring the directory lock";
    case StorageStep::open_file:
      return "opening the file";
    case StorageStep::read_file:
      return "reading the file";
    case StorageStep::create_file:
      return "creating the file";
    case StorageStep::write_file:
      return "writing the file";
    case StorageStep::sync_file:
      return "syncing the file";
    case StorageStep::rename_file:
      return "renaming the temporary file";
    case StorageStep::remove_file:
      return "removing the file";
    case StorageStep::open_directory:
      return "opening the directory";
    case StorageStep::sync_directory:
      return "syncing the directory";
  }
  return "unknown step";
}

const std::error_category& storage_category() {
  static const StorageCategory kCategory;
  return kCategory;
}

std::error_code make_error_code(StorageErrc code) { return {int(code), storage_category()}; }

std::string StorageError::message() const { return std::string(step_text(step)) + ": " + cause.message(); }

StorageError errno_error(StorageStep step, const std::filesystem::path& path) {
  const int number = errno;  // before anything else can change it
  return {step, std::error_code(number, std::generic_category()), path};
}

StorageError format_error(StorageErrc cause) { return {StorageStep::read_file, cause, {}}; }

}  // namespace granitegap::snapshot
