// What single decisions cost, and the data structures made for them against plain ones.
//
//   granitegap_bench_micro [--seed N] [--keys N] [--dependencies N] [--endpoints N] [Google Benchmark's own
//   flags]
//
// The last line is one JSON object: ns and allocations of a gather, hit rates of the caches on a skewed trace
// with a scan, and ns of the quantile windows.
#include <benchmark/benchmark.h>
#include <stdlib.h>

#include <exception>

#if defined(__GNUC__) && !defined(__clang__)
#pragma GCC diagnostic ignored "-Wmismatched-new-delete"  // both are malloc and free here
#endif

#include <atomic>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <filesystem>
#include <list>
#include <new>
#include <nlohmann/json.hpp>
#include <unordered_map>

#include "deps/scatter_gather.h"
#include "hot_restart/shared_lease_table.h"
#include "snapshot/snapshot.h"

namespace {
std::atomic<std::size_t> allocations = 0;
}
// The replaced allocation functions own nothing: they count and pass on.
// NOLINTBEGIN(cppcoreguidelines-owning-memory)
void* operator new(std::size_t size) {
  ++allocations;
  if (void* p = std::malloc(size)) return p;
  throw std::bad_alloc();
}
void operator delete(void* p) noexcept { std::free(p); }
void operator delete(void* p, std::size_t) noexcept { std::free(p); }
// NOLINTEND(cppcoreguidelines-owning-memory)

namespace granitegap::deps {
namespace {

using std::chrono::milliseconds;

struct Options {
  std::uint64_t seed = 1, keys = 100000;
  std::size_t dependencies = 8, endpoints = 32;
} options;
nlohmann::ordered_json figures;

// `all`: each request gathers from every dependency; else from one, in turn.
std::shared_ptr<const Spec> spec(bool all) {
  auto s = std::make_shared<Spec>();
  GatherSpec g;
  for (std::size_t d = 0; d < options.dependencies; ++d) {
    DependencySpec dep;
    dep.name = "d" + std::to_string(d);
    for (std::size_t e = 0; e < options.endpoints; ++e)
      dep.endpoints.push_back({"127.0.0.1", std::uint16_t(1000 + d * 64 + e)});
    s->dependencies.push_back(dep);
  }
  PartSpec p;
  p.name = "part";
  p.path = "/p/{obj}";
  if (all)
    for (p.dependency = 0; p.dependency < options.dependencies; ++p.dependency) g.parts.push_back(p);
  else
    g.parts.push_back(p);
  s->gathers.assign(options.dependencies, g);
  for (std::size_t i = 0; i < options.dependencies; ++i) {
    s->gathers[i].cls = ClassId(std::uint32_t(i));
    if (!all) s->gathers[i].parts[0].dependency = i;
  }
  return s;
}

// One request's gather, begun, called, ended, settled and released, while four calls of others are open to
// each dependency it asks.
void play_gather(benchmark::State& state, const char* name, bool all) {
  ScatterGather g(spec(all), options.seed);
  std::mt19937_64 random(options.seed);
  TimePoint now(std::chrono::seconds(1000));
  std::uint32_t next = 1;
  // A ring with room for more than are ever open.
  std::vector<CallId> open(1024);
  std::size_t first = 0, last = 0;
  const std::size_t others = 4 * options.dependencies;
  const auto body = std::make_shared<const std::string>("812");
  const ScatterGather::RequestAttributes facts{0, "route", "route-profile"};
  auto with = facts;
  const auto one = [&] {
    now += Duration(500);
    with.obj = random();
    const RequestId id{next++};
    g.tick(now);
    g.begin(id, ClassId(id == RequestId{} ? 0 : std::uint32_t(id) % std::uint32_t(options.dependencies)),
            with, milliseconds(400), true, now);
    for (std::size_t most = all ? options.dependencies : 1; most > 0 && last - first >= others; --most)
      g.on_call_completed({open[first++ % open.size()], CallOutcome::ok, milliseconds(8), {}, body}, now);
    for (const auto& a : g.actions()) {
      if (const auto* start = std::get_if<StartCall>(&a)) open[last++ % open.size()] = start->id;
      if (const auto* ended = std::get_if<GatherEnded>(&a)) g.release(ended->id);
    }
    g.clear_actions();
    benchmark::DoNotOptimize(g.next_timer());
  };
  for (int i = 0; i < 200000; ++i) one();  // caches full, slabs and heaps at their size
  const auto before = allocations.load();
  const auto calls = g.counters().calls;
  for (auto _ : state) one();
  const auto made = double(allocations.load() - before);
  const auto started = double(g.counters().calls - calls);
  state.counters["allocations_per_call"] = made / std::max(started, 1.0);
  const double per_gather = started / double(state.iterations());
  state.counters["calls_per_gather"] = per_gather;
  figures["calls_per_gather"][name] = std::round(per_gather * 1000) / 1000;
  figures["allocations_per_call"][name] = std::round(made / std::max(started, 1.0) * 1000) / 1000;
}
void gather(benchmark::State& state) { play_gather(state, "gather", false); }
void gather_from_all(benchmark::State& state) { play_gather(state, "gather_from_all", true); }
BENCHMARK(gather);
BENCHMARK(gather_from_all);

// ---- Kept answers: on a skewed trace, with a scan of keys asked for once after each tenth of it ----
class PlainLru {
 public:
  explicit PlainLru(std::size_t most) : most_(most) {}
  bool find(std::uint64_t key) {
    const auto it = at_.find(key);
    if (it == at_.end()) return false;
    order_.splice(order_.begin(), order_, it->second);
    return true;
  }
  void insert(std::uint64_t key, SharedBody body) {
    bytes_ += body->size() + 160;
    order_.emplace_front(key, std::move(body));
    at_[key] = order_.begin();
    while (bytes_ > most_) {
      bytes_ -= order_.back().second->size() + 160;
      at_.erase(order_.back().first);
      order_.pop_back();
    }
  }

