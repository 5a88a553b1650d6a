// Objects that several threads share; CI runs these tests under the thread sanitizer.
#include "adapters/http_server.hpp"
#include "adapters/metrics.hpp"
#include "adapters/span_store.hpp"
#include "adapters/zmq_peers.hpp"
#include "app/ledger_store.hpp"
#include "app/response_stream.hpp"
#include "app/server_directory.hpp"
#include "support/node_process.hpp"
#include "wire.pb.h"

#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <thread>

namespace marigoldcrank
{
namespace
{

constexpr int rounds = 500;

/// Runs `work` on four threads at once.
template <class Work>
void run_on_four_threads(Work const& work)
{
    std::vector<std::thread> threads;
    for (int index = 0; index < 4; ++index)
    {
        threads.emplace_back([&work, index] { work(index); });
    }
    for (auto& thread : threads)
    {
        thread.join();
    }
}

TEST(shared_state, metrics_lose_no_count)
{
    metrics counters;
    run_on_four_threads(
        [&](int)
        {
            for (int round = 0; round < rounds; ++round)
            {
                counters.add("things_total");
                counters.observe("wait_seconds", millis{3});
            }
        });
    auto const text = counters.exposition();
    EXPECT_NE(text.find("marigoldcrank_things_total 2000"), std::string::npos);
    EXPECT_NE(text.find("marigoldcrank_wait_seconds_count 2000"), std::string::npos);
}

TEST(shared_state, directory_work_counts_return_to_zero)
{
    server_directory     directory;
    backend_server const server{.id = "engine-1", .group = "wording"};
    directory.replace({server});
    run_on_four_threads(
        [&](int)
        {
            for (int round = 0; round < rounds; ++round)
            {
                directory.begin(server, 10);
                directory.first_token(server, 10);
                directory.end(server, true);
                directory.replace({server});
            }
        });
    auto const views = directory.group("wording");
    ASSERT_EQ(views.size(), 1U);
    EXPECT_EQ(views[0].own_running, 0);
    EXPECT_EQ(views[0].own_prompt_tokens, 0);
}

TEST(shared_state, answer_stream_delivers_every_token_in_order)
{
    response_stream stream;
    std::thread     producer(
        [&]
        {
            for (int round = 0; round < rounds; ++round)
            {
                stream.push(std::to_string(round));
            }
            stream.finish({std::nullopt, 1, rounds});
        });
    int            next = 0;
    response_batch batch;
    while (!batch.end)
    {
        batch = stream.take(millis{1000});
        for (auto const& token : batch.tokens)
        {
            EXPECT_EQ(token, std::to_string(next));
            ++next;
        }
    }
    producer.join();
    EXPECT_EQ(next, rounds);
}

TEST(shared_state, ledger_store_wakes_threads_that_wait_for_a_record)
{
    std::atomic<int> changes{0};
    ledger_store     store([&] { ++changes; });
    std::thread      reader(
        [&]
        {
            for (std::uint64_t offset = 1; offset <= 100; ++offset)
            {
                wire::log_record record;
                record.set_record_id("record-" + std::to_string(offset));
                record.mutable_withdrawal()->set_key_id("key-" + std::to_string(offset));
                store.apply(offset, format_record(record), boot_clock::now());
            }
        });
    auto const outcome = store.wait_for("record-100", millis{20000});
    reader.join();
    ASSERT_TRUE(outcome);
    EXPECT_EQ(outcome->offset, 100U);
    EXPECT_EQ(changes, 100);
    EXPECT_EQ(store.access()->withdrawn.size(), 100U);
}

TEST(shared_state, peers_exchange_messages_from_several_threads)
{
    tests::port_block ports;
    settings          left_options;
    settings          right_options;
    left_options.name = "left";
    right_options.name = "right";
    left_options.peer_port = ports.next();
    right_options.peer_port = ports.next();
    std::vector<peer_address> const peers{
        {"left", "127.0.0.1", static_cast<int>(left_options.peer_port)},
        {"right", "127.0.0.1", static_cast<int>(right_options.peer_port)}};
    std::atomic<int> arrived{0};
    zmq_peers right(right_options, peers, [&](wire::peer_message const&) { ++arrived; });
    zmq_peers left(left_options, peers, [](wire::peer_message const&) {});
    wire::peer_message message;
    message.set_from("left");
    message.mutable_beat()->set_config_revision(1);
    run_on_four_threads(
        [&](int)
        {
            for (int round = 0; round < 50; ++round)
            {
                left.broadcast(message);
            }
        });
    EXPECT_TRUE(tests::eventually([&] { return arrived == 200; }));
    EXPECT_EQ(right.live(), std::vector<std::string>{"left"});
}

/// Callers open more connections than the VM has threads, and some wait without a
/// response: by default the library queues connections without a bound.
TEST(shared_state, connections_beyond_the_thread_count_are_refused_at_once)
{
    httplib::Server   server;
    std::atomic<bool> release{false};
    configure(server, {.threads = 2, .overflow_threads = 1, .max_body_bytes = 4096});
    server.set_pre_routing_handler(
        [](auto const&, auto& response)
        {
            if (!overflow_queue::is_refusing())
            {
                return httplib::Server::HandlerResponse::Unhandled;
            }
            write_refusal(response, {refusal_cause::overloaded, call_fate::not_run, 1},
                          "");
            return httplib::Server::HandlerResponse::Handled;
        });
    std::atomic<int> inside{0};
    server.Get("/wait",
               [&](auto const&, auto& response)
               {
                   ++inside;
                   tests::eventually([&] { return release.load(); });
                   response.set_content("served", "text/plain");
               });
    auto const               port = server.bind_to_any_port("127.0.0.1");
    std::thread              listener([&] { server.listen_after_bind(); });
    std::vector<std::thread> callers;
    std::atomic<int>         served{0};
    for (int index = 0; index < 2; ++index)
    {
        callers.emplace_back(
            [&]
            {
                httplib::Client client("127.0.0.1", port);
                client.set_read_timeout(60);
                auto const answer = client.Get("/wait");
                served += answer && answer->status == 200 ? 1 : 0;
            });
    }
    EXPECT_TRUE(tests::eventually([&] { return inside == 2; }));
    httplib::Client third("127.0.0.1", port);
    third.set_read_timeout(60);
    auto const refused = third.Get("/wait");
    ASSERT_TRUE(refused);
    EXPECT_EQ(refused->status, 503);
    EXPECT_EQ(refused->get_header_value("Retry-After"), "1");
    release = true;
    for (auto& caller : callers)
    {
        caller.join();
    }
    server.stop();
    listener.join();
    EXPECT_EQ(served, 2);
}

/// Many callers reconnect at once after a failure; some wait a second and are reset
/// without a response, because the library's listen backlog holds five connections.
/// Nothing accepts connections in this test, so those beyond the backlog stay
/// unconnected.
TEST(shared_state, a_burst_of_connections_waits_to_be_accepted)
{
    constexpr int     burst = 64;
    tests::port_block ports;
    httplib::Server   server;
    auto const        port = ports.next();
    ASSERT_TRUE(bind_port(server, {}, "127.0.0.1", port));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    std::vector<pollfd> callers;
    for (int index = 0; index < burst; ++index)
    {
        callers.push_back(
            {::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0), POLLOUT, 0});
        (void)::connect(callers.back().fd, reinterpret_cast<sockaddr*>(&address),
                        sizeof address);
    }
    EXPECT_TRUE(tests::eventually(
        [&] { return ::poll(callers.data(), callers.size(), 0) == burst; }, 5000));
    for (auto const& caller : callers)
    {
        ::close(caller.fd);
    }
}

} // namespace
} // namespace marigoldcrank
