// Usage reports under faults: the tokens that the stand-ins of the engines generated are
// compared with those that the stand-in of the platform received, and must be equal to
// the token.
//
// Index: 1 load, 2 audit, 3 tests
#include "domain/boot_clock.hpp"
#include "ledger/ledger.hpp"
#include "support/node_process.hpp"
#include "wire.pb.h"

#include <httplib.h>

#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <functional>
#include <mutex>
#include <set>
#include <thread>

namespace marigoldcrank::tests
{
namespace
{

using nlohmann::json;

// 1. Load

/// Callers of both workspaces at all nodes, until stop() or destruction.
class caller_load
{
public:
    explicit caller_load(fleet& system) : system_(system)
    {
        for (int index = 0; index < callers; ++index)
        {
            threads_.emplace_back([this, index] { call(index); });
        }
    }

    ~caller_load()
    {
        stop();
    }

    void stop()
    {
        stopping_ = true;
        for (auto& thread : threads_)
        {
            if (thread.joinable())
            {
                thread.join();
            }
        }
    }

    /// Ids of the requests whose caller received the complete response.
    std::set<std::string> complete()
    {
        std::lock_guard const lock(mutex_);
        return complete_;
    }

private:
    static constexpr int callers = 6;

    void call(int index)
    {
        auto const workspace = index % 2 == 0 ? "north" : "south";
        for (int round = 0; !stopping_; ++round)
        {
            bool const      streamed = round % 2 == 0;
            httplib::Client client("127.0.0.1", system_.node_port((index + round) % 3));
            client.set_read_timeout(30);
            auto const response = client.Post(
                "/v1/chat/completions",
                {{"Authorization", "Bearer " + system_.key(workspace)}},
                json{{"model", "wording"},
                     {"messages", json::array({{{"role", "user"},
                                                {"content", std::string(40, 'x')}}})},
                     {"max_tokens", 4 + (index + round) % 7},
                     {"stream", streamed}}
                    .dump(),
                "application/json");
            bool const complete =
                response && response->status == 200 &&
                (!streamed || response->body.find("data: [DONE]") != std::string::npos);
            if (complete)
            {
                std::lock_guard const lock(mutex_);
                complete_.insert(response->get_header_value("X-Request-Id"));
            }
            std::this_thread::sleep_for(millis{complete ? 5 : 50});
        }
    }

    fleet&                   system_;
    std::atomic<bool>        stopping_{false};
    std::mutex               mutex_;
    std::set<std::string>    complete_;
    std::vector<std::thread> threads_;
};

// 2. Audit

struct request_bill
{
    std::string   workspace;
    std::uint64_t prompt_tokens = 0;
    std::uint64_t output_tokens = 0;

