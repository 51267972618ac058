// The actor that owns the edge and its decision module: one mailbox in, outputs dispatched in order.
#pragma once
#include <boost/asio/awaitable.hpp>
#include <functional>

#include "actor/mailbox.h"
#include "edge/edge.h"

namespace granitegap::edge {

Now read_clocks();

class EdgeActor {
 public:
  using Clocks = std::function<Now()>;
  using Dispatch = std::function<void(Output)>;
  // `memory_mb`: what the process may use; its mail may take a part of that.
  EdgeActor(const boost::asio::any_io_executor& executor, Edge edge, std::size_t memory_mb, Dispatch dispatch,
            Clocks clocks = read_clocks);
  boost::asio::awaitable<void> run();
  Mailbox<Input>& mailbox() { return mailbox_; }
  const Edge& edge() const { return edge_; }
  Edge& edge() { return edge_; }
  // Nothing waits in the mailbox and no request waits for its answer.
  bool at_rest() const { return mailbox_.empty() && edge_.owes_nothing(); }

 private:
  Mailbox<Input> mailbox_;
  Edge edge_;
  Dispatch dispatch_;
  Clocks clocks_;
};

}  // namespace granitegap::edge
