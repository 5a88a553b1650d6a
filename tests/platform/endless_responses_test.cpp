// Servers that send bytes without end, at full speed, where a response or its end is due.
//
// Index: 1 endless servers, 2 callers, 3 process memory, 4 cases
#include "platform/support/entry_cluster.hpp"
#include "platform/support/raw_caller.hpp"
#include "support/eventually.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <fstream>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace marigoldcrank::tests
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;
using clock = std::chrono::steady_clock;

constexpr std::string_view endless_body = "endless";
constexpr milliseconds     deadline{2000}; // of the calls that get such responses

// 1. Endless servers

struct endless_case
{
    std::string name;
    std::string path = "/repeat/x";
    std::string begin;            // after the head, if there is one
    std::string more;             // then again and again
    bool        has_head = true;  // of a signed response in chunks
    bool        framed = true;    // false: that head without framing
    bool        has_body = false; // `more` is a body, which may be as long as that of a
                                  // sound response
    bool through_another_vm = false;
};

std::string repeated(std::string const& text, std::size_t bytes)
{
    std::string result;
    while (result.size() < bytes)
    {
        result += text;
    }
    return result;
}

/// Counts what connections took of such responses.
class endless_servers
{
public:
    endless_servers(entry_cluster& cluster, endless_case const& given, int servers)
        : given_(given), piece_(repeated(given.more, std::size_t{65536}))
    {
        for (int server = 0; server < servers; ++server)
        {
            cluster.server(server).handle_always(
                [this](wire_request const& request, wire_connection& connection)
                { return handle(request, connection); });
        }
    }

    std::int64_t most_bytes() const
    {
        return most_bytes_;
    }

    milliseconds longest() const
    {
        return milliseconds{longest_ms_};
    }

    int responses() const
    {
        return responses_;
    }

private:
    bool handle(wire_request const& request, wire_connection& connection)
    {
        if (request.body != endless_body)
        {
            connection.send(server_standin::signed_response(request, "served"));
            return true;
        }
        ++responses_;
        auto const began = clock::now();
        auto const head = server_standin::stream_head(request);
        connection.send(!given_.has_head ? std::string{}
                        : given_.framed  ? head
                                         : server_standin::without_framing(head));
        connection.send(given_.begin);
        std::int64_t bytes = 0;
        while (!connection.closed_by_peer() && clock::now() - began < seconds{6})
        {
            connection.send(piece_);
            bytes += static_cast<std::int64_t>(piece_.size());
        }
        auto const took =
            std::chrono::duration_cast<milliseconds>(clock::now() - began).count();
        most_bytes_ = std::max<std::int64_t>(most_bytes_, bytes);
        longest_ms_ = std::max<std::int64_t>(longest_ms_, took);
        return false;
    }

    endless_case              given_;
    std::string               piece_;
    std::atomic<std::int64_t> most_bytes_{0};
    std::atomic<std::int64_t> longest_ms_{0};
    std::atomic<int>          responses_{0};
};

// 2. Callers

struct call_tally
{
    std::atomic<int> asked{0};
    std::atomic<int> served{0};  // whole and with success
    std::atomic<int> in_time{0}; // of these
};

/// Sends calls with the body `body` one after the other, until `end`.
void send_calls(int port, std::string const& path, std::string const& body, int caller,
                clock::time_point end, call_tally& tally)
{
    constexpr milliseconds objective{300};
    constexpr milliseconds pause{20};
    for (int call = 0; clock::now() < end; ++call)
    {
        auto const id = body + "-" + std::to_string(caller) + "-" + std::to_string(call);
        auto const began = clock::now();
        auto const response =
            ask(port, {.path = path,
                       .id = id,

                       .body = body.empty() ? id : body,
                       .deadline_ms = static_cast<int>(deadline.count())});
        bool const served = response.status == 200 && response.complete;
        ++tally.asked;
        tally.served += served ? 1 : 0;
        tally.in_time += served && clock::now() - began < objective ? 1 : 0;
        std::this_thread::sleep_for(pause);
    }
}

// 3. Process memory

/// The most memory that a process has held since reset_peak, in MB.
std::int64_t peak_mb(pid_t process)
{
    std::ifstream status("/proc/" + std::to_string(process) + "/status");
    for (std::string line; std::getline(status, line);)
    {
        if (line.rfind("VmHWM:", 0) == 0)
        {
            constexpr std::int64_t kb_per_mb = 1024;
            return std::stoll(line.substr(line.find_first_of("0123456789"))) / kb_per_mb;
        }
    }
    return -1;
}

/// The lines of a log that hold the end of an endless response against its call.
std::string suspected(std::string const& log)
{
    std::istringstream lines(log);
    std::string        result;
    for (std::string line; std::getline(lines, line);)
    {
        bool const is_one = line.find("ev=suspect ") != std::string::npos &&
                            line.find(" id=endless-") != std::string::npos;
        result += is_one ? line + "\n" : "";
    }
    return result;
}

// 4. Cases

class endless_responses : public testing::TestWithParam<endless_case>
{
};

