// Stand-ins for a review case: the kernel, client proxies, a network between both ends, the announce service
// and the platform that starts and ends a tile server. All of them live in one process and one thread, on
// loopback addresses and the real clock. They follow the operators' protocol page.
//
// Usage: build the parts, then call World::step() in a loop. Each call waits for at most about a millisecond.
#pragma once
#include <arpa/inet.h>
#include <dirent.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cmath>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace review {

inline constexpr char kHost[] = "127.0.0.1";

// Unix time in milliseconds.
inline double unix_ms() {
  const auto since = std::chrono::system_clock::now().time_since_epoch();
  return double(std::chrono::duration_cast<std::chrono::microseconds>(since).count()) / 1000;
}

// Ends the case as one that could not run.
[[noreturn]] inline void cannot_run(const std::string& why) {
  std::fprintf(stderr, "cannot run: %s\n", why.c_str());
  std::exit(2);
}

// The file record.txt: what was sent, answered and run. Times are milliseconds since the case began.
class Record {
 public:
  explicit Record(const char* path) : file_(std::fopen(path, "w")), began_(unix_ms()) {
    if (!file_) cannot_run("the record cannot be written");
  }
  __attribute__((format(printf, 2, 3))) void line(const char* format, ...) {
    std::fprintf(file_, "%9.1f ", unix_ms() - began_);
    va_list arguments;
    va_start(arguments, format);
    std::vfprintf(file_, format, arguments);
    va_end(arguments);
    std::fputc('\n', file_);
    std::fflush(file_);
  }

 private:
  std::FILE* file_;
  double began_;
};

inline sockaddr_in address_of(std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  inet_pton(AF_INET, kHost, &address.sin_addr);
  return address;
}

inline int open_socket(int type) {
  const int fd = ::socket(AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) cannot_run("no socket");
  return fd;
}

// A socket bound to a free port; the port is returned in `port`. Port 0 asks for any.
inline int open_bound(int type, std::uint16_t& port) {
  const int fd = open_socket(type);
  const int on = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  auto address = address_of(port);
  socklen_t size = sizeof address;
  if (::bind(fd, reinterpret_cast<sockaddr*>(&address), size) != 0) cannot_run("no free port");
  if (type == SOCK_STREAM && ::listen(fd, 256) != 0) cannot_run("no listener");
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  port = ntohs(address.sin_port);
  return fd;
}

// A port that nothing uses at the moment.
inline std::uint16_t free_port() {
  std::uint16_t port = 0;
  ::close(open_bound(SOCK_STREAM, port));
  return port;
}

inline void no_delay(int fd) {
  const int on = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

// A TCP connection with unbounded buffers.
struct Stream {
  int fd = -1;
  bool connecting = false;
  bool ended = false;  // end of input, or an error
  bool shut = false;   // the sending side is closed
  std::string in, out;

  explicit Stream(int connected = -1) : fd(connected) {
    if (fd >= 0) no_delay(fd);
  }
  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;
  ~Stream() { close(); }
  void close() {
    if (fd >= 0) ::close(fd);
    fd = -1;
  }
  void connect(std::uint16_t port) {
    fd = open_socket(SOCK_STREAM);
    no_delay(fd);
    const auto address = address_of(port);
    if (::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
      connecting = errno == EINPROGRESS;
      ended = !connecting;
    }
  }
  // Reads and writes what is possible without waiting.
  void pump() {
    if (fd < 0) return;
    if (connecting) {
      pollfd ready{fd, POLLOUT, 0};
      if (::poll(&ready, 1, 0) <= 0) return;
      int error = 0;
      socklen_t size = sizeof error;
      ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size);
      connecting = false;
      if (error) ended = true;
    }
    while (!out.empty() && !ended) {
      const auto sent = ::send(fd, out.data(), out.size(), MSG_NOSIGNAL);
      if (sent <= 0) {
        if (errno != EAGAIN && errno != EINTR) ended = true;
        break;
      }
      out.erase(0, std::size_t(sent));
    }
    char chunk[16384];
    while (!ended) {
      const auto got = ::recv(fd, chunk, sizeof chunk, 0);
      if (got > 0) {
        in.append(chunk, std::size_t(got));
        continue;
      }
      if (got == 0 || (errno != EAGAIN && errno != EINTR)) ended = true;
      break;
    }
  }
};

// ---- The wire format of client proxies ----

