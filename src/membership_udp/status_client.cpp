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

constexpr auto kRetryInterval = std::chrono::milliseconds(250);
// JSON keys of RecoveryReport::reached_ms, in its order.
constexpr const char* kMilestoneKeys[] = {"first_answer_ms", "good_health_ms", "half_ms",
                                          "most_ms",         "full_ms",        "guess_ms"};

// Formats milliseconds as seconds with one decimal place.
std::string seconds(std::uint64_t ms) {
  std::ostringstream out;
  out << std::fixed << std::setprecision(1) << double(ms) / 1000 << " s";
  return out.str();
}

// UDP socket that sends one query at a time and waits for its reply.
class QuerySocket {
 public:
  explicit QuerySocket(const Address& address) : to_(endpoint_of(address)), socket_(io_, to_.protocol()) {}

  // Returns std::nullopt if no reply arrived by `until`.
  std::optional<StatusReply> query(std::uint32_t from, bool recovery_report, Clock::time_point until) {
    const StatusQuery query{std::uint32_t(random_()) | 1, from, recovery_report};
    error_code ignored;  // the port may be unbound now and bound before the next retry
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
  // Receives a datagram and returns its size; 0 after an error, or if none arrived by `until`.
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
    // The query is sent again if it or its reply is lost.
    const auto retry_at = std::min(deadline, Clock::now() + kRetryInterval);
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

std::string to_json(const StatusReply& reply) {
  nlohmann::ordered_json out;
  out["cluster"] = reply.cluster;
  out["self"] = {{"name", reply.name},
                 {"incarnation", reply.incarnation},
                 {"state", text_of(reply.stage)},
                 {"heard", text_of(reply.local_connectivity)}};
  out["majority"] = reply.has_quorum;
  out["uncertain"] = reply.uncertain;
  out["agreed"] = reply.fleet_size;
  out["members"] = nlohmann::ordered_json::array();
  for (const auto& member : reply.members) {
    nlohmann::ordered_json fields{{"name", member.name},
                                  {"address", member.address},
                                  {"incarnation", member.incarnation},
                                  {"zone", member.zone},
                                  {"state", text_of(member.stage)},
                                  {"status", text_of(member.status)},
                                  {"certain", text_of(member.certain_status)},
                                  {"reachable", member.reachable},
                                  {"since_ms", member.since_ms},
                                  {"warmth", member.warmup_percent},
                                  {"pressed", member.pressure_percent},
                                  {"offered", member.recovery_status.offered_percent},
                                  {"full_service_ms", member.recovery_status.full_service_ms},
                                  {"unheard_from", member.unheard_from},
                                  {"not_reaching", member.not_reaching}};
    if (!member.conflicting_address.empty()) fields["twin"] = member.conflicting_address;
    out["members"].push_back(std::move(fields));
  }
  return out.dump();
}

std::string to_text(const StatusReply& reply) {
  std::ostringstream out;
  out << "cluster " << reply.cluster << ", as seen by " << reply.name << " (" << text_of(reply.stage)
      << ", connectivity " << text_of(reply.local_connectivity) << "): agreed fleet size " << reply.fleet_size
      << ", " << (reply.has_quorum ? "majority reachable" : "NO MAJORITY REACHABLE")
      << (reply.uncertain ? ", VIEW UNCERTAIN" : "") << "\n";
  std::size_t name = 4, address = 7, zone = 4;
  for (const auto& member : reply.members) {
    name = std::max(name, member.name.size());
    address = std::max(address, member.address.size());
    zone = std::max(zone, member.zone.size());
  }
  const auto column = [&](const std::string& text, std::size_t width) {
    out << std::left << std::setw(int(width + 2)) << text;
  };
  column("name", name);
  column("address", address);
  column("zone", zone);
  out << "state     status   reachable  since      notes\n";
  for (const auto& member : reply.members) {
    column(member.name, name);
    column(member.address, address);
    column(member.zone, zone);
    column(text_of(member.stage), 8);
    column(text_of(member.status), 7);
    column(member.reachable ? "yes" : "no", 9);
    column(std::to_string(member.since_ms / 1000) + " s", 9);
    if (member.certain_status != member.status)
      out << text_of(member.certain_status) << " in the last certain view; ";
    if (member.recovery_status.phase > 0 && member.recovery_status.full_service_ms == 0)
      out << "recovering, offers " << int(member.recovery_status.offered_percent) << " %; ";
    if (member.recovery_status.full_service_ms > 0)
      out << "full service after " << seconds(member.recovery_status.full_service_ms) << "; ";
    for (const auto& peer : member.unheard_from) out << "receives nothing directly from " << peer << "; ";
    for (const auto& peer : member.not_reaching) out << "does not directly reach " << peer << "; ";
    if (!member.conflicting_address.empty())
      out << "another process with this name at " << member.conflicting_address;
    out << "\n";
  }
  return out.str();
}

std::string recovery_json(const StatusReply& reply) {
  nlohmann::ordered_json out{{"name", reply.name}};
  if (!reply.recovery_report) {
    out["guided"] = false;
    return out.dump();
  }
  const auto& report = *reply.recovery_report;
  out["guided"] = true;
  out["state"] = report.phase;
  out["since_ms"] = report.since_ms;
  out["kind"] = report.kind;
  out["offered"] = double(report.offered) / 100;
  out["proven"] = double(report.proven) / 100;
  out["waits_bounded"] = report.bounded;
  out["left_ms"] = report.left_ms;
  out["ways_back"] = report.recoveries;
  out["keyed_wait_ms"] = report.keyed_wait_ms;
  for (std::size_t k = 0; k < report.reached_ms.size(); ++k) {
    if (report.reached_ms[k] >= 0)
      out[kMilestoneKeys[k]] = report.reached_ms[k];
    else
      out[kMilestoneKeys[k]] = nullptr;
  }
  out["learned_from"] = nlohmann::ordered_json::array();
  for (const auto& source : report.sources)
    out["learned_from"].push_back({{"name", source.name}, {"age_ms", source.age_ms}});
  return out.dump();
}

std::string recovery_text(const StatusReply& reply) {
  std::ostringstream out;
  if (!reply.recovery_report) return reply.name + ": recovery is not controlled\n";
  const auto& report = *reply.recovery_report;
  out << reply.name << ": " << report.phase << " for " << seconds(report.since_ms) << ", kind of start "
      << report.kind << ", offers " << int(report.offered) << " % (proven " << int(report.proven) << " %)"
      << (report.bounded ? ", waits bounded" : "") << "\n";
  if (report.left_ms > 0) out << "about " << seconds(report.left_ms) << " to full service\n";
  if (report.keyed_wait_ms > 0)
    out << "requests with an idempotency key wait " << seconds(report.keyed_wait_ms) << "\n";
  const char* milestones[] = {"first answer", "good health",  "half",
                              "95 %",         "full service", "full service (estimate)"};
  for (std::size_t k = 0; k < report.reached_ms.size(); ++k)
    if (report.reached_ms[k] >= 0)
      out << milestones[k] << " after " << seconds(std::uint64_t(report.reached_ms[k])) << "\n";
  for (const auto& source : report.sources)
    out << "warm state from " << source.name << ", " << seconds(source.age_ms) << " ago\n";
  return out.str();
}

}  // namespace granitegap::membership_udp