// The VM kept reading: it took up all memory of a VM, or its caller's whole time.
TEST_P(endless_responses, end_soon_and_harm_no_other_call)
{
    constexpr int          servers = 2;
    constexpr int          callers = 6;
    constexpr std::int64_t smallest_vm_mb = 120;
    auto const&            given = GetParam();
    entry_cluster          cluster({.daemons = given.through_another_vm ? 2 : 1,
                                    .servers = servers,
                                    .own_links = given.through_another_vm,
                                    .slots = 64});
    endless_servers        endless(cluster, given, servers);
    if (given.through_another_vm)
    {
        cluster.break_links(0, link_fault::reset);
    }
    ASSERT_TRUE(eventually(
        [&] { return ask(cluster.caller_port(), {.path = "/open/x"}).status == 200; }));
    call_tally               bad;
    call_tally               sound;
    auto const               end = clock::now() + seconds{3};
    std::vector<std::thread> threads;
    for (int caller = 0; caller < callers; ++caller)
    {
        threads.emplace_back(
            [&, caller]
            {
                send_calls(cluster.caller_port(), given.path, std::string{endless_body},
                           caller, end, bad);
            });
    }
    for (int caller = 0; caller < 2; ++caller)
    {
        threads.emplace_back(
            [&, caller]
            { send_calls(cluster.caller_port(), "/open/x", "", caller, end, sound); });
    }
    for (auto& thread : threads)
    {
        thread.join();
    }
    EXPECT_GE(endless.responses(), callers);
    EXPECT_EQ(bad.served, 0);
    EXPECT_GE(sound.asked, 20);
    EXPECT_GE(sound.in_time * 100, sound.asked * 95)
        << sound.in_time << " of " << sound.asked;
    EXPECT_LE(peak_mb(cluster.daemon().pid()), smallest_vm_mb);
    EXPECT_LE(endless.longest(), deadline + milliseconds{500});
    if (!given.has_body)
    {
        EXPECT_LE(endless.most_bytes(), 16 << 20);
        EXPECT_LE(endless.longest(), milliseconds{500});
    }
    EXPECT_EQ(suspected(cluster.output()), "");
}

std::string const event_line_without_end = "data: " + std::string(4096, 'x');

std::string const chunk_of_a_body = "1000\r\n" + std::string(4096, 'b') + "\r\n";

INSTANTIATE_TEST_SUITE_P(
    places, endless_responses,
    testing::Values(
        endless_case{.name = "field",
                     .begin = "HTTP/1.1 200 OK\r\nX-Long: ",
                     .more = "x",
                     .has_head = false},
        endless_case{.name = "no_http", .more = "x", .has_head = false},
        endless_case{.name = "informational_heads",
                     .more = "HTTP/1.1 102 Processing\r\n\r\n",
                     .has_head = false},
        endless_case{.name = "chunk_extension", .begin = "1;", .more = "x"},
        endless_case{.name = "extensions_of_small_chunks",
                     .more = "1;" + std::string(2000, 'x') + "\r\nx\r\n"},
        endless_case{.name = "trailer", .begin = "0\r\nX-Long: ", .more = "x"},
        endless_case{.name = "trailers", .begin = "0\r\n", .more = "X-Field: x\r\n"},
        endless_case{.name = "body_without_length",
                     .more = "x",
                     .framed = false,
                     .has_body = true},
        endless_case{.name = "chunks", .more = chunk_of_a_body, .has_body = true},
        endless_case{.name = "late_responses",
                     .more = "HTTP/1.1 200 OK\r\nRequest-Id: other\r\n"
                             "Content-Length: 0\r\n\r\n",
                     .has_head = false},
        endless_case{.name = "late_response",
                     .begin = "HTTP/1.1 200 OK\r\nRequest-Id: other\r\n"
                              "Transfer-Encoding: chunked\r\n\r\n",
                     .more = chunk_of_a_body,
                     .has_head = false,
                     .has_body = true},
        endless_case{.name = "stream_chunk_extension",
                     .path = "/stream/x",
                     .begin = "1;",
                     .more = "x"},
        endless_case{.name = "stream_trailer",
                     .path = "/resume/x",
                     .begin = "0\r\nX-Long: ",
                     .more = "x"},
        endless_case{.name = "stream_event",
                     .path = "/stream/x",
                     .more = "1006\r\n" + event_line_without_end + "\r\n",
                     .has_body = true},
        endless_case{.name = "stream_event_without_length",
                     .path = "/resume/x",
                     .more = event_line_without_end,
                     .framed = false,
                     .has_body = true},
        endless_case{.name = "chunk_extension_through_another_vm",
                     .begin = "1;",
                     .more = "x",
                     .through_another_vm = true},
        endless_case{.name = "informational_heads_through_another_vm",
                     .more = "HTTP/1.1 102 Processing\r\n\r\n",
                     .has_head = false,
                     .through_another_vm = true}),
    [](auto const& each) { return each.param.name; });

class endless_responses_of_many : public testing::TestWithParam<endless_case>
{
};

