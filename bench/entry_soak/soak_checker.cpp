// Checks of single calls and of usage reports.
#include "soak_checker.hpp"

#include "platform/field_names.hpp"
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
                                                 {"/resume/", true, true},
                                                 {"/model/", false, true}};
    return classes;
}

void soak_checker::on_run(tests::wire_request const& request)
{
    std::lock_guard const lock{mutex_};
    auto const            id = request.field(platform::call_id_field);
    auto const            found = calls_.find(id);
    if (found == calls_.end())
    {
        violations_.push_back("a server ran a call that no caller sent: " + id);
        return;
    }
    auto&      call = found->second;
    bool const goes_on =
        !request.field(platform::cache_source_field).empty(); // from a copy of its run
    if (goes_on && !call.copied)
    {
        violations_.push_back("a call without a copy went on from one: " + id);
    }
    call.copied = call.copied || !request.field(platform::copy_field).empty();
    call.runs += goes_on ? 0 : 1;
    if (!request.field("authorization").empty())
    {
        violations_.push_back("the caller's key was passed to the server for call " + id);
    }
    if (request.field("tenant") != workspace_of(call.key))
    {
        violations_.push_back("wrong workspace at the server for call " + id);
    }
    auto const withdrawn = withdrawn_keys_.find(call.key);
    if (withdrawn != withdrawn_keys_.end() && soak_clock::now() > withdrawn->second)
    {
        violations_.push_back("a call ran with a withdrawn key: " + id);
    }
    check(id, call);
}

void soak_checker::on_sent(std::string const& id, call_class const& kind,
                           std::string const& key, int daemon)
{
    std::lock_guard const lock{mutex_};
    calls_[id] = {.kind = kind, .key = key, .origin = {daemon, soak_clock::now()}};
    ++sent_;
}

std::optional<call_origin> soak_checker::origin(std::string const& id) const
{
    std::lock_guard const lock{mutex_};
    auto const            found = calls_.find(id);
    return found == calls_.end() ? std::nullopt : std::optional{found->second.origin};
}

void soak_checker::on_response(std::string const& id, tests::raw_response const& response)
{
    std::lock_guard const lock{mutex_};
    auto&                 call = calls_.at(id);
    ++statuses_[response.status];
    bool const good = response.status >= 200 && response.status < 300;
    served_ += good && response.complete ? 1 : 0;
    call.refused = call.refused || response.status == 503 || response.status == 429;
    bool const incomplete =
        good && response.complete && !is_whole_body(id, call.kind, response.body);
    if (incomplete)
    {
        violations_.push_back("wrong response body for call " + id + ": " +
                              response.body);
    }
    if (good && !tests::signed_by_server(response))
    {
        violations_.push_back("response without the server's signature: " + id);
    }
    check(id, call);
}

void soak_checker::on_resumed(std::string const&         id,
                              tests::raw_response const& interrupted,
                              tests::raw_response const& resumed)
{
    auto const            first = parse_stream(interrupted.body);
    auto const            second = parse_stream(resumed.body);
    auto                  versions = first.versions;
    std::lock_guard const lock{mutex_};
    bool const            good = resumed.status == 200;
    ++statuses_[resumed.status];
    versions.insert(second.versions.begin(), second.versions.end());
    if (good && versions.size() > 1)
    {
        violations_.push_back("events of two versions in stream " + id + ": " +
                              interrupted.body + resumed.body);
    }
    bool const follows =
        second.valid && (second.first == 0 || second.first == first.last + 1);
    if (good && !follows)
    {
        violations_.push_back("stream " + id +
                              " doesn't go on where it broke off: " + resumed.body);
    }
    served_ += good && resumed.complete ? 1 : 0;
    went_on_ += good && resumed.complete ? 1 : 0;
    ++taken_up_;
}

std::pair<int, int> soak_checker::resumptions() const
{
    std::lock_guard const lock{mutex_};
    return {taken_up_, went_on_};
}

void soak_checker::check(std::string const& id, call_record const& call)
{
    if (!call.kind.repeatable && call.runs > 1)
    {
        violations_.push_back("non-repeatable call ran more than once: " + id);
    }
    if (!call.kind.repeatable && call.refused && call.runs > 0)
    {
        violations_.push_back("non-repeatable call was refused as not run, but ran: " +
                              id);
    }
}

void soak_checker::on_planned_interruption(std::string const& id)
{
    add_violation("call interrupted during planned work: " + id);
}

void soak_checker::on_key_withdrawn(std::string const&        key,
                                    std::chrono::milliseconds grace)
{
    std::lock_guard const lock{mutex_};
    withdrawn_keys_[key] = soak_clock::now() + grace;
}

void soak_checker::on_key_granted(std::string const& key)
{
    std::lock_guard const lock{mutex_};
    withdrawn_keys_.erase(key);
}

void soak_checker::add_violation(std::string const& what)
{
    std::lock_guard const lock{mutex_};
    violations_.push_back(what);
}

void soak_checker::check_reports(
    std::vector<std::pair<std::uint64_t, std::string>> const& senders,
    std::vector<std::pair<std::int64_t, std::string>> const&  windows)
{
    std::map<std::uint64_t, std::string> holders;
    for (auto const& [token, holder] : senders)
    {
        if (holders.try_emplace(token, holder).first->second != holder)
        {
            add_violation("two holders used fencing token " + std::to_string(token));
        }
    }
    std::map<std::int64_t, std::string> figures;
    for (auto const& [window, counts] : windows)
    {
        if (figures.try_emplace(window, counts).first->second != counts)
        {
            add_violation("window " + std::to_string(window) +
                          " reported with different counts");
        }
    }
}

std::vector<std::string> soak_checker::violations() const
{
    std::lock_guard const lock{mutex_};
    return violations_;
}

std::pair<int, int> soak_checker::take_counts()
{
    std::lock_guard const lock{mutex_};
    return {std::exchange(sent_, 0), std::exchange(served_, 0)};
}

std::map<int, int> soak_checker::statuses() const
{
    std::lock_guard const lock{mutex_};
    return statuses_;
}

} // namespace marigoldcrank::soak