inline void put(std::string& to, std::uint64_t value, int bytes) {
  for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8) to += char(value >> shift & 0xff);
}
inline std::uint64_t take(const std::string& from, std::size_t at, int bytes) {
  std::uint64_t value = 0;
  for (int i = 0; i < bytes; ++i) value = value << 8 | std::uint8_t(from.at(at + std::size_t(i)));
  return value;
}

// One try of a request, and what became of it.
struct Try {
  std::string rid, cls, key, body;
  double work_ms = 0;      // on a standard core
  double deadline_ms = 0;  // of its class
  double t0 = 0;
  double written = 0;   // when its last byte was written; 0: not yet
  double answered = 0;  // when its first whole answer was read
  int code = -1;        // 0 served, 1 refused, 2 failed
  int answers = 0;
  bool wrong_result = false;  // served with what no run of its request made
  bool excused = false;       // its connection was never accepted, so that the server never had it
  int runs = 0;
  double first_run = 0;
  bool ended_without_answer = false;  // its connection ended first
  bool over(double now) const { return answers > 0 || ended_without_answer || now > t0 + deadline_ms; }
};
using TryPtr = std::shared_ptr<Try>;

inline std::string encode_request(const Try& request, std::uint32_t stream, int proxy) {
  char number[32];
  std::vector<std::pair<std::string, std::string>> fields;
  fields.emplace_back("method", request.cls);
  fields.emplace_back("rid", request.rid);
  std::snprintf(number, sizeof number, "%lld", (long long)request.t0);
  fields.emplace_back("t0", number);
  fields.emplace_back("peer", std::to_string(proxy));
  fields.emplace_back("acct", "turistaterkep");
  std::snprintf(number, sizeof number, "%.2f", request.work_ms);
  fields.emplace_back("est", number);
  fields.emplace_back("mem", "24.5");
  fields.emplace_back("prio", "0.5000");
  if (!request.key.empty()) fields.emplace_back("token", request.key);
  std::string payload;
  put(payload, 0, 1);
  put(payload, stream, 4);
  put(payload, fields.size(), 1);
  for (const auto& [name, value] : fields) {
    put(payload, name.size(), 1);
    payload += name;
    put(payload, value.size(), 2);
    payload += value;
  }
  payload += request.body;
  std::string frame;
  put(frame, payload.size(), 4);
  return frame + payload;
}

// The result that the kernel makes of a request.
inline std::string result_of(const std::string& cls, const std::string& body) { return cls + " of " + body; }

class Requests {
 public:
  explicit Requests(std::uint64_t seed) : first_seed(seed), random(seed) {}
  TryPtr make(const std::string& cls, double work_ms, double deadline_ms, std::string key = {},
              std::string body = {}) {
    auto request = std::make_shared<Try>();
    char rid[17];
    std::snprintf(rid, sizeof rid, "%016llx", (unsigned long long)random());
    request->rid = rid;
    request->cls = cls;
    request->key = std::move(key);
    request->body = body.empty() ? "body " + request->rid : std::move(body);
    request->work_ms = work_ms;
    request->deadline_ms = deadline_ms;
    all.push_back(request);
    by_rid[request->rid] = request;
    return request;
  }
  std::uint64_t first_seed;
  std::mt19937_64 random;
  std::vector<TryPtr> all;
  std::map<std::string, TryPtr> by_rid;
};

// ---- The kernel ----

class Kernel {
 public:
  Kernel(int cores, Requests& requests, Record& record)
      : cores_(cores), requests_(requests), record_(record), listener_(open_bound(SOCK_STREAM, port_)) {}
  ~Kernel() { ::close(listener_); }

  std::uint16_t port() const { return port_; }
  // Speed of a warm core, share of it right after the boot, and how long the cores take to become warm.
  void set_speed(double warm, double cold_share, double cold_ms) {
    warm_speed_ = warm;
    cold_share_ = cold_share;
    cold_ms_ = cold_ms;
  }
  void boot() {
    booted_at_ = unix_ms();
    last_tick_ = booted_at_;
    record_.line("kernel: up, cold");
    if (opened_) welcome();
  }
  // The machine dies: its runs and notices are gone, the link breaks.
  void die() {
    booted_at_ = 0;
    opened_ = false;
    runs_.clear();
    notices_.clear();
    next_number_ = 1;
    link_.reset();
    record_.line("kernel: dead");
  }
  bool opened() const { return opened_; }
  std::size_t running() const { return std::size_t(std::count_if(runs_.begin(), runs_.end(), on_core)); }

