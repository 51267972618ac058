// The shutdown record: one small file that proves that the previous process ended by a graceful shutdown, and
// when. It is written last of all and removed first of all; docs/recovery.md explains why.
//
// Blocking: call the file functions off the io thread. Errors are returned as StorageError values; a file
// that can't be verified counts as an error, never as a record.
#pragma once
#include <filesystem>
#include <optional>
#include <string>

#include "recovery/restart_quarantine.h"
#include "snapshot/clock_stamp.h"
#include "snapshot/storage_error.h"

namespace granitegap::snapshot {

struct ShutdownRecord {
  std::string name;  // of the process that wrote it
  ClockStamp shutdown_at;
};

// ---- The bytes; no I/O ----
[[nodiscard]] std::string encode(const ShutdownRecord& record);
[[nodiscard]] StorageResult<ShutdownRecord> decode_shutdown_record(const std::string& bytes);

// What the record proves at `now`. The time since the shutdown is given only by one boot's clock, as a Unix
// clock may have been set in between.
[[nodiscard]] recovery::PreviousIncarnation previous_incarnation(const ShutdownRecord& record,
                                                                 const ClockStamp& now);

// ---- The file ----
// No value where there is no such file.
[[nodiscard]] StorageResult<std::optional<ShutdownRecord>> read_shutdown_record(
    const std::filesystem::path& directory);
// Both are durable when they return no error.
[[nodiscard]] std::optional<StorageError> write_shutdown_record(const std::filesystem::path& directory,
                                                                const ShutdownRecord& record);
[[nodiscard]] std::optional<StorageError> remove_shutdown_record(const std::filesystem::path& directory);

}  // namespace granitegap::snapshot
