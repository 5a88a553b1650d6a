// Prompt parts that crash the engines that begin to write a response on them, in requests
// that are otherwise different.
//
// Index: 1 engines, 2 callers, 3 crashing parts
#include "platform/support/crashing_server.hpp"
#include "platform/support/entry_cluster.hpp"
#include "platform/support/raw_caller.hpp"
#include "support/eventually.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <functional>
#include <memory>
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

// Five crashes show a part, and three more requests may be on their way by then.
constexpr std::size_t most_fatal_arrivals = 8;

// 1. Engines

/// Engines that crash when they begin to write on the part "bad", with the head of the
/// response sent. Prefills don't crash them.
class crashing_engines
{
public:
    crashing_engines(entry_cluster& cluster, int decode, int prefill = 0)
    {
        for (int index = 0; index < decode + prefill; ++index)
        {
            auto const              stage = index < decode ? "decode" : "prefill";
            crashing_server_options options;
            options.crashes_on = [this](wire_request const& request)
            {
                return !spares_ &&
                       request.field("prefix-hash").find("bad:") != std::string::npos &&
                       request.field("serving-stage") != "prefill";
            };
            options.begin_response =
                [](wire_request const& request, wire_connection& connection)
            {
                connection.send(server_standin::stream_head(request));
            };
            options.respond = respond;
            options.list = [&cluster, stage](server_standin const& server)
            {
                cluster.list_engine(server, stage);
            };
            options.unlist = [&cluster](std::string const& id)
            {
                cluster.store().remove("keyed.servers", id);
            };
            engines_.push_back(std::make_unique<crashing_server>(
                ports_.next(), "e-" + std::to_string(index), std::move(options)));
        }
    }

    /// Whether the engines write on the part without a crash.
    void spare(bool spares)
    {
        spares_ = spares;
    }

    /// Arrivals later than `slack` after the fifth.
    std::size_t arrivals_after_the_fifth(milliseconds slack) const
    {
        std::vector<clock::time_point> times;
        for (auto const& engine : engines_)
        {
            auto const each = engine->fatal_arrivals();
            times.insert(times.end(), each.begin(), each.end());
        }
        constexpr std::size_t fifth = 4;
        std::sort(times.begin(), times.end());
        return times.size() <= fifth
                   ? 0
                   : static_cast<std::size_t>(times.end() -
                                              std::upper_bound(times.begin(), times.end(),
                                                               times[fifth] + slack));
    }

    std::size_t fatal_arrivals() const
    {
        std::size_t result = 0;
        for (auto const& engine : engines_)
        {
            result += engine->fatal_arrivals().size();
        }
        return result;
    }

private:
    static bool respond(wire_request const& request, wire_connection& connection)
    {
        constexpr int          events = 3;
        constexpr milliseconds pause{20};
        if (request.field("serving-stage") == "prefill")
        {
            connection.send(server_standin::prefill_response(request));
            return true;
        }
        std::this_thread::sleep_for(pause);
        connection.send(server_standin::stream_head(request));
        for (int number = 1; number <= events; ++number)
        {
            connection.send(server_standin::chunk(server_standin::event(number)));
            std::this_thread::sleep_for(pause);
        }
        connection.send("0\r\n\r\n");
        return true;
    }

    port_block                                    ports_;
    std::atomic<bool>                             spares_{false};
    std::vector<std::unique_ptr<crashing_server>> engines_;
};

raw_response ask_model(entry_cluster const& cluster, int vm, std::string const& id,
                       std::string const& parts)
{
    return ask(cluster.caller_port(vm),
               {.path = "/model/x",
                .id = id,
                .fields = "Model: m\r\nToken-Count: 900,3\r\nPrefix-Hash: " + parts +
                          "," + id + ":100\r\n",
                .body = id,
                .deadline_ms = 2000});
}

// 2. Callers

/// Sound callers with these parts, in turn at all VMs, until destruction.
class model_callers
{
public:
    model_callers(entry_cluster const& cluster, int vms, int callers, std::string parts,
                  milliseconds pause)
        : parts_(std::move(parts)), pause_(pause)
    {
        for (int thread = 0; thread < callers; ++thread)
        {
            threads_.emplace_back([this, &cluster, thread, vms]
                                  { run(cluster, thread, vms); });
        }
    }

    ~model_callers()
    {
        stopping_ = true;
        for (auto& thread : threads_)
        {
            thread.join();
        }
    }

