// DonorSelection from the running, over TCP between members: the door where others ask, and the one who asks.
//
// The door gives so many answers a second and serves so many at once; whoever comes beyond that, dawdles or
// says what is no question is closed without a word, and asks somebody else. Only loopback and members'
// addresses are heard. Sizes and silence are bounded on both sides; nothing here waits for a peer without an
// end. Starts no thread.
#pragma once
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <set>
#include <string>

#include "log/logger.h"
#include "recovery/donor_selection.h"
#include "state_transfer/codec.h"

namespace granitegap::state_transfer {

class Actor {
 public:
  struct Hooks {
    std::function<TimePoint()> clock;
    // What this one offers; its nonce is filled in here.
    std::function<recovery::TransferResponse()> offer;
    // Whether somebody at this address may ask.
    std::function<bool(const boost::asio::ip::address&)> may_ask;
    // All that was learned, once it is over; from nobody where nobody could tell.
    std::function<void(warm_state::WarmState, std::size_t sources)> learned;
  };
  struct Place {
    std::string cluster, name, zone;
    boost::asio::ip::address at;  // the door's
    std::uint16_t port = 0;       // 0: any that is free
    std::uint64_t seed = 0;
  };
  // Throws boost::system::system_error where the address can't be bound.
  Actor(const boost::asio::any_io_executor& executor, Place place, recovery::DonorSelectionOptions rules,
        Hooks hooks, Logger& log);
  std::uint16_t port() const { return door_.local_endpoint().port(); }
  boost::asio::awaitable<void> serve();
  boost::asio::awaitable<void> learn();
  void begin();                                               // asks anew
  void view(std::shared_ptr<const membership::View> newest);  // looked at only while it asks
  void close();
  // Whom it was learned from the last time, and when.
  const std::vector<std::string>& from() const { return from_; }
  TimePoint learned_at() const { return learned_at_; }

 private:
  using Tcp = boost::asio::ip::tcp;
  boost::asio::awaitable<void> answer(Tcp::socket socket);
  boost::asio::awaitable<void> ask(recovery::TransferRequest question);
  boost::asio::awaitable<std::optional<std::string>> read(Tcp::socket& socket, std::size_t most);
  bool may_give();

  boost::asio::any_io_executor executor_;
  Place place_;
  Hooks hooks_;
  Logger& log_;
  recovery::DonorSelection learning_;
  std::shared_ptr<const membership::View> view_;
  Tcp::acceptor door_;
  boost::asio::steady_timer wake_;
  std::vector<std::string> from_;
  TimePoint learned_at_{};
  std::size_t at_once_ = 0;
  double room_;
  TimePoint filled_;
  bool pending_ = false, closed_ = false;
};

}  // namespace granitegap::state_transfer
