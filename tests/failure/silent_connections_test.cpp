// Connections that become silent for good while new ones work.
#include "support/model_caller.hpp"

#include <gtest/gtest.h>

#include <atomic>
#include <csignal>
#include <thread>

namespace marigoldcrank::tests
{
namespace
{

std::string last_lines(std::string const& text)
{
    constexpr std::size_t most = 20'000;
    return text.size() <= most ? text : text.substr(text.size() - most);
}

fleet_options one_engine()
{
    fleet_options options;
    options.nodes = 1;
    options.engines = 1;
    options.services = 0;
    options.relayed = true;
    return options;
}

// A firewall drops the state of idle keep-alive connections between entry VM and engine.
// Each remaining idle connection would cost the caller another timeout, until the
// attempts are used up, although a new connection would work.
TEST(silent_connections, idle_ones_cost_one_silence_and_not_each_its_own)
{
    auto options = one_engine();
    options.node_settings["max_attempts"] = "2";
    fleet                    system(options);
    chat_request const       slow{.tokens = 400};
    std::vector<std::thread> callers;
    for (int index = 0; index < 8; ++index)
    {
        callers.emplace_back([&]
                             { EXPECT_TRUE(call_model(system, 0, slow).whole(slow)); });
    }
    for (auto& caller : callers)
    {
        caller.join();
    }
    system.engine_relay(0).silence_open();
    chat_request const chat;
    EXPECT_TRUE(call_model(system, 0, chat).whole(chat));
    EXPECT_TRUE(call_model(system, 0, chat).whole(chat));
}

// An outage has used up the retries, and hardly any requests have come since. A call that
// then meets a single silent connection must not fail.
TEST(silent_connections, single_one_costs_no_call_after_retries_were_used_up)
{
    auto options = one_engine();
    options.node_settings["progress_ms"] = "200";
    options.node_settings["retry_burst"] = "1";
    fleet              system(options);
    chat_request const chat;
    for (int silences = 0; silences < 4; ++silences)
    {
        EXPECT_TRUE(call_model(system, 0, chat).whole(chat));
        system.engine_relay(0).silence_open();
        EXPECT_TRUE(call_model(system, 0, chat).whole(chat)) << silences;
    }
}

// The connection to the only engine becomes silent during a stream. The caller sees a
// pause of progress_ms, then the rest, with each token once.
TEST(silent_connections, a_stream_goes_on_at_the_same_engine_over_a_new_one)
{
    fleet              system(one_engine());
    chat_request const chat{.tokens = 400};
    std::atomic<int>   parts{0};
    auto const         response = call_model(system, 0, chat,
                                             [&]
                                             {
                                         if (++parts == 5)
                                         {
                                             system.engine_relay(0).silence_open();
                                         }
                                     });
    EXPECT_TRUE(response.whole(chat));
    EXPECT_EQ(system.received(system.engine_port(0), "generate").size(), 2U);
}

// An operator withdraws a VM while another engine is frozen. If the query for loads
// waited for the frozen engine before the list is read again, the withdrawn engine would
// go on receiving calls.
TEST(silent_connections, a_frozen_engine_holds_up_no_report_and_no_list)
{
    fleet_options options;
    options.nodes = 1;
    options.engines = 3;
    options.node_settings = {{"load_timeout_ms", "120000"}, {"progress_ms", "120000"}};
    fleet system(options);
    system.engine(0).signal(SIGSTOP);
    auto const leaving = [&](std::string const& id)
    {
        auto const status = system.admin(0, "/admin/status");
        for (auto const& server : status["backend_servers"])
        {
            if (server["id"] == id)
            {
                return server["leaving"] == true;
            }
        }
        return false;
    };
    system.fault(system.engine_port(1), {{"kind", "leaving"}});
    EXPECT_TRUE(eventually([&] { return leaving("engine-1"); }));
    system.publish_vms({{"engine-2", {{"state", "leaving"}}}});
    EXPECT_TRUE(eventually([&] { return leaving("engine-2"); }));
    EXPECT_FALSE(leaving("engine-0"));
    system.engine(0).signal(SIGCONT);
}

// Callers that no longer read, or vanished without closing, must not keep the threads of
// their connections, or requests are refused as overloaded although hardly any is served.
TEST(silent_connections, a_caller_that_reads_nothing_gives_its_slot_back)
{
    auto options = one_engine();
    options.node_settings["http_threads"] = "4";
    options.node_settings["caller_silence_ms"] = "500";
    options.engine_settings["decode_us"] = "1";
    fleet                    system(options);
    auto const               port = system.next_port();
    tcp_relay                between(port, system.node_port(0));
    chat_request const       endless{.tokens = 1'000'000, .timeout_s = 60, .port = port};
    std::vector<std::thread> stalled;
    chat_request const       chat;
    ASSERT_TRUE(eventually(
        [&]
        {
            stalled.emplace_back([&] { call_model(system, 0, endless); });
            return call_model(system, 0, chat).status == 503;
        }));
    between.silence_open();
    EXPECT_TRUE(eventually([&] { return call_model(system, 0, chat).whole(chat); }));
    EXPECT_TRUE(eventually(
        [&] { return system.received(system.engine_port(0), "cancel").size() >= 1; }));
    between.cut(true);
    for (auto& caller : stalled)
    {
        caller.join();
    }
}

// An entry VM is stopped. Its kernel still acknowledges everything, so only messages of
// its own show that it is live. Peers that count it as live would go on sending it orders
// and withdrawals.
TEST(silent_connections, a_stopped_peer_is_not_live_until_it_goes_on)
{
    fleet      system({.engines = 1, .services = 0});
    auto const live = [&](std::size_t count)
    {
        return system.admin(0, "/admin/status")["live_peers"].size() == count;
    };
    ASSERT_TRUE(eventually([&] { return live(2); }));
    system.node(1).signal(SIGSTOP);
    EXPECT_TRUE(eventually([&] { return live(1); }));
    system.node(1).signal(SIGCONT);
    EXPECT_TRUE(eventually([&] { return live(2); }));
}

// All connections to one entry VM become silent. Unless its peers open new ones, a
// withdrawn key would go on working there.
TEST(silent_connections, peers_open_a_new_one_when_theirs_went_silent)
{
    fleet_options options;
    options.engines = 1;
    options.services = 0;
    options.relayed = true;
    fleet      system(options);
    auto const live = [&](int node)
    {
        return system.admin(node, "/admin/status")["live_peers"].size();
    };
    ASSERT_TRUE(eventually([&] { return live(0) == 2; }));
    auto const before = system.peer_relay(0).accepted();
    system.peer_relay(0).silence_open();
    EXPECT_TRUE(
        eventually([&] { return system.peer_relay(0).accepted() >= before + 2; }));
    EXPECT_TRUE(eventually([&] { return live(0) == 2; }));
}

// A thousand lost connections must leave no thread, descriptor or count behind, or an
// entry VM would refuse everything after a while.
TEST(silent_connections, a_thousand_of_them_leave_nothing_behind)
{
    auto options = one_engine();
    options.engines = 2;
    options.node_settings["progress_ms"] = "200";
    options.node_settings["max_attempts"] = "10";
    options.keep_output = true;
    fleet                    system(options);
    auto const               tcp_before = describe_tcp();
    auto const               pid = system.node(0).pid();
    auto const               threads = process_count(pid, "task");
    std::atomic<bool>        over{false};
    std::atomic<int>         refused{0};
    std::vector<std::thread> callers;
    for (int index = 0; index < 24; ++index)
    {
        callers.emplace_back(
            [&]
            {
                chat_request const chat{.tokens = 40};
                while (!over)
                {
                    auto const response = call_model(system, 0, chat);
                    EXPECT_TRUE(response.whole(chat) || !response.fate.empty())
                        << response.status;
                    refused += response.whole(chat) ? 0 : 1;
                }
            });
    }
    std::size_t faults = 0;
    while (faults < 1000)
    {
        faults += system.engine_relay(0).silence_open();
        faults += system.engine_relay(1).silence_open();
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
    over = true;
    for (auto& caller : callers)
    {
        caller.join();
    }
    auto const status = [&](char const* name)
    {
        return system.admin(0, "/admin/status").value(name, -1);
    };
    EXPECT_TRUE(eventually([&] { return status("inflight") == 0; }));
    EXPECT_TRUE(eventually([&] { return status("own_running") == 0; }));
    EXPECT_EQ(process_count(pid, "task"), threads);
    EXPECT_TRUE(eventually([&] { return process_count(pid, "fd") < 60; }));
    chat_request const chat;
    auto const         last = call_model(system, 0, chat);
    EXPECT_TRUE(last.whole(chat))
        << describe(last) << "\nbefore: " << tcp_before << "\nafter: " << describe_tcp()
        << "\n"
        << (last.whole(chat) ? "" : last_lines(system.outputs()));
    RecordProperty("refused", refused);
}

} // namespace
} // namespace marigoldcrank::tests
