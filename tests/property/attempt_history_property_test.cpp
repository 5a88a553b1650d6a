// Attempts of one call with any outcome of each, and streams resumed at another server.
//
// Index: 1 attempt_history, 2 stream_relay
#include "policy/attempt_history.hpp"
#include "serving/own_response.hpp"
#include "serving/stream_relay.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace marigoldcrank
{
namespace
{

// 1. attempt_history

attempt_outcome any_fate()
{
    return *rc::gen::element(attempt_outcome::answered, attempt_outcome::not_sent,
                             attempt_outcome::not_run, attempt_outcome::unknown);
}

RC_GTEST_PROP(attempt_history, a_non_repeatable_call_never_runs_twice, ())
{
    attempt_limits const terms{.repeatable = false,
                               .max_servers = *rc::gen::inRange(1, 6)};
    attempt_history      account;
    int                  ran = 0;
    int                  attempts = 0;
    while (account.allows(terms) && attempts < 100)
    {
        account.begin();
        auto const fate = any_fate();
        account.end(fate);
        ran +=
            fate == attempt_outcome::unknown || fate == attempt_outcome::answered ? 1 : 0;
        ++attempts;
        RC_ASSERT(account.may_have_run() == (ran > 0));
    }
    RC_ASSERT(ran <= 1);
}

RC_GTEST_PROP(attempt_history, attempts_are_bounded_however_they_fail, ())
{
    attempt_limits const terms{.repeatable = true,
                               .max_servers = *rc::gen::inRange(1, 6)};
    attempt_history      account;
    int                  attempts = 0;
    while (account.allows(terms))
    {
        account.begin();
        account.end(any_fate());
        ++attempts;
        RC_ASSERT(attempts <=
                  terms.max_servers + 2 + 4); // runs, refusals, failed connections
        RC_ASSERT(account.runs() <= terms.max_servers);
    }
}

// A response breaks off after its head: the attempt's outcome is recorded a second time,
// but it must count as one attempt.
TEST(attempt_history, an_interrupted_response_counts_once)
{
    attempt_history account;
    account.begin();
    account.end(attempt_outcome::answered);
    account.end(attempt_outcome::unknown);
    EXPECT_EQ(account.runs(), 1);
    EXPECT_TRUE(account.allows({.repeatable = true, .max_servers = 2}));
    EXPECT_FALSE(account.allows({.repeatable = false, .max_servers = 2}));
}

TEST(attempt_history, failed_prefills_count_as_retries_but_not_as_runs)
{
    attempt_history account;
    EXPECT_FALSE(account.is_retry());
    account.prefill_failed();
    EXPECT_TRUE(account.is_retry());
    EXPECT_FALSE(account.may_have_run());
    account.prefill_failed();
    EXPECT_FALSE(account.allows({.repeatable = true, .max_servers = 9}));
}

// 2. stream_relay

response_head any_head()
{
    response_head head;
    head.result(200U);
    head.set("Content-Type", "text/event-stream; charset=utf-8");
    return head;
}

std::string event(int number)
{
    return "id: " + std::to_string(number) + "\ndata: x\n\n";
}

/// The response text without its head.
std::string body_of(std::string const& text)
{
    auto const end = text.find("\r\n\r\n");
    return end == std::string::npos ? text : text.substr(end + 4);
}

// A server fails at any byte within an event, and another one continues after the last
// complete event. The caller must get each event once, and a single head.
RC_GTEST_PROP(stream_relay, a_resumed_stream_equals_an_unbroken_one, ())
{
    stream_relay relay(true, false);
    std::string  first;
    for (int number = 1; number <= 5; ++number)
    {
        first += event(number);
    }
    auto const cut = *rc::gen::inRange<std::size_t>(0, first.size());
    relay.begin_server(any_head());
    auto       out = relay.take(any_head(), first.substr(0, cut));
    auto const last = relay.last_event().empty() ? 0 : std::stoi(relay.last_event());
    RC_ASSERT(relay.started() == (last > 0));
    std::string second;
    for (int number = last + 1; number <= 5; ++number)
    {
        second += event(number);
    }
    relay.begin_server(any_head());
    out += relay.take(any_head(), second);
    out += relay.finish(any_head());
    RC_ASSERT(body_of(out) == first);
    RC_ASSERT(out.find("HTTP/1.1") == out.rfind("HTTP/1.1"));
}

// A stream cut at any byte was ended with the last chunk, behind a partial event.
TEST(stream_relay, stream_cut_at_any_byte_ends_as_complete)
{
    for (std::string const line_end : {"\n", "\r\n", "\r"})
    {
        std::string              stream;
        std::vector<std::size_t> ends; // of events; a cut there is between events
        for (int number = 1; number <= 3; ++number)
        {
            stream += ": comment" + line_end + "id: " + std::to_string(number) +
                      line_end + "data: x" + line_end + line_end;
            ends.push_back(stream.size());
        }
        for (std::size_t cut = 0; cut <= stream.size(); ++cut)
        {
            auto const whole =
                std::upper_bound(ends.begin(), ends.end(), cut) - ends.begin();
            auto const events =
                whole == 0 ? 0 : ends[static_cast<std::size_t>(whole) - 1];
            stream_relay relay(false, true);
            relay.begin_server(any_head());
            auto const out = relay.take(any_head(), stream.substr(0, cut));
            EXPECT_EQ(body_of(out),
                      events == 0 ? "" : format_chunk(stream.substr(0, events)));
            bool const between = cut == events;
            auto const at = relay.position();
            EXPECT_EQ(is_complete_stream(body_result::framed, at), between) << cut;
            EXPECT_EQ(is_complete_stream(body_result::unframed, at), between && cut > 0);
            EXPECT_FALSE(is_complete_stream(body_result::broken, at));
            EXPECT_FALSE(is_complete_stream(body_result::timed_out, at));
        }
    }
}

TEST(stream_relay, nothing_is_sent_before_the_first_complete_event)
{
    stream_relay relay(false, true);
    relay.begin_server(any_head());
    EXPECT_EQ(relay.take(any_head(), "id: 1\ndata: "), "");
    EXPECT_FALSE(relay.started());
    auto const out = relay.take(any_head(), "x\n\n");
    EXPECT_TRUE(relay.started());
    EXPECT_NE(out.find("Transfer-Encoding: chunked"), std::string::npos);
    EXPECT_EQ(relay.finish(any_head()), "0\r\n\r\n");
}

} // namespace
} // namespace marigoldcrank
