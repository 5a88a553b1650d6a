// Checks on single calls and on reports.
#include "soak_ledger.hpp"

#include "soak_servers.hpp"

#include <algorithm>
#include <utility>

namespace marigoldcrank::soak
{

std::vector<call_class> const& call_classes()
{
    static std::vector<call_class> const classes{{"/repeat/", true, false},
                                                 {"/once/", false, false},
                                                 {"/stream/", false, true},
                                                 {"/resume/", true, true}};
    return classes;
}

void soak_ledger::ran(tests::wire_request const& request)
{
    std::lock_guard const lock{mutex_};
    auto const            id = request.field("request-id");
    auto const            found = calls_.find(id);
    if (found == calls_.end())
    {
        violations_.push_back("a call ran that nobody asked for: " + id);
        return;
    }
    auto& call = found->second;
    ++call.runs;
    if (!request.field("authorization").empty())
    {
        violations_.push_back("a server was told the key of " + id);
    }
    if (request.field("tenant") != workspace_of(call.key))
    {
        violations_.push_back("wrong workspace for " + id);
    }
    auto const dead = dead_keys_.find(call.key);
    if (dead != dead_keys_.end() && soak_clock::now() > dead->second)
    {
        violations_.push_back("a withdrawn key still works: " + id);
    }
    check(id, call);
}

void soak_ledger::asked(std::string const& id, call_class const& kind,
                        std::string const& key)
{
    std::lock_guard const lock{mutex_};
    calls_[id] = {.kind = kind, .key = key};
    ++asked_;
}

void soak_ledger::answered(std::string const& id, tests::raw_response const& answer)
{
    std::lock_guard const lock{mutex_};
    auto&                 call = calls_.at(id);
    ++statuses_[answer.status];
    bool const good = answer.status >= 200 && answer.status < 300;
    served_ += good && answer.complete ? 1 : 0;
    call.refused = call.refused || answer.status == 503 || answer.status == 429;
    bool const torn = good && answer.complete && answer.body != body_of(id, call.kind);
    if (torn)
    {
        violations_.push_back("not the whole answer to " + id + ": " + answer.body);
    }
    if (good && !tests::signed_by_server(answer))
    {
        violations_.push_back("an answer without its signature: " + id);
    }
    check(id, call);
}

void soak_ledger::check(std::string const& id, call_record const& call)
{
    if (!call.kind.repeatable && call.runs > 1)
    {
        violations_.push_back("ran more than once: " + id);
    }
    if (!call.kind.repeatable && call.refused && call.runs > 0)
    {
        violations_.push_back("refused as not run, and ran: " + id);
    }
}

void soak_ledger::cut_by_planned_work(std::string const& id)
{
    broken("a planned stop has cut " + id);
}

void soak_ledger::withdrawn(std::string const& key, std::chrono::milliseconds grace)
{
    std::lock_guard const lock{mutex_};
    dead_keys_[key] = soak_clock::now() + grace;
}

void soak_ledger::granted(std::string const& key)
{
    std::lock_guard const lock{mutex_};
    dead_keys_.erase(key);
}

void soak_ledger::broken(std::string const& what)
{
    std::lock_guard const lock{mutex_};
    violations_.push_back(what);
}

void soak_ledger::check_reports(
    std::vector<std::pair<std::uint64_t, std::string>> const& senders,
    std::vector<std::pair<std::int64_t, std::string>> const&  windows)
{
    std::map<std::uint64_t, std::string> holders;
    for (auto const& [token, holder] : senders)
    {
        if (holders.try_emplace(token, holder).first->second != holder)
        {
            broken("two holders with fencing token " + std::to_string(token));
        }
    }
    std::map<std::int64_t, std::string> figures;
    for (auto const& [window, counts] : windows)
    {
        if (figures.try_emplace(window, counts).first->second != counts)
        {
            broken("window " + std::to_string(window) + " reported with two figures");
        }
    }
}

std::vector<std::string> soak_ledger::violations() const
{
    std::lock_guard const lock{mutex_};
    return violations_;
}

std::pair<int, int> soak_ledger::take_share()
{
    std::lock_guard const lock{mutex_};
    return {std::exchange(asked_, 0), std::exchange(served_, 0)};
}

std::map<int, int> soak_ledger::statuses() const
{
    std::lock_guard const lock{mutex_};
    return statuses_;
}

} // namespace marigoldcrank::soak
