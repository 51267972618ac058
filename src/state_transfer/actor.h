// Warm-state transfer between members over TCP: a server that donates this process's state, and a client that
// fetches the state of several donors after a start.
//
// The server limits the request rate and the number of open connections. It closes a connection without a
// response if a limit is exceeded, if the client is too slow, or if it sends anything but a valid query. The
// client then requests the state of another donor. Only loopback and members' addresses are admitted. Message
// sizes and waiting times are bounded on both sides. Everything runs on the io thread of `executor`; no
// thread is started.
#pragma once
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "log/logger.h"
#include "recovery/donor_selection.h"
#include "state_transfer/codec.h"

namespace granitegap::state_transfer {

class Actor {
 public:
  struct Callbacks {
    std::function<TimePoint()> clock;
    // Returns the state that this process donates. The actor sets the nonce.
    std::function<recovery::TransferResponse()> make_response;
    // Whether a client at this address may request the state.
    std::function<bool(const boost::asio::ip::address&)> may_request;
    // Passes on the merged state of `donor_count` donors when the transfer has ended. Zero: no donor had any.
    std::function<void(warm_state::WarmState state, std::size_t donor_count)> finished;
  };
  struct Options {
    std::string cluster, name, zone;
    boost::asio::ip::address bind_address;
    std::uint16_t port = 0;  // 0: any free port
    std::uint64_t seed = 0;  // of the random choice of donors
  };

  // Throws boost::system::system_error if the address can't be bound. `log` must outlive the actor.
  Actor(const boost::asio::any_io_executor& executor, Options options, recovery::DonorSelectionOptions rules,
        Callbacks callbacks, Logger& log);
  // Returns the port on which the server listens.
  [[nodiscard]] std::uint16_t port() const { return acceptor_.local_endpoint().port(); }

  // Run the server and the client until close().
  boost::asio::awaitable<void> run_server();
  boost::asio::awaitable<void> run_client();

  // Starts a transfer. One that is in progress is started again.
  void start_transfer();
  // Sets the newest membership view, from which donors are chosen.
  void update_view(std::shared_ptr<const membership::View> newest);
  void close();

  // The names of the last transfer's donors, and when it ended.
  [[nodiscard]] const std::vector<std::string>& donors() const { return donors_; }
  [[nodiscard]] TimePoint transferred_at() const { return transferred_at_; }

 private:
  using Tcp = boost::asio::ip::tcp;

  boost::asio::awaitable<void> serve_connection(Tcp::socket socket);
  bool admit_request();

  boost::asio::awaitable<void> request_from(recovery::TransferRequest request);
  boost::asio::awaitable<std::optional<recovery::TransferResponse>> exchange(
      Tcp::socket& socket, const recovery::TransferRequest& request);
  void advance_transfer(TimePoint now);
  void finish_transfer(TimePoint now);

  boost::asio::any_io_executor executor_;
  Options options_;
  Callbacks callbacks_;
  Logger& log_;
  recovery::DonorSelection donor_selection_;
  std::shared_ptr<const membership::View> view_;
  Tcp::acceptor acceptor_;
  boost::asio::steady_timer wake_timer_;
  std::vector<std::string> donors_;
  TimePoint transferred_at_{};
  std::size_t open_connections_ = 0;  // on the server side
  double rate_tokens_;                // token bucket that limits the server's request rate
  TimePoint tokens_refilled_at_;
  bool transfer_pending_ = false;
  bool closed_ = false;
};

}  // namespace granitegap::state_transfer
