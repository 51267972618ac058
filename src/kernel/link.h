// The connection to the kernel: an actor that reconnects with backoff, drops notices that were read before,
// and sends again what a lost connection swallowed.
#pragma once
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <string>
#include <variant>

#include "actor/mailbox.h"
#include "edge/types.h"
#include "kernel/command_log.h"
#include "kernel/line_codec.h"
#include "log/logger.h"

namespace granitegap::kernel {

// How far a connection had come when it ended.
enum class LinkProgress : std::uint8_t {
  not_connected,
  connected,
  ready,  // the replay of notices was over, and commands were being sent
};

struct WriteFailed {};
// Why a connection ended: the socket's error, bytes that are no notice, or a write that failed.
using LinkFailure = std::variant<boost::system::error_code, DecodeError, WriteFailed>;

struct LinkOutcome {
  LinkProgress progress = LinkProgress::not_connected;
  LinkFailure failure;
};

// All members are to be used on the executor's thread. Errors are logged, and the connection tried again.
class Link {
 public:
  using InputMailbox = Mailbox<edge::Input>;

  // `names`, `inputs`, to which notices go, and `log` must outlive the link.
  Link(const boost::asio::any_io_executor& executor, boost::asio::ip::tcp::endpoint kernel,
       const edge::NameRegistry& names, InputMailbox& inputs, Logger& log);

  // Connects, and connects again whenever the connection ends. Does not return.
  boost::asio::awaitable<void> run();

  // Sends the command, now or once the link is ready. Gauges are only asked for while it is, and once at a
  // time.
  void send(const edge::Command& command);

  // Whether commands are sent at once.
  bool is_ready() const { return ready_; }

  // Changes the kernel's address. A connection to another address ends and the new one is tried without a
  // pause; sequence numbers go on, and what is in flight is sent again.
  void set_endpoint(const boost::asio::ip::tcp::endpoint& kernel);

 private:
  boost::asio::awaitable<LinkOutcome> connect_and_serve();
  void begin_connection();
  void log_outcome(const LinkOutcome& outcome);
  boost::asio::awaitable<void> write();
  boost::asio::awaitable<bool> wait_for_output();
  boost::asio::awaitable<LinkFailure> read();
  boost::asio::awaitable<void> handle(Notice notice);
  boost::asio::awaitable<void> handle_boot(const edge::KernelStarted& started);
  boost::asio::awaitable<void> handle_info(SystemInfo info);
  boost::asio::awaitable<void> forward(edge::Input input);
  void resend_commands();
  void wake_writer() { output_added_.cancel(); }

  boost::asio::any_io_executor executor_;
  boost::asio::ip::tcp::endpoint kernel_;
  const edge::NameRegistry& names_;
  InputMailbox& inputs_;
  Logger& log_;
  CommandLog command_log_;
  std::string output_;  // not yet handed to the socket
  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer output_added_;  // never expires: cancelled to wake the writer
  boost::asio::steady_timer retry_timer_;
  bool ready_ = false;
  bool gauges_requested_ = false;
  bool endpoint_changed_ = false;        // since the present attempt began
  bool connect_failure_logged_ = false;  // one line for a row of failed attempts
};

}  // namespace granitegap::kernel
