// Combines lambdas into one visitor for std::visit. A visitor that does not handle every alternative does not
// compile.
#pragma once

namespace granitegap {

// An overload set of the given callables.
template <class... Cases>
struct Overloaded : Cases... {
  using Cases::operator()...;
};
// Clang before version 17 does not deduce the template arguments of an aggregate without this guide.
template <class... Cases>
Overloaded(Cases...) -> Overloaded<Cases...>;

}  // namespace granitegap
