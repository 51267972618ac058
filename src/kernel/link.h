// The connection to the kernel: an actor that reconnects with backoff, drops replayed notices that were
// already handled, and resends the commands in flight when a connection is lost.
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

// The stage that a connection had reached when it ended.
enum class LinkProgress : std::uint8_t {
  not_connected,
  connected,
  ready,  // the replay of notices was complete and commands were being sent
};

// A write to the socket failed.
struct WriteFailed {};
// Why a connection ended: a connect or read error, bytes that are not a valid notice, or a failed write.
using LinkFailure = std::variant<boost::system::error_code, DecodeError, WriteFailed>;

// How one connection attempt ended.
struct LinkOutcome {
  LinkProgress progress = LinkProgress::not_connected;
  LinkFailure failure;
};

// All members must be called on the executor's thread. Errors are logged and the connection is retried.
class Link {
 public:
  using InputMailbox = Mailbox<edge::Input>;

  // `inputs` receives the notices. `names`, `inputs` and `log` must outlive the link.
  Link(const boost::asio::any_io_executor& executor, boost::asio::ip::tcp::endpoint kernel,
       const edge::NameRegistry& names, InputMailbox& inputs, Logger& log);

  // Connects, and reconnects whenever the connection ends. Does not return.
  boost::asio::awaitable<void> run();

  // Sends the command immediately, or once the link is ready. A request for gauges is dropped if the link is
  // not ready or another one is still unanswered.
  void send(const edge::Command& command);

  // Whether commands are sent immediately.
  bool is_ready() const { return ready_; }

  // Changes the kernel's address. A connection to a different address is closed and the new address is tried
  // without delay. Sequence numbers continue, and the commands in flight are sent again.
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
  std::string output_;  // encoded lines not yet passed to the socket
  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer output_added_;  // never expires; cancelled to wake the writer
  boost::asio::steady_timer retry_timer_;
  bool ready_ = false;
  bool gauges_requested_ = false;
  bool endpoint_changed_ = false;        // since the current attempt began
  bool connect_failure_logged_ = false;  // only the first of consecutive failures is logged
};

}  // namespace granitegap::kernel
