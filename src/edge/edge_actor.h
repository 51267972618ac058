// The actor that owns the edge: inputs arrive through one mailbox, and outputs are dispatched in order.
//
// Threads: all calls are made on the thread that runs the executor.
#pragma once
#include <boost/asio/awaitable.hpp>
#include <cstddef>
#include <functional>

#include "actor/mailbox.h"
#include "edge/edge.h"

namespace granitegap::edge {

// Reads the steady clock and the wall clock of this machine.
[[nodiscard]] Now read_clocks();

// Feeds the inputs in its mailbox to the edge and dispatches the outputs.
class EdgeActor {
 public:
  using Clocks = std::function<Now()>;
  using Dispatch = std::function<void(Output)>;
  // `memory_mb`: the memory limit of the process in MB; the capacity of the mailbox is proportional to it.
  // `dispatch` is called for each output from within run() and must not call into the edge.
  EdgeActor(const boost::asio::any_io_executor& executor, Edge edge, std::size_t memory_mb, Dispatch dispatch,
            Clocks clocks = read_clocks);

  // Runs until the mailbox is closed. An exception that escapes from it is a programming error.
  boost::asio::awaitable<void> run();

  Mailbox<Input>& mailbox() { return mailbox_; }
  const Edge& edge() const { return edge_; }
  Edge& edge() { return edge_; }
  // Returns whether the mailbox is empty and every request has its response.
  [[nodiscard]] bool is_idle() const { return mailbox_.empty() && edge_.has_no_pending_responses(); }

 private:
  Mailbox<Input> mailbox_;
  Edge edge_;
  Dispatch dispatch_;
  Clocks clocks_;
};

}  // namespace granitegap::edge
