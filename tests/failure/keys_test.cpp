// API keys under faults: a withdrawn key is refused everywhere within seconds, and no key
// leaves an entry VM.
//
// Index: 1 helpers, 2 withdrawal, 3 work in progress, 4 secrecy
#include "domain/boot_clock.hpp"
#include "support/node_process.hpp"

#include <httplib.h>

#include <gtest/gtest.h>

#include <algorithm>
#include <csignal>
#include <thread>

namespace marigoldcrank::tests
{
namespace
{

using nlohmann::json;

// 1. Helpers

httplib::Headers bearer(fleet const& system, std::string const& workspace)
{
    return {{"Authorization", "Bearer " + system.key(workspace)}};
}

/// A caller that keeps its connection open between calls.
class open_connection
{
public:
    open_connection(fleet const& system, int node)
        : headers_(bearer(system, "north")), client_("127.0.0.1", system.node_port(node))
    {
        client_.set_keep_alive(true);
        client_.set_read_timeout(30);
    }

    httplib::Result call(int tokens = 2)
    {
        return client_.Post("/v1/completions", headers_,
                            json{{"model", "wording"},
                                 {"prompt", "x"},
                                 {"max_tokens", tokens},
                                 {"stream", true}}
                                .dump(),
                            "application/json");
    }

