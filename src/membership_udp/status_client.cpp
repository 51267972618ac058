#include "membership_udp/status_client.h"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <iomanip>
#include <nlohmann/json.hpp>
#include <random>
#include <sstream>

#include "membership_udp/actor.h"

namespace granitegap::membership_udp {

using namespace membership;

namespace {

namespace asio = boost::asio;
using asio::ip::udp;
using boost::system::error_code;
using Clock = std::chrono::steady_clock;

constexpr auto kRetryAfter = std::chrono::milliseconds(250);
constexpr const char* kReached[] = {"first_answer_ms", "good_health_ms", "half_ms",
                                    "most_ms",         "full_ms",        "guess_ms"};

std::string seconds(std::uint64_t ms) {
  std::ostringstream out;
  out << std::fixed << std::setprecision(1) << double(ms) / 1000 << " s";
  return out.str();
}

// Sends one query and waits for its reply.
class QuerySocket {
 public:
  explicit QuerySocket(const Address& address) : to_(endpoint_of(address)), socket_(io_, to_.protocol()) {}

  // Absent where no reply came until then.
  std::optional<StatusReply> query(std::uint32_t from, bool recovery_report, Clock::time_point until) {
    const StatusQuery query{std::uint32_t(random_()) | 1, from, recovery_report};
    error_code ignored;  // a port that nobody listens on may be bound a moment later
    socket_.send_to(asio::buffer(encode(query)), to_, 0, ignored);
    while (Clock::now() < until) {
      const auto bytes = receive(until);
      auto decoded = decode({buffer_.data(), bytes}, "");
      auto* reply = std::get_if<StatusReply>(&decoded);
      if (reply && reply->nonce == query.nonce) return std::move(*reply);
    }
    return std::nullopt;
  }

 private:
  // The size of the next datagram; 0 after an error, or where none came until then.
  std::size_t receive(Clock::time_point until) {
    std::size_t received = 0;
    socket_.async_receive(asio::buffer(buffer_), [&](const error_code& error, std::size_t bytes) {
      if (!error) received = bytes;
    });
    io_.restart();
    io_.run_until(until);
    if (!io_.stopped()) {
      error_code ignored;
      socket_.cancel(ignored);
      io_.run();
    }
    return received;
  }

