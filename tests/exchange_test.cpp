// Plays recorded byte exchanges (tests/exchanges/*.txt) against the whole program on loopback sockets and
// compares every byte it sends. The clock the program decides by stands still unless a script moves it, so
// that what it answers never depends on the machine's pace.
//
//   kernel > TEXT     bytes to the program on the kernel's link (a new one after `kernel drop`)
//   NAME > ...        bytes to the program on the client proxy's connection NAME
//   kernel < TEXT, NAME < ...   exactly these bytes come next
//   NAME < end        the program ends the connection
//   NAME close, NAME reset   the client proxy goes, or its connection is reset
//   announce < TEXT   the next report that differs from the one before
//   advance MS        moves the clock, and has the program look at it
//   repeat N LINE     the line N times, with # in it counting from 1
//   drain, left       the notice to leave; the program has ended by itself
//   reload            a new configuration: the kernel and the list stand at new addresses
//   redeclare FILE    a new operator's file
// An exchange with a .cue beside it of the same name is played with that as the operator's file. ELEVATION,
// NAMES and SPARE in it are doors of stand-in dependencies; a name that begins with one of these in small
// letters is a connection that comes in by that door, taken when it is first named:
//   elevation < TEXT, elevation > TEXT, elevation < end, elevation close, elevation reset   as above
// Text takes the escapes \r \n \\ \xHH. A proxy's bytes are `raw HEX` or a frame whose length is filled in:
//   frame TYPE STREAM [code N] NAME=VALUE... [| BODY]      t0=@MS counts from the clock's start
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
constexpr int kHangSeconds = 20;  // ends a test that waits for what never comes; proves nothing else

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

std::string number(std::size_t value, int bytes) {
  std::string out;
  for (int i = bytes - 1; i >= 0; --i) out += char(value >> (8 * i) & 0xff);
  return out;
}

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
  out = number(std::size_t(type), 1) + number(stream, 4);
  while (words >> word) {
    if (word == "code") {
      words >> word;
      out += number(std::stoul(word), 1);
      continue;
    }
    const auto eq = word.find('=');
    auto value = word.substr(eq + 1);
    if (value.starts_with('@')) value = std::to_string(kUnixStart + std::stoll(value.substr(1)));
    fields += number(eq, 1);
    fields += word.substr(0, eq);
    fields += number(value.size(), 2);
    fields += value;
    ++count;
  }
  if (type != 9) out += number(std::size_t(count), 1);
  out += fields;
  if (bar != std::string::npos) out += unescape(line.substr(bar + 3));
  return number(out.size(), 4).append(out);
}

std::string shown(const std::string& bytes) {
  std::string out;
  for (const char c : bytes) {
    char hex[8];
    std::snprintf(hex, sizeof hex, "\\x%02x", unsigned(std::uint8_t(c)));
    out += c >= ' ' && c < 127 ? std::string(1, c) : std::string(hex);
  }
  return out;
}

std::string fill(std::string json, const tcp::acceptor& kernel, const udp::socket& announce) {
  const auto put = [&](const std::string& name, unsigned port) {
    json.replace(json.find(name), name.size(), std::to_string(port));
  };
  put("KERNEL", kernel.local_endpoint().port());
  put("ANNOUNCE", announce.local_endpoint().port());
  return json;
}

class Play {
 public:
  // `script`: the exchange; the folder it is in has the rest.
  explicit Play(const std::filesystem::path& script)
      : folder_(script.parent_path()), kernel_door_(io_, any_port<tcp>()), announce_(io_, any_port<udp>()) {
    auto config = config::parse(json());
    REQUIRE(std::holds_alternative<config::Config>(config));
    for (const auto* door : {"elevation", "names", "spare"})
      doors_.emplace(door, tcp::acceptor(io_, any_port<tcp>()));
    Server::Options options;
    if (const auto cue = std::filesystem::path(script).replace_extension(".cue");
        std::filesystem::exists(cue)) {
      auto read = declared(cue);
      REQUIRE(std::holds_alternative<operators::OperatorConfig>(read));
      options.declared = std::get<operators::OperatorConfig>(std::move(read));
      REQUIRE(
          operators::resolve_classes(*options.declared, std::get<config::Config>(config).catalog).empty());
    }
    const auto start = std::chrono::steady_clock::now() + std::chrono::hours(24);
    server_.emplace(context_, std::move(std::get<config::Config>(config)), std::move(options), [this, start] {
      const auto steady = std::chrono::duration_cast<Duration>(start.time_since_epoch());
      const std::int64_t passed = passed_;
      looked_at_ = passed;
      return edge::Now{TimePoint(steady + milliseconds(passed)),
                       edge::UnixTime(milliseconds(kUnixStart + passed))};
    });
    server_->start();
    door_ = server_->local_endpoint();
    thread_ = std::thread([this] { context_.run(); });
  }
  ~Play() {
    context_.stop();
    thread_.join();
  }
  Play(const Play&) = delete;
  Play& operator=(const Play&) = delete;

