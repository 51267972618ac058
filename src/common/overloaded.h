// Joins lambdas into one visitor for std::visit. A visitor without a case for an alternative does not
// compile.
#pragma once

namespace granitegap {

template <class... Cases>
struct Overloaded : Cases... {
  using Cases::operator()...;
};

}  // namespace granitegap