  void tick() {
    accept();
    if (link_) {
      link_->pump();
      while (link_ && read_command()) {
      }
    }
    if (booted_at_ > 0) advance(unix_ms());
    if (!link_) return;
    link_->pump();
    if (link_->ended) {
      link_.reset();
      opened_ = false;
    }
  }

 private:
  struct Run {
    double left_ms = 0, began = 0;
    bool paused = false;
  };
  static bool on_core(const std::pair<const std::string, Run>& run) { return !run.second.paused; }

  void accept() {
    for (;;) {
      const int fd = ::accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
      if (fd < 0) return;
      link_ = std::make_unique<Stream>(fd);  // a new link replaces the one before
      opened_ = false;
    }
  }
  double speed(double now) const {
    const double warm = cold_ms_ > 0 ? std::min(1.0, (now - booted_at_) / cold_ms_) : 1;
    return warm_speed_ * (cold_share_ + (1 - cold_share_) * warm);
  }
  void advance(double now) {
    const double passed = now - last_tick_;
    last_tick_ = now;
    const double runs = double(running());
    const double busy = std::min(runs, double(cores_));
    core_use_ += (busy / cores_ - core_use_) * std::min(1.0, passed / 500);
    if (runs == 0) return;
    const double share = passed * speed(now) * busy / runs;
    for (auto it = runs_.begin(); it != runs_.end();) {
      auto& [rid, run] = *it;
      if (!run.paused) run.left_ms -= share;
      if (run.left_ms > 0) {
        ++it;
        continue;
      }
      const auto& request = requests_.by_rid.at(rid);
      const auto result = result_of(request->cls, request->body);
      record_.line("kernel: %s run to its end", rid.c_str());
      notify(rid, "OK", now - run.began, result);
      it = runs_.erase(it);
    }
  }
  void notify(const std::string& rid, const char* end, double took, const std::string& result = {}) {
    char head[128];
    std::snprintf(head, sizeof head, "REAP %llu %s %s %.1f %zu\r\n", (unsigned long long)next_number_,
                  rid.c_str(), end, took, result.size());
    notices_[next_number_++] = head + result + "\r\n";
    if (opened_ && booted_at_ > 0) link_->out += notices_.rbegin()->second;
  }
  void welcome() {
    char line[64];
    std::snprintf(line, sizeof line, "BOOTED COLD %.0f\r\n", unix_ms() - booted_at_);
    link_->out += line;
    for (const auto& [number, text] : notices_)
      if (number > read_to_) link_->out += text;
  }
  bool read_command() {
    const auto end = link_->in.find("\r\n");
    if (end == std::string::npos) return false;
    char verb[16] = {}, id[64] = {}, cls[64] = {};
    std::size_t length = 0;
    const auto line = link_->in.substr(0, end);
    const int words = std::sscanf(line.c_str(), "%15s %63s %63s %zu", verb, id, cls, &length);
    if (std::string(verb) == "SCHED" && words == 4) {
      if (link_->in.size() < end + 2 + length + 2) return false;
      schedule(id, cls, link_->in.substr(end + 2, length));
      link_->in.erase(0, end + 2 + length + 2);
      return true;
    }
    link_->in.erase(0, end + 2);
    command(verb, id);
    return true;
  }
  void command(const std::string& verb, const std::string& id) {
    if (verb == "OPEN") {
      read_to_ = std::strtoull(id.c_str(), nullptr, 10);
      opened_ = true;
      if (booted_at_ > 0) welcome();
    } else if (verb == "SYSINFO") {
      char line[160];
      std::snprintf(line, sizeof line, "INFO %s %.3f %zu 0.1 4\r\n", id.c_str(), core_use_, running());
      link_->out += line;
    } else if (verb == "POST") {
      link_->out += "POSTED " + id + " OK\r\n";
    } else if (verb == "PREEMPT" || verb == "RESCHED") {
      const auto run = runs_.find(id);
      if (run == runs_.end()) return;
      const bool pause = verb == "PREEMPT";
      if (run->second.paused == pause) return;
      record_.line("kernel: %s %s", id.c_str(), pause ? "paused" : "resumed");
      run->second.paused = pause;
      if (!pause) return;
      notify(id, "STOPPED", unix_ms() - run->second.began);
      if (requests_.by_rid.at(id)->over(unix_ms())) runs_.erase(id);
    } else {
      link_.reset();  // no command
      opened_ = false;
    }
  }
  void schedule(const std::string& rid, const std::string& cls, const std::string& body) {
    const auto known = requests_.by_rid.find(rid);
    if (known == requests_.by_rid.end() || known->second->cls != cls || known->second->body != body) {
      link_->out += "EINVAL SCHED " + rid + "\r\n";
      return;
    }
    if (runs_.count(rid)) return;
    auto& request = *known->second;
    const double now = unix_ms();
    if (request.over(now)) return notify(rid, "MOOT", 0);
    if (request.runs++ == 0) request.first_run = now;
    record_.line("kernel: %s run begun, %.1f ms after it was written, %zu on the cores", rid.c_str(),
                 now - request.written, running() + 1);
    runs_[rid] = {request.work_ms, now, false};
  }

