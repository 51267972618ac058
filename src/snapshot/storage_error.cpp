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
        return "damaged";
      case StorageErrc::too_large:
        return "too large";
      case StorageErrc::foreign_format:
        return "not a file of this program";
      case StorageErrc::other_version:
        return "of another version";
      case StorageErrc::name_too_long:
        return "a name is too long";
      case StorageErrc::lock_held:
        return "another process holds it";
    }
    return "unknown error";
  }
};

}  // namespace

const char* text_of(StorageStep step) {
  switch (step) {
    case StorageStep::create_directory:
      return "making the directory";
    case StorageStep::open_lock_file:
      return "opening the lock";
    case StorageStep::lock_directory:
      return "locking the directory";
    case StorageStep::open_file:
      return "opening it";
    case StorageStep::read_file:
      return "reading it";
    case StorageStep::create_file:
      return "creating it";
    case StorageStep::write_file:
      return "writing it";
    case StorageStep::sync_file:
      return "syncing it";
    case StorageStep::rename_file:
      return "renaming it";
    case StorageStep::remove_file:
      return "taking it away";
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

std::string StorageError::message() const { return std::string(text_of(step)) + ": " + cause.message(); }

StorageError errno_error(StorageStep step, const std::filesystem::path& path) {
  const int number = errno;  // before anything else can change it
  return {step, std::error_code(number, std::generic_category()), path};
}

StorageError format_error(StorageErrc cause) { return {StorageStep::read_file, cause, {}}; }

}  // namespace granitegap::snapshot
