// Stand-ins for the second review: a kernel, a sink for reports to the endpoint list, and a client proxy that
// sends one request. They follow the protocol page and behave soundly where it is silent. POSIX sockets only,
// so that nothing but a compiler is needed; every address is 127.0.0.1.
//
//   peer kernel  --port-file F --record R --life NAME [--run-ms N] [--port P --cold 1]
//   peer sink    --port-file F
//   peer parts   --answer FILE
//   peer request --port P --record R --class C --token T --body B --note TEXT [--wait-ms N]
//
// Each line of the record begins with Unix milliseconds. `request` prints served, refused, failed or
// unanswered.
#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <random>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace {

using Options = std::map<std::string, std::string>;

std::int64_t unix_ms() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

void record(const Options& options, const std::string& line) {
  std::FILE* file = std::fopen(options.at("record").c_str(), "a");
  if (!file) return;
  std::fprintf(file, "%lld %s\n", static_cast<long long>(unix_ms()), line.c_str());
  std::fclose(file);
}

sockaddr_in loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(std::uint16_t(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

// Binds to the port, to a free one if it is 0, and writes its number to the file, completely or not at all.
int bind_port(int type, int port, const std::string& port_file) {
  const int fd = ::socket(AF_INET, type, 0);
  const int on = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  auto address = loopback(port);
  if (fd < 0 || ::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) std::exit(2);
  if (type == SOCK_STREAM && ::listen(fd, 64) != 0) std::exit(2);
  socklen_t size = sizeof address;
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  const auto partial = port_file + ".part";
  std::FILE* file = std::fopen(partial.c_str(), "w");
  if (!file) std::exit(2);
  std::fprintf(file, "%d\n", int(ntohs(address.sin_port)));
  std::fclose(file);
  std::rename(partial.c_str(), port_file.c_str());
  return fd;
}

void send_all(int fd, const std::string& bytes) {
  for (std::size_t sent = 0; sent < bytes.size();) {
    const auto size = ::send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (size <= 0) return;
    sent += std::size_t(size);
  }
}

std::vector<std::string> words_of(const std::string& line) {
  std::vector<std::string> words;
  std::size_t at = 0;
  while (at < line.size()) {
    const auto end = std::min(line.find(' ', at), line.size());
    if (end > at) words.push_back(line.substr(at, end - at));
    at = end + 1;
  }
  return words;
}

// ---- The kernel ----

// One kernel, started with one life of a tile server and ended with it. It starts every run at once and ends
// it after
// --run-ms. Notices are kept and sent again on a new link. With --cold it has just been started, cold, beside
// a tile server that goes on: it knows nothing of earlier runs and numbers its notices on from the last one
// that was read.
class Kernel {
 public:
  explicit Kernel(const Options& options)
      : options_(options), run_ms_(std::stoll(options.count("run-ms") ? options.at("run-ms") : "50")) {}

  [[noreturn]] void serve() {
    const int listener = bind_port(SOCK_STREAM, options_.count("port") ? std::stoi(options_.at("port")) : 0,
                                   options_.at("port-file"));
    for (;;) {
      pollfd fds[2] = {{listener, POLLIN, 0}, {link_, POLLIN, 0}};
      ::poll(fds, link_ < 0 ? 1 : 2, wait_ms());
      end_due_runs();
      if (link_ >= 0 && fds[1].revents != 0) read_link();
      if (fds[0].revents != 0) accept_link(listener);
    }
  }

 private:
  struct Run {
    std::string id;
    std::int64_t started = 0;
  };

  int wait_ms() const {
    if (runs_.empty()) return 1000;
    return int(std::max<std::int64_t>(runs_.front().started + run_ms_ - unix_ms(), 0));
  }

  void accept_link(int listener) {
    const int fd = ::accept(listener, nullptr, nullptr);
    if (fd < 0) return;
    if (link_ >= 0) ::close(link_);
    link_ = fd;
    input_.clear();
  }

  void read_link() {
    char chunk[16384];
    const auto size = ::recv(link_, chunk, sizeof chunk, 0);
    if (size <= 0) {
      ::close(link_);
      link_ = -1;
      return;
    }
    input_.append(chunk, std::size_t(size));
    while (take_command()) continue;
  }

  // Carries out the first command if it is complete.
  bool take_command() {
    const auto end = input_.find("\r\n");
    if (end == std::string::npos) return false;
    const auto words = words_of(input_.substr(0, end));
    std::size_t taken = end + 2;
    if (words.size() == 4 && words[0] == "SCHED") {
      const auto length = std::size_t(std::stoul(words[3]));
      if (input_.size() < taken + length + 2) return false;
      start_run(words[1], words[2], input_.substr(taken, length));
      taken += length + 2;
    } else if (words.size() == 2 && words[0] == "OPEN") {
      open(std::stoull(words[1]));
    } else if (words.size() == 2 && words[0] == "SYSINFO") {
      send_all(link_, "INFO " + words[1] + " 0.1 0 0.1 1\r\n");
    } else if (words.size() == 2 && words[0] == "POST") {
      send_all(link_, "POSTED " + words[1] + " OK\r\n");
    }
    input_.erase(0, taken);
    return true;
  }

  void open(std::uint64_t last_read) {
    const bool cold = options_.count("cold") != 0;
    next_notice_ = std::max(next_notice_, last_read + 1);
    send_all(link_,
             cold ? "BOOTED COLD " + std::to_string(unix_ms() - started_) + "\r\n" : "BOOTED WARM 60000\r\n");
    for (const auto& [number, notice] : notices_)
      if (number > last_read) send_all(link_, notice);
  }

  void start_run(const std::string& id, const std::string& cls, const std::string& body) {
    if (bodies_.count(id) != 0) return;  // it runs already, or its end has been told
    bodies_[id] = body;
    runs_.push_back({id, unix_ms()});
    record(options_, "run life=" + options_.at("life") + " id=" + id + " class=" + cls + " body=" + body);
  }

  void end_due_runs() {
    while (!runs_.empty() && runs_.front().started + run_ms_ <= unix_ms()) {
      const auto run = runs_.front();
      runs_.erase(runs_.begin());
      const auto result = "result of " + run.id;
      const auto number = next_notice_++;
      const auto notice = "REAP " + std::to_string(number) + " " + run.id + " OK " + std::to_string(run_ms_) +
                          " " + std::to_string(result.size()) + "\r\n" + result + "\r\n";
      notices_[number] = notice;
      if (link_ >= 0) send_all(link_, notice);
    }
  }

  Options options_;
  std::int64_t run_ms_;
  std::int64_t started_ = unix_ms();
  int link_ = -1;
  std::string input_;
  std::vector<Run> runs_;
  std::map<std::string, std::string> bodies_;
  std::map<std::uint64_t, std::string> notices_;
  std::uint64_t next_notice_ = 1;
};

// ---- The sink ----

[[noreturn]] void sink(const Options& options) {
  const int fd = bind_port(SOCK_DGRAM, 0, options.at("port-file"));
  char chunk[512];
  for (;;) (void)::recv(fd, chunk, sizeof chunk, 0);
}

// ---- The dependency ----

// Answers GET requests on keep-alive connections, with `PATH UNIX_MS` as the body.
[[noreturn]] void dependency(const Options& options) {
  const int listener = bind_port(SOCK_STREAM, 0, options.at("port-file"));
  std::map<int, std::string> inputs;
  for (;;) {
    std::vector<pollfd> fds = {{listener, POLLIN, 0}};
    for (const auto& [fd, input] : inputs) fds.push_back({fd, POLLIN, 0});
    ::poll(fds.data(), fds.size(), -1);
    if (fds[0].revents != 0)
      if (const int fd = ::accept(listener, nullptr, nullptr); fd >= 0) inputs[fd];
    for (std::size_t i = 1; i < fds.size(); ++i) {
      if (fds[i].revents == 0) continue;
      char chunk[4096];
      const auto size = ::recv(fds[i].fd, chunk, sizeof chunk, 0);
      if (size <= 0) {
        ::close(fds[i].fd);
        inputs.erase(fds[i].fd);
        continue;
      }
      auto& input = inputs[fds[i].fd];
      input.append(chunk, std::size_t(size));
      for (auto end = input.find("\r\n\r\n"); end != std::string::npos; end = input.find("\r\n\r\n")) {
        const auto path = words_of(input.substr(0, end)).at(1);
        input.erase(0, end + 4);
        const auto body = path + " " + std::to_string(unix_ms());
        record(options, "dependency answers " + body);
        send_all(fds[i].fd,
                 "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
      }
    }
  }
}

// ---- The client ----

void append_number(std::string& out, std::uint64_t value, int bytes) {
  for (int i = bytes; i-- > 0;) out += char(value >> (8 * i) & 0xff);
}

std::uint32_t number_at(const std::string& bytes, std::size_t at) {
  std::uint32_t value = 0;
  for (std::size_t i = 0; i < 4; ++i) value = value << 8 | std::uint8_t(bytes[at + i]);
  return value;
}

std::string request_frame(const Options& options, const std::string& rid, std::int64_t t0) {
  std::vector<std::pair<std::string, std::string>> fields = {{"method", options.at("class")},
                                                             {"rid", rid},
                                                             {"t0", std::to_string(t0)},
                                                             {"peer", "1"},
                                                             {"acct", "turistaterkep"},
                                                             {"est", "50.00"},
                                                             {"mem", "24.5"},
                                                             {"prio", "0.5000"}};
  if (!options.at("token").empty()) fields.emplace_back("token", options.at("token"));
  std::string payload;
  append_number(payload, 0, 1);  // type 0: a request
  append_number(payload, 1, 4);  // stream 1
  append_number(payload, fields.size(), 1);
  for (const auto& [name, value] : fields) {
    append_number(payload, name.size(), 1);
    payload += name;
    append_number(payload, value.size(), 2);
    payload += value;
  }
  payload += options.at("body");
  std::string frame;
  append_number(frame, payload.size(), 4);
  return frame + payload;
}

// Reads frames until the answer on stream 1; empty without one.
std::string read_answer(int fd, std::int64_t until) {
  std::string bytes;
  for (;;) {
    while (bytes.size() >= 4 && bytes.size() >= 4 + number_at(bytes, 0)) {
      const auto frame = bytes.substr(4, number_at(bytes, 0));
      bytes.erase(0, 4 + frame.size());
      const bool is_answer = frame.size() >= 6 && frame[0] == 1 && number_at(frame, 1) == 1;
      if (is_answer) return frame.substr(5);
    }
    pollfd ready{fd, POLLIN, 0};
    const auto left = until - unix_ms();
    if (left <= 0 || ::poll(&ready, 1, int(left)) <= 0) return {};
    char chunk[16384];
    const auto size = ::recv(fd, chunk, sizeof chunk, 0);
    if (size <= 0) return {};
    bytes.append(chunk, std::size_t(size));
  }
}

// Writes what follows the code and the fields of an answer.
void write_body(const std::string& path, const std::string& answer) {
  std::size_t at = 2;
  for (int fields = answer.size() > 1 ? std::uint8_t(answer[1]) : 0; fields > 0 && at < answer.size();
       --fields) {
    at += 1 + std::uint8_t(answer[at]);
    if (at + 2 > answer.size()) break;
    at += 2 + (std::size_t(std::uint8_t(answer[at])) << 8 | std::uint8_t(answer[at + 1]));
  }
  std::FILE* file = std::fopen(path.c_str(), "w");
  if (!file) return;
  if (at < answer.size()) std::fwrite(answer.data() + at, 1, answer.size() - at, file);
  std::fclose(file);
}

std::string new_rid() {
  std::random_device random;
  char rid[17];
  std::snprintf(rid, sizeof rid, "%08x%08x", unsigned(random()), unsigned(random()));
  return rid;
}

std::string outcome_of(const std::string& answer) {
  const char* const names[] = {"served", "refused", "failed"};
  return !answer.empty() && answer[0] >= 0 && answer[0] <= 2 ? names[int(answer[0])] : "unanswered";
}

int request(const Options& options) {
  const auto rid = new_rid();
  const std::string about = options.at("note") + " rid=" + rid;
  const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
  auto address = loopback(std::stoi(options.at("port")));
  std::string outcome = "unanswered";
  if (::connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0) {
    const auto wait_ms = options.count("wait-ms") ? std::stoll(options.at("wait-ms")) : 4000;
    send_all(fd, request_frame(options, rid, unix_ms()));
    record(options, "sent " + about + " class=" + options.at("class") + " token=" + options.at("token"));
    const auto answer = read_answer(fd, unix_ms() + wait_ms);
    outcome = outcome_of(answer);
    if (options.count("answer") != 0) write_body(options.at("answer"), answer);
  } else {
    outcome = "unconnected";
  }
  record(options, "answered " + about + " " + outcome);
  std::puts(outcome.c_str());
  return 0;
}

// ---- Repeats ----

void sleep_until(std::int64_t at) {
  const auto left = at - unix_ms();
  if (left > 0) std::this_thread::sleep_for(std::chrono::milliseconds(left));
}

// Sends one try on a connection of its own and returns the connection. Its t0 is the time of its writing.
int send_try(Options options, const std::string& token, const std::string& about) {
  options["token"] = token;
  options["body"] = "report " + token;
  const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
  auto address = loopback(std::stoi(options.at("port")));
  if (::connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) std::exit(2);
  const auto rid = new_rid();
  const auto t0 = unix_ms();
  send_all(fd, request_frame(options, rid, t0));
  record(options, "sent " + about + " rid=" + rid + " t0=" + std::to_string(t0) + " token=" + token);
  return fd;
}

int repeats(const Options& options) {
  const int count = std::stoi(options.at("count"));
  const auto window = std::stoll(options.at("window-ms")) - std::stoll(options.at("before-ms"));
  std::vector<std::string> tokens;
  std::vector<std::int64_t> first_tries;
  std::vector<int> connections;
  const auto began = unix_ms();
  for (int i = 0; i < count; ++i) {
    sleep_until(began + i * std::stoll(options.at("spacing-ms")));
    tokens.push_back(new_rid() + new_rid());
    first_tries.push_back(unix_ms());
    connections.push_back(send_try(options, tokens.back(), "first " + std::to_string(i)));
  }
  std::FILE* file = std::fopen(options.at("began").c_str(), "w");
  if (!file) return 2;
  std::fprintf(file, "%lld\n", static_cast<long long>(began));
  std::fclose(file);
  for (int i = 0; i < count; ++i)
    record(options, "answered first " + std::to_string(i) + " " +
                        outcome_of(read_answer(connections[std::size_t(i)], began + 4000)));
  for (int i = 0; i < count; ++i) {
    sleep_until(first_tries[std::size_t(i)] + window);
    connections[std::size_t(i)] = send_try(options, tokens[std::size_t(i)], "repeat " + std::to_string(i));
  }
  const auto until = unix_ms() + 8000;
  for (int i = 0; i < count; ++i)
    record(options, "answered repeat " + std::to_string(i) + " " +
                        outcome_of(read_answer(connections[std::size_t(i)], until)));
  return 0;
}

// ---- Partial answers ----

// Reads one varint of a protobuf message.
std::uint64_t varint(const std::string& bytes, std::size_t& at) {
  std::uint64_t value = 0;
  for (int shift = 0; at < bytes.size() && shift < 64; shift += 7) {
    const auto byte = std::uint8_t(bytes[at++]);
    value |= std::uint64_t(byte & 0x7f) << shift;
    if (byte < 0x80) break;
  }
  return value;
}

// Returns the fields of a message: numbers as text, all else as it is.
std::vector<std::pair<std::uint64_t, std::string>> fields_of(const std::string& bytes) {
  std::vector<std::pair<std::uint64_t, std::string>> fields;
  for (std::size_t at = 0; at < bytes.size();) {
    const auto tag = varint(bytes, at);
    const auto value = varint(bytes, at);
    if ((tag & 7) == 0) {
      fields.emplace_back(tag >> 3, std::to_string(value));
    } else {
      fields.emplace_back(tag >> 3, bytes.substr(std::min(at, bytes.size()), value));
      at += value;
    }
  }
  return fields;
}

// Prints a line for each part of a granitegap.PartialAnswer: name, status, age in milliseconds, data.
int print_parts(const Options& options) {
  std::FILE* file = std::fopen(options.at("answer").c_str(), "r");
  if (!file) return 2;
  std::string bytes(262144, '\0');
  bytes.resize(std::fread(bytes.data(), 1, bytes.size(), file));
  std::fclose(file);
  for (const auto& [number, part] : fields_of(bytes)) {
    if (number != 2) continue;
    std::map<std::uint64_t, std::string> of = {{1, ""}, {2, "0"}, {3, "0"}, {4, ""}};
    for (const auto& [field, value] : fields_of(part)) of[field] = value;
    const char* const statuses[] = {"absent", "fresh", "stale", "fallback"};
    std::printf("%s %s %s %s\n", of[1].c_str(), statuses[std::stoi(of[2]) & 3], of[3].c_str(), of[4].c_str());
  }
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  Options options;
  for (int i = 2; i + 1 < argc; i += 2) options[std::string(argv[i]).substr(2)] = argv[i + 1];
  const std::string what = argc > 1 ? argv[1] : "";
  if (what == "kernel") Kernel(options).serve();
  if (what == "sink") sink(options);
  if (what == "dependency") dependency(options);
  if (what == "parts") return print_parts(options);
  if (what == "request") return request(options);
  if (what == "repeats") return repeats(options);
  return 2;
}