  int cores_;
  Requests& requests_;
  Record& record_;
  std::uint16_t port_ = 0;
  int listener_;
  std::unique_ptr<Stream> link_;
  bool opened_ = false;
  double booted_at_ = 0, last_tick_ = 0;
  double warm_speed_ = 1, cold_share_ = 1, cold_ms_ = 0, core_use_ = 0;
  std::uint64_t read_to_ = 0, next_number_ = 1;
  std::map<std::string, Run> runs_;
  std::map<std::uint64_t, std::string> notices_;
};

// ---- The network between client proxies and a tile server ----

// Carries connections from its own port to another one. While it is cut, nothing passes in either direction
// and no connection is made; what was sent meanwhile arrives afterwards, as TCP would repeat it.
class Network {
 public:
  explicit Network(std::uint16_t to) : to_(to), listener_(open_bound(SOCK_STREAM, port_)) {}
  ~Network() { ::close(listener_); }
  std::uint16_t port() const { return port_; }
  void cut(bool now) { cut_ = now; }

  void tick() {
    if (cut_) return;
    for (;;) {
      const int fd = ::accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
      if (fd < 0) break;
      pairs_.push_back(std::make_unique<Pair>(fd));
      pairs_.back()->far.connect(to_);
    }
    for (auto& pair : pairs_) {
      carry(pair->near, pair->far);
      carry(pair->far, pair->near);
    }
    std::erase_if(pairs_, [](const auto& pair) { return pair->near.shut && pair->far.shut; });
  }

 private:
  struct Pair {
    explicit Pair(int fd) : near(fd) {}
    Stream near, far;
  };
  static void carry(Stream& from, Stream& to) {
    from.pump();
    to.out += from.in;
    from.in.clear();
    to.pump();
    if (!from.ended || !to.out.empty() || to.shut) return;
    ::shutdown(to.fd, SHUT_WR);
    to.shut = true;
  }
  std::uint16_t to_, port_ = 0;
  int listener_;
  bool cut_ = false;
  std::vector<std::unique_ptr<Pair>> pairs_;
};

// ---- Client proxies ----

// How long before the end of its connection a request may be written and is sent again on a new one.
inline constexpr double kCrossingMs = 50;

// One connection of a client proxy. It opens at most 32 requests, reads all answers, and sends nothing new
// after type 9.
class Connection {
 public:
  Connection(std::uint16_t port, int proxy, Record& record) : proxy_(proxy), record_(record) {
    stream_.connect(port);
  }
  bool usable() const { return !stream_.ended && !told_to_leave_ && open_.size() < 32; }
  std::size_t open() const { return open_.size(); }
  // Writes a request at once, or in pieces of `piece` bytes, one in each `pause_ms`.
  void send(const TryPtr& request, std::size_t piece = 0, double pause_ms = 0) {
    const auto stream = ++last_stream_;
    request->t0 = unix_ms();
    open_[stream] = request;
    record_.line("proxy %d: %s sent, %s%s%s", proxy_, request->rid.c_str(), request->cls.c_str(),
                 request->key.empty() ? "" : " key ", request->key.c_str());
    auto bytes = encode_request(*request, stream, proxy_);
    if (piece == 0) piece = bytes.size();
    for (std::size_t at = 0; at < bytes.size(); at += piece) {
      const bool last = at + piece >= bytes.size();
      pieces_.push_back(
          {bytes.substr(at, piece), at == 0 && pieces_.empty() ? 0 : pause_ms, last ? request : nullptr});
    }
  }
  bool writing() const { return !pieces_.empty(); }