    int status()
    {
        auto const response = call();
        return response ? response->status : 0;
    }

private:
    httplib::Headers headers_;
    httplib::Client  client_;
};

std::string withdraw(fleet const& system, int node, bool compromised)
{
    return system
        .admin_post(node, "/admin/keys/withdraw",
                    {{"key_id", "north-1"}, {"compromised", compromised}})
        .value("outcome", "");
}

bool contains(std::string const& text, std::string const& part)
{
    return text.find(part) != std::string::npos;
}

// 2. Withdrawal

/// A withdrawn key must stop working at all nodes. Callers are connected to all nodes,
/// the platform is unreachable and one node is paused; the key is withdrawn at another
/// node; the paused node resumes and a new one starts. This fails if a withdrawal spreads
/// through the log only, or is sent to peers only once.
TEST(keys, a_withdrawn_key_stops_everywhere_without_the_platform)
{
    fleet           system;
    open_connection callers[] = {{system, 0}, {system, 1}, {system, 2}};
    for (auto& caller : callers)
    {
        ASSERT_EQ(caller.status(), 200);
    }
    system.fault(system.platform_port(), {{"kind", "outage"}});
    system.node(2).signal(SIGSTOP);
    EXPECT_EQ(withdraw(system, 0, false), "withdrawn");
    for (int node = 0; node < 2; ++node)
    {
        EXPECT_TRUE(eventually([&] { return callers[node].status() == 401; }));
    }
    auto const refused = callers[1].call();
    ASSERT_TRUE(refused);
    EXPECT_EQ(json::parse(refused->body)["error"]["fate"], "not_run");
    system.node(2).signal(SIGCONT);
    EXPECT_TRUE(eventually([&] { return callers[2].status() == 401; }));
    system.node(1).signal(SIGKILL);
    system.node(1).wait(5000);
    system.start_node(1);
    EXPECT_TRUE(eventually([&] { return callers[1].status() == 401; }));
    // The key of the other workspace still works.
    httplib::Client client("127.0.0.1", system.node_port(1));
    EXPECT_EQ(client.Get("/v1/models", bearer(system, "south"))->status, 200);
}

/// A withdrawn key must not work again after all nodes were replaced. It is withdrawn
/// during an outage of the platform and the append is given up; the platform returns, and
/// every node that received the withdrawal is replaced. This fails if the withdrawal is
/// never appended to the log.
TEST(keys, a_withdrawal_during_an_outage_reaches_the_log_afterwards)
{
    fleet system;
    system.fault(
        system.platform_port(),
        {{"kind", "outage"}, {"from", "node-0 node-1 node-2"}, {"for_ms", 5000}});
    EXPECT_EQ(withdraw(system, 0, false), "withdrawn");
    auto const logged = [&]
    {
        auto const records = system.log_records();
        return std::any_of(records.begin(), records.end(),
                           [](auto const& text) {
                               return contains(text, "withdrawal") &&
                                      contains(text, "north-1");
                           });
    };
    EXPECT_TRUE(eventually(logged));
    for (int node = 0; node < 3; ++node)
    {
        system.node(node).signal(SIGKILL);
        system.node(node).wait(5000);
    }
    system.start_node(1);
    open_connection caller(system, 1);
    EXPECT_TRUE(eventually([&] { return caller.status() == 401; }));
}

// 3. Work in progress

fleet_options slow_engine()
{
    fleet_options options;
    options.engines = 1;
    options.engine_settings = {{"decode_us", "20000"}};
    return options;
}

/// A withdrawal is no cancel. A long response is in progress when its key is withdrawn at
/// another node; the response must finish.
TEST(keys, dispatched_work_of_a_withdrawn_key_finishes)
{
    fleet           system(slow_engine());
    open_connection caller(system, 1);
    std::thread     withdrawal(
        [&]
        {
            ASSERT_TRUE(eventually(
                [&]
                { return !system.received(system.engine_port(0), "generate").empty(); }));
            EXPECT_EQ(withdraw(system, 0, false), "withdrawn");
        });
    auto const response = caller.call(100);
    withdrawal.join();
    ASSERT_TRUE(response);
    EXPECT_TRUE(contains(response->body, "data: [DONE]"));
    EXPECT_EQ(caller.status(), 401);
    EXPECT_TRUE(system.received(system.engine_port(0), "cancel").empty());
}

/// A key is withdrawn as compromised at another node while a long response is in
/// progress. The response must be cancelled, which fails if only new requests are
/// checked.
TEST(keys, dispatched_work_of_a_compromised_key_is_cancelled)
{
    fleet           system(slow_engine());
    open_connection caller(system, 1);
    std::thread     withdrawal(
        [&]
        {
            ASSERT_TRUE(eventually(
                [&]
                { return !system.received(system.engine_port(0), "generate").empty(); }));
            EXPECT_EQ(withdraw(system, 0, true), "withdrawn");
        });
    auto const response = caller.call(400);
    withdrawal.join();
    ASSERT_TRUE(response);
    EXPECT_FALSE(contains(response->body, "data: [DONE]"));
    EXPECT_TRUE(contains(response->body, "key_withdrawn"));
    EXPECT_TRUE(eventually(
        [&] { return !system.received(system.engine_port(0), "cancel").empty(); }));
}

// 4. Secrecy

/// Whoever reads an engine's requests, a log file, a span or the platform's log must find
/// no key. Calls of all kinds, valid and invalid, withdrawals and changes are made. This
/// fails if a header or body is relayed unchanged or written to a log.
TEST(keys, no_key_is_ever_seen_behind_an_entry)
{
    fleet_options options;
    options.keep_output = true;
    fleet             system(options);
    std::string const wrong = "mgc_north-1_0123wrong";
    for (auto const* path : {"/v1/completions", "/v1/chat/completions",
                             "/services/ordering/orders", "/services/ordering/status"})
    {
        for (auto const& key : {system.key("north"), wrong})
        {
            httplib::Client client("127.0.0.1", system.node_port(0));
            client.Post(
                path,
                {{"Authorization", "Bearer " + key},
                 {"Idempotency-Key", "order"},
                 {"X-Api-Key", key},
                 {"Cookie", "key=" + key},
                 {"X-Workspace", "south"}},
                R"({"model":"wording","prompt":"x","max_tokens":2,"messages":[]})",
                "application/json");
        }
    }
    EXPECT_EQ(withdraw(system, 1, true), "withdrawn");
    EXPECT_EQ(open_connection(system, 2).status(), 401);
    system.apply(0, system.rules() + "\n", system.admin(0, "/admin/status")["revision"],
                 "second");
    ASSERT_TRUE(eventually(
        [&] { return !system.received(system.platform_port(), "usage").empty(); }));
    std::string seen = system.outputs();
    ASSERT_TRUE(contains(seen, "dispatch")); // the outputs include the spans
    for (auto const& text : system.log_records())
    {
        seen += text;
    }
    for (int const port : {system.platform_port(), system.engine_port(0),
                           system.engine_port(1), system.service_port(0)})
    {
        seen += system.received(port).dump();
    }
    ASSERT_TRUE(contains(seen, "generate"));
    for (auto const& key :
         {system.key("north"), system.key("south"), wrong, system.operator_key()})
    {
        EXPECT_FALSE(contains(seen, key));
        EXPECT_FALSE(contains(seen, key.substr(key.rfind('_') + 1)));
    }
    EXPECT_FALSE(contains(seen, "Bearer"));
    for (auto const& request : system.received(system.engine_port(0), "generate"))
    {
        EXPECT_EQ(request["headers"]["X-Workspace"], "north");
    }
}

} // namespace
} // namespace marigoldcrank::tests
