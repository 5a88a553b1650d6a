// Streams that go on from copies of their runs after their engines have crashed.
//
// Index: 1 copying_engines, 2 continuations, 3 streams that can't go on
#include "platform/support/entry_cluster.hpp"
#include "platform/support/raw_caller.hpp"
#include "support/eventually.hpp"

#include <gtest/gtest.h>

#include <chrono>
#include <functional>
#include <map>
#include <thread>

namespace marigoldcrank::tests
{
namespace
{

using std::chrono::milliseconds;

// 1. copying_engines

constexpr int crash_at = 3;   // event after which the first engine crashes
constexpr int last_event = 6; // of a whole stream

std::string events(int first, int last)
{
    std::string all;
    for (int number = first; number <= last; ++number)
    {
        all += server_standin::event(number);
    }
    return all;
}

/// The servers of a cluster as engines in two data centres. The engine that gets a run
/// crashes within an event; one that has a copy goes on.
class copying_engines
{
public:
    explicit copying_engines(entry_cluster& cluster) : cluster_(cluster)
    {
        for (int index = 0; index < 2; ++index)
        {
            auto& server = cluster.server(index);
            list(server, "ready");
            server.handle_always(
                [this, &server](wire_request const& request, wire_connection& connection)
                {
                    return request.field("kv-source").empty()
                               ? run(server, request, connection)
                               : go_on(server, request, connection);
                });
        }
        configure();
        std::this_thread::sleep_for(milliseconds{1500}); // entries are read once a second
    }

    ~copying_engines()
    {
        for (int index = 0; index < 2; ++index)
        {
            cluster_.server(index).handle_always({});
        }
    }

    void list(server_standin const& server, std::string const& state,
              std::string const& version = "v1")
    {
        nlohmann::json const entry{{"service", "models"},
                                   {"address", address(server)},
                                   {"zone", server.id() == "i-0" ? "here" : "there"},
                                   {"slots", 8},
                                   {"state", state},
                                   {"stage", "decode"},
                                   {"sequence", 1},
                                   {"version", version}};
        cluster_.store().put("keyed.servers", server.id(), entry.dump());
    }

    /// The requests at both engines, those that go on from a copy or the others.
    std::vector<wire_request> requests(bool continued) const
    {
        std::vector<wire_request> result;
        for (int index = 0; index < 2; ++index)
        {
            for (auto const& each : cluster_.server(index).received_requests())
            {
                if (each.field("kv-source").empty() != continued)
                {
                    result.push_back(each);
                }
            }
        }
        return result;
    }

    server_standin& other_than(server_standin const& server)
    {
        return cluster_.server(server.id() == "i-0" ? 1 : 0);
    }

    bool              keep_copies = true;
    bool              ends_in_order = false; // no crash: a response that ends too early
    std::atomic<bool> run_in_progress{false};
    std::function<void(server_standin& runner)> before_crash;
    wire_server::handler                        continuation; // none: a whole stream

private:
    static std::string address(server_standin const& server)
    {
        return "127.0.0.1:" + std::to_string(server.port());
    }

    void configure()
    {
        nlohmann::json const once{{"name", "model"},
                                  {"host", "shop.example"},
                                  {"path_prefix", "/model/"},
                                  {"timeout_ms", 6000},
                                  {"target_latency_ms", 300},
                                  {"service", "models"},
                                  {"itl_target_ms", 100},
                                  {"max_attempts", 1},
                                  {"priority", 1},
                                  {"route_type", "streaming"}};
        auto                 again = once;
        again["name"] = "again";
        again["path_prefix"] = "/again/";
        again["resumable"] = true;
        again["max_attempts"] = 2;
        nlohmann::json const engine{{"kv_hold_s", 5.0}, {"backups", true}};
        nlohmann::json const rules{
            {"version", 2},
            {"routes", {once, again}},
            {"services",
             nlohmann::json::array({{{"name", "models"}, {"engine", engine}}})},
            {"tenants",
             nlohmann::json::array({{{"name", "north"}, {"api_keys", {"key-north"}}}})}};
        cluster_.store().put("keyed.op", "config", rules.dump());
    }

    bool run(server_standin& server, wire_request const& request,
             wire_connection& connection)
    {
        auto const first = request.field("last-event-id");
        if (!first.empty())
        {
            return send_rest(request, connection);
        }
        connection.send(server_standin::stream_head(request));
        connection.send(server_standin::chunk(events(1, crash_at) + "id: 4\ndata: pie"));
        if (keep_copies && !request.field("kv-backup").empty())
        {
            std::lock_guard lock{mutex_};
            copies_[request.field("kv-backup") + "/" + request.field("request-id")] =
                crash_at;
        }
        if (before_crash)
        {
            before_crash(server);
        }
        std::this_thread::sleep_for(milliseconds{50});
        if (ends_in_order)
        {
            run_in_progress = true;
            connection.send("0\r\n\r\n");
            eventually([&] { return connection.closed_by_peer(); }, 3000);
            run_in_progress = false;
            return false;
        }
        connection.reset();
        return false;
    }

