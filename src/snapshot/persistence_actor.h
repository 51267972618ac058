// The actor that persists warm state and the shutdown record for the next process with this name. At start it
// locks the state directory and reads the shutdown record and the snapshot of the previous process. It then
// writes a snapshot at an interval. The shutdown record is its last write.
//
// Threads: all member functions and callbacks run on the io thread of `executor`; disk operations run on one
// thread that the actor owns. Serving never waits for the disk: a disk that hangs delays only the next write.
// Until the directory has been loaded, requests with an idempotency key are rejected and all others are
// served. Errors are logged and not thrown; a failure that persists is logged once.
#pragma once
#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/thread_pool.hpp>
#include <filesystem>
#include <functional>
#include <optional>
#include <string>

#include "log/logger.h"
#include "snapshot/directory_lock.h"
#include "snapshot/shutdown_record.h"
#include "snapshot/snapshot_files.h"

namespace granitegap::snapshot {

class PersistenceActor {
 public:
  struct Callbacks {
    // Reports what the directory shows about the previous process. Called after each attempt to load it.
    std::function<void(const recovery::PreviousIncarnation&)> previous_incarnation_found;
    // Passes on the newest snapshot's state, decayed by its age. Called at most once, and only if one is
    // valid.
    std::function<void(warm_state::WarmState)> warm_state_loaded;
    // Returns the current state, to be written as a snapshot.
    std::function<warm_state::WarmState()> collect_warm_state;
  };

  // `name` is this server's; files written under another name are ignored. `log` must outlive the actor.
  PersistenceActor(const boost::asio::any_io_executor& executor, std::filesystem::path directory,
                   std::string name, Duration snapshot_interval, Callbacks callbacks, Logger& log);
  // Joins the disk thread, so it blocks if the actor is destroyed while disk_busy().
  ~PersistenceActor();
  PersistenceActor(const PersistenceActor&) = delete;
  PersistenceActor& operator=(const PersistenceActor&) = delete;

  // Retries until the directory is locked and loaded, then writes snapshots until shut_down().
  boost::asio::awaitable<void> run();
  // Starts the last writes, a snapshot and the shutdown record, if this process holds the directory lock.
  // Must be called only when no request is in flight any more. Repeated calls have no effect.
  void shut_down();
  // Whether shut_down() was called and its writes have ended.
  [[nodiscard]] bool finished() const { return shutting_down_ && last_write_done_; }
  // Whether a disk operation is in progress.
  [[nodiscard]] bool disk_busy() const { return pending_disk_tasks_ > 0; }

 private:
  // The contents of the directory when it was locked, or the error that makes it unusable.
  struct LoadResult {
    std::optional<StorageError> error;
    StorageResult<std::optional<ShutdownRecord>> shutdown_record = std::nullopt;
    NewestSnapshot newest;
    ClockStamp loaded_at;
  };

  // These run on the disk thread.
  LoadResult lock_and_load();
  std::optional<StorageError> write(const Snapshot& snapshot);

  // Runs `task` on the disk thread. If it takes longer than a threshold, logs `consequence`: what the process
  // does or does not do meanwhile.
  template <class Task>
  auto run_on_disk_thread(Task task, const char* consequence) -> boost::asio::awaitable<decltype(task())>;
  boost::asio::awaitable<void> load_until_locked();
  boost::asio::awaitable<void> write_snapshots();
  boost::asio::awaitable<void> wait(Duration duration);

  void handle_load(LoadResult loaded);
  void handle_unusable_directory(const StorageError& error);
  recovery::PreviousIncarnation evaluate_shutdown_record(const LoadResult& loaded);
  std::optional<Snapshot> select_snapshot(NewestSnapshot newest);
  void handle_snapshot(Snapshot snapshot, const ClockStamp& now);
  void handle_write(const std::optional<StorageError>& error);
  void handle_last_write(const std::optional<StorageError>& error);
  [[nodiscard]] std::string written_by_other_process(const std::string& name) const;
  void log_rejected(const std::string& file_kind, const std::string& why);

  boost::asio::any_io_executor executor_;
  std::filesystem::path directory_;
  std::string name_;
  Duration snapshot_interval_;
  Callbacks callbacks_;
  Logger& log_;
  DirectoryLock lock_;  // used on the disk thread only
  boost::asio::steady_timer wait_timer_;
  boost::asio::steady_timer slow_disk_timer_;
  std::atomic<int> pending_disk_tasks_ = 0;
  bool directory_locked_ = false;
  bool unusable_logged_ = false;
  bool write_failure_logged_ = false;
  bool shutting_down_ = false;
  bool last_write_done_ = false;
  // Last, so that it is joined before the members that its tasks use are destroyed.
  boost::asio::thread_pool disk_thread_{1};
};

}  // namespace granitegap::snapshot
