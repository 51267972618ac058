// The shutdown record: one small file that proves that the previous process ended by a graceful shutdown, and
// when. A process removes it before it runs requests with an idempotency key, and writes it as the last step
// of its shutdown; docs/recovery.md explains why.
//
// The file functions block: don't call them on the io thread. Errors are returned as StorageError values; a
// file that can't be verified is an error, never a record.
#pragma once
#include <filesystem>
#include <optional>
#include <string>

#include "recovery/restart_quarantine.h"
#include "snapshot/clock_stamp.h"
#include "snapshot/storage_error.h"

namespace granitegap::snapshot {

struct ShutdownRecord {
  std::string name;  // of the process that wrote the record
  ClockStamp shutdown_at;
};

// ---- Encoding; performs no I/O ----
[[nodiscard]] std::string encode(const ShutdownRecord& record);
[[nodiscard]] StorageResult<ShutdownRecord> decode_shutdown_record(const std::string& bytes);

// Returns what the record proves at `now`. The time since the shutdown is set only if both stamps are of the
// same boot, because the Unix clock may have been set in between.
[[nodiscard]] recovery::PreviousIncarnation previous_incarnation(const ShutdownRecord& record,
                                                                 const ClockStamp& now);

// ---- File access ----
// Returns nullopt if the file does not exist.
[[nodiscard]] StorageResult<std::optional<ShutdownRecord>> read_shutdown_record(
    const std::filesystem::path& directory);
// The change is durable if write_shutdown_record() or remove_shutdown_record() returns no error.
[[nodiscard]] std::optional<StorageError> write_shutdown_record(const std::filesystem::path& directory,
                                                                const ShutdownRecord& record);
[[nodiscard]] std::optional<StorageError> remove_shutdown_record(const std::filesystem::path& directory);

}  // namespace granitegap::snapshot
