// Exceptions in one task: what ends, what goes on, and what is logged.
//
// Index: 1 tasks, 2 callers
#include "serving/caller_session.hpp"
#include "serving/task_guard.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <array>
#include <stdexcept>
#include <string>
#include <vector>

namespace marigoldcrank
{
namespace
{

namespace asio = boost::asio;
using asio::ip::tcp;

struct sink_record
{
    failure_sink sink()
    {
        return [this](std::string_view task, std::string_view cause)
        {
            lines.push_back(std::string{task} + ": " + std::string{cause});
        };
    }

    std::vector<std::string> lines;
};

asio::awaitable<void> fail()
{
    co_await loop_sleep(millis{1});
    throw std::length_error{"too long"};
}

// 1. Tasks

// The exception was dropped, with nothing to tell that the task had ended.
TEST(task_guard, exception_of_a_task_is_reported)
{
    asio::io_context loop;
    sink_record      record;
    spawn_task(loop, "job", record.sink(), fail());
    loop.run();
    EXPECT_EQ(record.lines, (std::vector<std::string>{"job: too long"}));
}

// An exception in a handler ended the process.
TEST(task_guard, exception_of_a_handler_leaves_the_others)
{
    asio::io_context loop;
    sink_record      record;
    int              ran = 0;
    int              lost = 0;
    asio::post(loop, [] { throw std::runtime_error{"within a read"}; });
    asio::post(loop, [] { throw 7; });
    asio::post(loop, [&] { ++ran; });
    run_loop(loop, record.sink(), [&] { ++lost; });
    EXPECT_EQ(ran, 1);
    EXPECT_EQ(lost, 2);
    EXPECT_EQ(record.lines, (std::vector<std::string>{"handler: within a read",
                                                      "handler: unknown exception"}));
}

// A task of the daemon, such as the reader of the rules, ended for good.
TEST(task_guard, background_task_that_throws_starts_again)
{
    asio::io_context loop;
    sink_record      record;
    background_tasks tasks{loop, record.sink(), millis{1}};
    int              starts = 0;
    tasks.start("reader",
                [&]() -> asio::awaitable<void>
                {
                    if (++starts < 3)
                    {
                        co_await fail();
                    }
                });
    loop.run();
    EXPECT_EQ(starts, 3);
    EXPECT_EQ(record.lines.size(), 2U);
}

/// Completes by an exception outside the coroutine that waits for it.
template <class Token>
auto throw_in_handler(asio::io_context& loop, Token&& token)
{
    return asio::async_initiate<Token, void()>(
        [&loop](auto handler)
        {
            asio::post(loop, [kept = std::move(handler)]
                       { throw std::runtime_error{"in a handler"}; });
        },
        token);
}

TEST(task_guard, background_task_that_is_lost_with_a_handler_starts_again)
{
    asio::io_context loop;
    sink_record      record;
    background_tasks tasks{loop, record.sink(), millis{1}};
    auto const       work = asio::make_work_guard(loop); // as other tasks of a daemon
    int              starts = 0;
    tasks.start("reader",
                [&]() -> asio::awaitable<void>
                {
                    if (++starts == 1)
                    {
                        co_await throw_in_handler(loop, asio::use_awaitable);
                    }
                    loop.stop();
                });
    run_loop(loop, record.sink(), [&] { tasks.restart_lost(); });
    EXPECT_EQ(starts, 2);
    EXPECT_EQ(record.lines, (std::vector<std::string>{"handler: in a handler",
                                                      "reader: lost with a handler"}));
}

// 2. Callers

/// A dialect that can't take a call.
struct failing_dialect
{
    static std::variant<caller_call, call_fault> parse_call(http_request const&)
    {
        throw std::length_error{"call"};
    }

    static http_request build_attempt_request(http_request const&, attempt_options const&)
    {
        return {};
    }

    static response_facts parse_response(response_head const&)
    {
        return {};
    }

    static std::optional<std::string> parse_handle(std::string const&)
    {
        return std::nullopt;
    }

    static http_request build_check_request(std::string const&, std::string const&,
                                            std::string const&)
    {
        return {};
    }

    static http_request build_release_request(std::string const&, std::string const&)
    {
        return {};
    }
};

// A call that throws must end its connection, so that its caller doesn't wait, and leave
// nothing held.
TEST(task_guard, call_that_throws_ends_with_its_connection)
{
    asio::io_context   loop;
    entry_state        state{entry_settings{.name = "vm"}, "vm/1"};
    caller_connections callers;
    tcp::acceptor      acceptor{loop, {asio::ip::address_v4::loopback(), 0}};
    tcp::socket        caller{loop};
    caller.connect(acceptor.local_endpoint());
    auto serve = [&](tcp::socket socket) -> asio::awaitable<void>
    {
        caller_session<failing_dialect> session{state, callers, std::move(socket)};
        co_await session.run();
    };
    spawn_task(loop, "caller", state.failures(), serve(acceptor.accept()));
    std::string const request = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";
    asio::write(caller, asio::buffer(request));
    loop.run();
    std::array<char, 1>       byte{};
    boost::system::error_code error;
    asio::read(caller, asio::buffer(byte), error);
    EXPECT_EQ(error, asio::error::connection_reset);
    EXPECT_EQ(callers.size(), 0U);
    EXPECT_EQ(state.held->sum(), 0);
    EXPECT_NE(state.counters.exposition().find(R"(task_failures_total{task="call"} 1)"),
              std::string::npos);
}

} // namespace
} // namespace marigoldcrank
