// Chooses among backends whose loads are known with a delay.
//
// Load pattern: many nodes place requests at the same backends, and each learns
// of the others' requests some hundred milliseconds late. If every node chose
// the backend with the lowest known cost, that backend would get the requests
// of all nodes until the next update, while others get none.
//
// The choice therefore assumes that the requests not known yet fill the
// backends up to a common level, and chooses each backend with
// the probability of such a request going there. The more requests are unknown,
// the less do differences in cost matter. Source: M. Dahlin, "Interpreting
// Stale Load Information", IEEE TPDS 11(10), 2000 (Basic LI).
//
// Example:
//   std::vector<double> costs = { 4, 2, 9 };
//   size_t index = ChooseByStaleLoad(costs, 6, draw(random));

#pragma once

#include <cstddef>
#include <vector>

namespace briarglade {

// Returns the cost up to which aRequests fill the backends, each request adding
// a cost of 1 to one of them. aCosts must not be empty.
double FillLevel(std::vector<double> aCosts, double aRequests);

// Returns an index of aCosts, which must not be empty. aUnreportedRequests is
// the number of requests that all nodes have placed, or place, before their
// effect is known; with 0 the lowest cost is chosen. aDraw is a random number
// from 0 up to, but not including, 1.
size_t ChooseByStaleLoad(const std::vector<double>& aCosts,
                         double aUnreportedRequests,
                         double aDraw);

} // namespace briarglade