    bool go_on(server_standin& server, wire_request const& request,
               wire_connection& connection)
    {
        auto const own = address(server) + "/" + request.field("request-id");
        {
            std::lock_guard lock{mutex_};
            if (request.field("kv-source") != own || copies_.erase(own) == 0)
            {
                connection.send(server_standin::not_executed_response(request));
                return true;
            }
        }
        return continuation ? continuation(request, connection)
                            : send_rest(request, connection);
    }

    static bool send_rest(wire_request const& request, wire_connection& connection)
    {
        auto const first = std::stoi(request.field("last-event-id")) + 1;
        connection.send(server_standin::stream_head(request) +
                        server_standin::chunk(events(first, last_event)) + "0\r\n\r\n");
        return true;
    }

    entry_cluster&             cluster_;
    std::mutex                 mutex_;
    std::map<std::string, int> copies_; // events by ADDRESS/ID
};

bool logged(entry_cluster const& cluster, std::string const& text)
{
    return cluster.output().find(text) != std::string::npos;
}

request_options model_call(std::string const& path)
{
    return {.path = path,
            .fields = "Model: m\r\nToken-Count: 9000,50\r\n"
                      "Prefix-Hash: aa:1000,bb:8000\r\n"};
}

/// The settings with copies switched off.
cluster_options without_copies()
{
    return {.bounds = "[policy]\ncopies = false\n"};
}

// 2. Continuations

// An engine crashes in the middle of an event, on a route whose streams run at most once.
// The stream must go on at the engine with the copy, each event once and in order, and be
// billed once.
TEST(platform_copies, stream_that_may_not_be_resumed_goes_on_from_its_copy)
{
    entry_cluster   cluster({.bounds = "usage_window_s = 1\nlease_ms = 1500\n"
                                         "key_life_ms = 5000\n"});
    copying_engines engines(cluster);
    auto const      response = ask(cluster.caller_port(), model_call("/model/x"));
    EXPECT_EQ(response.status, 200);
    EXPECT_TRUE(response.complete);
    EXPECT_EQ(response.body, events(1, last_event));
    ASSERT_EQ(engines.requests(false).size(), 1U);
    ASSERT_EQ(engines.requests(true).size(), 1U);
    auto const continued = engines.requests(true).front();
    EXPECT_EQ(continued.field("last-event-id"), std::to_string(crash_at));
    EXPECT_EQ(continued.field("request-id"), "call-1");
    EXPECT_TRUE(eventually([&] { return logged(cluster, "ev=continued id=call-1"); }));
    auto const billed = [&]
    {
        std::int64_t sum = 0;
        for (auto const& call : cluster.duty_requests())
        {
            if (call.path == "/usage")
            {
                sum += call.body.at("counts").value("north", std::int64_t{0});
            }
        }
        return sum;
    };
    EXPECT_TRUE(eventually([&] { return billed() > 0; }, 20000));
    std::this_thread::sleep_for(milliseconds{1500}); // the next window's report
    EXPECT_EQ(billed(), 1);
}

// Reading a long prompt again takes longer than callers wait for the next event.
TEST(platform_copies, resumable_stream_with_a_long_prompt_goes_on_from_its_copy)
{
    entry_cluster   cluster;
    copying_engines engines(cluster);
    auto            call = model_call("/again/x");
    call.fields = "Model: m\r\nToken-Count: 80000,50\r\nPrefix-Hash: aa:100,bb:79900\r\n";
    auto const response = ask(cluster.caller_port(), call);
    EXPECT_TRUE(response.complete);
    EXPECT_EQ(response.body, events(1, last_event));
    EXPECT_EQ(engines.requests(true).size(), 1U);
}

// A short prompt is read again in time, so its stream needs no memory at a second engine
// while an attempt is left.
TEST(platform_copies, resumable_stream_with_a_short_prompt_is_not_copied)
{
    entry_cluster   cluster;
    copying_engines engines(cluster);
    auto            call = model_call("/again/x");
    call.fields = "Model: m\r\nToken-Count: 200,50\r\nPrefix-Hash: aa:100,bb:100\r\n";
    auto const response = ask(cluster.caller_port(), call);
    EXPECT_EQ(response.body, events(1, last_event));
    EXPECT_TRUE(engines.requests(true).empty());
    auto const runs = engines.requests(false);
    ASSERT_EQ(runs.size(), 2U);
    for (auto const& run : runs)
    {
        bool const last_attempt = !run.field("last-event-id").empty();
        EXPECT_EQ(!run.field("kv-backup").empty(), last_attempt);
    }
}

// A response ends too early while its engine still works on the run. The engine must be
// released, or two engines would run the call at once.
TEST(platform_copies, first_engine_is_released_before_the_stream_goes_on)
{
    std::atomic<bool> released{false};
    entry_cluster     cluster;
    copying_engines   engines(cluster);
    engines.ends_in_order = true;
    engines.continuation = [&](wire_request const& request, wire_connection& connection)
    {
        released = eventually([&] { return !engines.run_in_progress; }, 400);
        connection.send(server_standin::stream_head(request) +
                        server_standin::chunk(events(4, last_event)) + "0\r\n\r\n");
        return true;
    };
    auto const response = ask(cluster.caller_port(), model_call("/model/x"));
    EXPECT_TRUE(response.complete);
    EXPECT_EQ(response.body, events(1, last_event));
    EXPECT_TRUE(released);
}

// The caller leaves while the engine with the copy goes on. That engine must be released
// at once.
TEST(platform_copies, continued_stream_ends_when_its_caller_leaves)
{
    std::atomic<bool> released{false};
    entry_cluster     cluster;
    copying_engines   engines(cluster);
    engines.continuation = [&](wire_request const& request, wire_connection& connection)
    {
        connection.send(server_standin::stream_head(request) +
                        server_standin::chunk(server_standin::event(4)));
        released = eventually([&] { return connection.closed_by_peer(); }, 3000);
        return false;
    };
    raw_caller caller(cluster.caller_port());
    caller.send(make_request(model_call("/model/x")));
    caller.read_until("data: piece 4");
    caller.close();
    EXPECT_TRUE(eventually([&] { return released.load(); }));
}

// 3. Streams that can't go on

/// Checks that the stream was cut off after its third event, and doesn't look complete.
void expect_broken_off(raw_response const& response)
{
    EXPECT_EQ(response.status, 200);
    EXPECT_FALSE(response.complete);
    EXPECT_EQ(response.body, events(1, crash_at));
}

// The target had no room for the copy. The stream must be broken off, not ended in order,
// and not run again.
TEST(platform_copies, stream_without_a_copy_at_the_target_is_broken_off)
{
    entry_cluster   cluster;
    copying_engines engines(cluster);
    engines.keep_copies = false;
    expect_broken_off(ask(cluster.caller_port(), model_call("/model/x")));
    EXPECT_EQ(engines.requests(false).size(), 1U);
    EXPECT_EQ(engines.requests(true).size(), 1U);
}

// The engine with the copy crashes too. A second continuation would need a second copy.
TEST(platform_copies, stream_whose_second_engine_crashes_too_is_broken_off)
{
    entry_cluster   cluster;
    copying_engines engines(cluster);
    engines.continuation = [](wire_request const& request, wire_connection& connection)
    {
        connection.send(server_standin::stream_head(request) +
                        server_standin::chunk("id: 4\nda"));
        std::this_thread::sleep_for(milliseconds{50});
        connection.reset();
        return false;
    };
    expect_broken_off(ask(cluster.caller_port(), model_call("/model/x")));
    EXPECT_EQ(engines.requests(false).size(), 1U);
    EXPECT_EQ(engines.requests(true).size(), 1U);
}

// The engine with the copy begins to leave before the other one crashes. It must get no
// further requests.
TEST(platform_copies, stream_whose_copy_is_at_a_leaving_engine_is_broken_off)
{
    entry_cluster   cluster;
    copying_engines engines(cluster);
    engines.before_crash = [&](server_standin& runner)
    {
        engines.list(engines.other_than(runner), "draining");
        std::this_thread::sleep_for(milliseconds{1600});
    };
    expect_broken_off(ask(cluster.caller_port(), model_call("/model/x")));
    EXPECT_TRUE(engines.requests(true).empty());
}

// The engine with the copy restarts with another version. One stream must not have events
// of two versions.
TEST(platform_copies, stream_is_not_continued_by_another_version)
{
    entry_cluster   cluster;
    copying_engines engines(cluster);
    engines.before_crash = [&](server_standin& runner)
    {
        engines.list(engines.other_than(runner), "ready", "v2");
        std::this_thread::sleep_for(milliseconds{1600});
    };
    expect_broken_off(ask(cluster.caller_port(), model_call("/model/x")));
    EXPECT_TRUE(engines.requests(true).empty());
}

// Without a retry in the budget, continuations after a mass crash would exceed it.
TEST(platform_copies, continuation_draws_on_the_retry_budget)
{
    entry_cluster   cluster({.bounds = "retry_ratio = 0\nretry_slack = 1\n"});
    copying_engines engines(cluster);
    auto            call = model_call("/model/x");
    EXPECT_TRUE(ask(cluster.caller_port(), call).complete);
    std::this_thread::sleep_for(milliseconds{700}); // the engine's backoff is over
    call.id = "call-2";
    expect_broken_off(ask(cluster.caller_port(), call));
    EXPECT_EQ(engines.requests(false).size(), 2U);
    EXPECT_EQ(engines.requests(true).size(), 1U);
}

TEST(platform_copies, no_copy_is_asked_for_where_the_setting_is_off)
{
    entry_cluster   cluster(without_copies());
    copying_engines engines(cluster);
    expect_broken_off(ask(cluster.caller_port(), model_call("/model/x")));
    EXPECT_EQ(engines.requests(false).front().field("kv-backup"), "");
}

} // namespace
} // namespace marigoldcrank::tests