// Each response alone was bounded. Many at once must be, too: the bounds of a single one
// add up.
TEST_P(endless_responses_of_many, leave_memory_and_service_to_the_others)
{
    constexpr int          servers = 8;
    constexpr int          callers = 64;
    constexpr std::int64_t smallest_vm_mb = 120;
    auto const&            given = GetParam();
    entry_cluster          cluster({.servers = servers, .slots = 64});
    endless_servers        endless(cluster, given, servers);
    ASSERT_TRUE(eventually(
        [&] { return ask(cluster.caller_port(), {.path = "/open/x"}).status == 200; }));
    call_tally               bad;
    call_tally               sound;
    auto const               end = clock::now() + seconds{4};
    std::vector<std::thread> threads;
    for (int caller = 0; caller < callers; ++caller)
    {
        threads.emplace_back(
            [&, caller]
            {
                send_calls(cluster.caller_port(), given.path, std::string{endless_body},
                           caller, end, bad);
            });
    }
    threads.emplace_back(
        [&] { send_calls(cluster.caller_port(), "/open/x", "", 0, end, sound); });
    for (auto& thread : threads)
    {
        thread.join();
    }
    EXPECT_EQ(bad.served, 0);
    EXPECT_GE(sound.asked, 5);
    EXPECT_GE(sound.served * 100, sound.asked * 95)
        << sound.served << " of " << sound.asked;
    EXPECT_LE(peak_mb(cluster.daemon().pid()), smallest_vm_mb);
    EXPECT_LE(endless.longest(), deadline + milliseconds{500});
}

INSTANTIATE_TEST_SUITE_P(
    places, endless_responses_of_many,
    testing::Values(
        endless_case{.name = "field",
                     .begin = "HTTP/1.1 200 OK\r\nX-Long: ",
                     .more = "x",
                     .has_head = false},
        endless_case{.name = "trailers", .begin = "0\r\n", .more = "X-Field: x\r\n"},
        endless_case{.name = "body_without_length",
                     .more = "x",
                     .framed = false,
                     .has_body = true},
        endless_case{.name = "chunks", .more = chunk_of_a_body, .has_body = true},
        endless_case{.name = "late_response",
                     .begin = "HTTP/1.1 200 OK\r\nRequest-Id: other\r\n"
                              "Transfer-Encoding: chunked\r\n\r\n",
                     .more = chunk_of_a_body,
                     .has_head = false,
                     .has_body = true},
        endless_case{.name = "stream_event",
                     .path = "/stream/x",
                     .more = "1006\r\n" + event_line_without_end + "\r\n",
                     .has_body = true}),
    [](auto const& each) { return each.param.name; });

// A response of the store was bounded by its time only, and at full speed it took all
// memory of a VM within that time.
TEST(endless_responses_of_the_store, leave_memory_and_service_to_callers)
{
    constexpr std::int64_t smallest_vm_mb = 120;
    entry_cluster          cluster;
    cluster.store().trouble(store_fault_kind::endless);
    call_tally sound;
    send_calls(cluster.caller_port(), "/open/x", "", 0, clock::now() + seconds{4}, sound);
    EXPECT_GE(sound.asked, 20);
    EXPECT_GE(sound.in_time * 100, sound.asked * 95)
        << sound.in_time << " of " << sound.asked;
    EXPECT_LE(peak_mb(cluster.daemon().pid()), smallest_vm_mb);
    cluster.store().trouble(store_fault_kind::none);
    cluster.configure(2, {"key-new"});
    EXPECT_TRUE(eventually(
        [&] { return ask(cluster.caller_port(), {.key = "key-new"}).status == 200; },
        8000));
}

// The VM went on reading what is no handle of a cache, up to the limit of plain
// responses.
TEST(endless_prefills, call_is_prefilled_until_its_time_is_up)
{
    constexpr std::int64_t smallest_vm_mb = 120;
    entry_cluster          cluster({.servers = 2});
    endless_case const     given{.more = chunk_of_a_body};
    endless_servers        prefills(cluster, given, 1);
    cluster.server(1).handle_always(
        [](wire_request const& request, wire_connection& connection)
        {
            connection.send(server_standin::stream_head(request) +
                            server_standin::chunk(server_standin::event(1)) +
                            "0\r\n\r\n");
            return true;
        });
    cluster.list_engine(cluster.server(0), "prefill");
    cluster.list_engine(cluster.server(1), "decode");
    std::this_thread::sleep_for(seconds{2}); // the list has been read
    for (int call = 0; call < 3; ++call)
    {
        auto const id = "p-" + std::to_string(call);
        auto const response =
            ask(cluster.caller_port(),
                {.path = "/model/x",
                 .id = id,
                 .fields = "Model: m\r\nToken-Count: 9000,3\r\nPrefix-Hash: aa:4000," +
                           id + ":5000\r\n",
                 .body = std::string{endless_body}});
        EXPECT_EQ(response.status, 200);
        EXPECT_TRUE(response.complete);
    }
    EXPECT_GE(prefills.responses(), 1);
    EXPECT_LE(prefills.longest(), milliseconds{500});
    EXPECT_LE(prefills.most_bytes(), 16 << 20);
    EXPECT_LE(peak_mb(cluster.daemon().pid()), smallest_vm_mb);
}

} // namespace
} // namespace marigoldcrank::tests
