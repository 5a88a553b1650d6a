// A caller receives the complete response to its own request, or a typed error, whatever
// the engines do.
#include "support/caller.hpp"
#include "support/model_caller.hpp"
#include "support/node_process.hpp"

#include <gtest/gtest.h>

#include <thread>

namespace marigoldcrank::tests
{
namespace
{

using nlohmann::json;

constexpr int tokens = 24;

/// Sets a fault at every engine.
void fault_everywhere(fleet const& system, int engines, json const& value)
{
    for (int engine = 0; engine < engines; ++engine)
    {
        system.fault(system.engine_port(engine), value);
    }
}

/// An engine, or the network before it, repeats, reorders, mixes up, damages or delays
/// events, or sends events of an earlier attempt. The caller would read tokens twice,
/// tokens of another call or a shortened text if events were relayed as they arrive.
class confused_engine : public testing::TestWithParam<char const*>
{
};

TEST_P(confused_engine, gives_each_token_once_and_in_order)
{
    fleet       system;
    auto const  expected = ask(system, 0, {.tokens = tokens});
    std::string kind = GetParam();
    fault_everywhere(system, 2, {{"kind", kind}, {"count", 1}, {"for_ms", 300}});
    auto const response = ask(system, 0, {.tokens = tokens});
    EXPECT_EQ(response.status, 200);
    EXPECT_TRUE(response.done);
    EXPECT_EQ(response.text, expected.text);
    EXPECT_EQ(response.token_count, tokens);
}

INSTANTIATE_TEST_SUITE_P(faults, confused_engine,
                         testing::Values("doubled", "reordered", "stale",
                                         "crossed_middle", "late", "malformed"));

/// As above, but the faulty engine cannot finish the response; another one has to resume
/// it from the first missing token.
class broken_engine : public testing::TestWithParam<char const*>
{
};

TEST_P(broken_engine, resumes_on_the_other_with_each_token_once)
{
    fleet       system;
    auto const  expected = ask(system, 0, {.tokens = tokens});
    std::string kind = GetParam();
    json const  value = {{"kind", kind}, {"count", 1}, {"for_ms", 60000}};
    system.fault(system.engine_port(0), value);
    auto const response = ask(system, 0, {.tokens = tokens, .prompt = "a line for Noor"});
    EXPECT_TRUE(response.done);
    EXPECT_EQ(response.text, expected.text);
    auto const resumed = system.received(system.engine_port(1), "generate");
    ASSERT_EQ(resumed.size(), 1U);
    auto const from = resumed[0]["headers"]["X-Resume-From"].get<std::string>();
    EXPECT_EQ(from, kind == "crossed" ? "0" : std::to_string(tokens / 2));
}

INSTANTIATE_TEST_SUITE_P(faults, broken_engine,
                         testing::Values("truncate", "crash_middle", "silent", "junk",
                                         "crossed"));

/// Every engine truncates its responses. The caller must not take a part for all of it,
/// which happens if a truncated chunked response ends like a complete one.
TEST(whole_answer, a_short_answer_never_looks_whole)
{
    fleet system;
    fault_everywhere(system, 2, {{"kind", "truncate"}});
    auto const streamed = ask(system, 0, {.tokens = tokens});
    EXPECT_FALSE(streamed.done);
    EXPECT_EQ(streamed.error["type"], "backend_server_failed");
    EXPECT_EQ(streamed.error["fate"], "outcome_unknown");
    auto const whole = ask(system, 0, {.tokens = tokens, .stream = false});
    EXPECT_EQ(whole.status, 502);
    EXPECT_EQ(whole.error["type"], "backend_server_failed");
}

/// The entry VM is killed in the middle of a response. The HTTP library of the caller
/// must see an interrupted transfer, not a proper end.
TEST(whole_answer, a_killed_entry_leaves_the_transfer_broken)
{
    fleet                system({.engine_settings = {{"decode_us", "100000"}}});
    caller_options const options{.tokens = tokens};
    streamed_response    response;
    std::thread          caller([&] { response = ask(system, 0, options); });
    EXPECT_TRUE(eventually(
        [&]
        {
            return system.received(system.engine_port(0), "generate").size() +
                       system.received(system.engine_port(1), "generate").size() ==
                   1;
        }));
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    system.node(0).signal(SIGKILL);
    caller.join();
    EXPECT_FALSE(response.complete);
    EXPECT_FALSE(response.done);
}

/// A caller closes its connection. The engine must not go on generating, and what it ran
/// must be billed. This fails if the entry VM notices only at the next token, or counts
/// the tokens that it sent.
class leaving_caller : public testing::TestWithParam<std::tuple<bool, char const*>>
{
};

TEST_P(leaving_caller, is_cancelled_at_the_engine_and_billed_for_what_ran)
{
    auto const [stream, prefill_per_s] = GetParam();
    fleet system(
        {.engines = 1,
         .engine_settings = {{"decode_us", "20000"}, {"prefill_per_s", prefill_per_s}}});
    std::thread caller(
        [&]
        { ask(system, 0, {.tokens = 2000, .stream = stream, .leave_after_ms = 600}); });
    caller.join();
    EXPECT_TRUE(eventually(
        [&] { return system.received(system.engine_port(0), "cancel").size() == 1; }));
    EXPECT_TRUE(eventually([&] { return !generated(system, 0).empty(); }));
    auto const ran = generated(system, 0)[0]["output_tokens"].get<std::uint64_t>();
    EXPECT_LT(ran, 1000U);
    EXPECT_TRUE(eventually([&] { return reported_tokens(system, "north") == ran; }))
        << ran << " ran, reported " << reported_tokens(system, "north");
}

INSTANTIATE_TEST_SUITE_P(
    cases, leaving_caller,
    testing::Values(std::tuple{true, "20000"}, std::tuple{false, "20000"},
                    // Slow prefill: the caller leaves before the first token.
                    std::tuple{true, "3"}));

/// An engine sends bytes without end that form no token. The caller would wait beyond its
/// deadline if each byte restarted the read timeout.
TEST(whole_answer, a_trickling_engine_is_left_at_the_deadline)
{
    fleet system({.engines = 1,
                  .node_settings = {{"deadline_ms", "2500"}, {"progress_ms", "60000"}}});
    fault_everywhere(system, 1, {{"kind", "junk"}, {"for_ms", 60000}});
    auto const response = ask(system, 0, {.tokens = tokens});
    EXPECT_FALSE(response.done);
    EXPECT_EQ(response.error["type"], "deadline");
    EXPECT_LT(response.duration_ms, 20000);
}

/// An engine that changes its role refuses calls for two seconds. Callers would see
/// errors if a plain refusal counted as a failure or were not attempted elsewhere.
TEST(whole_answer, an_engine_that_changes_its_role_is_passed_over)
{
    fleet           system;
    httplib::Client engine("127.0.0.1", system.engine_port(0));
    ASSERT_TRUE(engine.Post("/orders",
                            R"({"id":"1","kind":"role","value":"decode","fence":1})",
                            "application/json"));
    auto const response = ask(system, 0, {.tokens = tokens});
    EXPECT_TRUE(response.done);
    auto const metrics =
        httplib::Client("127.0.0.1", system.node_port(0)).Get("/metrics");
    ASSERT_TRUE(metrics);
    EXPECT_EQ(metrics->body.find("suspects_total"), std::string::npos);
}

} // namespace
} // namespace marigoldcrank::tests
