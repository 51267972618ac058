// The actor that keeps the link to the kernel: reconnects, drops notices seen before, and re-sends what a
// lost link swallowed.
#pragma once
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "actor/mailbox.h"
#include "edge/types.h"
#include "kernel/line_codec.h"
#include "log/logger.h"

namespace granitegap::kernel {

// What has been asked of the kernel and not yet been reported over. Knows no socket.
//
// A command on a lost link may or may not have been carried out. After the next link's replay of notices,
// whose end an answer to SYSINFO marks, what is still open here is asked again: for a run that goes on that
// changes nothing, and one whose end was replayed is no longer here, so that nothing runs twice.
class CommandLog {
 public:
  void record(const edge::Command& command);
  // False for a notice that was read before, or that is not of this life: a kernel outlives the program, and
  // may tell of an earlier life's runs, under numbers of that life.
  bool accept(const Notice& notice);
  // A new link: what comes before its BOOTED answers nothing that was asked on it.
  void connection_opened() { booted_ = false; }
  std::uint64_t last_sequence() const { return last_; }
  std::vector<edge::Command> commands_to_resend() const;

 private:
  struct Asked {
    std::uint64_t order = 0;
    edge::Command run;  // StartRun or ResumeRun
    bool stop = false;
  };
  bool belongs(const Notice& notice) const;
  std::uint64_t last_ = 0, order_ = 0;
  bool booted_ = false;
  std::map<std::string, Asked> runs_;
  std::set<std::uint64_t> checks_;
};

// How an attempt at the link ended, and how far it had come.
enum class LinkProgress : std::uint8_t { not_connected, opened, up };
struct LinkOutcome {
  LinkProgress reach = LinkProgress::not_connected;
  std::string why;
};

class Link {
 public:
  using Mail = Mailbox<edge::Input>;
  Link(const boost::asio::any_io_executor& executor, boost::asio::ip::tcp::endpoint kernel,
       const edge::NameRegistry& catalog, Mail& module, Logger& log);
  boost::asio::awaitable<void> run();
  void send(const edge::Command& command);
  bool is_up() const { return ready_; }
  // The kernel's address is now this one. A link elsewhere ends, the next is tried without a pause, and the
  // ledger carries over: numbers go on and what is open is asked again.
  void set_endpoint(const boost::asio::ip::tcp::endpoint& kernel);

 private:
  boost::asio::awaitable<LinkOutcome> attempt();
  boost::asio::awaitable<void> write();
  boost::asio::awaitable<std::string> read();
  boost::asio::awaitable<void> hand_in(edge::Input input);
  boost::asio::awaitable<void> take(Notice notice);
  void flush() { wake_.cancel(); }

  boost::asio::any_io_executor executor_;
  boost::asio::ip::tcp::endpoint kernel_;
  const edge::NameRegistry& catalog_;
  Mail& module_;
  Logger& log_;
  CommandLog command_log_;
  std::string outgoing_;
  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer wake_, retry_;
  bool ready_ = false, asked_gauges_ = false, moved_ = false;
};

}  // namespace granitegap::kernel
