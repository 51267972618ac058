// Stand-ins for the kernel, the receiver of load reports and a client proxy, to try a tile server on one
// machine. Not suitable for measurements.
//
//   granitegap_toy world                       runs a kernel on 4400 whose runs take 200 ms, and a receiver
//                                              of load reports on 8761
//   granitegap_toy ask CLASS BODY [TOKEN]      sends one client proxy request to 7001 and prints the response
//   granitegap_toy check                       sends a health check and prints the result
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <cstdio>
#include <iostream>
#include <random>
#include <sstream>
#include <string>
#include <thread>

namespace asio = boost::asio;
using asio::ip::tcp;
using asio::ip::udp;

namespace {

asio::ip::address loopback() { return asio::ip::address_v4::loopback(); }

// Prints each load report that differs from the previous one.
void print_load_reports() {
  asio::io_context io;
  udp::socket socket(io, {loopback(), 8761});
  for (std::string last;;) {
    std::string report(256, '\0');
    report.resize(socket.receive(asio::buffer(report)));
    if (report != last) std::cout << "list: " << report << std::endl;
    last = report;
  }
}

// Serves the commands of one tile server one after the other, like a kernel with a single slow core.
void serve_kernel_link(tcp::socket& link) {
  std::string bytes, notices;
  unsigned number = 0;
  const auto send = [&](const std::string& line) { asio::write(link, asio::buffer(line + "\r\n")); };
  for (;;) {
    const auto end = asio::read_until(link, asio::dynamic_buffer(bytes), "\r\n");
    std::istringstream words(bytes.substr(0, end));
    bytes.erase(0, end);
    std::string verb, word, cls;
    words >> verb >> word;
    if (verb != "SYSINFO") std::cout << "kernel: " << verb << ' ' << word << std::endl;
    if (verb == "OPEN") send("BOOTED WARM 60000");
    if (verb == "SYSINFO") send("INFO " + word + " 0.1 0 0.1 1");
    if (verb == "POST") send("POSTED " + word + " OK");
    if (verb != "SCHED") continue;
    std::size_t length = 0;
    words >> cls >> length;
    if (bytes.size() < length + 2)
      asio::read(link, asio::dynamic_buffer(bytes), asio::transfer_exactly(length + 2 - bytes.size()));
    const auto result = cls + " made of: " + bytes.substr(0, length);
    bytes.erase(0, length + 2);
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    send("REAP " + std::to_string(++number) + " " + word + " OK 200 " + std::to_string(result.size()));
    send(result);
  }
}

int run_kernel_and_list() {
  std::thread(print_load_reports).detach();
  asio::io_context io;
  tcp::acceptor listener(io, {loopback(), 4400});
  std::cout << "toy kernel on 4400, toy list on 8761; stop with Ctrl-C" << std::endl;
  for (;;) {
    // Each connection has its own kernel, so that several tile servers can use one toy process.
    std::thread([link = listener.accept()]() mutable {
      try {
        serve_kernel_link(link);
      } catch (const boost::system::system_error& e) {
        std::cout << "kernel: connection to the tile server ended: " << e.code().message() << std::endl;
      }
    }).detach();
  }
}

// Encodes a number as `bytes` bytes in big-endian order.
std::string encode_number(std::size_t value, int bytes) {
  std::string out;
  while (bytes-- > 0) out += char(value >> (8 * bytes) & 0xff);
  return out;
}
// Encodes a header field with its length prefixes.
std::string encode_field(const std::string& name, const std::string& value) {
  return encode_number(name.size(), 1) + name + encode_number(value.size(), 2) + value;
}

// Sends one frame to the tile server, prints the response, and returns its status code.
int exchange_frame(const std::string& type_stream_payload) {
  asio::io_context io;
  tcp::socket socket(io);
  socket.connect({loopback(), 7001});
  asio::write(socket, asio::buffer(encode_number(type_stream_payload.size(), 4) + type_stream_payload));
  std::string head(4, '\0');
  asio::read(socket, asio::buffer(head));
  std::size_t length = 0;
  for (const char c : head) length = length << 8 | std::uint8_t(c);
  std::string rest(length, '\0');
  asio::read(socket, asio::buffer(rest));
  static constexpr const char* kOutcomes[] = {"served", "refused", "failed"};
  const auto code = std::uint8_t(rest.at(5));
  std::cout << (rest[0] == 7 ? (code ? "bad" : "good") : kOutcomes[code % 3]);
  std::size_t at = 7;
  for (int i = 0; i < rest.at(6); ++i) {
    const auto text = [&](std::size_t size_bytes) {
      std::size_t size = 0;
      for (; size_bytes > 0; --size_bytes) size = size << 8 | std::uint8_t(rest.at(at++));
      at += size;
      return rest.substr(at - size, size);
    };
    const auto name = text(1);
    std::cout << ' ' << name << '=' << text(2);
  }
  std::cout << (at < rest.size() ? ": " : "") << rest.substr(at) << std::endl;
  return code;
}

// Sends one request of a client proxy.
int send_request(const std::string& cls, const std::string& body, const std::string& token) {
  using namespace std::chrono;
  const auto now = duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
  char rid[17];
  std::snprintf(rid, sizeof rid, "%016llx",
                static_cast<unsigned long long>(std::random_device{}()) << 32 | std::random_device{}());
  auto fields = encode_field("method", cls) + encode_field("rid", rid) +
                encode_field("t0", std::to_string(now)) + encode_field("peer", "1") +
                encode_field("acct", "partner-web") + encode_field("est", "200") +
                encode_field("mem", "24.5") + encode_field("prio", "0.5");
  if (!token.empty()) fields += encode_field("token", token);
  return exchange_frame(encode_number(0, 1) + encode_number(1, 4) + encode_number(token.empty() ? 8 : 9, 1) +
                        fields + body);
}

}  // namespace

int main(int argc, char** argv) {
  const std::string command = argc > 1 ? argv[1] : "";
  try {
    if (command == "world") return run_kernel_and_list();
    if (command == "check")
      return exchange_frame(encode_number(6, 1) + encode_number(1, 4) + encode_number(0, 1));
    if (command == "ask" && argc > 3) return send_request(argv[2], argv[3], argc > 4 ? argv[4] : "");
  } catch (const std::exception& e) {
    std::cerr << "granitegap_toy: " << e.what() << '\n';
    return 9;
  }
  std::cerr << "granitegap_toy world | ask CLASS BODY [TOKEN] | check\n";
  return 9;
}
