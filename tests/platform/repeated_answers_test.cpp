// Servers that answer a request once more, late: what callers are told against what ran.
//
// Index: 1 repeated answers, 2 callers, 3 cases
#include "platform/support/entry_cluster.hpp"
#include "platform/support/raw_caller.hpp"

#include <gtest/gtest.h>

#include <chrono>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace marigoldcrank::tests
{
namespace
{

using std::chrono::milliseconds;

// 1. Repeated answers

struct repeated_case
{
    std::string name;
    std::string extra; // "ID" stands for the request's id
    int         servers = 1;
    int         served_percent = 90; // at least
};

/// Rejects the first send of each call and runs the second one. Sends extra bytes after
/// each rejection: with it, some ms later, or where the next answer is due, by turns.
class repeating_servers
{
public:
    repeating_servers(entry_cluster& cluster, repeated_case given)
        : given_(std::move(given))
    {
        for (int server = 0; server < given_.servers; ++server)
        {
            cluster.server(server).handle_always(
                [this](wire_request const& request, wire_connection& connection)
                { return handle(request, connection); });
        }
    }

    int runs(std::string const& id) const
    {
        std::lock_guard lock{mutex_};
        auto const      found = runs_.find(id);
        return found == runs_.end() ? 0 : found->second;
    }

private:
    enum class moment
    {
        with_answer,
        after_answer,
        before_next_answer
    };

    bool handle(wire_request const& request, wire_connection& connection)
    {
        auto const       id = request.field("request-id");
        std::unique_lock lock{mutex_};
        connection.send(std::exchange(due_[&connection], {}));
        if (!rejected_.insert(id).second)
        {
            ++runs_[id];
            lock.unlock();
            // The extra answer to an earlier send arrives while this one runs.
            std::this_thread::sleep_for(milliseconds{6});
            connection.send(server_standin::signed_response(request, "ran " + id));
            return true;
        }
        auto const extra = extra_for(id);
        auto const when = static_cast<moment>(rejected_.size() % 3);
        if (when == moment::before_next_answer)
        {
            due_[&connection] = extra;
        }
        lock.unlock();
        connection.send(server_standin::not_executed_response(request) +
                        (when == moment::with_answer ? extra : ""));
        if (when == moment::after_answer)
        {
            std::this_thread::sleep_for(milliseconds{3});
            connection.send(extra);
        }
        return true;
    }

    std::string extra_for(std::string const& id) const
    {
        auto       extra = given_.extra;
        auto const place = extra.find("ID");
        return place == std::string::npos ? extra : extra.replace(place, 2, id);
    }

    repeated_case                           given_;
    mutable std::mutex                      mutex_;
    std::set<std::string>                   rejected_; // ids of calls
    std::map<std::string, int>              runs_;     // by id
    std::map<wire_connection*, std::string> due_;      // bytes before the next answer
};

// 2. Callers

struct told_call
{
    std::string  id;
    raw_response response;
};

/// Calls with ids of their own, from several callers at once.
std::vector<told_call> place_calls(int port)
{
    constexpr int            callers = 4;
    constexpr int            calls = 30; // of one caller
    std::mutex               mutex;
    std::vector<told_call>   told;
    std::vector<std::thread> threads;
    for (int caller = 0; caller < callers; ++caller)
    {
        threads.emplace_back(
            [&, caller]
            {
                for (int call = 0; call < calls; ++call)
                {
                    std::string id{"c"};
                    id.append(std::to_string(caller))
                        .append("-")
                        .append(std::to_string(call));
                    auto response =
                        ask(port, {.path = "/once/x", .id = id, .deadline_ms = 1500});
                    std::lock_guard lock{mutex};
                    told.push_back({id, std::move(response)});
                }
            });
    }
    for (auto& thread : threads)
    {
        thread.join();
    }
    return told;
}

// 3. Cases

class repeated_answers : public testing::TestWithParam<repeated_case>
{
};

// The late answer to a call's first send was taken for the answer to its second send, so
// callers were told "not run" for calls that ran.
TEST_P(repeated_answers, refused_calls_have_not_run_and_others_run_once)
{
    auto const&   given = GetParam();
    entry_cluster cluster(
        {.servers = given.servers, .bounds = "retry_slack = 1000\n", .slots = 64});
    repeating_servers servers{cluster, given};
    auto const        told = place_calls(cluster.caller_port());
    int               served = 0;
    for (auto const& [id, response] : told)
    {
        auto const runs = servers.runs(id);
        EXPECT_LE(runs, 1) << id;
        bool const promises_not_run = response.status == 429 || response.status == 503 ||
                                      response.status == 408 || response.status == 421;
        EXPECT_FALSE(promises_not_run && runs > 0) << id << " got " << response.status;
        bool const success = response.status == 200;
        EXPECT_TRUE(!success || response.body == "ran " + id) << id;
        served += success ? 1 : 0;
    }
    // Each call is rejected once, so another send serves it.
    EXPECT_GE(served * 100, static_cast<int>(told.size()) * given.served_percent)
        << served;
}

std::string const no_body = "Content-Length: 0\r\n\r\n";

std::string const rejection =
    "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nRequest-Id: ID\r\n" + no_body;
std::string const other_rejection =
    "HTTP/1.1 429 Too Many Requests\r\nNot-Executed: 1\r\nRequest-Id: ID\r\n" + no_body;
std::string const misdirection =
    "HTTP/1.1 421 Misdirected Request\r\nNot-Executed: 1\r\nRequest-Id: ID\r\n" + no_body;
std::string const success = "HTTP/1.1 200 OK\r\nInstance-Signature: signed\r\n"
                            "Request-Id: ID\r\nContent-Length: 5\r\n\r\nother";
std::string const failure = "HTTP/1.1 500 Internal Server Error\r\nInstance-Signature: "
                            "signed\r\nRequest-Id: ID\r\n" +
                            no_body;

INSTANTIATE_TEST_SUITE_P(
    with_the_id, repeated_answers,
    testing::Values(repeated_case{.name = "rejection", .extra = rejection},
                    repeated_case{.name = "other_rejection", .extra = other_rejection},
                    repeated_case{.name = "misdirection", .extra = misdirection},
                    repeated_case{.name = "success", .extra = success},
                    repeated_case{.name = "failure", .extra = failure},
                    repeated_case{.name = "rejection_by_two_servers",
                                  .extra = rejection,
                                  .servers = 2}),
    [](auto const& each) { return each.param.name; });

std::string without_id(std::string text)
{
    std::string const field = "Request-Id: ID\r\n";
    return text.erase(text.find(field), field.size());
}

INSTANTIATE_TEST_SUITE_P(
    without_an_id, repeated_answers,
    testing::Values(repeated_case{.name = "rejection", .extra = without_id(rejection)},
                    repeated_case{.name = "rejection_by_two_servers",
                                  .extra = without_id(rejection),
                                  .servers = 2},
                    repeated_case{.name = "misdirection",
                                  .extra = without_id(misdirection)},
                    repeated_case{.name = "success", .extra = without_id(success)},
                    repeated_case{.name = "failure", .extra = without_id(failure)}),
    [](auto const& each) { return each.param.name; });

// The response after such bytes can't be read, so its call ends as unknown: what callers
// are told must be true, but nothing is said of how many are served.
INSTANTIATE_TEST_SUITE_P(
    cut, repeated_answers,
    testing::Values(
        repeated_case{.name = "in_the_status_line",
                      .extra = "HTTP/1.1 503 Service Una",
                      .served_percent = 0},
        repeated_case{.name = "in_a_field",
                      .extra = "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n"
                               "Retry-After: 0.",
                      .served_percent = 0},
        repeated_case{.name = "between_fields",
                      .extra = "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n",
                      .served_percent = 0},
        repeated_case{.name = "after_nonsense",
                      .extra = "\x01\x02 no answer\r\n\r\n",
                      .served_percent = 0}),
    [](auto const& each) { return each.param.name; });

} // namespace
} // namespace marigoldcrank::tests