 private:
  std::size_t most_, bytes_ = 0;
  std::list<std::pair<std::uint64_t, SharedBody>> order_;
  std::unordered_map<std::uint64_t, std::list<std::pair<std::uint64_t, SharedBody>>::iterator> at_;
};

std::vector<std::uint64_t> trace() {
  std::mt19937_64 random(options.seed);
  std::vector<double> sums;
  double sum = 0;
  for (std::uint64_t k = 1; k <= options.keys; ++k) sums.push_back(sum += 1 / std::pow(double(k), 0.9));
  std::vector<std::uint64_t> keys;
  std::uint64_t scanned = 1u << 30;
  for (int tenth = 0; tenth < 10; ++tenth) {
    for (int i = 0; i < 100000; ++i) {
      const double drawn = std::uniform_real_distribution<double>(0, sum)(random);
      keys.push_back(std::uint64_t(std::lower_bound(sums.begin(), sums.end(), drawn) - sums.begin()));
    }
    for (int i = 0; i < 10000; ++i) keys.push_back(scanned++);
  }
  return keys;
}

template <class Cache, class KeyOf>
void play_cache(benchmark::State& state, const char* name, KeyOf key_of_number) {
  const auto keys = trace();
  const auto body = std::make_shared<const std::string>(800, 'x');
  const TimePoint now(std::chrono::seconds(1));
  double hits = 0, asked = 0;
  for (auto _ : state) {
    Cache cache(std::size_t(4) << 20);
    hits = asked = 0;
    for (const auto n : keys) {
      const auto key = key_of_number(n);
      bool hit;
      if constexpr (std::is_same_v<Cache, ResponseCache>)
        hit = cache.find(key, now).has_value();
      else
        hit = cache.find(key);
      if (!hit) {
        if constexpr (std::is_same_v<Cache, ResponseCache>)
          cache.insert(key, 0, {}, body, now);
        else
          cache.insert(key, body);
      }
      if (n < options.keys) ++asked, hits += hit;
    }
  }
  state.counters["hit_rate"] = hits / asked;
  state.counters["ns_per_lookup"] = benchmark::Counter(
      double(keys.size()), benchmark::Counter::kIsIterationInvariantRate | benchmark::Counter::kInvert);
  figures["cache"][name]["hit_rate"] = std::round(hits / asked * 10000) / 10000;
}
void cache_tiny_lfu(benchmark::State& state) {
  play_cache<ResponseCache>(state, "w_tiny_lfu", [](std::uint64_t n) {
    return CacheKey{mix_bits(n + 1), mix_bits(n * 3 + 7)};
  });
}
void cache_plain_lru(benchmark::State& state) {
  play_cache<PlainLru>(state, "plain_lru", [](std::uint64_t n) { return n; });
}
BENCHMARK(cache_tiny_lfu)->Unit(benchmark::kMillisecond);
BENCHMARK(cache_plain_lru)->Unit(benchmark::kMillisecond);

// ---- The largest that can be learned: what the io thread does for a snapshot, and what the disk's thread
// does ----
ScatterGather& full_gatherer() {
  static auto gatherer = [] {
    auto spec = std::make_shared<Spec>();
    spec->max_cache_bytes = std::size_t(64) << 20;
    GatherSpec g;
    for (std::size_t d = 0; d < 16; ++d) {
      DependencySpec dependency;
      dependency.name = std::string(200, 'd') + std::to_string(d);
      for (std::size_t e = 0; e < 64; ++e)
        dependency.endpoints.push_back({"127.0.0.1", std::uint16_t(9000 + e)});
      spec->dependencies.push_back(dependency);
      PartSpec part;
      part.name = "p" + std::to_string(d);
      part.dependency = d;
      part.path = "/{obj}";
      part.max_fresh_age = std::chrono::hours(1);
      g.parts.push_back(part);
    }
    spec->gathers.push_back(g);
    ScatterGather full(spec, options.seed);
    const TimePoint now(std::chrono::hours(2));
    warm_state::WarmState what;
    for (std::size_t n = 0; n < 100000; ++n)
      what.cached_responses.push_back({spec->dependencies[n % 16].name, "/" + std::to_string(n),
                                       std::make_shared<const std::string>(256, 'x'), Duration(1)});
    for (const auto& d : spec->dependencies)
      for (const auto& e : d.endpoints)
        what.endpoints.push_back({d.name, e.host, e.port, std::chrono::seconds(30), 1, milliseconds(5), {}});
    full.restore(what, now);
    return full;
  }();
  return gatherer;
}
warm_state::WarmState exported() {
  warm_state::WarmState what;
  full_gatherer().export_state(what, TimePoint(std::chrono::hours(2)));
  return what;
}
void snapshot_collect(benchmark::State& state) {
  full_gatherer();
  for (auto _ : state) benchmark::DoNotOptimize(exported());
}
void snapshot_encode(benchmark::State& state) {
  snapshot::Snapshot s;
  s.state = exported();
  std::size_t bytes = 0;
  for (auto _ : state) bytes = snapshot::encode(s).size();
  figures["snapshot_bytes"] = bytes;
}
void snapshot_decode(benchmark::State& state) {
  snapshot::Snapshot s;
  s.state = exported();
  const auto bytes = snapshot::encode(s);
  for (auto _ : state) benchmark::DoNotOptimize(snapshot::decode_snapshot(bytes));
}
BENCHMARK(snapshot_collect)->Unit(benchmark::kMicrosecond);
BENCHMARK(snapshot_encode)->Unit(benchmark::kMicrosecond);
BENCHMARK(snapshot_decode)->Unit(benchmark::kMicrosecond);

// One keyed request claimed in the table that processes at one door share: lock, look, record, unlock. Each
// token is new, and the table fills as it would in a window.
void claim_shared(benchmark::State& state) {
  auto folder = (std::filesystem::temp_directory_path() / "granitegap_bench_XXXXXX").string();
  if (!::mkdtemp(folder.data())) return state.SkipWithError("no folder");
  const hot_restart::UnixTime now(Duration(1764576000000000));
  auto opened = hot_restart::SharedLeaseTable::open(folder, "n", 1, std::chrono::seconds(10), now);
  auto* table = std::get_if<hot_restart::SharedLeaseTable>(&opened);
  std::uint64_t n = 0, doubts = 0;
  for (auto _ : state) {
    const auto at = now + Duration(n * 5000);  // 200 a second
    const auto token = hot_restart::hash_key("trail-report", std::to_string(n++));
    doubts += table->acquire(token, at, std::chrono::seconds(10), at) != hot_restart::LeaseDecision::acquired;
  }
  if (doubts > 0) state.SkipWithError("a claim was refused");
  std::filesystem::remove_all(folder);
}
BENCHMARK(claim_shared)->Iterations(20000);

// ---- Quantiles: 1000 samples a second, the 99th centile asked for after each sixteenth ----
void quantile_window(benchmark::State& state) {
  LatencyWindow window;
  std::mt19937_64 random(options.seed);
  std::lognormal_distribution<double> latency(9, 0.5);
  TimePoint now(std::chrono::seconds(1));
  std::uint64_t n = 0;
  for (auto _ : state) {
    now += milliseconds(1);
    window.record(Duration(std::int64_t(latency(random))), now);
    if (++n % 16 == 0) benchmark::DoNotOptimize(window.quantile(0.99, now));
  }
}
void quantile_sorted_vector(benchmark::State& state) {
  std::deque<std::pair<TimePoint, Duration>> samples;
  std::vector<Duration> sorted;
  std::mt19937_64 random(options.seed);
  std::lognormal_distribution<double> latency(9, 0.5);
  TimePoint now(std::chrono::seconds(1));
  std::uint64_t n = 0;
  for (auto _ : state) {
    now += milliseconds(1);
    const Duration d(std::int64_t(latency(random)));
    samples.emplace_back(now, d);
    sorted.insert(std::upper_bound(sorted.begin(), sorted.end(), d), d);
    while (samples.front().first < now - std::chrono::seconds(10)) {
      sorted.erase(std::lower_bound(sorted.begin(), sorted.end(), samples.front().second));
      samples.pop_front();
    }
    if (++n % 16 == 0) benchmark::DoNotOptimize(sorted[std::size_t(0.99 * double(sorted.size() - 1))]);
  }
}
BENCHMARK(quantile_window)->Iterations(200000);
BENCHMARK(quantile_sorted_vector)->Iterations(200000);

class Collect : public benchmark::ConsoleReporter {
 public:
  void ReportRuns(const std::vector<Run>& runs) override {
    ConsoleReporter::ReportRuns(runs);
    for (const auto& r : runs) {
      auto name = r.run_name.function_name;
      const auto each = r.counters.find("ns_per_lookup");
      const double ns = each != r.counters.end() ? each->second.value * 1e9
                                                 : r.real_accumulated_time / double(r.iterations) * 1e9;
      figures["ns"][name] = std::round(ns * 10) / 10;
    }
  }
};

}  // namespace
}  // namespace granitegap::deps

namespace {

int run_main(int argc, char** argv) {
  using namespace granitegap::deps;
  benchmark::Initialize(&argc, argv);
  for (int i = 1; i + 1 < argc; i += 2) {
    const std::string name = argv[i];
    const auto value = std::strtoull(argv[i + 1], nullptr, 10);
    if (name == "--seed")
      options.seed = value;
    else if (name == "--keys" && value > 0)
      options.keys = value;
    else if (name == "--dependencies" && value > 0 && value <= 64)
      options.dependencies = value;
    else if (name == "--endpoints" && value > 0 && value <= 64)
      options.endpoints = value;
    else
      return std::fprintf(stderr, "unusable argument %s %s\n", argv[i], argv[i + 1]), 2;
  }
  Collect reporter;
  benchmark::RunSpecifiedBenchmarks(&reporter);
  std::printf("%s\n", figures.dump().c_str());
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return run_main(argc, argv);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "granitegap_bench_micro: %s\n", error.what());
    return 1;
  }
}
