// Polling for a condition.
//
// Index: eventually
#ifndef MARIGOLDCRANK_TESTS_SUPPORT_EVENTUALLY_HPP
#define MARIGOLDCRANK_TESTS_SUPPORT_EVENTUALLY_HPP

#include <functional>

namespace marigoldcrank::tests
{

/// Polls `condition` every 10 ms until it holds; returns false after the timeout, which
/// passes only in a failing test.
bool eventually(std::function<bool()> const& condition, int timeout_ms = 20000);

} // namespace marigoldcrank::tests

#endif
