// Runs recorded byte exchanges (tests/exchanges/*.txt) against a complete server on loopback sockets and
// compares every byte it sends. The server's clock stands still unless a script moves it, so that its
// responses do not depend on the speed of the machine. Each line of a script is one of these steps:
//
//   kernel > TEXT     sends bytes to the server on the kernel link (on a new link after `kernel drop`)
//   NAME > ...        sends bytes to the server on the client proxy's connection NAME
//   kernel < TEXT, NAME < ...   expects exactly these bytes next
//   NAME < end        expects the server to end the connection
//   NAME close, NAME reset   closes or resets the client proxy's connection
//   announce < TEXT   expects this text in the next load report that differs from the previous one
//   advance MS        moves the clock and waits until the edge actor has handled the new time
//   repeat N LINE     runs the line N times, with # in it replaced by 1 to N
//   drain, left       begins the graceful shutdown; waits until the server has stopped
//   reload            applies a new configuration with new addresses of the kernel and the announce service
//   redeclare FILE    applies a new operator file
//
// If a .cue file has the same name as an exchange, it is the exchange's operator file. ELEVATION, NAMES and
// SPARE in it are replaced by the ports of stand-in dependencies. A connection name that begins with one of
// these names in lower case is a connection to that dependency, accepted at its first use:
//   elevation < TEXT, elevation > TEXT, elevation < end, elevation close, elevation reset   as above
//
// TEXT may contain the escapes \r \n \\ \xHH. The bytes of a proxy are `raw HEX` or a frame, whose length is
// filled in:
//   frame TYPE STREAM [code N] NAME=VALUE... [| BODY]      t0=@MS counts from the start of the clock
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <future>
#include <iterator>
#include <map>
#include <optional>
#include <sstream>
#include <thread>

#include "server/server.h"

namespace granitegap {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using asio::ip::udp;
using std::chrono::milliseconds;

constexpr std::int64_t kUnixStart = 1764576000000;
constexpr int kTimeoutSeconds = 20;  // time-out of every wait; affects no result

std::string read_file(const std::filesystem::path& path) {
  std::ifstream in(path, std::ios::binary);
  REQUIRE(in);
  return {std::istreambuf_iterator<char>(in), {}};
}

std::string unescape(std::string_view text) {
  std::string out;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '\\' && i + 1 < text.size()) {
      const char c = text[++i];
      if (c == 'x' && i + 2 < text.size()) {
        out += char(std::stoi(std::string(text.substr(i + 1, 2)), nullptr, 16));
        i += 2;
        continue;
      }
      out += c == 'r' ? '\r' : c == 'n' ? '\n' : c;
    } else {
      out += text[i];
    }
  }
  return out;
}

// Returns the `bytes` low-order bytes of `value` in big-endian order.
std::string big_endian(std::size_t value, int bytes) {
  std::string out;
  for (int i = bytes - 1; i >= 0; --i) out += char(value >> (8 * i) & 0xff);
  return out;
}

// Encodes what a client proxy sends or receives: `raw HEX` or `frame ...`.
std::string proxy_bytes(const std::string& line) {
  const auto bar = line.find(" | ");
  std::istringstream words(line.substr(0, bar));
  std::string kind, word, out, fields;
  words >> kind;
  if (kind == "raw") {
    while (words >> word)
      for (std::size_t i = 0; i + 1 < word.size(); i += 2)
        out += char(std::stoi(word.substr(i, 2), nullptr, 16));
    return out;
  }
  REQUIRE(kind == "frame");
  int type = 0, count = 0;
  std::size_t stream = 0;
  words >> type >> stream;
  out = big_endian(std::size_t(type), 1) + big_endian(stream, 4);
  while (words >> word) {
    if (word == "code") {
      words >> word;
      out += big_endian(std::stoul(word), 1);
      continue;
    }
    const auto eq = word.find('=');
    auto value = word.substr(eq + 1);
    if (value.starts_with('@')) value = std::to_string(kUnixStart + std::stoll(value.substr(1)));
    fields += big_endian(eq, 1);
    fields += word.substr(0, eq);
    fields += big_endian(value.size(), 2);
    fields += value;
    ++count;
  }
  if (type != 9) out += big_endian(std::size_t(count), 1);
  out += fields;
  if (bar != std::string::npos) out += unescape(line.substr(bar + 3));
  return big_endian(out.size(), 4).append(out);
}

// Returns the bytes with all but printable ASCII characters escaped.
std::string escape(const std::string& bytes) {
  std::string out;
  for (const char c : bytes) {
    char hex[8];
    std::snprintf(hex, sizeof hex, "\\x%02x", unsigned(std::uint8_t(c)));
    out += c >= ' ' && c < 127 ? std::string(1, c) : std::string(hex);
  }
  return out;
}