    void count_from_now()
    {
        asked_ = 0;
        served_ = 0;
    }

    int asked() const
    {
        return asked_;
    }

    int served() const
    {
        return served_;
    }

private:
    void run(entry_cluster const& cluster, int thread, int vms)
    {
        for (int call = thread; !stopping_; ++call)
        {
            auto const id =
                parts_.substr(0, 2) + std::to_string(thread) + "-" + std::to_string(call);
            auto const response = ask_model(cluster, call % vms, id, parts_);
            ++asked_;
            served_ += response.status == 200 && response.complete ? 1 : 0;
            std::this_thread::sleep_for(pause_);
        }
    }

    std::string              parts_;
    milliseconds             pause_;
    std::atomic<bool>        stopping_{false};
    std::atomic<int>         asked_{0};
    std::atomic<int>         served_{0};
    std::vector<std::thread> threads_;
};

/// Sends requests with these parts at all VMs in turn. Returns how many were answered
/// 503.
int send_bad_requests(entry_cluster const& cluster, int vms, std::string const& parts,
                      std::string const& name, milliseconds duration)
{
    auto const end = clock::now() + duration;
    int        refused = 0;
    for (int call = 0; clock::now() < end; ++call)
    {
        auto const response =
            ask_model(cluster, call % vms, name + std::to_string(call), parts);
        refused += response.status == 503 ? 1 : 0;
        std::this_thread::sleep_for(milliseconds{250});
    }
    return refused;
}

/// What the VMs logged about crashes.
std::string crash_events(entry_cluster const& cluster, int vms)
{
    std::string result;
    for (int vm = 0; vm < vms; ++vm)
    {
        std::istringstream lines(cluster.output(vm));
        for (std::string line; std::getline(lines, line);)
        {
            for (auto const* event : {"ev=suspect", "ev=crash_withdrawn", "ev=parts_"})
            {
                result += line.find(event) == std::string::npos
                              ? ""
                              : "vm-" + std::to_string(vm) + " " + line + "\n";
            }
        }
    }
    return result;
}

// 3. Crashing parts

struct part_case
{
    std::string bad_parts = "aa:300,bad:100";
    std::string sound_parts = "aa:300,bb:100"; // of frequent requests
    std::string rare_parts;                    // of a request every second; empty: none
    int         vms = 3;
    int         distant = 0; // VMs in another data centre
    int         mesh = 16;
    int         decode = 6;
    int         prefill = 0;
};

/// Checks that requests with the part are stopped, and that those with its other parts
/// are served.
void expect_part_stopped(part_case const& given)
{
    entry_cluster    cluster({.daemons = given.vms,
                              .servers = 1,
                              .mesh = given.mesh,
                              .distant = given.distant});
    crashing_engines engines(cluster, given.decode, given.prefill);
    model_callers    sound(cluster, given.vms, 3 * given.vms, given.sound_parts,
                           milliseconds{60});
    std::unique_ptr<model_callers> rare;
    if (!given.rare_parts.empty())
    {
        rare = std::make_unique<model_callers>(cluster, given.vms, 1, given.rare_parts,
                                               milliseconds{1000});
    }
    std::this_thread::sleep_for(seconds{4}); // the VMs have discovered each other
    send_bad_requests(cluster, given.vms, given.bad_parts, "a", seconds{8});
    sound.count_from_now();
    if (rare)
    {
        rare->count_from_now();
    }
    auto const refused =
        send_bad_requests(cluster, given.vms, given.bad_parts, "b", seconds{6});
    EXPECT_LE(engines.fatal_arrivals(), most_fatal_arrivals)
        << crash_events(cluster, given.vms);
    EXPECT_GE(engines.fatal_arrivals(), 3U);
    EXPECT_GT(refused, 10);
    EXPECT_GT(sound.asked(), given.vms * 20);
    EXPECT_GE(sound.served() * 100, sound.asked() * 90)
        << sound.served() << " of " << sound.asked();
    if (rare)
    {
        EXPECT_GE(rare->asked(), 3);
        EXPECT_GE(rare->served() * 2, rare->asked());
    }
}

// Each request crashed an engine, since no two have the same content.
TEST(platform_prompt_parts, part_crashes_one_engine_after_the_other)
{
    expect_part_stopped({});
}

// As above, with a part that begins the prompts.
TEST(platform_prompt_parts, first_part_crashes_one_engine_after_the_other)
{
    expect_part_stopped({.bad_parts = "bad:400"});
}

