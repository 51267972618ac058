// The actor that keeps what one life leaves to the next: takes the directory at the start, reads what is
// there, and writes the orderly end. Disk work is done on a thread of its own, started here; serving never
// waits for it.
#pragma once
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/thread_pool.hpp>
#include <filesystem>
#include <functional>
#include <string>

#include "log/logger.h"
#include "snapshot/life_file.h"

namespace granitegap::snapshot {

class Keeper {
 public:
  using Found = std::function<void(const recovery::EarlierLife&)>;
  // `found` hears what the earlier life left, and again whenever that changes.
  Keeper(const boost::asio::any_io_executor& executor, std::filesystem::path folder, std::string name,
         Found found, Logger& log);
  ~Keeper();
  boost::asio::awaitable<void> run();
  // Nothing runs any more: written down once, and only by whoever owns the directory.
  void end();
  bool over() const { return ending_ && done_; }

 private:
  struct Begun {
    std::optional<Fault> fault;
    std::variant<Ended, Nothing, Fault> ended = Nothing{};
    Stamp at;
  };
  Begun begin();  // on the disk's thread
  void told(const Begun& begun);
  boost::asio::any_io_executor executor_;
  std::filesystem::path folder_;
  std::string name_;
  Found found_;
  Logger& log_;
  FolderLock lock_;  // the disk's thread alone
  boost::asio::steady_timer again_;
  bool owned_ = false, told_fault_ = false, ending_ = false, done_ = false;
  boost::asio::thread_pool disk_{1};  // last: it ends before what it uses
};

}  // namespace granitegap::snapshot