  void tick() {
    const double now = unix_ms();
    while (!pieces_.empty() && !stream_.ended && now >= last_piece_ + pieces_.front().pause_ms) {
      auto& piece = pieces_.front();
      stream_.out += piece.bytes;
      if (piece.completes) piece.completes->written = now;
      last_piece_ = now;
      pieces_.pop_front();
    }
    stream_.pump();
    was_up_ = was_up_ || (!stream_.connecting && !stream_.ended);
    while (read_frame()) {
    }
    // After type 9 the proxy closes the connection once everything on it is answered.
    if (told_to_leave_ && open_.empty() && pieces_.empty()) stream_.ended = true;
    if (!stream_.ended || closed_) return;
    closed_ = true;
    stream_.close();
    for (const auto& [stream, request] : open_) {
      request->ended_without_answer = true;
      // Not the server's: a request whose last byte the proxy never wrote, one on a connection that was
      // refused, and one that crosses the end of the connection within 50 ms, which the proxy sends again
      // elsewhere.
      request->excused = request->written == 0 || !was_up_ || now - request->written <= kCrossingMs;
      record_.line("proxy %d: %s has NO ANSWER, its connection ended%s", proxy_, request->rid.c_str(),
                   request->excused ? " (excused)" : "");
    }
    open_.clear();
  }
  bool closed() const { return closed_; }
  bool ended() const { return stream_.ended; }

 private:
  struct Piece {
    std::string bytes;
    double pause_ms;
    TryPtr completes;
  };
  bool read_frame() {
    auto& in = stream_.in;
    if (in.size() < 9) return false;
    const auto length = std::size_t(take(in, 0, 4));
    if (in.size() < 4 + length) return false;
    const int type = int(take(in, 4, 1));
    const auto stream = std::uint32_t(take(in, 5, 4));
    const auto payload = in.substr(9, length - 5);
    in.erase(0, 4 + length);
    if (type == 9) {
      told_to_leave_ = true;
      record_.line("proxy %d: told to send nothing new on a connection (type 9)", proxy_);
    }
    if (type != 1) return true;
    if (stream == 0) {
      std::size_t at = 2;  // the code, and the count of fields, which is 0
      record_.line("proxy %d: error on stream 0: %s", proxy_, payload.substr(at).c_str());
      return true;
    }
    answer(stream, payload);
    return true;
  }
  void answer(std::uint32_t stream, const std::string& payload) {
    const auto found = open_.find(stream);
    if (found == open_.end()) {
      if (answered_.count(stream)) ++answered_[stream]->answers;
      record_.line("proxy %d: an answer on stream %u, which is not open", proxy_, stream);
      return;
    }
    auto request = found->second;
    open_.erase(found);
    answered_[stream] = request;
    ++request->answers;
    request->answered = unix_ms();
    request->code = int(take(payload, 0, 1));
    std::size_t at = 2;
    for (auto fields = take(payload, 1, 1); fields > 0; --fields) {
      at += 1 + std::size_t(take(payload, at, 1));
      at += 2 + std::size_t(take(payload, at, 2));
    }
    const auto body = payload.substr(at);
    if (request->code == 0) request->wrong_result = body != result_of(request->cls, request->body);
    const char* names[] = {"served", "refused", "failed"};
    record_.line("proxy %d: %s %s after %.1f ms%s", proxy_, request->rid.c_str(),
                 request->code <= 2 ? names[request->code] : "?", request->answered - request->t0,
                 request->wrong_result ? " with a WRONG RESULT" : "");
  }

  int proxy_;
  Record& record_;
  Stream stream_;
  std::uint32_t last_stream_ = 0;
  bool told_to_leave_ = false, closed_ = false, was_up_ = false;
  double last_piece_ = 0;
  std::deque<Piece> pieces_;
  std::map<std::uint32_t, TryPtr> open_, answered_;
};

// ---- The announce service ----

