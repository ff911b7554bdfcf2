// Builds one visitor for std::visit out of several lambdas.
//
// Example:
//   std::visit(Overloaded{ [](const Tick& aTick) { ... },
//                          [](const Stop&) { ... } }, event);

#pragma once

namespace briarglade {

template<typename... Callables>
struct Overloaded : Callables...
{
  using Callables::operator()...;
};
template<typename... Callables>
Overloaded(Callables...) -> Overloaded<Callables...>;

} // namespace briarglade
