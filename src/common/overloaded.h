// Joins lambdas into one visitor for std::visit. A visitor without a case for an alternative does not
// compile.
#pragma once

namespace granitegap {

template <class... Cases>
struct Overloaded : Cases... {
  using Cases::operator()...;
};
// Clang before 17 does not deduce the arguments of an aggregate without it.
template <class... Cases>
Overloaded(Cases...) -> Overloaded<Cases...>;

}  // namespace granitegap
