// The actor that takes part in the fleet: one UDP socket, one membership::Member, one mailbox for the
// program.
//
// Queues are bounded each way: in, the socket's own buffer; out, none: what the socket does not take at once
// is lost and counted, as any datagram may be. Nothing here waits for a peer. Starts no thread.
#pragma once
#include <array>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "actor/mailbox.h"
#include "log/logger.h"
#include "membership/member.h"
#include "membership/views.h"
#include "membership_udp/codec.h"
#include "membership_udp/settings.h"

namespace granitegap::membership_udp {

boost::asio::ip::udp::endpoint endpoint_of(const membership::Address& address);
membership::Address address_of(const boost::asio::ip::udp::endpoint& endpoint);

class Actor {
 public:
  // What the program says of itself, asked for once a period.
  struct LocalState {
    membership::Stage stage{};
    std::uint8_t warmup_percent = 0, pressure_percent = 0;
    std::vector<membership::EndpointHealth> endpoint_health;
    membership::RecoveryStatus recovery_status;
  };
  struct Hooks {
    std::function<LocalState()> local_state;
    std::function<void(std::shared_ptr<const membership::View>)> view;  // a fresh one, at most once a wake-up
    std::function<TimePoint()> clock;
    std::function<std::optional<RecoveryReport>()>
        recovery_report;  // how it comes back; absent where it is not guided
  };
  // Throws boost::system::system_error where the address can't be bound.
  Actor(const boost::asio::any_io_executor& executor, Settings settings, std::string name,
        std::uint64_t boot_id, membership::Incarnation first, std::uint64_t seed, Hooks hooks, Logger& log);
  // One for each of its sockets.
  boost::asio::awaitable<void> receive() { return receive(socket_); }
  boost::asio::awaitable<void> receive_secondary() { return receive(secondary_socket_); }
  bool has_secondary() const { return secondary_socket_.is_open(); }
  boost::asio::awaitable<void> run();
  // Fresh seeds and times; what waits for a restart is named in a line.
  void change(Settings settings);
  // Orderly; done once enough have acknowledged it or it was said three times.
  void leave();
  bool has_left() const { return !leaving_ || member_.has_left(); }
  boost::asio::ip::udp::endpoint local() const { return socket_.local_endpoint(); }
  const membership::Member& member() const { return member_; }
  // Whether whoever is at this address may ask about the fleet: loopback and members.
  bool is_authorized(const boost::asio::ip::address& who) const;
  // Since the last datagram of a member that was believed.
  Duration time_since_last_received() const { return now() - std::min(member_.last_received_at(), now()); }
  void set_join_addresses(std::vector<membership::Address> addresses) {
    member_.set_join_addresses(std::move(addresses));
  }

 private:
  boost::asio::awaitable<void> receive(boost::asio::ip::udp::socket& socket);
  void open(boost::asio::ip::udp::socket& socket, const membership::Address& bind);
  void take_waiting(boost::asio::ip::udp::socket& socket);
  void take(std::size_t bytes, boost::asio::ip::udp::socket& from);
  void answer(const StatusQuery& query, boost::asio::ip::udp::socket& from);
  void dispatch_outputs();
  void send(boost::asio::ip::udp::socket& by, const boost::asio::ip::udp::endpoint& to,
            const std::string& bytes);
  void metadata(const membership::Change& change);
  void count(DecodeError bad);
  MemberStatusLine line_of(membership::Index i) const;
  TimePoint now() const { return hooks_.clock(); }

  Settings settings_;
  Hooks hooks_;
  Logger& log_;
  membership::Member member_;
  boost::asio::ip::udp::socket socket_, secondary_socket_;
  boost::asio::steady_timer timer_;
  boost::asio::ip::udp::endpoint from_;
  std::array<char, 2048> buffer_{};
  std::array<std::uint64_t, kDecodeErrorCount> bad_{};
  std::uint64_t unsent_ = 0;
  TimePoint bad_told_{};
  bool leaving_ = false, changed_ = true;
};

}  // namespace granitegap::membership_udp
