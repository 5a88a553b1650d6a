// Tests permits for requests to servers, without other VMs.
#include "serving/send_permit.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <gtest/gtest.h>

#include <thread>

namespace marigoldcrank
{
namespace
{

bool permitted(entry_state& state)
{
    boost::asio::io_context loop;
    bool                    granted = false;
    auto                    ask = [&]() -> boost::asio::awaitable<void>
    {
        auto const permit = co_await request_permit(state, "s");
        granted = permit.has_value();
    };
    boost::asio::co_spawn(loop, ask(), boost::asio::detached);
    loop.run();
    return granted;
}

int permitted_within(entry_state& state, millis time)
{
    int        count = 0;
    auto const end = boot_clock::now() + time;
    while (boot_clock::now() < end)
    {
        count += permitted(state) ? 1 : 0;
        std::this_thread::sleep_for(millis{5});
    }
    return count;
}

entry_state state_with(entry_settings settings)
{
    return entry_state{std::move(settings), "vm/1"};
}

void state_limit(entry_state& state, double rate)
{
    auto const now = boot_clock::now();
    state.record_response("s", {.status = 200, .rate_limit = rate}, now - millis{5});
}

TEST(send_permit, single_vm_uses_the_whole_limit)
{
    entry_state state = state_with({});
    EXPECT_TRUE(permitted(state));
    state_limit(state, 40);
    auto const count = permitted_within(state, millis{500});
    EXPECT_GE(count, 5);
    EXPECT_LE(count, 21);
}

// A VM that has other VMs and can query none must not take the whole limit for itself.
TEST(send_permit, vm_without_a_link_to_the_others_uses_only_its_part)
{
    entry_settings settings;
    settings.peers = {"127.0.0.1", 4000};
    entry_state state = state_with(settings);
    state_limit(state, 40);
    EXPECT_EQ(permitted_within(state, millis{500}), 0);
}

TEST(send_permit, server_that_is_leaving_or_on_hold_gets_none)
{
    entry_state state = state_with({});
    state.servers.put({.id = "s"});
    state.holds.hold("s", boot_clock::now() + millis{60'000});
    EXPECT_FALSE(permitted(state));
    state.forget_server("s");
    EXPECT_TRUE(permitted(state));
    state.servers.mark_leaving("s");
    EXPECT_FALSE(permitted(state));
}

} // namespace
} // namespace marigoldcrank