// Replaces the placeholders KERNEL and ANNOUNCE by the ports of the stand-ins.
std::string fill_in_ports(std::string json, const tcp::acceptor& kernel, const udp::socket& announce) {
  const auto replace_port = [&](const std::string& name, unsigned port) {
    json.replace(json.find(name), name.size(), std::to_string(port));
  };
  replace_port("KERNEL", kernel.local_endpoint().port());
  replace_port("ANNOUNCE", announce.local_endpoint().port());
  return json;
}

// A server on its own thread, the stand-ins it talks to, and the steps of an exchange.
class ExchangeRunner {
 public:
  // `script`: the path of the exchange. Its directory contains config.json and the operator files.
  explicit ExchangeRunner(const std::filesystem::path& script)
      : directory_(script.parent_path()),
        kernel_listener_(io_, any_port<tcp>()),
        announce_(io_, any_port<udp>()) {
    auto config = config::parse(json());
    REQUIRE(std::holds_alternative<config::Config>(config));
    for (const auto* name : {"elevation", "names", "spare"})
      dependency_listeners_.emplace(name, tcp::acceptor(io_, any_port<tcp>()));
    Server::Options options;
    if (const auto cue = std::filesystem::path(script).replace_extension(".cue");
        std::filesystem::exists(cue)) {
      auto read = read_operator_config(cue);
      REQUIRE(std::holds_alternative<operators::OperatorConfig>(read));
      options.operator_config = std::get<operators::OperatorConfig>(std::move(read));
      REQUIRE(operators::resolve_classes(*options.operator_config, std::get<config::Config>(config).catalog)
                  .empty());
    }
    const auto start = std::chrono::steady_clock::now() + std::chrono::hours(24);
    server_.emplace(context_, std::move(std::get<config::Config>(config)), std::move(options), [this, start] {
      const auto steady = std::chrono::duration_cast<Duration>(start.time_since_epoch());
      const std::int64_t elapsed_ms = elapsed_ms_;
      handled_ms_ = elapsed_ms;
      return edge::Now{TimePoint(steady + milliseconds(elapsed_ms)),
                       edge::UnixTime(milliseconds(kUnixStart + elapsed_ms))};
    });
    server_->start();
    client_endpoint_ = server_->local_endpoint();
    thread_ = std::thread([this] { context_.run(); });
  }
  ~ExchangeRunner() {
    context_.stop();
    thread_.join();
  }
  ExchangeRunner(const ExchangeRunner&) = delete;
  ExchangeRunner& operator=(const ExchangeRunner&) = delete;

  // Runs one line of the exchange.
  void run_line(const std::string& text) {
    std::istringstream words(text);
    std::string who, verb, rest;
    words >> who >> verb;
    std::getline(words >> std::ws, rest);
    if (who == "repeat") {
      const auto count = std::stoi(verb);
      for (int i = 1; i <= count; ++i) {
        auto repeated = rest;
        if (const auto at = repeated.find('#'); at != std::string::npos)
          repeated.replace(at, 1, std::to_string(i));
        run_line(repeated);
      }
      return;
    }
    if (who == "advance") return advance(std::stoll(verb));
    if (who == "drain") return asio::post(context_, [this] { server_->drain(); });
    if (who == "reload") {
      kernel_listener_ = tcp::acceptor(io_, any_port<tcp>());
      announce_ = udp::socket(io_, any_port<udp>());
      last_report_.clear();
      sockets_.erase("kernel");
      return asio::post(context_, [this, json = json()] { server_->reload(config::parse(json)); });
    }
    if (who == "redeclare")
      return asio::post(
          context_, [this, loaded = read_operator_config(directory_ / verb)] { server_->reload(loaded); });
    if (who == "left") {
      thread_.join();
      thread_ = std::thread([] {});
      return;
    }
    if (who == "announce") return expect_report(rest);
    if (who == "kernel" && verb != "drop" && !sockets_.count(who)) {
      set_receive_timeout(kernel_listener_);
      sockets_.emplace(who, kernel_listener_.accept());
    }
    for (auto& [name, listener] : dependency_listeners_)
      if (who.starts_with(name) && !sockets_.count(who)) {
        set_receive_timeout(listener);
        sockets_.emplace(who, listener.accept());
      }
    if (who != "kernel" && !sockets_.count(who)) {
      tcp::socket socket(io_);
      socket.connect(client_endpoint_);
      sockets_.emplace(who, std::move(socket));
    }
    if (verb == "reset") {
      // Closed explicitly: the destructor would undo the option and close without a reset.
      sockets_.at(who).set_option(asio::socket_base::linger(true, 0));
      sockets_.at(who).close();
    }
    if (verb == "close" || verb == "drop" || verb == "reset") {
      sockets_.erase(who);
      return;
    }
    auto& socket = sockets_.at(who);
    set_receive_timeout(socket);
    if (verb == "<" && rest == "end") {
      char byte = 0;
      CHECK(::recv(socket.native_handle(), &byte, 1, 0) == 0);
      return;
    }
    const bool is_proxy = who != "kernel" && !is_dependency(who);
    const auto bytes = is_proxy ? proxy_bytes(rest) : unescape(rest);
    if (verb == ">") {
      asio::write(socket, asio::buffer(bytes));
    } else {
      std::string received(bytes.size(), '\0');
      std::size_t size = 0;
      while (size < received.size()) {
        const auto n = ::recv(socket.native_handle(), received.data() + size, received.size() - size, 0);
        if (n <= 0) break;
        size += std::size_t(n);
      }
      received.resize(size);
      REQUIRE(escape(received) == escape(bytes));
    }
  }