class Announce {
 public:
  Announce() : socket_(open_bound(SOCK_DGRAM, port_)) {}
  ~Announce() { ::close(socket_); }
  std::uint16_t port() const { return port_; }
  void tick(Record& record) {
    char text[256];
    for (;;) {
      const auto size = ::recv(socket_, text, sizeof text - 1, 0);
      if (size <= 0) return;
      text[size] = 0;
      if (text == newest_) continue;
      newest_ = text;
      record.line("announce service: %s", text);
    }
  }
  const std::string& newest() const { return newest_; }

 private:
  std::uint16_t port_ = 0;
  int socket_;
  std::string newest_;
};

// ---- The platform ----

// A process that the platform started with a command of the deploy file, by the shell, from the root.
class Process {
 public:
  // `inherited`: a listening socket that the process finds as descriptor 3; -1: none.
  Process(const std::string& root, const std::string& command,
          const std::vector<std::pair<std::string, std::string>>& environment, const std::string& log,
          int inherited = -1) {
    pid_ = ::fork();
    if (pid_ < 0) cannot_run("no process");
    if (pid_ > 0) return;
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    ::dup2(out, 1);
    ::dup2(out, 2);
    if (inherited >= 0) {
      const int copy = ::fcntl(inherited, F_DUPFD, 10);
      ::dup2(copy, 3);
      ::close(copy);
    }
    for (const auto& [name, value] : environment) ::setenv(name.c_str(), value.c_str(), 1);
    if (::chdir(root.c_str()) == 0) ::execl("/bin/sh", "sh", "-c", command.c_str(), nullptr);
    ::_exit(127);
  }
  pid_t pid() const { return pid_; }
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;
  ~Process() {
    if (ended()) return;
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, nullptr, 0);
  }
  void signal(int number) {
    if (!ended()) ::kill(pid_, number);
  }
  // Whether the process has ended; its status is then in status().
  bool ended() {
    if (!ended_ && ::waitpid(pid_, &status_, WNOHANG) == pid_) ended_ = true;
    return ended_;
  }
  int status() const { return status_; }

 private:
  pid_t pid_ = -1;
  bool ended_ = false;
  int status_ = 0;
};

// The sockets that a process holds, by the system's number of each.
inline std::set<std::string> sockets_of(pid_t pid) {
  std::set<std::string> sockets;
  const auto folder = "/proc/" + std::to_string(pid) + "/fd";
  DIR* directory = ::opendir(folder.c_str());
  if (!directory) return sockets;
  while (const dirent* entry = ::readdir(directory)) {
    char target[64] = {};
    const auto path = folder + "/" + entry->d_name;
    if (::readlink(path.c_str(), target, sizeof target - 1) > 0 && std::strncmp(target, "socket:", 7) == 0)
      sockets.insert(target);
  }
  ::closedir(directory);
  return sockets;
}

// Sends one call to the operators' door; the answer, or an empty text if there is none within a second.
inline std::string admin_call(std::uint16_t port, const std::string& call) {
  Stream door;
  door.connect(port);
  door.out = call + "\n";
  for (const double until = unix_ms() + 1000; unix_ms() < until && !door.ended;) {
    door.pump();
    const auto end = door.in.find('\n');
    if (end != std::string::npos) return door.in.substr(0, end);
    ::usleep(500);
  }
  return {};
}

// The value of a key of deploy/balancer.toml.
inline std::string deploy_command(const std::string& root, const std::string& key) {
  const auto path = root + "/deploy/balancer.toml";
  std::FILE* file = std::fopen(path.c_str(), "r");
  if (!file) cannot_run("no deploy file");
  char line[4096];
  std::string value;
  while (std::fgets(line, sizeof line, file)) {
    const std::string text = line;
    if (text.rfind(key + " = \"", 0) != 0) continue;
    const auto from = text.find('"') + 1;
    value = text.substr(from, text.find('"', from) - from);
  }
  std::fclose(file);
  if (value.empty()) cannot_run("no key " + key + " in the deploy file");
  return value;
}

// The configuration of a tile server of a small deployment.
struct Site {
  std::string name = "n1";
  std::uint16_t listen = 0, kernel = 0, announce = 0;
  int stop_ms = 3200, cores = 6, sockets = 1024;
  double cold_ms = 18000, window_ms = 8949;

