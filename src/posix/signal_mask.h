// Blocks signals, so that one that arrives before its handler is installed stays pending and is not lost.
//
// The mask is that of the calling thread; threads created afterwards inherit it.
#pragma once
#include <csignal>

namespace granitegap::posix {

// Keeps the signal pending until unblock_signal(), even if the parent process had it ignored.
inline void block_signal(int signal) {
  sigset_t set;
  ::sigemptyset(&set);
  ::sigaddset(&set, signal);
  ::pthread_sigmask(SIG_BLOCK, &set, nullptr);
  std::signal(signal, SIG_DFL);  // an ignored signal is discarded also while it is blocked
}

// Delivers the signal if it is pending, and from now on at once.
inline void unblock_signal(int signal) {
  sigset_t set;
  ::sigemptyset(&set);
  ::sigaddset(&set, signal);
  ::pthread_sigmask(SIG_UNBLOCK, &set, nullptr);
}

}  // namespace granitegap::posix
