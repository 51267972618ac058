#include "snapshot/persistence_actor.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <memory>

namespace granitegap::snapshot {
namespace {

namespace asio = boost::asio;
using namespace std::chrono_literals;

constexpr auto kAgain = 200ms;  // until the directory is ours
constexpr auto kSlow = 1s;      // after which a line says what does not happen meanwhile

}  // namespace

PersistenceActor::PersistenceActor(const asio::any_io_executor& executor, std::filesystem::path folder,
                                   std::string name, Duration every, Hooks hooks, Logger& log)
    : executor_(executor),
      folder_(std::move(folder)),
      name_(std::move(name)),
      every_(every),
      hooks_(std::move(hooks)),
      log_(log),
      again_(executor),
      slow_(executor) {}

PersistenceActor::~PersistenceActor() { disk_.join(); }

PersistenceActor::Begun PersistenceActor::begin() {
  Begun b;
  b.fault = lock_.take(folder_);
  if (b.fault) return b;
  b.ended = read_ended(folder_);
  b.newest = read_newest(folder_);
  b.at = read_stamp();
  // Damaged or not: whatever is there goes before anything may run that it does not know of.
  if (!std::holds_alternative<Nothing>(b.ended)) b.fault = take_ended(folder_);
  return b;
}

std::optional<Fault> PersistenceActor::write(const Snapshot& snapshot) {
  return write_snapshot(folder_, encode(snapshot));
}

template <class F>
auto PersistenceActor::on_disk(F work, const char* meanwhile) -> asio::awaitable<decltype(work())> {
  slow_.expires_after(kSlow);
  slow_.async_wait([this, meanwhile](const boost::system::error_code& error) {
    if (!error)
      log_.line("recovery: " + folder_.string() + " does not answer: " + meanwhile,
                {{"event", "recovery_disk_slow"}});
  });
  ++at_work_;
  // In a name of its own: GCC 12 destroys captures of a temporary in a co_await expression twice.
  const auto task = [this, work]() -> asio::awaitable<decltype(work())> {
    auto result = work();
    --at_work_;
    co_return result;
  };
  auto result = co_await asio::co_spawn(disk_, task, asio::use_awaitable);
  slow_.cancel();
  co_return result;
}

asio::awaitable<void> PersistenceActor::run() {
  boost::system::error_code woken;
  while (!owned_ && !ending_) {
    const auto work = [this] { return begin(); };
    auto begun = co_await on_disk(work, "keyed requests are refused until it does, reads go on");
    told(std::move(begun));
    if (owned_) break;
    again_.expires_after(kAgain);
    co_await again_.async_wait(asio::redirect_error(asio::use_awaitable, woken));
  }
  // At a bounded rate, and never two at once.
  while (!ending_) {
    again_.expires_after(every_);
    co_await again_.async_wait(asio::redirect_error(asio::use_awaitable, woken));
    if (ending_) co_return;
    // Stamped as it is collected: guards against ages that lack what a disk that hangs has taken.
    const auto what = std::make_shared<Snapshot>(Snapshot{read_stamp(), hooks_.collect()});
    const auto work = [this, what] { return write(*what); };
    auto fault = co_await on_disk(work, "no snapshot can be written meanwhile");
    told_write(fault);
  }
}

void PersistenceActor::told(Begun b) {
  recovery::PreviousIncarnation found;
  if (b.fault) {
    found.shutdown_record_remains = true;
    if (!std::exchange(told_fault_, true))
      log_.line("recovery: keyed requests are refused until " + folder_.string() +
                    " can be used: " + b.fault->text(),
                {{"event", "recovery_folder"}, {"why", b.fault->text()}});
    return hooks_.found(found);
  }
  owned_ = true;
  told_ended(b, found);
  const auto unbelieved = [&](const std::string& what, const std::string& why) {
    log_.line("recovery: " + what + " is not believed: " + why,
              {{"event", "recovery_unbelieved"}, {"why", why}});
  };
  for (const auto& bad : b.newest.faults) unbelieved("a snapshot", bad);
  auto& newest = b.newest.snapshot;
  if (newest && newest->what.process_name != name_) {
    unbelieved("a snapshot", "it is of " + newest->what.process_name);
    newest.reset();
  }
  if (newest) found.clock_setback = std::max(found.clock_setback, clock_behind(newest->at, b.at));
  hooks_.found(found);
  if (!newest) return;
  const auto age = age_of(newest->at, b.at);
  log_.line(
      "recovery: a snapshot, " + (age ? std::to_string(age->count() / 1000) + " ms old" : "of no known age"),
      {{"event", "recovery_snapshot"}, {"age_ms", age ? std::int64_t(age->count() / 1000) : -1}});
  hooks_.learned(warm_state::age_by(std::move(newest->what), age));
}

void PersistenceActor::told_ended(const Begun& b, recovery::PreviousIncarnation& found) {
  const auto* ended = std::get_if<Ended>(&b.ended);
  const auto* bad = std::get_if<Fault>(&b.ended);
  if (bad || (ended && ended->name != name_)) {
    const auto why = bad ? bad->text() : "it is of " + ended->name;
    log_.line("recovery: what the last life left is not believed: " + why,
              {{"event", "recovery_unbelieved"}, {"why", why}});
    return;
  }
  if (!ended) return;
  found = previous_incarnation(*ended, b.at);
  if (found.clean_shutdown_age)
    log_.line(
        "recovery: the last life ended in order " + std::to_string(found.clean_shutdown_age->count() / 1000) +
            " ms ago",
        {{"event", "recovery_ended"}, {"ago_ms", std::int64_t(found.clean_shutdown_age->count() / 1000)}});
}

void PersistenceActor::told_write(const std::optional<Fault>& fault) {
  if (!fault) {
    told_unwritten_ = false;
  } else if (!std::exchange(told_unwritten_, true)) {
    log_.line("recovery: no snapshot can be written: " + fault->text(),
              {{"event", "recovery_snapshot_unwritten"}, {"why", fault->text()}});
  }
}

void PersistenceActor::end() {
  if (std::exchange(ending_, true)) return;
  again_.cancel();
  if (!owned_) {
    done_ = true;
    return;
  }
  ++at_work_;
  asio::post(disk_, [this, what = Snapshot{read_stamp(), hooks_.collect()}] {
    write(what);
    const auto fault = write_ended(folder_, {name_, read_stamp()});
    --at_work_;
    asio::post(executor_, [this, fault] {
      done_ = true;
      if (fault)
        log_.line("recovery: the end could not be written down: " + fault->text(),
                  {{"event", "recovery_end_unwritten"}, {"why", fault->text()}});
    });
  });
}

}  // namespace granitegap::snapshot