  std::string text(std::uint64_t seed) const {
    char text[4096];
    std::snprintf(text, sizeof text,
                  R"json({"name":"%s","listen":"%s:%u","kernel":"%s:%u","announce":"%s:%u",
"seed":"%016llx","stop_ms":%d,"limits":{"cores":1.0,"memory_mb":192,"sockets":%d},
"settings":{"servers":12,"tick_ms":2.0,"layer":0,"slot_no":8,"worth_by":"work","over_share_worth":0.1,
"classes":[
 {"name":"tile","effect":"retryable","worth":1.0,"aim_ms":1900.0,"deadline_ms":4900.0,"late_worth":0.2,
  "repeat_window_ms":5000.0},
 {"name":"route-profile","effect":"retryable","worth":2.0,"aim_ms":1900.0,"deadline_ms":4900.0,
  "late_worth":0.0,"repeat_window_ms":5000.0},
 {"name":"trail-report","effect":"dedup","worth":5.0,"aim_ms":1200.0,"deadline_ms":3000.0,"late_worth":0.2,
  "repeat_window_ms":%.1f}],
"orgs":[{"name":"turistaterkep","share":1.0,"allowance_per_s":175.0}],
"limits":{"retry_after":true,"max_retry_after_ms":1000.0,"cpu_us_per_request":0.0,"cpu_us_per_s":60000},
"rules":{"answer_slack_ms":100.0,"cold_from":0.2,"cold_ms":%.1f,"drain_grace_ms":2000.0,"fall_ms":1500.0,
 "overload_factor":8.0},
"specifics":{"cpus":%d,"cold":false,"upstreams":3,"memory_kb":49134.0,"key_kb":205.58,"run_factor":8.0,
 "halt":"pause","say":"tokens","heeded_ms":1000.0,"idle_ms":15000.0,"deep_checks":true,"list_follows":true,
 "passes_deadline":false,"tells_gone":false,"downstream":"none","call_share":0.0,"fresh_ms":0.0,
 "gauges":["core_use","on_cores","heap_share","links"]}}})json",
                  name.c_str(), kHost, listen, kHost, kernel, kHost, announce, (unsigned long long)seed,
                  stop_ms, sockets, window_ms, cold_ms, cores);
    return text;
  }
  void write(const std::string& path, std::uint64_t seed) const {
    std::FILE* file = std::fopen(path.c_str(), "w");
    if (!file) cannot_run("the configuration cannot be written");
    const auto bytes = text(seed);
    std::fwrite(bytes.data(), 1, bytes.size(), file);
    std::fclose(file);
  }
};

// ---- What clients, the kernel and the platform saw, against the rules ----

// Slack of the settings and the 50 ms that the protocol page adds to each limit.
inline constexpr double kAnswerSlackMs = 100 + 50;

struct Verdict {
  std::size_t requests = 0, lost = 0, twice = 0, wrong = 0, rerun = 0;
};

// Counts requests without their one whole answer in time, requests answered twice, wrong results, and tries
// of a key that ran within the window of another one.
inline Verdict judge(const Requests& requests, double window_ms, Record& record) {
  Verdict verdict;
  std::map<std::string, std::vector<const Try*>> ran;
  for (const auto& request : requests.all) {
    if (request->written == 0 || request->excused) continue;
    ++verdict.requests;
    const bool late = request->answered > request->t0 + request->deadline_ms + kAnswerSlackMs;
    if (request->answers == 0 || late) {
      ++verdict.lost;
      record.line("judge: %s lost: %s", request->rid.c_str(), late ? "answered late" : "no answer");
    }
    verdict.twice += request->answers > 1;
    verdict.wrong += request->wrong_result;
    if (!request->key.empty() && request->runs > 0) ran[request->key].push_back(request.get());
  }
  for (const auto& [key, tries] : ran)
    for (const auto* first : tries)
      for (const auto* second : tries)
        if (first != second && second->first_run > first->first_run &&
            second->written <= first->t0 + window_ms) {
          ++verdict.rerun;
          record.line("judge: key %s run by %s and again by %s", key.c_str(), first->rid.c_str(),
                      second->rid.c_str());
        }
  record.line("judge: %zu requests, %zu lost, %zu answered twice, %zu wrong results, %zu keys run twice",
              verdict.requests, verdict.lost, verdict.twice, verdict.wrong, verdict.rerun);
  return verdict;
}

// On days with troubles the rule on lost requests is broken from 3 in 1,000 on.
inline bool too_many_lost(const Verdict& verdict) {
  return double(verdict.lost) >= 0.003 * double(verdict.requests) && verdict.lost > 0;
}

