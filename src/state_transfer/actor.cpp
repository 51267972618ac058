#include "state_transfer/actor.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <chrono>

#include "membership_udp/actor.h"
#include "net/accept.h"

namespace granitegap::state_transfer {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using namespace std::chrono_literals;

constexpr std::size_t kMaxAtOnce = 4;
constexpr double kPerSecond = 8, kBurst = 8;
constexpr auto kDawdle = 1s;  // for a question, and again for the taking of its answer

auto into(error_code& error) { return asio::redirect_error(asio::use_awaitable, error); }

// Closes a socket at its time, whatever it is doing; disarmed when it goes.
class Deadline {
 public:
  Deadline(asio::ip::tcp::socket& socket, std::chrono::steady_clock::time_point at)
      : timer_(socket.get_executor(), at) {
    timer_.async_wait([alive = std::weak_ptr<int>(alive_), &socket](const error_code& error) {
      error_code ignored;
      if (!error && !alive.expired()) socket.close(ignored);
    });
  }

 private:
  std::shared_ptr<int> alive_ = std::make_shared<int>();
  asio::steady_timer timer_;
};

}  // namespace

Actor::Actor(const asio::any_io_executor& executor, Place place, recovery::DonorSelectionOptions rules,
             Hooks hooks, Logger& log)
    : executor_(executor),
      place_(std::move(place)),
      hooks_(std::move(hooks)),
      log_(log),
      learning_(rules, place_.zone, place_.seed),
      door_(executor, {place_.at, place_.port}),
      wake_(executor),
      room_(kBurst),
      filled_(hooks_.clock()) {
  log_.line("recovery: tells others what it has learned at port " + std::to_string(port()),
            {{"event", "learning"}, {"port", std::int64_t(port())}});
}

// ---- The door ----

bool Actor::may_give() {
  const auto now = hooks_.clock();
  room_ = std::min(kBurst, room_ + kPerSecond * std::chrono::duration<double>(now - filled_).count());
  filled_ = now;
  if (room_ < 1 || at_once_ >= kMaxAtOnce) return false;
  room_ -= 1;
  return true;
}

asio::awaitable<void> Actor::serve() {
  // In a name of its own: GCC 12 destroys a temporary in a co_await expression twice.
  const net::Take take = [this](Tcp::socket socket, const asio::ip::address& from) {
    if (hooks_.may_ask(from) && may_give())
      asio::co_spawn(executor_, answer(std::move(socket)), asio::detached);
  };
  co_await net::accept_each(door_, closed_, take);
}

asio::awaitable<std::optional<std::string>> Actor::read(Tcp::socket& socket, std::size_t most) {
  error_code error;
  std::string head(4, '\0');
  co_await asio::async_read(socket, asio::buffer(head), into(error));
  const auto length = error ? std::nullopt : length_of(head, most);
  if (!length) co_return std::nullopt;
  std::string bytes(*length, '\0');
  co_await asio::async_read(socket, asio::buffer(bytes), into(error));
  if (error) co_return std::nullopt;
  co_return bytes;
}

asio::awaitable<void> Actor::answer(Tcp::socket socket) {
  const net::Counted counted(at_once_);
  {
    const Deadline dawdles(socket, std::chrono::steady_clock::now() + 2 * kDawdle);
    const auto bytes = co_await read(socket, kMaxQuestion);
    if (bytes) {
      const auto decoded = decode_question(*bytes);
      if (const auto* asked = std::get_if<Asked>(&decoded); asked && asked->cluster == place_.cluster) {
        auto offer = hooks_.offer();
        offer.nonce = asked->nonce;
        const auto out = framed(encode(offer));
        error_code error;
        co_await asio::async_write(socket, asio::buffer(out), into(error));
      }
    }
  }
}

// ---- The one who asks ----

void Actor::begin() {
  learning_.begin(hooks_.clock());
  if (view_) learning_.on_view(*view_, hooks_.clock());
  pending_ = true;
  wake_.cancel();
}

void Actor::view(std::shared_ptr<const membership::View> newest) {
  view_ = std::move(newest);
  if (!pending_) return;
  learning_.on_view(*view_, hooks_.clock());
  wake_.cancel();
}

void Actor::close() {
  closed_ = true;
  error_code ignored;
  door_.close(ignored);
  wake_.cancel();
}

asio::awaitable<void> Actor::learn() {
  while (!closed_) {
    const auto now = hooks_.clock();
    if (pending_) {
      for (auto& question : learning_.next_requests(now))
        asio::co_spawn(executor_, ask(std::move(question)), asio::detached);
      if (learning_.finished(now)) {
        pending_ = false;
        from_ = learning_.donors();
        learned_at_ = now;
        std::string names;
        for (const auto& n : learning_.donors()) names += (names.empty() ? "" : ", ") + n;
        log_.line("recovery: learned from " + (names.empty() ? std::string("nobody") : names),
                  {{"event", "learned_from"}, {"names", names}});
        hooks_.learned(learning_.result(), learning_.donor_count());
      }
    }
    const auto next = pending_ ? learning_.next_deadline(now) : std::nullopt;
    wake_.expires_at(next ? std::chrono::steady_clock::time_point(next->time_since_epoch())
                          : std::chrono::steady_clock::time_point::max());
    error_code woken;
    co_await wake_.async_wait(into(woken));
  }
}

asio::awaitable<void> Actor::ask(recovery::TransferRequest question) {
  Tcp::socket socket(executor_);
  bool heard = false;
  {
    const Deadline over(socket, std::chrono::steady_clock::time_point(question.deadline.time_since_epoch()));
    const auto udp = membership_udp::endpoint_of(question.address);
    error_code error;
    co_await socket.async_connect({udp.address(), udp.port()}, into(error));
    if (!error) {
      const auto out = framed(encode(Asked{place_.cluster, place_.name, question.nonce}));
      co_await asio::async_write(socket, asio::buffer(out), into(error));
    }
    if (!error) {
      if (const auto bytes = co_await read(socket, kMaxOffer)) {
        const auto decoded = decode_offer(*bytes);
        if (const auto* offer = std::get_if<recovery::TransferResponse>(&decoded)) {
          heard = true;
          learning_.on_response(*offer, hooks_.clock());
        }
      }
    }
  }
  if (!heard) learning_.on_failure(question.nonce);
  wake_.cancel();
}

}  // namespace granitegap::state_transfer
