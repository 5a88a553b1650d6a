// Pauses of servers, queries for units of their limits, and replies as their owner.
#include "serving/send_permit.hpp"

#include "policy/limit_bounds.hpp"
#include "serving/owner_link.hpp"

#include <algorithm>

namespace marigoldcrank
{

namespace asio = boost::asio;

namespace
{

// 50 and 1000  ms; a server is on hold for at least and at most this long after a refused
//              query. The prediction of the owner assumes that all refused VMs come back
constexpr millis min_hold{50};
constexpr millis max_hold{1000};

/// Decides with a local bucket, while no VM replies.
bucket_answer decide_isolated(entry_state& state, bucket_query const& query)
{
    auto const now = boot_clock::now();
    bool const alone = state.settings.peers.port == 0;
    auto const bounds =
        alone ? shared_limit_bounds(query.rate, 1)
              : isolated_limit_bounds(query.rate, state.fleet.single_vm_share());
    auto const bucket = state.isolated_limits.try_emplace(query.key, bounds, now).first;
    bucket->second.limit(bounds, now);
    auto const wait = bucket->second.take(query.units, now);
    return {.outcome = wait ? bucket_outcome::exhausted : bucket_outcome::granted,
            .retry_after = wait.value_or(millis{0})};
}

asio::awaitable<bucket_answer> decide(entry_state& state, bucket_query query)
{
    // A VM that has just started may take itself for the owner of every bucket.
    bool const can_query =
        state.owners != nullptr && state.fleet.settled(boot_clock::now());
    if (can_query)
    {
        if (auto const decision = co_await state.owners->query(query))
        {
            co_return decision->answer;
        }
    }
    co_return decide_isolated(state, query);
}

bool is_leaving(entry_state const& state, std::string const& server)
{
    auto const& listed = state.servers.servers();
    auto const  found = listed.find(server);
    return found != listed.end() && found->second.leaving;
}

/// Holds a server whose pause has just ended if it has got as many requests as it should.
void limit_return(entry_state& state, std::string const& server,
                  boot_clock::time_point now)
{
    auto const ramp = state.ramps.find(server);
    if (ramp == state.ramps.end())
    {
        return;
    }
    if (ramp->second.done(now))
    {
        state.ramps.erase(ramp);
    }
    else if (auto const wait = ramp->second.take(now))
    {
        state.holds.hold(server, now + *wait);
    }
}

} // namespace

asio::awaitable<std::optional<send_permit>> request_permit(entry_state& state,
                                                           std::string  server)
{
    if (!state.holds.held(server, boot_clock::now()))
    {
        limit_return(state, server, boot_clock::now());
    }
    auto const rate = state.limits.rate(server);
    if (rate && !state.holds.held(server, boot_clock::now()))
    {
        bucket_query const query{
            .kind = bucket_kind::server, .key = server, .units = 1, .rate = *rate};
        auto const answer = co_await decide(state, query);
        bool const granted = answer.outcome == bucket_outcome::granted;
        state.counters.add("limit_queries_total",
                           granted ? "outcome=\"granted\"" : "outcome=\"exhausted\"");
        if (!granted)
        {
            state.holds.hold(server, boot_clock::now() + std::clamp(answer.retry_after,
                                                                    min_hold, max_hold));
        }
    }
    if (state.holds.held(server, boot_clock::now()) || is_leaving(state, server))
    {
        co_return std::nullopt;
    }
    co_return send_permit{std::move(server)};
}

limit_owner::limit_owner(entry_state& state, owner_link& owners)
    : state_(state), owners_(owners)
{
    owners.handle(bucket_kind::server,
                  [this](bucket_query const& query) { return reply(query); });
}

void limit_owner::forget_servers()
{
    buckets_.forget_unless([&](std::string const& server)
                           { return state_.servers.servers().count(server) > 0; });
}

bucket_answer limit_owner::reply(bucket_query const& query)
{
    auto const view = owners_.view_for(query);
    // The VMs may know different limits; the lower one is safe.
    auto const rate =
        std::min(query.rate, state_.limits.rate(query.key).value_or(query.rate));
    return buckets_.answer(query, shared_limit_bounds(rate, view.share), view,
                           boot_clock::now());
}

} // namespace marigoldcrank
