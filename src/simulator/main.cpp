// Serves the simulator's wire format on standard input and output.
#include <iostream>

#include "simulator/adapter.h"

int main() {
  std::ios::sync_with_stdio(false);
  return granitegap::serve(std::cin, std::cout, std::cerr);
}
