#include "snapshot/persistence_actor.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <memory>
#include <utility>

namespace granitegap::snapshot {
namespace {

namespace asio = boost::asio;
using namespace std::chrono_literals;

constexpr auto kLockRetryInterval = 200ms;
constexpr auto kSlowDiskThreshold = 1s;  // a longer disk operation is logged

std::int64_t to_ms(Duration duration) { return duration.count() / 1000; }

}  // namespace

PersistenceActor::PersistenceActor(const asio::any_io_executor& executor, std::filesystem::path directory,
                                   std::string name, Duration snapshot_interval, Callbacks callbacks,
                                   Logger& log)
    : executor_(executor),
      directory_(std::move(directory)),
      name_(std::move(name)),
      snapshot_interval_(snapshot_interval),
      callbacks_(std::move(callbacks)),
      log_(log),
      wait_timer_(executor),
      slow_disk_timer_(executor) {}

PersistenceActor::~PersistenceActor() { disk_thread_.join(); }

// ---- On the disk thread ----

PersistenceActor::LoadResult PersistenceActor::lock_and_load() {
  LoadResult loaded;
  loaded.error = lock_.acquire(directory_);
  if (loaded.error) return loaded;
  loaded.shutdown_record = read_shutdown_record(directory_);
  loaded.newest = read_newest_snapshot(directory_);
  loaded.loaded_at = read_clock_stamp();
  // The record is removed even if it is damaged. It must not exist any more when a request runs, because it
  // does not cover requests that run after it was written.
  const auto* record = std::get_if<std::optional<ShutdownRecord>>(&loaded.shutdown_record);
  const bool no_file = record && !*record;
  if (!no_file) loaded.error = remove_shutdown_record(directory_);
  return loaded;
}

std::optional<StorageError> PersistenceActor::write(const Snapshot& snapshot) {
  return write_snapshot(directory_, encode(snapshot));
}

// ---- On the io thread ----

template <class Task>
auto PersistenceActor::run_on_disk_thread(Task task, const char* consequence)
    -> asio::awaitable<decltype(task())> {
  slow_disk_timer_.expires_after(kSlowDiskThreshold);
  slow_disk_timer_.async_wait([this, consequence](const boost::system::error_code& error) {
    if (error) return;
    const auto threshold_ms = std::chrono::milliseconds(kSlowDiskThreshold).count();
    log_.line("recovery: state directory " + directory_.string() + " did not respond within " +
                  std::to_string(threshold_ms) + " ms: " + consequence,
              {{"event", "recovery_disk_slow"}});
  });
  ++pending_disk_tasks_;
  // A named variable: GCC 12 destroys the captures of a temporary in a co_await expression twice.
  const auto counted_task = [this, task]() -> asio::awaitable<decltype(task())> {
    auto result = task();
    --pending_disk_tasks_;
    co_return result;
  };
  auto result = co_await asio::co_spawn(disk_thread_, counted_task, asio::use_awaitable);
  slow_disk_timer_.cancel();
  co_return result;
}

asio::awaitable<void> PersistenceActor::wait(Duration duration) {
  boost::system::error_code ignored;  // cancelled by shut_down()
  wait_timer_.expires_after(duration);
  co_await wait_timer_.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

asio::awaitable<void> PersistenceActor::run() {
  co_await load_until_locked();
  co_await write_snapshots();
}

asio::awaitable<void> PersistenceActor::load_until_locked() {
  while (!directory_locked_ && !shutting_down_) {
    const auto task = [this] { return lock_and_load(); };
    auto loaded = co_await run_on_disk_thread(
        task, "requests with an idempotency key are rejected until it does; reads are served");
    handle_load(std::move(loaded));
    if (directory_locked_) break;
    co_await wait(kLockRetryInterval);
  }
}

asio::awaitable<void> PersistenceActor::write_snapshots() {
  while (!shutting_down_) {
    co_await wait(snapshot_interval_);
    if (shutting_down_) co_return;
    // The stamp is read when the state is collected. Read on the disk thread, after a disk that hangs, it
    // would be too late, and the ages computed from it too low.
    const auto snapshot =
        std::make_shared<const Snapshot>(Snapshot{read_clock_stamp(), callbacks_.collect_warm_state()});
    const auto task = [this, snapshot] { return write(*snapshot); };
    const auto error = co_await run_on_disk_thread(task, "no snapshot is written until it does");
    handle_write(error);
  }
}

void PersistenceActor::handle_load(LoadResult loaded) {
  if (loaded.error) return handle_unusable_directory(*loaded.error);
  directory_locked_ = true;
  auto previous = evaluate_shutdown_record(loaded);
  auto snapshot = select_snapshot(std::move(loaded.newest));
  if (snapshot)
    previous.clock_setback =
        std::max(previous.clock_setback, unix_clock_setback(snapshot->taken_at, loaded.loaded_at));
  callbacks_.previous_incarnation_found(previous);
  if (snapshot) handle_snapshot(*std::move(snapshot), loaded.loaded_at);
}

void PersistenceActor::handle_unusable_directory(const StorageError& error) {
  if (!std::exchange(unusable_logged_, true))
    log_.line("recovery: state directory " + directory_.string() + " is unusable: " + error.message() +
                  "; rejecting requests with an idempotency key and retrying every " +
                  std::to_string(std::chrono::milliseconds(kLockRetryInterval).count()) + " ms",
              {{"event", "recovery_folder"}, {"why", error.message()}});
  recovery::PreviousIncarnation previous;
  previous.shutdown_record_remains = true;
  callbacks_.previous_incarnation_found(previous);
}

recovery::PreviousIncarnation PersistenceActor::evaluate_shutdown_record(const LoadResult& loaded) {
  const std::string file_kind = "shutdown record";
  if (const auto* error = std::get_if<StorageError>(&loaded.shutdown_record)) {
    log_rejected(file_kind, error->message());
    return {};
  }
  const auto& record = std::get<std::optional<ShutdownRecord>>(loaded.shutdown_record);
  if (!record) return {};
  if (record->name != name_) {
    log_rejected(file_kind, written_by_other_process(record->name));
    return {};
  }
  const auto previous = previous_incarnation(*record, loaded.loaded_at);
  if (previous.clean_shutdown_age) {
    const auto ago_ms = to_ms(*previous.clean_shutdown_age);
    log_.line("recovery: the previous process shut down gracefully " + std::to_string(ago_ms) + " ms ago",
              {{"event", "recovery_ended"}, {"ago_ms", ago_ms}});
  }
  return previous;
}

std::optional<Snapshot> PersistenceActor::select_snapshot(NewestSnapshot newest) {
  const std::string file_kind = "snapshot";
  for (const auto& error : newest.errors)
    log_rejected(file_kind, error.path.filename().string() + ": " + error.message());
  if (newest.snapshot && newest.snapshot->state.process_name != name_) {
    log_rejected(file_kind, written_by_other_process(newest.snapshot->state.process_name));
    return std::nullopt;
  }
  return std::move(newest.snapshot);
}

void PersistenceActor::handle_snapshot(Snapshot snapshot, const ClockStamp& now) {
  const auto age = age_of(snapshot.taken_at, now);
  const auto age_text = age ? std::to_string(to_ms(*age)) + " ms old" : std::string("of unknown age");
  log_.line("recovery: snapshot loaded, " + age_text,
            {{"event", "recovery_snapshot"}, {"age_ms", age ? to_ms(*age) : std::int64_t{-1}}});
  callbacks_.warm_state_loaded(warm_state::age_by(std::move(snapshot.state), age));
}

void PersistenceActor::handle_write(const std::optional<StorageError>& error) {
  if (!error) {
    write_failure_logged_ = false;
    return;
  }
  if (std::exchange(write_failure_logged_, true)) return;
  log_.line("recovery: could not write a snapshot to " + directory_.string() + ": " + error->message() +
                "; retrying every " + std::to_string(to_ms(snapshot_interval_)) + " ms",
            {{"event", "recovery_snapshot_unwritten"}, {"why", error->message()}});
}

void PersistenceActor::shut_down() {
  if (std::exchange(shutting_down_, true)) return;
  wait_timer_.cancel();
  if (!directory_locked_) {
    last_write_done_ = true;
    return;
  }
  ++pending_disk_tasks_;
  asio::post(disk_thread_, [this, snapshot = Snapshot{read_clock_stamp(), callbacks_.collect_warm_state()}] {
    // An error is ignored: without this snapshot the next process only starts with older warm state or none.
    // The shutdown record shortens its restart quarantine.
    (void)write(snapshot);
    const auto error = write_shutdown_record(directory_, {name_, read_clock_stamp()});
    --pending_disk_tasks_;
    asio::post(executor_, [this, error] { handle_last_write(error); });
  });
}

void PersistenceActor::handle_last_write(const std::optional<StorageError>& error) {
  last_write_done_ = true;
  if (!error) return;
  log_.line("recovery: could not write the shutdown record to " + directory_.string() + ": " +
                error->message() + "; the next process can't shorten its restart quarantine",
            {{"event", "recovery_end_unwritten"}, {"why", error->message()}});
}

std::string PersistenceActor::written_by_other_process(const std::string& name) const {
  return "written by process " + name + ", this process is " + name_;
}

void PersistenceActor::log_rejected(const std::string& file_kind, const std::string& why) {
  log_.line("recovery: " + file_kind + " rejected: " + why + "; ignoring it",
            {{"event", "recovery_unbelieved"}, {"why", why}});
}

}  // namespace granitegap::snapshot
