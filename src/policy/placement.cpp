// Costs of candidates, in prompt tokens to be read before the call's first one.
//
// Index: 1 shared, 2 plain, 3 model
#include "policy/placement.hpp"

#include <xxhash.h>

#include <algorithm>
#include <limits>

namespace marigoldcrank
{

namespace
{

// 1. Shared

constexpr double suspect_cost = 1e9; // above any real cost: only if nothing else is there

/// Rendezvous: every VM ranks the engines for a prompt part alike, without talking.
std::uint64_t rank_of(std::string_view part, std::string const& id)
{
    return XXH3_64bits_withSeed(id.data(), id.size(),
                                XXH3_64bits(part.data(), part.size()));
}

/// The engine of `role` on which the shared part of prompts is kept.
backend_server const* home_of(std::vector<candidate> const& candidates,
                              std::string_view part, bool prefill)
{
    backend_server const* best = nullptr;
    std::uint64_t         best_rank = 0;
    for (auto const& each : candidates)
    {
        bool const fits = (each.server->role == engine_role::prefill) == prefill;
        auto const rank = rank_of(part, each.server->id);
        if (fits && !each.suspect && (best == nullptr || rank > best_rank))
        {
            best = each.server;
            best_rank = rank;
        }
    }
    return best;
}

struct choice
{
    backend_server const* server = nullptr;
    double                cost = std::numeric_limits<double>::infinity();
};

/// The cheapest candidate; the one that `ticket` points to is looked at first, so that equal
/// ones share the calls.
template <class Cost>
choice cheapest(std::vector<candidate> const& candidates, std::uint64_t ticket, Cost&& cost)
{
    choice best;
    for (std::size_t step = 0; step < candidates.size(); ++step)
    {
        auto const& each = candidates[(ticket + step) % candidates.size()];
        auto const  value = cost(each);
        if (value < best.cost)
        {
            best = {each.server, value};
        }
    }
    return best;
}

} // namespace

// 2. Plain

backend_server const* place_plain(std::vector<candidate> const& candidates,
                                  std::string const& data_centre, std::uint64_t ticket)
{
    constexpr double other_centre = 1.5; // calls in work that a way to another one is worth
    return cheapest(candidates, ticket,
                    [&](candidate const& each)
                    {
                        return static_cast<double>(each.running) +
                               (each.server->data_centre == data_centre ? 0 : other_centre) +
                               (each.suspect ? suspect_cost : 0);
                    })
        .server;
}

// 3. Model

std::optional<placement> place_model(std::vector<candidate> const& candidates,
                                     caller_call const&            call,
                                     std::string const& data_centre, std::uint64_t ticket,
                                     placement_options const& options)
{
    auto const  shared = call.shared_part();
    auto const  all = static_cast<double>(call.prompt_tokens());
    auto const  own = static_cast<double>(call.own_tokens());
    auto const* prefill_home = home_of(candidates, shared, true);
    auto const* decode_home = home_of(candidates, shared, false);
    auto const  near = [&](candidate const& each)
    {
        bool const same = each.server->data_centre == data_centre;
        return (same ? 0.0 : static_cast<double>(options.distance_tokens)) +
               (each.suspect ? suspect_cost : 0.0);
    };
    auto const waiting = [&](candidate const& each)
    {
        return options.peer_factor *
               (static_cast<double>(each.prompt_backlog) +
                static_cast<double>(each.running * options.stream_tokens));
    };
    auto const none = std::numeric_limits<double>::infinity();
    auto const reads_itself = [&](candidate const& each)
    {
        if (each.server->role == engine_role::prefill)
        {
            return none;
        }
        auto const unread = each.server == decode_home && !shared.empty() ? own : all;
        return options.decode_reads_slower * (waiting(each) + unread) + near(each);
    };
    auto const reads_first = [&](candidate const& each)
    {
        if (each.server->role != engine_role::prefill)
        {
            return none;
        }
        auto const unread = each.server == prefill_home && !shared.empty() ? own : all;
        return waiting(each) + unread + near(each);
    };
    auto const takes_over = [&](candidate const& each)
    {
        return each.server->role == engine_role::prefill ? none : waiting(each) + near(each);
    };
    auto const whole = cheapest(candidates, ticket, reads_itself);
    if (whole.server == nullptr)
    {
        return std::nullopt;
    }
    auto const first = cheapest(candidates, ticket, reads_first);
    bool const worth_it = call.own_tokens() >= options.handover_tokens &&
                          first.cost + static_cast<double>(options.handover_tokens) <
                              whole.cost;
    if (!worth_it)
    {
        return placement{whole.server, nullptr};
    }
    return placement{cheapest(candidates, ticket, takes_over).server, first.server};
}

} // namespace marigoldcrank
