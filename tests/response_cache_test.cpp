// Tests of the W-TinyLFU cache of responses.
#include "deps/response_cache.h"

#include <gtest/gtest.h>

#include <map>
#include <random>
#include <set>

namespace granitegap::deps {
namespace {

using std::chrono::seconds;

TEST(ResponseCache, IsBoundedInBytesAndKeepsPopularEntriesDuringAScan) {
  ResponseCache cache(std::size_t{200} * 1024);
  const TimePoint now(seconds(1));
  const auto body = std::make_shared<const std::string>(900, 'x');
  const auto key = [](std::uint64_t n) { return cache_key(0, "/e/" + std::to_string(n), 5); };
  for (int round = 0; round < 20; ++round)
    for (std::uint64_t n = 0; n < 100; ++n)
      if (!cache.find(key(n), now)) cache.insert(key(n), 0, "", body, now);
  for (std::uint64_t n = 1000; n < 11000; ++n) {  // a scan: each key is requested once
    if (!cache.find(key(n), now)) cache.insert(key(n), 0, "", body, now);
    ASSERT_LE(cache.bytes(), 200u * 1024);
  }
  int hits = 0;
  for (std::uint64_t n = 0; n < 100; ++n) hits += cache.find(key(n), now).has_value();
  EXPECT_GT(hits, 90);
  cache.resize(std::size_t{10} * 1024);
  EXPECT_LE(cache.bytes(), 10u * 1024);
  cache.insert(key(1), 0, "", std::make_shared<const std::string>(100000, 'x'),
               now);  // larger than the whole cache
  EXPECT_LE(cache.bytes(), 10u * 1024);
}

TEST(ResponseCache, ReturnsTheBodyInsertedLastForEachKey) {
  ResponseCache cache(std::size_t{30} * 1024);
  std::map<std::uint64_t, std::string> model;
  std::mt19937_64 random(9);
  const TimePoint now(seconds(1));
  for (int i = 0; i < 20000; ++i) {
    const auto n = random() % 200;
    const auto key = cache_key(1, std::to_string(n), 7);
    if (random() % 2) {
      model[n] = std::string(random() % 700, char('a' + random() % 26));
      cache.insert(key, 1, std::to_string(n), std::make_shared<const std::string>(model[n]), now);
    } else if (const auto found = cache.find(key, now)) {
      ASSERT_EQ(*found->body, model[n]);
    }
    ASSERT_LE(cache.bytes(), 30u * 1024);
  }
}

TEST(ResponseCache, ReportsTheHottestEntries) {
  ResponseCache cache(std::size_t{200} * 1024);
  const TimePoint now(seconds(1));
  const auto body = std::make_shared<const std::string>(900, 'x');
  const auto path = [](std::uint64_t n) { return "/e/" + std::to_string(n); };
  for (std::uint64_t n = 0; n < 20; ++n) cache.insert(cache_key(0, path(n), 5), 0, path(n), body, now);
  for (int round = 0; round < 5; ++round)
    for (const std::uint64_t n : {3u, 11u, 17u}) cache.find(cache_key(0, path(n), 5), now);
  const auto hot = cache.hottest(100);
  ASSERT_EQ(hot.size(), 20u);
  std::set<std::string> first;
  for (int k = 0; k < 3; ++k) first.insert(*hot[std::size_t(k)].path);
  EXPECT_EQ(first, (std::set{path(3), path(11), path(17)}));
  EXPECT_EQ(cache.hottest(2).size(), 2u);
}

}  // namespace
}  // namespace granitegap::deps
