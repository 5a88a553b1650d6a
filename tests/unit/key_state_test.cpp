// Keys that are withdrawn or compromised between admission and the end of a call, with a
// fake backend server.
#include "app/request_path.hpp"
#include "support/node_process.hpp"

#include <gtest/gtest.h>

#include <atomic>

namespace marigoldcrank
{
namespace
{

/// Generates four tokens, or fewer if it is cancelled; runs `after_token` after each.
class fake_backend
{
public:
    leaf::result<void> stream(backend_server const&, engine_call const& call,
                              event_sink const& sink)
    {
        ++dispatched;
        std::uint64_t sequence = 0;
        for (; sequence < 4 && cancelled == 0; ++sequence)
        {
            sink({call.request_id, call.attempt, sequence, "token"});
            after_token();
        }
        sink({call.request_id, call.attempt, sequence, "", true, sequence < 4, 1,
              sequence});
        return {};
    }

    leaf::result<service_response> call(backend_server const&, service_call const&)
    {
        ++dispatched;
        return service_response{200, "", ""};
    }

    void cancel(backend_server const&, std::string const&, std::uint64_t)
    {
        ++cancelled;
    }

    leaf::result<load_report> load(backend_server const&)
    {
        return load_report{};
    }

    std::atomic<int>      dispatched{0};
    std::atomic<int>      cancelled{0};
    std::function<void()> after_token = [] {
    };
};

/// A request path with one engine, and the state of the only key.
struct path_under_test
{
    path_under_test()
    {
        directory.replace({{.id = "engine", .group = "group"}});
        path.watch_keys([this](std::string const&) { return key.load(); });
    }

    response_end run()
    {
        auto           stream = path.start({.request_id = "request",
                                            .key_id = "key",
                                            .group = "group",
                                            .deadline = boot_clock::now() + millis{60000}});
        response_batch batch;
        while (!batch.end)
        {
            batch = stream->take(millis{1000});
        }
        return *batch.end;
    }

    fake_backend               backend;
    server_directory           directory;
    span_store                 spans{"node", 16, ""};
    metrics                    counters;
    poison_guard               poison{"node", {}, [](wire::peer_message&) {
                        }};
    std::atomic<key_state>     key{key_state::good};
    std::atomic<std::uint64_t> billed{0};
    worker_pool                workers{1};
    request_path<fake_backend> path{backend,
                                    directory,
                                    spans,
                                    counters,
                                    workers,
                                    poison,
                                    [this](wire::usage_delta const& delta)
                                    { billed += delta.output_tokens(); },
                                    {}};
};

TEST(key_state, queued_work_of_a_withdrawn_key_is_refused_as_not_run)
{
    path_under_test test;
    test.key = key_state::withdrawn;
    auto const end = test.run();
    ASSERT_TRUE(end.refused);
    EXPECT_EQ(end.refused->cause, refusal_cause::key_withdrawn);
    EXPECT_EQ(end.refused->fate, call_fate::not_run);
    EXPECT_EQ(test.backend.dispatched, 0);
    EXPECT_EQ(test.billed, 0U);
}

TEST(key_state, dispatched_work_of_a_withdrawn_key_finishes)
{
    path_under_test test;
    test.backend.after_token = [&]
    {
        test.key = key_state::withdrawn;
    };
    auto const end = test.run();
    EXPECT_FALSE(end.refused);
    EXPECT_EQ(test.backend.cancelled, 0);
    EXPECT_EQ(test.billed, 4U);
}

TEST(key_state, dispatched_work_of_a_compromised_key_is_cancelled_and_billed_so_far)
{
    path_under_test test;
    test.backend.after_token = [&]
    {
        // The request path checks the key at the second token and sends the cancel on
        // another thread.
        bool const was_checked =
            test.key.exchange(key_state::compromised) != key_state::good;
        EXPECT_TRUE(!was_checked ||
                    tests::eventually([&] { return test.backend.cancelled > 0; }));
    };
    auto const end = test.run();
    ASSERT_TRUE(end.refused);
    EXPECT_EQ(end.refused->cause, refusal_cause::key_withdrawn);
    EXPECT_EQ(end.refused->fate, call_fate::final_refusal);
    EXPECT_EQ(test.backend.dispatched, 1);
    EXPECT_EQ(test.backend.cancelled, 1);
    EXPECT_EQ(test.billed, 2U); // the engine's own count up to the cancel
}

} // namespace
} // namespace marigoldcrank