// The seed of a play: the environment's SEED, or one of the moment.
inline std::uint64_t seed() {
  const char* text = std::getenv("SEED");
  return text ? std::strtoull(text, nullptr, 10) : std::uint64_t(unix_ms());
}

inline bool trouble_wanted() {
  const char* text = std::getenv("TROUBLE");
  return !text || std::string(text) != "0";
}

// ---- All parts of a case ----

// A tile server of a small deployment, its kernel, the announce service and client proxies. Cases derive from
// it.
struct World {
  World(const char* root_folder, const char* record_path)
      : root(root_folder), record(record_path), requests(seed()), kernel(6, requests, record) {
    char folder[] = "/tmp/review-XXXXXX";
    if (!::mkdtemp(folder)) cannot_run("no temporary folder");
    temporary = folder;
    record.line("seed %llu, %s", (unsigned long long)requests.first_seed,
                trouble_wanted() ? "with the disruption" : "without the disruption");
    site.listen = free_port();
    site.kernel = kernel.port();
    site.announce = announce.port();
  }
  World(const World&) = delete;
  World& operator=(const World&) = delete;
  virtual ~World() {
    server.reset();
    for (const char* name : {"config.json", "log"}) ::unlink((temporary + "/" + name).c_str());
    ::rmdir(temporary.c_str());
  }

  // Starts the tile server with the command of the deploy file and waits for its link to the kernel.
  void start_server() {
    site.write(temporary + "/config.json", requests.random());
    server =
        std::make_unique<Process>(root, deploy_command(root, "run"),
                                  std::vector<std::pair<std::string, std::string>>{
                                      {"EDGE_NAME", site.name},
                                      {"EDGE_LISTEN", std::string(kHost) + ":" + std::to_string(site.listen)},
                                      {"EDGE_CONFIG", temporary + "/config.json"},
                                      {"TMPDIR", temporary}},
                                  temporary + "/log");
    wait_for(kernel, *server);
    record.line("platform: tile server started");
  }
  void wait_for(Kernel& link, Process& process) {
    const double limit = unix_ms() + 10000;
    while (!link.opened()) {
      step();
      if (process.ended() || unix_ms() > limit) cannot_run("the tile server does not start");
    }
    run_for(200);  // its listener is open
  }
  virtual void step() {
    kernel.tick();
    announce.tick(record);
    for (auto& connection : connections) connection->tick();
    ::usleep(500);
  }
  void run_for(double ms) {
    for (const double until = unix_ms() + ms; unix_ms() < until;) step();
  }
  // The newest connection of a proxy that takes another request; opens one where there is none.
  Connection& connection_of(int proxy, std::uint16_t port) {
    auto& newest = newest_of[proxy];
    if (!newest || !newest->usable()) {
      connections.push_back(std::make_unique<Connection>(port, proxy, record));
      newest = connections.back().get();
    }
    return *newest;
  }
  // A request of the site's mix of classes, with the work that the site states.
  TryPtr draw() {
    std::uniform_real_distribution<double> read_work(240, 410), report_work(140, 250), share(0, 1);
    const double kind = share(requests.random);
    if (kind < 0.6) return requests.make("tile", read_work(requests.random), 4900);
    if (kind < 0.82) return requests.make("route-profile", read_work(requests.random), 4900);
    return requests.make("trail-report", report_work(requests.random), 3000,
                         "key" + std::to_string(requests.all.size()));
  }
  void forget_connections() {
    connections.clear();
    newest_of.clear();
  }

  std::string root, temporary;
  Record record;
  Requests requests;
  Kernel kernel;
  Announce announce;
  Site site;
  std::unique_ptr<Process> server;
  std::vector<std::unique_ptr<Connection>> connections;
  std::map<int, Connection*> newest_of;
};

// Prints the result; returns the exit status of the case.
inline int conclude(const Verdict& verdict, bool broken) {
  std::printf("%zu requests, %zu lost: %s\n", verdict.requests, verdict.lost,
              broken ? "the rule was broken" : "the rule held");
  return broken ? 1 : 0;
}

// The program of a case: case ROOT RECORD.
inline int run_case(int argc, char** argv, int (*play)(const char* root, const char* record_path)) {
  if (argc != 3) cannot_run("usage: case ROOT RECORD");
  ::signal(SIGPIPE, SIG_IGN);
  ::alarm(110);
  return play(argv[1], argv[2]);
}

}  // namespace review
