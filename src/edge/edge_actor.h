// The actor that owns the edge: inputs come in through one mailbox, and its outputs are dispatched in order.
//
// Threads: everything on the thread that runs the executor.
#pragma once
#include <boost/asio/awaitable.hpp>
#include <cstddef>
#include <functional>

#include "actor/mailbox.h"
#include "edge/edge.h"

namespace granitegap::edge {

// Reads the steady clock and the wall clock of the machine.
[[nodiscard]] Now read_clocks();

class EdgeActor {
 public:
  using Clocks = std::function<Now()>;
  using Dispatch = std::function<void(Output)>;
  // `memory_mb`: what the process may use; it bounds the mailbox. `dispatch` is called on each output, from
  // within run(); it must not call into the edge.
  EdgeActor(const boost::asio::any_io_executor& executor, Edge edge, std::size_t memory_mb, Dispatch dispatch,
            Clocks clocks = read_clocks);

  // Runs until the mailbox is closed. An exception that leaves it is a fault of the program.
  boost::asio::awaitable<void> run();

  Mailbox<Input>& mailbox() { return mailbox_; }
  const Edge& edge() const { return edge_; }
  Edge& edge() { return edge_; }
  // No input waits in the mailbox and no request for its response.
  [[nodiscard]] bool is_idle() const { return mailbox_.empty() && edge_.has_no_pending_responses(); }

 private:
  Mailbox<Input> mailbox_;
  Edge edge_;
  Dispatch dispatch_;
  Clocks clocks_;
};

}  // namespace granitegap::edge
