// Pseudo-random choices that depend only on a seed and are the same on each machine.
//
// Threads: one. No errors.
#pragma once
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <random>
#include <vector>

namespace granitegap::soak {

// Makes the choices of one seed. Their order decides their values.
class SeededRandom {
 public:
  explicit SeededRandom(std::uint64_t seed) : random_(seed) {}

  // Returns a uniformly distributed number in [low, high].
  std::size_t between(std::size_t low, std::size_t high) {
    return low + std::size_t(random_() % (high - low + 1));
  }
  std::chrono::milliseconds milliseconds(std::size_t low, std::size_t high) {
    return std::chrono::milliseconds(between(low, high));
  }
  // Returns true with a probability of 1/n.
  bool one_in(std::size_t n) { return random_() % n == 0; }
  // Returns one of the values, each with the same probability.
  template <class T>
  T one_of(std::initializer_list<T> values) {
    return *(values.begin() + std::ptrdiff_t(random_() % values.size()));
  }
  // Returns `count` different numbers below `size`, in a random order.
  std::vector<std::size_t> sample(std::size_t count, std::size_t size) {
    std::vector<std::size_t> all(size);
    for (std::size_t i = 0; i < size; ++i) all[i] = i;
    for (std::size_t i = 0; i < count; ++i) std::swap(all[i], all[between(i, size - 1)]);
    all.resize(count);
    return all;
  }

 private:
  std::mt19937_64 random_;
};

}  // namespace granitegap::soak
