#include "membership_udp/ask.h"

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

std::optional<Reply> ask(const Address& address, std::chrono::milliseconds within) {
  namespace asio = boost::asio;
  using asio::ip::udp;
  using Clock = std::chrono::steady_clock;
  const auto end = Clock::now() + within;
  asio::io_context io;
  const auto to = endpoint_of(address);
  udp::socket socket(io, to.protocol());
  std::mt19937 random(std::random_device{}());
  Reply whole;
  std::uint32_t from = 0;
  std::array<char, 2048> buffer{};
  while (Clock::now() < end) {
    const Query query{std::uint32_t(random()) | 1, from};
    boost::system::error_code error;
    socket.send_to(asio::buffer(encode(query)), to, 0, error);
    std::optional<Reply> got;
    // Asked again where an answer is lost; a port that nobody listens on is told by the system, and may be
    // bound a moment later.
    const auto again = std::min(end, Clock::now() + std::chrono::milliseconds(250));
    while (!got && Clock::now() < again) {
      std::size_t bytes = 0;
      socket.async_receive(asio::buffer(buffer), [&](const boost::system::error_code& e, std::size_t n) {
        if (!e) bytes = n;
      });
      io.restart();
      io.run_until(again);
      if (!io.stopped()) {
        socket.cancel(error);
        io.run();
      }
      auto decoded = decode({buffer.data(), bytes}, "");
      if (auto* reply = std::get_if<Reply>(&decoded); reply && reply->nonce == query.nonce)
        got = std::move(*reply);
    }
    if (!got) continue;
    auto lines = std::move(whole.lines);
    whole = std::move(*got);
    lines.insert(lines.end(), whole.lines.begin(), whole.lines.end());
    whole.lines = std::move(lines);
    if (whole.last) return whole;
    if (whole.next <= from) return std::nullopt;
    from = whole.next;
  }
  return std::nullopt;
}

std::string to_json(const Reply& r) {
  nlohmann::ordered_json out;
  out["cluster"] = r.cluster;
  out["self"] = {{"name", r.name},
                 {"incarnation", r.incarnation},
                 {"state", text_of(r.stage)},
                 {"heard", text_of(r.hearing)}};
  out["majority"] = r.majority;
  out["uncertain"] = r.uncertain;
  out["agreed"] = r.agreed;
  out["members"] = nlohmann::ordered_json::array();
  for (const auto& l : r.lines) {
    nlohmann::ordered_json m{{"name", l.name},
                             {"address", l.address},
                             {"incarnation", l.incarnation},
                             {"zone", l.zone},
                             {"state", text_of(l.stage)},
                             {"status", text_of(l.status)},
                             {"certain", text_of(l.certain)},
                             {"reachable", l.reachable},
                             {"since_ms", l.since_ms},
                             {"warmth", l.warmth},
                             {"pressed", l.pressed},
                             {"unheard_from", l.unheard_from},
                             {"not_reaching", l.not_reaching}};
    if (!l.twin.empty()) m["twin"] = l.twin;
    out["members"].push_back(std::move(m));
  }
  return out.dump();
}

std::string to_text(const Reply& r) {
  std::ostringstream out;
  out << "cluster " << r.cluster << ", asked " << r.name << " (" << text_of(r.stage) << ", heard "
      << text_of(r.hearing) << "): " << r.agreed << " in the agreed fleet, "
      << (r.majority ? "majority seen" : "NO MAJORITY") << (r.uncertain ? ", UNCERTAIN" : "") << "\n";
  std::size_t name = 4, address = 7, zone = 4;
  for (const auto& l : r.lines) {
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
  for (const auto& l : r.lines) {
    column(l.name, name);
    column(l.address, address);
    column(l.zone, zone);
    column(text_of(l.stage), 8);
    column(text_of(l.status), 7);
    column(l.reachable ? "yes" : "no", 9);
    column(std::to_string(l.since_ms / 1000) + " s", 9);
    if (l.certain != l.status) out << "was " << text_of(l.certain) << " when last certain; ";
    for (const auto& n : l.unheard_from) out << "does not hear " << n << "; ";
    for (const auto& n : l.not_reaching) out << "does not reach " << n << "; ";
    if (!l.twin.empty()) out << "another process under this name at " << l.twin;
    out << "\n";
  }
  return out.str();
}

}  // namespace granitegap::membership_udp
