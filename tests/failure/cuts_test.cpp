// Network partitions of data centres, platform outages, and paused and killed processes.
#include "support/model_caller.hpp"

#include <gtest/gtest.h>

#include <csignal>

namespace marigoldcrank::tests
{
namespace
{

using nlohmann::json;

/// Starts or ends a network partition that separates node 0 and engine 0, which are alone
/// in dc-1, from the other data centres and from the platform.
void partition_first_data_centre(fleet& system, bool on)
{
    std::set<std::string> const none;
    std::set<std::string> const inside{"node-0"};
    std::set<std::string> const outside{"node-1", "node-2"};
    system.platform_relay().silence_senders(on ? inside : none);
    system.engine_relay(0).silence_senders(on ? outside : none);
    system.peer_relay(0).silence_senders(on ? outside : none);
    for (int other : {1, 2})
    {
        system.engine_relay(other).silence_senders(on ? inside : none);
        system.peer_relay(other).silence_senders(on ? inside : none);
    }
}

std::uint64_t whole_tokens(std::vector<model_response> const& answers,
                           chat_request const&                chat)
{
    std::uint64_t tokens = 0;
    for (auto const& response : answers)
    {
        EXPECT_TRUE(response.whole(chat)) << response.status << " " << response.fate;
        tokens += static_cast<std::uint64_t>(chat.tokens);
    }
    return tokens;
}

// A data centre is partitioned from the others for a while. Its callers are served by its
// own engine and the others by theirs. After the partition no call has run twice and no
// usage is reported twice.
TEST(cuts, a_data_centre_cut_off_serves_and_doubles_nothing)
{
    fleet_options options;
    options.engines = 3;
    options.services = 0;
    options.relayed = true;
    fleet              system(options);
    chat_request const chat{.tokens = 40};
    caller_group       load(system, {0, 1, 2}, 9, chat);
    ASSERT_TRUE(eventually([&] { return load.answered() >= 9; }));
    partition_first_data_centre(system, true);
    auto const isolated = [&]
    {
        return system.admin(0, "/admin/status")["live_peers"].empty();
    };
    ASSERT_TRUE(eventually(isolated));
    auto const answered = load.answered();
    auto const own = system.received(system.engine_port(0), "generate").size();
    ASSERT_TRUE(eventually([&] { return load.answered() >= answered + 90; }));
    EXPECT_GT(system.received(system.engine_port(0), "generate").size(), own);
    EXPECT_EQ(system.admin(0, "/admin/status")["backend_servers"].size(), 3U);
    partition_first_data_centre(system, false);
    ASSERT_TRUE(eventually([&] { return !isolated(); }));
    auto tokens = whole_tokens(load.stop(), chat);
    EXPECT_TRUE(eventually([&] { return reported_tokens(system) == tokens; }));
    // One more call, so that a duplicate batch that arrives later would show in a later
    // window.
    EXPECT_TRUE(call_model(system, 0, chat).whole(chat));
    tokens += 40;
    EXPECT_TRUE(eventually([&] { return reported_tokens(system) == tokens; }));
}

// During a long outage of the platform callers must not be refused, as they would be if
// an entry VM took a list that it cannot read for an empty one.
TEST(cuts, an_old_list_is_kept_while_the_platform_is_out)
{
    fleet system;
    system.fault(system.platform_port(), {{"kind", "outage"}});
    ASSERT_TRUE(eventually(
        [&] { return system.received(system.platform_port(), "append").size() > 3; }));
    chat_request const chat;
    for (int index = 0; index < 30; ++index)
    {
        EXPECT_TRUE(call_model(system, index % 3, chat).whole(chat));
    }
}

// The hypervisor pauses an entry VM in mid-stream and resumes it later. The other VMs go
// on serving, its own callers receive the rest of their responses, and no usage is
// reported twice.
TEST(cuts, a_paused_entry_vm_harms_no_other_and_goes_on)
{
    fleet              system;
    chat_request const chat{.tokens = 200};
    caller_group       paused(system, {0}, 4, chat);
    caller_group       others(system, {1, 2}, 8, chat);
    ASSERT_TRUE(eventually([&] { return paused.answered() >= 4; }));
    system.node(0).signal(SIGSTOP);
    auto const answered = others.answered();
    ASSERT_TRUE(eventually([&] { return others.answered() >= answered + 48; }));
    system.node(0).signal(SIGCONT);
    auto const before = paused.answered();
    ASSERT_TRUE(eventually([&] { return paused.answered() >= before + 8; }));
    auto tokens = whole_tokens(paused.stop(), chat);
    tokens += whole_tokens(others.stop(), chat);
    EXPECT_TRUE(eventually([&] { return reported_tokens(system) == tokens; }));
}

// An engine is paused in mid-stream. Its streams resume at another engine, and what the
// paused engine sends after it wakes up reaches no caller.
TEST(cuts, a_paused_engine_costs_a_pause_and_no_token)
{
    fleet              system;
    chat_request const chat{.tokens = 300};
    caller_group       load(system, {0, 1, 2}, 9, chat);
    ASSERT_TRUE(eventually([&] { return load.answered() >= 9; }));
    system.engine(0).signal(SIGSTOP);
    auto answered = load.answered();
    ASSERT_TRUE(eventually([&] { return load.answered() >= answered + 27; }));
    system.engine(0).signal(SIGCONT);
    answered = load.answered();
    ASSERT_TRUE(eventually([&] { return load.answered() >= answered + 27; }));
    auto const tokens = whole_tokens(load.stop(), chat);
    EXPECT_TRUE(eventually([&] { return reported_tokens(system) == tokens; }));
}

// An entry VM that may hold leases is killed while it serves many streams. Callers of the
// other VMs are not affected.
TEST(cuts, a_killed_entry_vm_harms_no_other)
{
    fleet              system;
    chat_request const chat{.tokens = 200};
    caller_group       killed(system, {0}, 8, chat);
    caller_group       others(system, {1, 2}, 8, chat);
    ASSERT_TRUE(eventually([&] { return killed.answered() >= 8; }));
    system.node(0).signal(SIGKILL);
    auto const answered = others.answered();
    ASSERT_TRUE(eventually([&] { return others.answered() >= answered + 48; }));
    whole_tokens(others.stop(), chat);
    for (auto const& response : killed.stop())
    {
        EXPECT_TRUE(response.whole(chat) || !response.ended);
    }
}

} // namespace
} // namespace marigoldcrank::tests
