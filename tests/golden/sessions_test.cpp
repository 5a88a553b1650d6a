// Complete sessions as caller, engine, service and platform saw them, compared with the
// files under tests/golden/sessions. Ids, times and keys are replaced by placeholders,
// ids in the order of their first appearance; the comparison is exact.
//
// To rewrite the files after an intended change, run MARIGOLDCRANK_WRITE_GOLDEN=1
// build/tests/golden_tests and review the difference before committing it.
#include "support/caller.hpp"
#include "support/node_process.hpp"

#include <gtest/gtest.h>

#include <cstdlib>
#include <fstream>
#include <regex>
#include <sstream>
#include <thread>

namespace marigoldcrank::tests
{
namespace
{

using nlohmann::json;

/// Replaces what differs between runs: keys, times and ids.
class normaliser
{
public:
    std::string text(std::string value)
    {
        static std::regex const key("mgc_[A-Za-z0-9_-]+");
        static std::regex const id("[0-9a-f]{64}|[0-9a-f]{32}|[0-9a-f]{24}|[0-9a-f]{16}|"
                                   "node-[0-9]/[0-9a-f]{12}");
        static std::regex const created("\"created\":[0-9]+");
        value = std::regex_replace(value, key, "KEY");
        value = std::regex_replace(value, created, "\"created\":TIME");
        std::string result;
        auto        rest = value.cbegin();
        for (std::sregex_iterator each(value.cbegin(), value.cend(), id), end;
             each != end; ++each)
        {
            result.append(rest, (*each)[0].first);
            result += name_of_id(each->str());
            rest = (*each)[0].second;
        }
        result.append(rest, value.cend());
        return result;
    }

private:
    std::string name_of_id(std::string const& id)
    {
        auto const name = "ID" + std::to_string(names_.size() + 1);
        return names_.emplace(id, name).first->second;
    }

    std::map<std::string, std::string> names_;
};

/// The text of one session, to be compared with its golden file.
class recorder
{
public:
    void caller(std::string const& what, httplib::Result const& answer)
    {
        lines_ << "== caller: " << what << "\n";
        if (!answer)
        {
            lines_ << "connection broke\n";
            return;
        }
        lines_ << "status " << answer->status << "\n";
        for (auto const* header : {"Content-Type", "Retry-After", "X-Earlier-Result"})
        {
            if (answer->has_header(header))
            {
                lines_ << header << ": " << answer->get_header_value(header) << "\n";
            }
        }
        lines_ << names_.text(answer->body) << "\n";
    }

    /// Appends what a stand-in received, with the headers that the system sets.
    void received(std::string const& who, json const& entries)
    {
        lines_ << "== " << who << "\n";
        for (auto const& entry : entries)
        {
            lines_ << entry["kind"].get<std::string>() << " from "
                   << entry["from"].get<std::string>() << " "
                   << entry["path"].get<std::string>() << "\n";
            for (auto const* header : {"X-Request-Id", "X-Attempt", "X-Resume-From",
                                       "X-Workspace", "Authorization"})
            {
                if (entry["headers"].contains(header))
                {
                    lines_ << "  " << header << ": "
                           << names_.text(entry["headers"][header].get<std::string>())
                           << "\n";
                }
            }
            lines_ << "  " << names_.text(entry["body"].get<std::string>()) << "\n";
        }
    }

    std::string text() const
    {
        return lines_.str();
    }

private:
    normaliser         names_;
    std::ostringstream lines_;
};

/// Appends to the platform's log that contain records of calls.
json call_records(fleet const& system)
{
    json records = json::array();
    for (auto const& entry : system.received(system.platform_port()))
    {
        auto const body = json::parse(entry["body"].get<std::string>(), nullptr, false);
        if (entry["kind"] == "append" && body.is_object() && body.contains("calls"))
        {
            records.push_back(entry);
        }
    }
    return records;
}

void compare(std::string const& name, std::string const& text)
{
    auto const path =
        std::string{MARIGOLDCRANK_SOURCE} + "/tests/golden/sessions/" + name + ".txt";
    if (std::getenv("MARIGOLDCRANK_WRITE_GOLDEN") != nullptr)
    {
        std::ofstream(path) << text;
    }
    std::ifstream     file(path);
    std::string const expected(std::istreambuf_iterator<char>(file), {});
    EXPECT_EQ(text, expected) << path;
}

httplib::Result chat(fleet const& system, bool stream)
{
    httplib::Client client("127.0.0.1", system.node_port(0));
    return client.Post(
        "/v1/chat/completions", bearer(system),
        json{{"model", "wording"},
             {"messages", json::array({{{"role", "user"}, {"content", "for Noor"}}})},
             {"max_tokens", 4},
             {"stream", stream}}
            .dump(),
        "application/json");
}

httplib::Result order(fleet const& system, int node)
{
    httplib::Client client("127.0.0.1", system.node_port(node));
    auto            headers = bearer(system);
    headers.emplace("Idempotency-Key", "order-1");
    return client.Post("/services/ordering/orders", headers, "{\"copies\":30}",
                       "application/json");
}

TEST(sessions, a_streamed_answer)
{
    fleet    system({.nodes = 1, .engines = 1});
    recorder session;
    session.caller("streamed chat", chat(system, true));
    session.caller("whole chat", chat(system, false));
    session.received("engine-0", system.received(system.engine_port(0), "generate"));
    compare("streamed_answer", session.text());
}

TEST(sessions, an_answer_resumed_on_another_engine)
{
    fleet system({.nodes = 1, .engines = 2});
    system.fault(system.engine_port(0), {{"kind", "truncate"}, {"count", 1}});
    recorder session;
    session.caller("streamed chat, the first engine cuts it", chat(system, true));
    session.received("engine-0", system.received(system.engine_port(0), "generate"));
    session.received("engine-1", system.received(system.engine_port(1), "generate"));
    compare("resumed_answer", session.text());
}

TEST(sessions, a_print_order_sent_twice)
{
    fleet    system({.nodes = 2, .engines = 1});
    recorder session;
    session.caller("order through node-0", order(system, 0));
    session.caller("the same through node-1", order(system, 1));
    session.received("service-0", system.received(system.service_port(0), "call"));
    session.received("platform", call_records(system));
    compare("order_sent_twice", session.text());
}

TEST(sessions, a_print_order_whose_answer_is_lost)
{
    fleet system({.nodes = 1, .engines = 1});
    system.fault(system.service_port(0), {{"kind", "drop_answer"}, {"path", "/orders"}});
    recorder session;
    session.caller("order, the service's answer is lost", order(system, 0));
    session.caller("the same again", order(system, 0));
    session.received("service-0", system.received(system.service_port(0), "call"));
    session.received("platform", call_records(system));
    compare("order_answer_lost", session.text());
}

TEST(sessions, refusals)
{
    fleet           system({.nodes = 1, .engines = 1});
    httplib::Client client("127.0.0.1", system.node_port(0));
    recorder        session;
    session.caller("without a key", client.Get("/v1/models"));
    session.caller("no JSON", client.Post("/v1/chat/completions", bearer(system), "{",
                                          "application/json"));
    session.caller("unknown service",
                   client.Get("/services/none/status", bearer(system)));
    session.received("engine-0", system.received(system.engine_port(0), "generate"));
    compare("refusals", session.text());
}

} // namespace
} // namespace marigoldcrank::tests