// Sound requests were refused whose part only stood beside the bad one.
TEST(platform_prompt_parts, rare_part_beside_the_bad_one_is_refused)
{
    expect_part_stopped(
        {.bad_parts = "aa:300,rr:50,bad:100", .rare_parts = "aa:300,rr:50"});
}

// VMs in two data centres counted crashes each for themselves.
TEST(platform_prompt_parts, part_crashes_engines_anew_through_each_data_centre)
{
    expect_part_stopped({.vms = 6, .distant = 3, .mesh = 3, .decode = 8});
}

// Prompts were prefilled although they could not run.
TEST(platform_prompt_parts, part_crashes_decoding_engines_after_prefills)
{
    expect_part_stopped({.bad_parts = "aa:4000,bad:4000", .prefill = 2});
}

// A part on which responses had been written wasn't blocked before each VM by itself had
// seen ten other calls served.
TEST(platform_prompt_parts, part_that_was_sound_crashes_engines_beside_few_other_calls)
{
    constexpr int          vms = 3;
    constexpr milliseconds contact{3000}; // news reach all VMs within it
    entry_cluster          cluster({.daemons = vms, .servers = 1});
    crashing_engines       engines(cluster, 6);
    model_callers          sound(cluster, vms, 1, "aa:300,bb:100", milliseconds{60});
    std::this_thread::sleep_for(seconds{4}); // the VMs have discovered each other
    engines.spare(true);
    send_bad_requests(cluster, vms, "aa:300,bad:100", "s", seconds{3});
    engines.spare(false);
    send_bad_requests(cluster, vms, "aa:300,bad:100", "a", seconds{15});
    EXPECT_GE(engines.fatal_arrivals(), 5U);
    EXPECT_LE(engines.arrivals_after_the_fifth(contact), 3U)
        << crash_events(cluster, vms);
}

// A VM that had just started sent such requests to engines again.
TEST(platform_prompt_parts, part_crashes_an_engine_through_a_vm_that_has_started_again)
{
    constexpr int    vms = 3;
    entry_cluster    cluster({.daemons = vms, .servers = 1});
    crashing_engines engines(cluster, 6);
    model_callers    sound(cluster, vms, 6, "aa:300,bb:100", milliseconds{60});
    std::this_thread::sleep_for(seconds{4}); // the VMs have discovered each other
    send_bad_requests(cluster, vms, "aa:300,bad:100", "a", seconds{4});
    std::this_thread::sleep_for(seconds{4}); // longer than new crashes are published
    auto const before = engines.fatal_arrivals();
    EXPECT_LE(before, most_fatal_arrivals);
    cluster.restart(0);
    ASSERT_TRUE(eventually([&] { return cluster.ready(0); }));
    std::this_thread::sleep_for(milliseconds{1500});
    auto const response = ask_model(cluster, 0, "later", "aa:300,bad:100");
    EXPECT_EQ(response.status, 503);
    EXPECT_NE(response.body.find("not_run"), std::string::npos);
    EXPECT_EQ(engines.fatal_arrivals(), before);
}

// The VMs were killed together, and with them ended what they knew.
TEST(platform_prompt_parts, part_crashes_engines_anew_after_all_vms_were_killed)
{
    constexpr int    vms = 3;
    entry_cluster    cluster({.daemons = vms, .servers = 1});
    crashing_engines engines(cluster, 6);
    {
        model_callers sound(cluster, vms, 6, "aa:300,bb:100", milliseconds{60});
        std::this_thread::sleep_for(seconds{4}); // the VMs have discovered each other
        send_bad_requests(cluster, vms, "aa:300,bad:100", "a", seconds{6});
    }
    auto const before = engines.fatal_arrivals();
    EXPECT_GE(before, 3U);
    EXPECT_LE(before, most_fatal_arrivals);
    ASSERT_TRUE(cluster.restart_all());
    model_callers sound(cluster, vms, 6, "aa:300,bb:100", milliseconds{60});
    send_bad_requests(cluster, vms, "aa:300,bad:100", "b", seconds{5});
    EXPECT_LE(engines.fatal_arrivals(), before) << crash_events(cluster, vms);
    EXPECT_GT(sound.asked(), 60);
    EXPECT_GE(sound.served() * 100, sound.asked() * 90)
        << sound.served() << " of " << sound.asked();
}

} // namespace
} // namespace marigoldcrank::tests
