// Polling for a condition.
#include "support/eventually.hpp"

#include "domain/boot_clock.hpp"

#include <thread>

namespace marigoldcrank::tests
{

namespace
{
constexpr int poll_ms = 10;
} // namespace

bool eventually(std::function<bool()> const& condition, int timeout_ms)
{
    auto const until = boot_clock::now() + millis{timeout_ms};
    while (!condition())
    {
        if (boot_clock::now() > until)
        {
            return false;
        }
        std::this_thread::sleep_for(millis{poll_ms});
    }
    return true;
}

} // namespace marigoldcrank::tests