    auto operator<=>(request_bill const&) const = default;
};

/// Tokens that the engines generated for each request, over all its attempts.
std::map<std::string, request_bill> generated(fleet const& system, int engines)
{
    std::map<std::string, request_bill> result;
    for (int engine = 0; engine < engines; ++engine)
    {
        httplib::Client client("127.0.0.1", system.engine_port(engine));
        auto const      response = client.Get("/control/generated");
        for (auto const& entry : json::parse(response ? response->body : "[]"))
        {
            auto& bill = result[entry["request_id"]];
            bill.workspace = entry["workspace"];
            bill.prompt_tokens = entry["prompt_tokens"];
            bill.output_tokens = std::max(
                bill.output_tokens, entry["resume_from"].get<std::uint64_t>() +
                                        entry["output_tokens"].get<std::uint64_t>());
        }
    }
    return result;
}

/// Calls `use` for every delta in the platform's log, with its number as
/// node/incarnation/sequence.
void for_each_logged(
    fleet const& system,
    std::function<void(std::string const& number, wire::usage_delta const&)> const& use)
{
    for (auto const& text : system.log_records())
    {
        auto const  record = leaf::try_handle_all([&] { return parse_record(text); },
                                                 [] { return wire::log_record{}; });
        auto const& batch = record.usage();
        auto        sequence = batch.sequence();
        for (auto const& delta : batch.deltas())
        {
            use(batch.node() + "/" + batch.incarnation() + "/" +
                    std::to_string(sequence++),
                delta);
        }
    }
}

/// Deltas in the log by request id, each numbered delta once.
std::multimap<std::string, request_bill> logged(fleet const& system)
{
    std::multimap<std::string, request_bill> result;
    std::set<std::string>                    seen;
    for_each_logged(system,
                    [&](std::string const& number, wire::usage_delta const& delta)
                    {
                        if (seen.insert(number).second)
                        {
                            result.emplace(delta.request_id(),
                                           request_bill{delta.workspace(),
                                                        delta.prompt_tokens(),
                                                        delta.output_tokens()});
                        }
                    });
    return result;
}

/// Number of deltas that are in the log more than once.
std::size_t repeated_deltas(fleet const& system)
{
    std::set<std::string> seen;
    std::size_t           count = 0;
    for_each_logged(system, [&](std::string const& number, wire::usage_delta const&)
                    { count += seen.insert(number).second ? 0 : 1; });
    return count;
}

using totals = std::map<std::string, std::pair<std::uint64_t, std::uint64_t>>;

totals totals_of(std::multimap<std::string, request_bill> const& bills)
{
    totals result;
    for (auto const& [request, bill] : bills)
    {
        result[bill.workspace].first += bill.prompt_tokens;
        result[bill.workspace].second += bill.output_tokens;
    }
    return result;
}

/// Totals that the platform received; fails the test if a window has two different
/// reports.
totals reported(fleet const& system)
{
    std::map<std::string, std::string> windows;
    totals                             result;
    for (auto const& report : system.received(system.platform_port(), "usage"))
    {
        auto const [position, first] = windows.emplace(report["path"], report["body"]);
        EXPECT_EQ(position->second, report["body"]) << report["path"];
        if (!first)
        {
            continue;
        }
        auto const body = json::parse(report["body"].get<std::string>());
        for (auto const& figure : body["figures"])
        {
            auto& sum = result[figure["workspace"]];
            sum.first += figure["prompt_tokens"].get<std::uint64_t>();
            sum.second += figure["output_tokens"].get<std::uint64_t>();
        }
    }
    return result;
}

/// Checks that every complete response is billed once and to the token, every interrupted
/// one at most once and never for more than was generated, and that exactly this was
/// reported.
void audit(fleet const& system, int engines, std::set<std::string> const& complete)
{
    ASSERT_GT(complete.size(), 20U);
    EXPECT_TRUE(eventually(
        [&]
        {
            auto const bills = logged(system);
            return std::all_of(complete.begin(), complete.end(),
                               [&](auto const& id) { return bills.count(id) == 1; });
        }));
    EXPECT_TRUE(
        eventually([&] { return reported(system) == totals_of(logged(system)); }));
    auto const bills = logged(system);
    auto const generated_bills = generated(system, engines);
    for (auto const& id : complete)
    {
        ASSERT_EQ(bills.count(id), 1U) << id;
        ASSERT_EQ(bills.find(id)->second, generated_bills.at(id)) << id;
    }
    for (auto const& [id, bill] : bills)
    {
        ASSERT_EQ(bills.count(id), 1U) << id;
        ASSERT_EQ(generated_bills.count(id), 1U) << id;
        EXPECT_LE(bill.output_tokens, generated_bills.at(id).output_tokens);
        EXPECT_EQ(bill.workspace, generated_bills.at(id).workspace);
    }
}

/// Number of usage records that another node appended than the one that served the calls.
std::size_t appended_for_others(fleet const& system)
{
    std::size_t count = 0;
    for (auto const& append : system.received(system.platform_port(), "append"))
    {
        auto const text = append["body"].get<std::string>();
        auto const record = leaf::try_handle_all([&] { return parse_record(text); },
                                                 [] { return wire::log_record{}; });
        count += record.has_usage() && record.usage().node() != append["from"] ? 1 : 0;
    }
    return count;
}

fleet_options audited_fleet(std::string const& flush_ms)
{
    fleet_options options;
    options.node_settings = {{"usage_flush_ms", flush_ms}, {"custody_hold_ms", "800"}};
    return options;
}

void pause(int duration)
{
    std::this_thread::sleep_for(millis{duration});
}

std::string reporter_of(fleet const& system, int node)
{
    return system.admin(node, "/admin/status")["duties"]["reporter"].value("holder", "");
}

int index_of(std::string const& holder)
{
    return std::stoi(holder.substr(std::string{"node-"}.size()));
}

// 3. Tests

/// A node serves responses and is killed before its next append, so its memory is lost.
/// Usage that exists only there would be missing from the report.
TEST(usage_audit, a_killed_node_loses_no_usage)
{
    fleet       system(audited_fleet("1500"));
    caller_load load(system);
    pause(2500);
    system.node(1).signal(SIGKILL);
    pause(1000);
    load.stop();
    audit(system, 2, load.complete());
    EXPECT_GT(appended_for_others(system), 0U);
}

/// Responses to appends are lost, or appends take effect seconds late, and the node
/// appends again. A repeated delta must not count as new usage.
TEST(usage_audit, lost_answers_and_late_appends_bill_nothing_twice)
{
    fleet       system(audited_fleet("100"));
    caller_load load(system);
    pause(500);
    // Longer than the nodes wait for their own record, so that they append it again.
    system.fault(system.platform_port(),
                 {{"kind", "late"}, {"count", 8}, {"for_ms", 3000}});
    pause(3500);
    system.fault(system.platform_port(), {{"kind", "drop_answer"}, {"for_ms", 3000}});
    pause(3500);
    load.stop();
    audit(system, 2, load.complete());
    EXPECT_GT(repeated_deltas(system), 0U);
}

/// The reporter is paused past its lease, another node takes over, and the first one
/// resumes and goes on where it was. It must not send a window again with other figures,
/// which fails if a reporter keeps figures of its own.
TEST(usage_audit, a_reporter_paused_past_its_lease_reports_nothing_else)
{
    fleet system(audited_fleet("100"));
    ASSERT_TRUE(eventually([&] { return !reporter_of(system, 0).empty(); }));
    auto const  first = reporter_of(system, 0);
    auto const  paused = index_of(first);
    auto const  witness = (paused + 1) % 3;
    caller_load load(system);
    pause(1000);
    system.node(paused).signal(SIGSTOP);
    EXPECT_TRUE(eventually([&] { return reporter_of(system, witness) != first; }));
    pause(1000);
    system.node(paused).signal(SIGCONT);
    pause(1000);
    load.stop();
    audit(system, 2, load.complete());
    std::set<std::string> senders;
    for (auto const& report : system.received(system.platform_port(), "usage"))
    {
        senders.insert(report["from"]);
    }
    EXPECT_GE(senders.size(), 2U);
    // No node reports after its successor has reported: fencing numbers never fall.
    std::uint64_t fence = 0;
    for (auto const& report : system.received(system.platform_port(), "usage"))
    {
        auto const own = std::stoull(report["fence"].get<std::string>());
        EXPECT_GE(own, fence);
        fence = own;
    }
}

/// Two faults at once, each of which alone loses nothing: the log is unreachable, and a
/// node that goes on serving is killed during the outage. Its usage must be reported
/// after the outage.
TEST(usage_audit, a_node_killed_while_the_log_is_out_loses_no_usage)
{
    fleet       system(audited_fleet("100"));
    caller_load load(system);
    pause(800);
    system.fault(system.platform_port(), {{"kind", "outage"}, {"for_ms", 3000}});
    pause(1200);
    auto const served = load.complete().size();
    system.node(2).signal(SIGKILL);
    pause(800);
    EXPECT_GT(load.complete().size(), served); // calls are served without the log
    pause(1200);
    load.stop();
    audit(system, 2, load.complete());
    EXPECT_GT(appended_for_others(system), 0U);
}

} // namespace
} // namespace marigoldcrank::tests