 private:
  bool is_dependency(const std::string& who) const {
    return std::any_of(dependency_listeners_.begin(), dependency_listeners_.end(),
                       [&](const auto& entry) { return who.starts_with(entry.first); });
  }
  std::variant<operators::OperatorConfig, operators::Errors> read_operator_config(
      const std::filesystem::path& cue) {
    auto text = read_file(cue);
    for (const auto& [name, listener] : dependency_listeners_) {
      auto capitals = name;
      for (auto& c : capitals) c = char(c - 'a' + 'A');
      for (auto at = text.find(capitals); at != std::string::npos; at = text.find(capitals))
        text.replace(at, capitals.size(), std::to_string(listener.local_endpoint().port()));
    }
    const auto document = typed_config::parse(text, cue.filename().string());
    if (const auto* error = std::get_if<typed_config::Error>(&document)) return operators::Errors{*error};
    return operators::from_document(std::get<typed_config::Document>(document));
  }
  template <class Protocol>
  static typename Protocol::endpoint any_port() {
    return {asio::ip::make_address("127.0.0.1"), 0};
  }
  std::string json() {
    set_receive_timeout(announce_);
    return fill_in_ports(read_file(directory_ / "config.json"), kernel_listener_, announce_);
  }
  template <class Socket>
  static void set_receive_timeout(Socket& socket) {
    const timeval timeout{kTimeoutSeconds, 0};
    ::setsockopt(socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
  }
  // Moves the clock and waits until the edge actor has finished a step at the new time. Otherwise input that
  // the script sends next could be handled in one batch with the timers that expired, and its response would
  // carry the hint from before them.
  void advance(std::int64_t ms) {
    elapsed_ms_ += ms;
    asio::post(context_, [&] {
      REQUIRE(server_->edge_actor().mailbox().post(
          edge::PeerDisconnected{}));  // an unknown peer: only wakes the edge actor
    });
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(kTimeoutSeconds);
    for (bool stepped = false; !stepped; std::this_thread::yield()) {
      REQUIRE(std::chrono::steady_clock::now() < deadline);
      std::promise<bool> result;  // set on the server's thread, between two steps
      asio::post(context_, [&] { result.set_value(handled_ms_ == elapsed_ms_); });
      stepped = result.get_future().get();
    }
  }
  void expect_report(const std::string& expected) {
    std::string report;
    do {
      char bytes[256];
      const auto n = ::recv(announce_.native_handle(), bytes, sizeof bytes, 0);
      REQUIRE(n > 0);
      report.assign(bytes, std::size_t(n));
    } while (report == last_report_);
    last_report_ = report;
    CHECK(report == expected);
  }

  std::filesystem::path directory_;
  asio::io_context io_, context_{1};
  tcp::acceptor kernel_listener_;
  udp::socket announce_;
  std::map<std::string, tcp::acceptor> dependency_listeners_;
  std::atomic<std::int64_t> elapsed_ms_ = 0;
  std::int64_t handled_ms_ = 0;  // used on the server's thread only
  std::optional<Server> server_;
  tcp::endpoint client_endpoint_;
  std::thread thread_;
  std::map<std::string, tcp::socket> sockets_;
  std::string last_report_;
};

// Starts the program as the platform does. A signal without a handler would end the process.
TEST_CASE("SIGHUP connects the running process to a new kernel, and an invalid file changes nothing") {
  bool with_operator = false;
  SUBCASE("as the platform starts it") {}
  SUBCASE("with an operator file") { with_operator = true; }
  asio::io_context io;
  const tcp::endpoint any(asio::ip::make_address("127.0.0.1"), 0);
  tcp::acceptor kernel(io, any);
  const udp::socket announce(io, udp::endpoint(any.address(), 0));
  const auto json = read_file(std::filesystem::path(EXCHANGES) / "config.json");
  char path[] = "/tmp/granitegap-test-XXXXXX";
  const int fd = ::mkstemp(path);
  REQUIRE(fd >= 0);
  ::close(fd);
  const auto write = [&](const std::string& text) { std::ofstream(path, std::ios::binary) << text; };
  write(fill_in_ports(json, kernel, announce));
  const auto operator_file = std::string(path) + ".cue";
  std::ofstream(operator_file) << "version: 1\ndependencies: []\ngathers: []\n";
  const auto process = ::fork();
  if (process == 0) {
    ::setenv("EDGE_CONFIG", path, 1);
    if (with_operator)
      ::execl(PROGRAM, PROGRAM, "serve", "--log", "json", "--operator", operator_file.c_str(), nullptr);
    ::execl(PROGRAM, PROGRAM, nullptr);
    ::_exit(127);
  }
  const auto accept_kernel_link = [&] {
    auto link = kernel.accept();
    std::string received(8, '\0');
    asio::read(link, asio::buffer(received));
    CHECK(received == "OPEN 0\r\n");
    return link;
  };
  const auto first = accept_kernel_link();
  write("{");
  std::ofstream(operator_file) << "version: ";
  ::kill(process, SIGHUP);
  kernel = tcp::acceptor(io, any);
  write(fill_in_ports(json, kernel, announce));
  ::kill(process, SIGHUP);
  ::kill(process, SIGHUP);
  const auto second = accept_kernel_link();
  ::kill(process, SIGTERM);
  int status = 0;
  CHECK(::waitpid(process, &status, 0) == process);
  CHECK(status == 0);
  std::filesystem::remove(path);
  std::filesystem::remove(operator_file);
}

// The mailbox is refilled continuously, as under a load that the edge actor cannot keep up with.
TEST_CASE("the admin listener replies while the mailbox of the edge actor is full") {
  asio::io_context io, context(1);
  const tcp::acceptor kernel(io, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
  const udp::socket announce(io, udp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
  auto config = config::parse(
      fill_in_ports(read_file(std::filesystem::path(EXCHANGES) / "config.json"), kernel, announce));
  REQUIRE(std::holds_alternative<config::Config>(config));
  Server::Options options;
  options.admin = config::Endpoint{"127.0.0.1", 0};
  Server server(context, std::move(std::get<config::Config>(config)), std::move(options));
  server.start();
  bool finished = false;
  std::size_t refill_count = 0;
  std::function<void()> refill = [&] {
    while (server.edge_actor().mailbox().post(edge::PeerDisconnected{})) {
    }
    ++refill_count;
    if (!finished) asio::post(context, refill);
  };
  asio::post(context, refill);
  std::thread loop([&] { context.run(); });
  for (const auto& [command, expected] : {std::pair<std::string, std::string>{"health\n", "ERR starting\n"},
                                          {"quiesce\n", "OK quiesced\n"},
                                          {"resume\n", "OK starting\n"}}) {
    tcp::socket caller(io);
    caller.connect({asio::ip::make_address("127.0.0.1"), server.admin_endpoint()->port()});
    const timeval timeout{kTimeoutSeconds, 0};
    ::setsockopt(caller.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
    asio::write(caller, asio::buffer(command));
    std::string reply(expected.size(), '\0');
    boost::system::error_code error;
    for (std::size_t size = 0; size < reply.size() && !error;)
      size += caller.read_some(asio::buffer(reply.data() + size, reply.size() - size), error);
    CHECK(reply == expected);
  }
  asio::post(context, [&] {
    finished = true;
    context.stop();
  });
  loop.join();
  CHECK(refill_count > 0);
}

TEST_CASE("recorded exchanges") {
  const std::filesystem::path directory = EXCHANGES;
  std::size_t exchange_count = 0;
  for (const auto& entry : std::filesystem::directory_iterator(directory)) {
    if (entry.path().extension() != ".txt") continue;
    ++exchange_count;
    SUBCASE(entry.path().filename().c_str()) {
      INFO("exchange ", entry.path().filename().string());
      ExchangeRunner runner(entry.path());
      std::istringstream lines(read_file(entry.path()));
      int line_number = 0;
      for (std::string line; std::getline(lines, line);) {
        ++line_number;
        if (line.empty() || line.starts_with('#')) continue;
        INFO("line ", line_number, ": ", line);
        runner.run_line(line);
      }
    }
  }
  CHECK(exchange_count > 0);
}

}  // namespace
}  // namespace granitegap
