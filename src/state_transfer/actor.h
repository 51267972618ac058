// Warm-state transfer between members over TCP: a server that donates this process's state, and a client that
// fetches the state of several donors after a start.
//
// The server limits its rate and its concurrency; a connection beyond them, one that is too slow and one that
// sends anything but a valid query is closed without a response, and the client there turns to another donor.
// Only loopback and members' addresses are admitted. Message sizes and waiting times are bounded on both
// sides. Everything runs on the io thread of `executor`; no thread is started.
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
    // What this process donates; the actor fills in the nonce.
    std::function<recovery::TransferResponse()> make_response;
    // Whether a client at this address is admitted.
    std::function<bool(const boost::asio::ip::address&)> may_request;
    // The merged state of `donor_count` donors, once the transfer is over; zero where none had any.
    std::function<void(warm_state::WarmState state, std::size_t donor_count)> finished;
  };
  struct Options {
    std::string cluster, name, zone;
    boost::asio::ip::address bind_address;
    std::uint16_t port = 0;  // 0: any free one
    std::uint64_t seed = 0;  // of the choice of donors
  };

  // Throws boost::system::system_error where the address can't be bound. `log` must outlive the actor.
  Actor(const boost::asio::any_io_executor& executor, Options options, recovery::DonorSelectionOptions rules,
        Callbacks callbacks, Logger& log);
  // The port that the server listens on.
  [[nodiscard]] std::uint16_t port() const { return acceptor_.local_endpoint().port(); }

  // The two sides; both run until close().
  boost::asio::awaitable<void> run_server();
  boost::asio::awaitable<void> run_client();

  // Begins a transfer, also where one is under way.
  void start_transfer();
  // The newest membership view, from which donors are chosen.
  void update_view(std::shared_ptr<const membership::View> newest);
  void close();

  // The names of the last transfer's donors, and when it was over.
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
  std::size_t open_connections_ = 0;  // of the server
  double rate_tokens_;                // of its token bucket
  TimePoint tokens_refilled_at_;
  bool transfer_pending_ = false;
  bool closed_ = false;
};

}  // namespace granitegap::state_transfer