  asio::io_context io_;
  udp::endpoint to_;
  udp::socket socket_;
  std::mt19937 random_{std::random_device{}()};
  std::array<char, 2048> buffer_{};
};

}  // namespace

std::optional<StatusReply> query_status(const Address& address, std::chrono::milliseconds timeout,
                                        bool recovery_report) {
  const auto deadline = Clock::now() + timeout;
  QuerySocket socket(address);
  StatusReply complete;
  std::uint32_t from = 0;
  while (Clock::now() < deadline) {
    // Retried where a reply is lost.
    const auto retry_at = std::min(deadline, Clock::now() + kRetryAfter);
    auto part = socket.query(from, recovery_report, retry_at);
    if (!part) continue;
    auto members = std::move(complete.members);
    members.insert(members.end(), part->members.begin(), part->members.end());
    complete = std::move(*part);
    complete.members = std::move(members);
    if (complete.last) return complete;
    if (complete.next <= from) return std::nullopt;
    from = complete.next;
  }
  return std::nullopt;
}

std::string to_json(const StatusReply& r) {
  nlohmann::ordered_json out;
  out["cluster"] = r.cluster;
  out["self"] = {{"name", r.name},
                 {"incarnation", r.incarnation},
                 {"state", text_of(r.stage)},
                 {"heard", text_of(r.local_connectivity)}};
  out["majority"] = r.has_quorum;
  out["uncertain"] = r.uncertain;
  out["agreed"] = r.fleet_size;
  out["members"] = nlohmann::ordered_json::array();
  for (const auto& l : r.members) {
    nlohmann::ordered_json m{{"name", l.name},
                             {"address", l.address},
                             {"incarnation", l.incarnation},
                             {"zone", l.zone},
                             {"state", text_of(l.stage)},
                             {"status", text_of(l.status)},
                             {"certain", text_of(l.certain_status)},
                             {"reachable", l.reachable},
                             {"since_ms", l.since_ms},
                             {"warmth", l.warmup_percent},
                             {"pressed", l.pressure_percent},
                             {"offered", l.recovery_status.offered_percent},
                             {"full_service_ms", l.recovery_status.full_service_ms},
                             {"unheard_from", l.unheard_from},
                             {"not_reaching", l.not_reaching}};
    if (!l.conflicting_address.empty()) m["twin"] = l.conflicting_address;
    out["members"].push_back(std::move(m));
  }
  return out.dump();
}

std::string to_text(const StatusReply& r) {
  std::ostringstream out;
  out << "cluster " << r.cluster << ", asked " << r.name << " (" << text_of(r.stage) << ", heard "
      << text_of(r.local_connectivity) << "): " << r.fleet_size << " in the agreed fleet, "
      << (r.has_quorum ? "majority seen" : "NO MAJORITY") << (r.uncertain ? ", UNCERTAIN" : "") << "\n";
  std::size_t name = 4, address = 7, zone = 4;
  for (const auto& l : r.members) {
    name = std::max(name, l.name.size());
    address = std::max(address, l.address.size());
    zone = std::max(zone, l.zone.size());
  }
  const auto column = [&](const std::string& text, std::size_t width) {
    out << std::left << std::setw(int(width + 2)) << text;
  };
  column("name", name);
  column("address", address);
  column("zone", zone);
  out << "state     status   reachable  since      notes\n";
  for (const auto& l : r.members) {
    column(l.name, name);
    column(l.address, address);
    column(l.zone, zone);
    column(text_of(l.stage), 8);
    column(text_of(l.status), 7);
    column(l.reachable ? "yes" : "no", 9);
    column(std::to_string(l.since_ms / 1000) + " s", 9);
    if (l.certain_status != l.status) out << "was " << text_of(l.certain_status) << " when last certain; ";
    if (l.recovery_status.phase > 0 && l.recovery_status.full_service_ms == 0)
      out << "on its way back, offers " << int(l.recovery_status.offered_percent) << " %; ";
    if (l.recovery_status.full_service_ms > 0)
      out << "full service after " << seconds(l.recovery_status.full_service_ms) << "; ";
    for (const auto& n : l.unheard_from) out << "does not hear " << n << "; ";
    for (const auto& n : l.not_reaching) out << "does not reach " << n << "; ";
    if (!l.conflicting_address.empty()) out << "another process under this name at " << l.conflicting_address;
    out << "\n";
  }
  return out.str();
}

std::string recovery_json(const StatusReply& r) {
  nlohmann::ordered_json out{{"name", r.name}};
  if (!r.recovery_report) {
    out["guided"] = false;
    return out.dump();
  }
  const auto& w = *r.recovery_report;
  out["guided"] = true;
  out["state"] = w.phase;
  out["since_ms"] = w.since_ms;
  out["kind"] = w.kind;
  out["offered"] = double(w.offered) / 100;
  out["proven"] = double(w.proven) / 100;
  out["waits_bounded"] = w.bounded;
  out["left_ms"] = w.left_ms;
  out["ways_back"] = w.recoveries;
  out["keyed_wait_ms"] = w.keyed_wait_ms;
  for (std::size_t k = 0; k < w.reached_ms.size(); ++k) {
    if (w.reached_ms[k] >= 0)
      out[kReached[k]] = w.reached_ms[k];
    else
      out[kReached[k]] = nullptr;
  }
  out["learned_from"] = nlohmann::ordered_json::array();
  for (const auto& s : w.sources) out["learned_from"].push_back({{"name", s.name}, {"age_ms", s.age_ms}});
  return out.dump();
}

std::string recovery_text(const StatusReply& r) {
  std::ostringstream out;
  if (!r.recovery_report) return r.name + ": its way back is not guided\n";
  const auto& w = *r.recovery_report;
  out << r.name << ": " << w.phase << " for " << seconds(w.since_ms) << ", start of kind " << w.kind
      << ", offers " << int(w.offered) << " % (proven " << int(w.proven) << " %)"
      << (w.bounded ? ", waits bounded" : "") << "\n";
  if (w.left_ms > 0) out << "about " << seconds(w.left_ms) << " to full service\n";
  if (w.keyed_wait_ms > 0) out << "keyed requests wait " << seconds(w.keyed_wait_ms) << "\n";
  const char* names[] = {"first answer", "good health", "half", "0.95", "full service", "guessed"};
  for (std::size_t k = 0; k < w.reached_ms.size(); ++k)
    if (w.reached_ms[k] >= 0) out << names[k] << " after " << seconds(std::uint64_t(w.reached_ms[k])) << "\n";
  for (const auto& s : w.sources) out << "learned from " << s.name << ", " << seconds(s.age_ms) << " ago\n";
  return out.str();
}

}  // namespace granitegap::membership_udp
