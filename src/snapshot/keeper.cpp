#include "snapshot/keeper.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace granitegap::snapshot {
namespace {

namespace asio = boost::asio;
using namespace std::chrono_literals;

constexpr auto kAgain = 200ms;  // until the directory is ours

}  // namespace

Keeper::Keeper(const asio::any_io_executor& executor, std::filesystem::path folder, std::string name,
               Found found, Logger& log)
    : executor_(executor),
      folder_(std::move(folder)),
      name_(std::move(name)),
      found_(std::move(found)),
      log_(log),
      again_(executor) {}

Keeper::~Keeper() { disk_.join(); }

Keeper::Begun Keeper::begin() {
  Begun b;
  b.fault = lock_.take(folder_);
  if (b.fault) return b;
  b.ended = read_ended(folder_);
  b.at = read_stamp();
  // Damaged or not: whatever is there goes before anything may run that it does not know of.
  if (!std::holds_alternative<Nothing>(b.ended)) b.fault = take_ended(folder_);
  return b;
}

asio::awaitable<void> Keeper::run() {
  while (!owned_ && !ending_) {
    const auto begun = co_await asio::co_spawn(
        disk_, [this]() -> asio::awaitable<Begun> { co_return begin(); }, asio::use_awaitable);
    told(begun);
    if (owned_) co_return;
    again_.expires_after(kAgain);
    boost::system::error_code woken;
    co_await again_.async_wait(asio::redirect_error(asio::use_awaitable, woken));
  }
}

void Keeper::told(const Begun& b) {
  recovery::EarlierLife found;
  if (b.fault) {
    found.end_stays = true;
    if (!std::exchange(told_fault_, true))
      log_.line("recovery: keyed requests are refused until " + folder_.string() +
                    " can be used: " + b.fault->text(),
                {{"event", "recovery_folder"}, {"why", b.fault->text()}});
    return found_(found);
  }
  owned_ = true;
  if (const auto* bad = std::get_if<Fault>(&b.ended)) {
    log_.line("recovery: what the last life left is not believed: " + bad->text(),
              {{"event", "recovery_unbelieved"}, {"why", bad->text()}});
  } else if (const auto* ended = std::get_if<Ended>(&b.ended)) {
    if (ended->name != name_) {
      log_.line("recovery: what " + ended->name + " left here is not believed",
                {{"event", "recovery_unbelieved"}, {"why", "another name"}});
    } else {
      found = earlier_life(*ended, b.at);
      if (found.ended_in_order)
        log_.line("recovery: the last life ended in order " +
                      std::to_string(found.ended_in_order->count() / 1000) + " ms ago",
                  {{"event", "recovery_ended"}, {"ago_ms", found.ended_in_order->count() / 1000}});
    }
  }
  found_(found);
}

void Keeper::end() {
  if (std::exchange(ending_, true)) return;
  again_.cancel();
  if (!owned_) {
    done_ = true;
    return;
  }
  asio::post(disk_, [this] {
    const auto fault = write_ended(folder_, {name_, read_stamp()});
    asio::post(executor_, [this, fault] {
      done_ = true;
      if (fault)
        log_.line("recovery: the end could not be written down: " + fault->text(),
                  {{"event", "recovery_end_unwritten"}, {"why", fault->text()}});
    });
  });
}

}  // namespace granitegap::snapshot
