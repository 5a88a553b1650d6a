// Waiting for a condition.
//
// Index: eventually
#ifndef MARIGOLDCRANK_TESTS_SUPPORT_EVENTUALLY_HPP
#define MARIGOLDCRANK_TESTS_SUPPORT_EVENTUALLY_HPP

#include <functional>

namespace marigoldcrank::tests
{

/// Polls until `condition` holds; false after the timeout, which only bounds a failure.
bool eventually(std::function<bool()> const& condition, int timeout_ms = 20000);

} // namespace marigoldcrank::tests

#endif