  void line(const std::string& text) {
    std::istringstream words(text);
    std::string who, verb, rest;
    words >> who >> verb;
    std::getline(words >> std::ws, rest);
    if (who == "repeat") {
      const auto count = std::stoi(verb);
      for (int i = 1; i <= count; ++i) {
        auto one = rest;
        if (const auto at = one.find('#'); at != std::string::npos) one.replace(at, 1, std::to_string(i));
        line(one);
      }
      return;
    }
    if (who == "advance") return advance(std::stoll(verb));
    if (who == "drain") return asio::post(context_, [this] { server_->drain(); });
    if (who == "reload") {
      kernel_door_ = tcp::acceptor(io_, any_port<tcp>());
      announce_ = udp::socket(io_, any_port<udp>());
      last_report_.clear();
      sockets_.erase("kernel");
      return asio::post(context_, [this, json = json()] { server_->reload(config::parse(json)); });
    }
    if (who == "redeclare")
      return asio::post(context_, [this, fresh = declared(folder_ / verb)] { server_->reload(fresh); });
    if (who == "left") {
      thread_.join();
      thread_ = std::thread([] {});
      return;
    }
    if (who == "announce") return announced(rest);
    if (who == "kernel" && verb != "drop" && !sockets_.count(who)) {
      limit(kernel_door_);
      sockets_.emplace(who, kernel_door_.accept());
    }
    for (auto& [name, door] : doors_)
      if (who.starts_with(name) && !sockets_.count(who)) {
        limit(door);
        sockets_.emplace(who, door.accept());
      }
    if (who != "kernel" && !sockets_.count(who)) {
      tcp::socket socket(io_);
      socket.connect(door_);
      sockets_.emplace(who, std::move(socket));
    }
    if (verb == "reset") {  // by name: the destructor would undo the option and close in peace
      sockets_.at(who).set_option(asio::socket_base::linger(true, 0));
      sockets_.at(who).close();
    }
    if (verb == "close" || verb == "drop" || verb == "reset") {
      sockets_.erase(who);
      return;
    }
    auto& socket = sockets_.at(who);
    limit(socket);
    if (verb == "<" && rest == "end") {
      char byte = 0;
      CHECK(::recv(socket.native_handle(), &byte, 1, 0) == 0);
      return;
    }
    const bool frames = who != "kernel" && !from_below(who);
    const auto bytes = frames ? proxy_bytes(rest) : unescape(rest);
    if (verb == ">") {
      asio::write(socket, asio::buffer(bytes));
    } else {
      std::string got(bytes.size(), '\0');
      std::size_t have = 0;
      while (have < got.size()) {
        const auto n = ::recv(socket.native_handle(), got.data() + have, got.size() - have, 0);
        if (n <= 0) break;
        have += std::size_t(n);
      }
      got.resize(have);
      REQUIRE(shown(got) == shown(bytes));
    }
  }

