#include "callers.h"

#include <boost/system/system_error.hpp>
#include <memory>
#include <utility>

#include "standin/client.h"

namespace granitegap::soak {
namespace {

using namespace std::chrono_literals;

constexpr auto kReconnectPause = 10ms;
constexpr int kEstimatedCostMs = 1;

// Returns null if the connection to the port fails.
std::unique_ptr<standin::Client> connect(std::uint16_t port, std::size_t caller) {
  try {
    return std::make_unique<standin::Client>(port, int(caller) + 1);
  } catch (const boost::system::system_error&) {
    return nullptr;
  }
}

}  // namespace

CallerPool::CallerPool(CallerOptions options) : options_(std::move(options)), members_(options_.members) {
  for (std::size_t member = 0; member < options_.members; ++member)
    for (std::size_t caller = 0; caller < options_.callers_per_member; ++caller)
      threads_.emplace_back([this, member, caller] { run(member, caller); });
}

void CallerPool::stop() {
  stopped_ = true;
  for (auto& thread : threads_)
    if (thread.joinable()) thread.join();
}

CallerPool::Figures CallerPool::figures() const {
  return {answered_, served_, complete_, unanswered_, interrupted_};
}

void CallerPool::run(std::size_t member, std::size_t caller) {
  auto& target = members_[member];
  std::unique_ptr<standin::Client> client;
  std::uint16_t connected_port = 0;
  for (std::uint64_t sent = 0; !stopped_; ++sent) {
    const std::uint16_t port = target.port;
    if (port != connected_port) client.reset();
    connected_port = port;
    if (!client && port != 0) client = connect(port, caller);
    if (!client) {
      std::this_thread::sleep_for(kReconnectPause);
      continue;
    }
    standin::Request request;
    request.cls = options_.cls;
    // Each request has its own body and thus its own cache key, so that no response is shared or cached.
    request.body = std::to_string(member) + "." + std::to_string(caller) + "." + std::to_string(sent);
    request.estimated_cost_ms = kEstimatedCostMs;
    const bool could_terminate = target.may_terminate;
    const std::uint32_t terminations = target.terminations;
    const auto response = client->call(request, options_.answer_timeout);
    if (response) {
      ++answered_;
      const bool served = response->code == standin::ResponseCode::served;
      if (served) ++served_;
      if (served && !response->has_missing_parts) ++complete_;
      if (response->retry_after > 0ms)
        std::this_thread::sleep_for(std::min(response->retry_after, kReconnectPause));
      continue;
    }
    client.reset();
    const bool is_expected = could_terminate || target.may_terminate || target.terminations != terminations;
    ++(is_expected ? interrupted_ : unanswered_);
  }
}

}  // namespace granitegap::soak
