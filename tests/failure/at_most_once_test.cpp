// A call that may not be repeated runs at most once, and a fate of `not_run` is true,
// wherever the call is interrupted. The calls that the stand-in of the service received
// show what ran.
#include "support/caller.hpp"
#include "support/node_process.hpp"

#include <gtest/gtest.h>

#include <thread>

namespace marigoldcrank::tests
{
namespace
{

using nlohmann::json;

/// What the caller received for one attempt.
struct order_result
{
    int         status = 0; // 0: the connection closed early
    std::string fate;
    std::string type;
    std::string request_id;
    std::string body;
    std::string earlier;
    std::string retry_after;
};

order_result order(fleet const& system, int node, std::string const& key,
                   std::string const& body = "{\"copies\":30}")
{
    httplib::Client client("127.0.0.1", system.node_port(node));
    client.set_read_timeout(30);
    auto headers = bearer(system);
    if (!key.empty())
    {
        headers.emplace("Idempotency-Key", key);
    }
    auto const response =
        client.Post("/services/ordering/orders", headers, body, "application/json");
    if (!response)
    {
        return {};
    }
    auto const parsed = json::parse(response->body, nullptr, false);
    auto const error =
        parsed.is_object() ? parsed.value("error", json::object()) : json();
    return {response->status,
            error.is_object() ? error.value("fate", "") : "",
            error.is_object() ? error.value("type", "") : "",
            response->get_header_value("X-Request-Id"),
            response->body,
            response->get_header_value("X-Earlier-Result"),
            response->get_header_value("Retry-After")};
}

json runs(fleet const& system)
{
    return system.received(system.service_port(0), "call");
}

/// True once node 0 has asked the platform to append a record of this kind.
bool appended(fleet const& system, std::string const& field)
{
    for (auto const& entry : system.received(system.platform_port(), "append"))
    {
        auto const record = json::parse(entry["body"].get<std::string>(), nullptr, false);
        if (entry["from"] == "node-0" && record.contains("calls") &&
            record["calls"].contains(field))
        {
            return true;
        }
    }
    return false;
}

void fault_log(fleet const& system, std::string const& kind, int for_ms = 0,
               std::string const& from = "node-0")
{
    system.fault(system.platform_port(),
                 {{"kind", kind}, {"for_ms", for_ms}, {"from", from}});
}

void fault_service(fleet const& system, std::string const& kind, int for_ms)
{
    system.fault(system.service_port(0), {{"kind", kind}, {"for_ms", for_ms}});
}

void end_faults(fleet const& system)
{
    system.fault(system.platform_port(), {{"kind", "none"}});
    system.fault(system.service_port(0), {{"kind", "none"}});
}

/// Sends the order through node 0 and kills the node as soon as `reached` holds.
order_result order_and_kill(fleet& system, std::function<bool()> const& reached)
{
    order_result seen;
    std::thread  caller([&] { seen = order(system, 0, "order-1"); });
    EXPECT_TRUE(eventually(reached));
    system.node(0).signal(SIGKILL);
    caller.join();
    EXPECT_EQ(seen.status, 0) << "a response arrived before the node was killed";
    return seen;
}

/// One point at which a call is interrupted, and the expected final outcome.
struct interruption
{
    char const* name;
    bool        answered; // the last attempt gets a response; else the outcome is unknown
    std::vector<order_result> (*interrupt)(fleet&);
};

std::vector<order_result> killed_before_intent(fleet& system)
{
    fault_log(system, "outage");
    return {order_and_kill(system, [&] { return appended(system, "intents"); })};
}

std::vector<order_result> killed_after_intent(fleet& system)
{
    // The append takes effect shortly after the entry VM was killed.
    fault_log(system, "late", 600);
    auto seen = order_and_kill(system, [&] { return appended(system, "intents"); });
    std::this_thread::sleep_for(std::chrono::milliseconds(700));
    return {seen};
}

std::vector<order_result> killed_after_dispatch(fleet& system)
{
    fault_service(system, "silent", 60'000);
    return {order_and_kill(system, [&] { return runs(system).size() == 1; })};
}

std::vector<order_result> killed_before_answer(fleet& system)
{
    fault_service(system, "slow", 400);
    return {order_and_kill(system,
                           [&]
                           {
                               if (!runs(system).empty())
                               {
                                   // The append takes effect, but its response is lost.
                                   fault_log(system, "drop_answer");
                               }
                               return appended(system, "results");
                           })};
}

std::vector<order_result> log_outage(fleet& system)
{
    fault_log(system, "outage", 0, "");
    std::vector<order_result> seen;
    for (int node = 0; node < 3; ++node)
    {
        seen.push_back(order(system, node, "order-1"));
        EXPECT_EQ(seen.back().type, "log_unavailable");
        EXPECT_EQ(seen.back().fate, "not_run");
        EXPECT_FALSE(seen.back().retry_after.empty());
    }
    return seen;
}

std::vector<order_result> lost_append_answer(fleet& system)
{
    fault_log(system, "drop_answer", 300);
    return {order(system, 0, "order-1")};
}

std::vector<order_result> late_append(fleet& system)
{
    fault_log(system, "late", 2500);
    auto seen = order(system, 0, "order-1");
    EXPECT_EQ(seen.fate, "not_run");
    return {seen, order(system, 1, "order-1")};
}

std::vector<order_result> late_append_then_wait(fleet& system)
{
    fault_log(system, "late", 2000);
    auto seen = order(system, 0, "order-1");
    EXPECT_EQ(seen.fate, "not_run");
    std::this_thread::sleep_for(std::chrono::milliseconds(1500));
    return {seen};
}

std::vector<order_result> service_freezes_after_effect(fleet& system)
{
    fault_service(system, "silent", 60'000);
    auto seen = order(system, 0, "order-1");
    EXPECT_EQ(seen.fate, "outcome_unknown");
    return {seen};
}

std::vector<order_result> service_drops_answer(fleet& system)
{
    fault_service(system, "drop_answer", 0);
    auto seen = order(system, 0, "order-1");
    EXPECT_EQ(seen.fate, "outcome_unknown");
    return {seen};
}

std::vector<order_result> service_down(fleet& system)
{
    system.service(0).signal(SIGKILL);
    system.service(0).wait(5000);
    auto seen = order(system, 0, "order-1");
    EXPECT_EQ(seen.fate, "not_run");
    system.start_service(0);
    return {seen};
}

std::vector<order_result> log_out_after_dispatch(fleet& system)
{
    fault_service(system, "slow", 400);
    order_result seen;
    std::thread  caller([&] { seen = order(system, 0, "order-1"); });
    EXPECT_TRUE(eventually([&] { return runs(system).size() == 1; }));
    fault_log(system, "outage", 0, "");
    caller.join();
    EXPECT_EQ(seen.status, 200);
    std::vector<order_result> all{seen, order(system, 0, "order-1")};
    all.push_back(order(system, 1, "order-1"));
    return all;
}

std::vector<order_result> three_entries_at_once(fleet& system)
{
    fault_service(system, "slow", 300);
    std::vector<order_result> seen(3);
    std::vector<std::thread>  callers;
    for (int node = 0; node < 3; ++node)
    {
        callers.emplace_back(
            [&, node]
            { seen[static_cast<std::size_t>(node)] = order(system, node, "order-1"); });
    }
    for (auto& caller : callers)
    {
        caller.join();
    }
    return seen;
}

constexpr interruption interruptions[] = {
    {"killed_before_intent", true, killed_before_intent},
    {"killed_after_intent", false, killed_after_intent},
    {"killed_after_dispatch", false, killed_after_dispatch},
    {"killed_before_answer", true, killed_before_answer},
    {"log_outage", true, log_outage},
    {"lost_append_answer", true, lost_append_answer},
    {"late_append", true, late_append},
    {"late_append_then_wait", true, late_append_then_wait},
    {"service_freezes_after_effect", false, service_freezes_after_effect},
    {"service_drops_answer", false, service_drops_answer},
    {"service_down", true, service_down},
    {"log_out_after_dispatch", true, log_out_after_dispatch},
    {"three_entries_at_once", true, three_entries_at_once},
};

/// A caller repeats a call that is not idempotent, through any entry VM, until it
/// receives a final response. The call must not run twice, and after `not_run` it must
/// not have run at all. Each interruption hits the call at another step.
class at_most_once : public testing::TestWithParam<interruption>
{
};

TEST_P(at_most_once, runs_once_at_most_and_not_run_is_true)
{
    fleet      system;
    auto const point = GetParam();
    auto       seen = point.interrupt(system);
    end_faults(system);
    int        next = 0;
    bool const settled = eventually(
        [&]
        {
            seen.push_back(order(system, 1 + next++ % 2, "order-1"));
            return seen.back().status == 200 || seen.back().type == "owner_lost";
        });
    EXPECT_TRUE(settled) << seen.back().type;
    EXPECT_EQ(seen.back().status == 200, point.answered) << seen.back().type;
    auto const received = runs(system);
    EXPECT_LE(received.size(), 1U) << received.dump(1);
    for (auto const& each : seen)
    {
        for (auto const& run : received)
        {
            EXPECT_FALSE(each.fate == "not_run" && run["id"] == each.request_id);
        }
        EXPECT_TRUE(each.status != 200 || each.body == seen.back().body);
    }
}

INSTANTIATE_TEST_SUITE_P(cuts, at_most_once, testing::ValuesIn(interruptions),
                         [](auto const& point) { return std::string{point.param.name}; });

/// A caller uses one idempotency key for two different calls. The second must not be
/// answered with the result of the first.
TEST(idempotency_key, another_body_under_the_same_key_is_refused)
{
    fleet system;
    EXPECT_EQ(order(system, 0, "order-1").status, 200);
    auto const other = order(system, 1, "order-1", "{\"copies\":31}");
    EXPECT_EQ(other.status, 422);
    EXPECT_EQ(other.type, "key_reused");
    EXPECT_EQ(other.fate, "not_run");
    EXPECT_EQ(runs(system).size(), 1U);
}

/// Two workspaces use the same idempotency key for different calls.
TEST(idempotency_key, belongs_to_its_workspace)
{
    fleet system;
    EXPECT_EQ(order(system, 0, "order-1").status, 200);
    httplib::Client client("127.0.0.1", system.node_port(1));
    auto            headers = bearer(system, "south");
    headers.emplace("Idempotency-Key", "order-1");
    auto const response = client.Post("/services/ordering/orders", headers,
                                      "{\"copies\":30}", "application/json");
    ASSERT_TRUE(response);
    EXPECT_FALSE(response->has_header("X-Earlier-Result"));
    EXPECT_EQ(runs(system).size(), 2U);
}

/// The response of a service is larger than what is stored. The second attempt must
/// neither run the call again nor return a part of the response as the whole.
TEST(idempotency_key, keeps_only_the_status_of_a_large_answer)
{
    fleet      system({.node_settings = {{"kept_body_bytes", "8"}}});
    auto const first = order(system, 0, "order-1");
    auto const second = order(system, 1, "order-1");
    EXPECT_EQ(first.status, 200);
    EXPECT_EQ(second.status, 200);
    EXPECT_EQ(second.earlier, "status-only");
    EXPECT_EQ(second.body, "");
    EXPECT_EQ(runs(system).size(), 1U);
}

/// Without an idempotency key a repeat cannot be recognised. When the response of the
/// service is lost, neither the HTTP library nor the relay may send the call a second
/// time.
TEST(no_idempotency_key, is_sent_once_and_its_fate_told)
{
    fleet system({.services = 2});
    for (int service = 0; service < 2; ++service)
    {
        system.fault(system.service_port(service), {{"kind", "drop_answer"}});
    }
    auto const seen = order(system, 0, "");
    EXPECT_EQ(seen.fate, "outcome_unknown");
    EXPECT_EQ(system.received(system.service_port(0), "call").size() +
                  system.received(system.service_port(1), "call").size(),
              1U);
}

/// A repeatable call runs on one server, whose response is lost, and is attempted on a
/// second server that is down. The fate must not be `not_run`, which it would be if only
/// the last attempt decided it.
TEST(repeatable_call, an_earlier_attempt_makes_not_run_untrue)
{
    fleet system({.services = 2});
    system.service(1).signal(SIGKILL);
    system.service(1).wait(5000);
    system.fault(system.service_port(0), {{"kind", "drop_answer"}});
    httplib::Client client("127.0.0.1", system.node_port(0));
    auto const      response = client.Get("/services/ordering/status", bearer(system));
    ASSERT_TRUE(response);
    EXPECT_EQ(system.received(system.service_port(0), "call").size(), 1U);
    EXPECT_EQ(json::parse(response->body)["error"]["fate"], "outcome_unknown");
}

} // namespace
} // namespace marigoldcrank::tests
