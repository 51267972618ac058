// The actor that owns the edge and its decision module: one mailbox in, outputs dispatched in order.
#pragma once
#include <boost/asio/awaitable.hpp>
#include <functional>

#include "edge/edge.h"
#include "mailbox/mailbox.h"

namespace granitegap::edge {

class ModuleActor {
 public:
  using Dispatch = std::function<void(Output)>;
  ModuleActor(const boost::asio::any_io_executor& executor, Edge edge, Dispatch dispatch);
  boost::asio::awaitable<void> run();
  Mailbox<Input>& mailbox() { return mailbox_; }
  // Nothing waits in the mailbox and no request waits for its answer.
  bool at_rest() const { return mailbox_.empty() && edge_.owes_nothing(); }

 private:
  Mailbox<Input> mailbox_;
  Edge edge_;
  Dispatch dispatch_;
};

}  // namespace granitegap::edge
