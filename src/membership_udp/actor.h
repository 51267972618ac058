// The actor that takes part in the fleet: one UDP socket (two with a secondary path) and one
// membership::Member.
//
// Queues are bounded: inbound by the socket's own buffer; outbound there is none, and a datagram that the
// socket does not take at once is lost and counted, as any datagram may be. Nothing here waits for a peer.
// Starts no thread; all calls come from the executor's. Errors: datagrams that don't decode are counted and
// logged.
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

// Conversions between the protocol's addresses and sockets'.
boost::asio::ip::udp::endpoint endpoint_of(const membership::Address& address);
membership::Address address_of(const boost::asio::ip::udp::endpoint& endpoint);

class Actor {
 public:
  // What the program publishes of itself, asked for at each wake-up.
  struct LocalState {
    membership::Stage stage{};
    std::uint8_t warmup_percent = 0, pressure_percent = 0;
    std::vector<membership::EndpointHealth> endpoint_health;
    membership::RecoveryStatus recovery_status;
  };
  struct Hooks {
    std::function<LocalState()> local_state;
    // Takes a new view, at most once a wake-up.
    std::function<void(std::shared_ptr<const membership::View>)> view;
    std::function<TimePoint()> clock;
    // Absent where recovery is not controlled.
    std::function<std::optional<RecoveryReport>()> recovery_report;
  };
  // Throws boost::system::system_error where an address can't be bound. `log` must outlive it.
  Actor(const boost::asio::any_io_executor& executor, Settings settings, std::string name,
        std::uint64_t boot_id, membership::Incarnation first_incarnation, std::uint64_t seed, Hooks hooks,
        Logger& log);
  // Receives from the primary socket until it is closed.
  boost::asio::awaitable<void> receive() { return receive_from(socket_); }
  // The same of the secondary socket; only where has_secondary().
  boost::asio::awaitable<void> receive_secondary() { return receive_from(secondary_socket_); }
  bool has_secondary() const { return secondary_socket_.is_open(); }
  // Wakes the member when it is due, until the socket is closed.
  boost::asio::awaitable<void> run();
  // Takes over new options; logs the settings that wait for a restart.
  void change(Settings settings);
  // Starts a graceful leave.
  void leave();
  // Whether a started leave is over, or none was started.
  bool has_left() const { return !leaving_ || member_.has_left(); }
  boost::asio::ip::udp::endpoint local() const { return socket_.local_endpoint(); }
  const membership::Member& member() const { return member_; }
  // Whether a host may ask this process about the fleet: loopback and known members.
  bool is_authorized(const boost::asio::ip::address& host) const;
  // Since the last valid datagram of a member.
  Duration time_since_last_received() const { return now() - std::min(member_.last_received_at(), now()); }
  // Member::set_join_addresses().
  void set_join_addresses(std::vector<membership::Address> addresses) {
    member_.set_join_addresses(std::move(addresses));
  }

 private:
  boost::asio::awaitable<void> receive_from(boost::asio::ip::udp::socket& socket);
  void open_socket(boost::asio::ip::udp::socket& socket, const membership::Address& bind);
  void receive_pending(boost::asio::ip::udp::socket& socket);
  void handle(std::size_t bytes, boost::asio::ip::udp::socket& from);
  void answer(const StatusQuery& query, boost::asio::ip::udp::socket& from);
  void dispatch_outputs();
  void send(boost::asio::ip::udp::socket& by, const boost::asio::ip::udp::endpoint& to,
            const std::string& bytes);
  void log_change(const membership::Change& change);
  void count_decode_error(DecodeError error);
  StatusReply status_header(const StatusQuery& query) const;
  MemberStatusLine own_status_line() const;
  MemberStatusLine status_line_of(const membership::MemberState& e) const;
  void add_metadata(MemberStatusLine& line, const membership::MemberMetadata& metadata) const;
  std::string name_of(std::uint64_t hash) const;
  TimePoint now() const { return hooks_.clock(); }

  Settings settings_;
  Hooks hooks_;
  Logger& log_;
  membership::Member member_;
  boost::asio::ip::udp::socket socket_, secondary_socket_;
  boost::asio::steady_timer timer_;
  boost::asio::ip::udp::endpoint sender_;
  std::array<char, 2048> buffer_{};
  std::array<std::uint64_t, kDecodeErrorCount> decode_errors_{};
  std::uint64_t unsent_datagrams_ = 0;
  TimePoint decode_error_logged_at_{};
  bool leaving_ = false, view_due_ = true;
};

}  // namespace granitegap::membership_udp
