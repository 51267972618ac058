// The actor that keeps what one life leaves to the next: takes the directory at the start, reads what is
// there, writes down now and then what was learned, and last of all the orderly end. Disk work is done on a
// thread of its own, started here; serving never waits for it, and a disk that hangs holds up nothing but the
// next write.
#pragma once
#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/thread_pool.hpp>
#include <filesystem>
#include <functional>
#include <string>

#include "log/logger.h"
#include "snapshot/snapshot.h"

namespace granitegap::snapshot {

class PersistenceActor {
 public:
  struct Hooks {  // called on the io thread
    // Hears what the earlier life left, and again whenever that changes.
    std::function<void(const recovery::PreviousIncarnation&)> found;
    std::function<void(warm_state::WarmState)> learned;  // aged by its age
    std::function<warm_state::WarmState()> collect;      // what is to be written down
  };
  PersistenceActor(const boost::asio::any_io_executor& executor, std::filesystem::path folder,
                   std::string name, Duration every, Hooks hooks, Logger& log);
  ~PersistenceActor();
  boost::asio::awaitable<void> run();
  // Nothing runs any more: written down once, and only by whoever owns the directory.
  void end();
  bool over() const { return ending_ && done_; }
  // The disk has not yet done what it was asked last: this must not be destroyed now, as its thread would be
  // waited for.
  bool at_work() const { return at_work_ > 0; }

 private:
  struct Begun {
    std::optional<Fault> fault;
    std::variant<Ended, Nothing, Fault> ended = Nothing{};
    Newest newest;
    Stamp at;
  };
  // On the disk's thread.
  Begun begin();
  std::optional<Fault> write(const Snapshot& snapshot);

  // Counts as work until it ends, and says so in a line where that takes long.
  template <class F>
  auto on_disk(F work, const char* meanwhile) -> boost::asio::awaitable<decltype(work())>;
  void told(Begun begun);
  void told_ended(const Begun& begun, recovery::PreviousIncarnation& found);
  void told_write(const std::optional<Fault>& fault);
  boost::asio::any_io_executor executor_;
  std::filesystem::path folder_;
  std::string name_;
  Duration every_;
  Hooks hooks_;
  Logger& log_;
  DirectoryLock lock_;  // the disk's thread alone
  boost::asio::steady_timer again_, slow_;
  std::atomic<int> at_work_ = 0;
  bool owned_ = false, told_fault_ = false, told_unwritten_ = false, ending_ = false, done_ = false;
  boost::asio::thread_pool disk_{1};  // last: it ends before what it uses
};

}  // namespace granitegap::snapshot
