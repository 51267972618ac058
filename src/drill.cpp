#include <iostream>

#include "adapter.h"

int main() {
  std::ios::sync_with_stdio(false);
  return limegap::serve(std::cin, std::cout, std::cerr);
}
