// The actor that persists what the next process of this server needs: it locks the storage directory at the
// start, reads the previous process's shutdown record and snapshot, writes a snapshot at an interval, and
// last of all writes the shutdown record.
//
// Threads: all member functions and callbacks run on the io thread of `executor`; disk work runs on one
// thread that the actor owns. Serving never waits for the disk: a disk that hangs delays only the next write.
// Errors are logged, each kind once until it is over; none is thrown.
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
    // What the previous process left; called again whenever that changes.
    std::function<void(const recovery::PreviousIncarnation&)> previous_incarnation_found;
    // The newest snapshot, faded by its age; called at most once, and only if there is one.
    std::function<void(warm_state::WarmState)> warm_state_loaded;
    // The state to be written now.
    std::function<warm_state::WarmState()> collect_warm_state;
  };

  // `name`: of this server; files of another name are ignored. `log` must outlive the actor.
  PersistenceActor(const boost::asio::any_io_executor& executor, std::filesystem::path directory,
                   std::string name, Duration snapshot_interval, Callbacks callbacks, Logger& log);
  // Waits for the disk thread: don't destroy it while disk_busy().
  ~PersistenceActor();
  PersistenceActor(const PersistenceActor&) = delete;
  PersistenceActor& operator=(const PersistenceActor&) = delete;

  // Retries until the directory is locked, then writes snapshots until shut_down().
  boost::asio::awaitable<void> run();
  // Starts the last writes: a snapshot and the shutdown record, if this process holds the directory. To be
  // called when no request is in flight any more; later calls do nothing.
  void shut_down();
  // Whether shut_down() was called and its writes are over.
  [[nodiscard]] bool finished() const { return shutting_down_ && last_write_done_; }
  // Whether a disk operation is in progress.
  [[nodiscard]] bool disk_busy() const { return pending_disk_tasks_ > 0; }

 private:
  // What was in the directory when it was locked, or why it can't be used.
  struct LoadResult {
    std::optional<StorageError> error;
    StorageResult<std::optional<ShutdownRecord>> shutdown_record = std::nullopt;
    NewestSnapshot newest;
    ClockStamp loaded_at;
  };

  // On the disk thread.
  LoadResult lock_and_load();
  std::optional<StorageError> write(const Snapshot& snapshot);

  // Runs `task` on the disk thread; logs what is `delayed` if it takes long.
  template <class Task>
  auto run_on_disk_thread(Task task, const char* delayed) -> boost::asio::awaitable<decltype(task())>;
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
  void log_rejected(const std::string& what, const std::string& why);

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
  boost::asio::thread_pool disk_thread_{1};  // last, so that it is joined before what it uses is destroyed
};

}  // namespace granitegap::snapshot