 private:
  bool from_below(const std::string& who) const {
    return std::any_of(doors_.begin(), doors_.end(), [&](const auto& d) { return who.starts_with(d.first); });
  }
  std::variant<operators::OperatorConfig, operators::Errors> declared(const std::filesystem::path& cue) {
    auto text = read_file(cue);
    for (const auto& [name, door] : doors_) {
      auto capitals = name;
      for (auto& c : capitals) c = char(c - 'a' + 'A');
      for (auto at = text.find(capitals); at != std::string::npos; at = text.find(capitals))
        text.replace(at, capitals.size(), std::to_string(door.local_endpoint().port()));
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
    limit(announce_);
    return fill(read_file(folder_ / "config.json"), kernel_door_, announce_);
  }
  template <class Socket>
  static void limit(Socket& socket) {
    const timeval hang{kHangSeconds, 0};
    ::setsockopt(socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &hang, sizeof hang);
  }
  // Until the module has ended a step at the new time: what the script sends next must not come in the same
  // batch as the timers that fell due, as its answer would then carry the hint from before them.
  void advance(std::int64_t by) {
    passed_ += by;
    asio::post(context_, [&] {
      REQUIRE(server_->edge_actor().mailbox().post(
          edge::PeerDisconnected{}));  // no such peer: only wakes the module
    });
    const auto hang = std::chrono::steady_clock::now() + std::chrono::seconds(kHangSeconds);
    for (bool over = false; !over; std::this_thread::yield()) {
      REQUIRE(std::chrono::steady_clock::now() < hang);
      std::promise<bool> stepped;  // asked on the program's own thread: no step is half done then
      asio::post(context_, [&] { stepped.set_value(looked_at_ == passed_); });
      over = stepped.get_future().get();
    }
  }
  void announced(const std::string& expected) {
    std::string got;
    do {
      char bytes[256];
      const auto n = ::recv(announce_.native_handle(), bytes, sizeof bytes, 0);
      REQUIRE(n > 0);
      got.assign(bytes, std::size_t(n));
    } while (got == last_report_);
    last_report_ = got;
    CHECK(got == expected);
  }

  std::filesystem::path folder_;
  asio::io_context io_, context_{1};
  tcp::acceptor kernel_door_;
  udp::socket announce_;
  std::map<std::string, tcp::acceptor> doors_;
  std::atomic<std::int64_t> passed_ = 0;
  std::int64_t looked_at_ = 0;  // the program's thread only
  std::optional<Server> server_;
  tcp::endpoint door_;
  std::thread thread_;
  std::map<std::string, tcp::socket> sockets_;
  std::string last_report_;
};

// The process as the platform starts it. Guards against a signal that nothing handles, which ends it.
TEST_CASE("SIGHUP moves the running process to a new kernel, and a bad file leaves it where it is") {
  bool with_operator = false;
  SUBCASE("as the platform starts it") {}
  SUBCASE("with an operator's file") { with_operator = true; }
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
  write(fill(json, kernel, announce));
  const auto declared = std::string(path) + ".cue";
  std::ofstream(declared) << "version: 1\ndependencies: []\ngathers: []\n";
  const auto process = ::fork();
  if (process == 0) {
    ::setenv("EDGE_CONFIG", path, 1);
    if (with_operator)
      ::execl(PROGRAM, PROGRAM, "serve", "--log", "json", "--operator", declared.c_str(), nullptr);
    ::execl(PROGRAM, PROGRAM, nullptr);
    ::_exit(127);
  }
  const auto opened = [&] {
    auto link = kernel.accept();
    std::string got(8, '\0');
    asio::read(link, asio::buffer(got));
    CHECK(got == "OPEN 0\r\n");
    return link;
  };
  const auto first = opened();
  write("{");
  std::ofstream(declared) << "version: ";
  ::kill(process, SIGHUP);
  kernel = tcp::acceptor(io, any);
  write(fill(json, kernel, announce));
  ::kill(process, SIGHUP);
  ::kill(process, SIGHUP);
  const auto second = opened();
  ::kill(process, SIGTERM);
  int status = 0;
  CHECK(::waitpid(process, &status, 0) == process);
  CHECK(status == 0);
  std::filesystem::remove(path);
  std::filesystem::remove(declared);
}

// As under a load that the module never gets to the end of.
TEST_CASE("the operators' door answers while the module's mailbox is full") {
  asio::io_context io, context(1);
  const tcp::acceptor kernel(io, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
  const udp::socket announce(io, udp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
  auto config =
      config::parse(fill(read_file(std::filesystem::path(EXCHANGES) / "config.json"), kernel, announce));
  REQUIRE(std::holds_alternative<config::Config>(config));
  Server::Options options;
  options.admin = config::Endpoint{"127.0.0.1", 0};
  Server server(context, std::move(std::get<config::Config>(config)), std::move(options));
  server.start();
  bool over = false;
  std::size_t seen_full = 0;
  std::function<void()> refill = [&] {
    while (server.edge_actor().mailbox().post(edge::PeerDisconnected{})) {
    }
    ++seen_full;
    if (!over) asio::post(context, refill);
  };
  asio::post(context, refill);
  std::thread loop([&] { context.run(); });
  for (const auto& [call, expected] : {std::pair<std::string, std::string>{"health\n", "ERR starting\n"},
                                       {"quiesce\n", "OK quiesced\n"},
                                       {"resume\n", "OK starting\n"}}) {
    tcp::socket caller(io);
    caller.connect({asio::ip::make_address("127.0.0.1"), server.admin_endpoint()->port()});
    const timeval hang{kHangSeconds, 0};
    ::setsockopt(caller.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &hang, sizeof hang);
    asio::write(caller, asio::buffer(call));
    std::string got(expected.size(), '\0');
    boost::system::error_code error;
    for (std::size_t have = 0; have < got.size() && !error;)
      have += caller.read_some(asio::buffer(got.data() + have, got.size() - have), error);
    CHECK(got == expected);
  }
  asio::post(context, [&] {
    over = true;
    context.stop();
  });
  loop.join();
  CHECK(seen_full > 0);
}

TEST_CASE("recorded exchanges") {
  const std::filesystem::path folder = EXCHANGES;
  std::size_t played = 0;
  for (const auto& entry : std::filesystem::directory_iterator(folder)) {
    if (entry.path().extension() != ".txt") continue;
    ++played;
    SUBCASE(entry.path().filename().c_str()) {
      INFO("exchange ", entry.path().filename().string());
      Play play(entry.path());
      std::istringstream lines(read_file(entry.path()));
      int at = 0;
      for (std::string line; std::getline(lines, line);) {
        ++at;
        if (line.empty() || line.starts_with('#')) continue;
        INFO("line ", at, ": ", line);
        play.line(line);
      }
    }
  }
  CHECK(played > 0);
}

}  // namespace
}  // namespace granitegap
