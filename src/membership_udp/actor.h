// Actor that runs one membership::Member over one UDP socket, or two with a secondary path.
//
// Queues are bounded. The inbound queue is the receive buffer of the socket. There is no outbound queue: a
// datagram that the socket does not accept at once is dropped and counted, which the protocol tolerates like
// any lost datagram. No operation waits for a peer. The actor starts no thread; all calls must come from the
// executor's thread. Datagrams that can't be decoded are counted and logged.
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

// Conversions between protocol addresses and socket endpoints.
boost::asio::ip::udp::endpoint endpoint_of(const membership::Address& address);
membership::Address address_of(const boost::asio::ip::udp::endpoint& endpoint);

// Takes part in the fleet on behalf of this process.
class Actor {
 public:
  // Metadata that this process publishes about itself, read at each wake-up.
  struct LocalState {
    membership::Stage stage{};
    std::uint8_t warmup_percent = 0, pressure_percent = 0;
    std::vector<membership::EndpointHealth> endpoint_health;
    membership::RecoveryStatus recovery_status;
  };
  // Callbacks into the rest of the process.
  struct Hooks {
    std::function<LocalState()> local_state;
    // Receives each new view, at most once per batch of processed datagrams or wake-up.
    std::function<void(std::shared_ptr<const membership::View>)> view;
    std::function<TimePoint()> clock;
    // Returns no report if recovery is not controlled.
    std::function<std::optional<RecoveryReport>()> recovery_report;
  };
  // Throws boost::system::system_error if an address can't be bound. `log` must outlive the actor.
  Actor(const boost::asio::any_io_executor& executor, Settings settings, std::string name,
        std::uint64_t boot_id, membership::Incarnation first_incarnation, std::uint64_t seed, Hooks hooks,
        Logger& log);
  // Processes datagrams of the primary socket until it is closed.
  boost::asio::awaitable<void> receive() { return receive_from(socket_); }
  // Processes datagrams of the secondary socket until it is closed. Requires has_secondary().
  boost::asio::awaitable<void> receive_secondary() { return receive_from(secondary_socket_); }
  bool has_secondary() const { return secondary_socket_.is_open(); }
  // Wakes the member whenever a wake-up is due, until the primary socket is closed.
  boost::asio::awaitable<void> run();
  // Applies new options, and logs the changed settings that take effect only after a restart.
  void change(Settings settings);
  // Starts a graceful leave.
  void leave();
  // Returns whether the graceful leave has finished, or none was started.
  bool has_left() const { return !leaving_ || member_.has_left(); }
  boost::asio::ip::udp::endpoint local() const { return socket_.local_endpoint(); }
  const membership::Member& member() const { return member_; }
  // Returns whether status queries from `host` are answered: those of loopback and of hosts of known members.
  bool is_authorized(const boost::asio::ip::address& host) const;
  // Returns the time since the last valid datagram of another member arrived.
  Duration time_since_last_received() const { return now() - std::min(member_.last_received_at(), now()); }
  // See Member::set_join_addresses().
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
  StatusReply make_status_header(const StatusQuery& query) const;
  MemberStatusLine make_own_status_line() const;
  MemberStatusLine make_status_line(const membership::MemberState& member) const;
  void add_metadata(MemberStatusLine& line, const membership::MemberMetadata& metadata) const;
  std::string find_name(std::uint64_t hash) const;
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
