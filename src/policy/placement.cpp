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

/// The cheapest candidate; the one that `ticket` points to is looked at first, so that
/// equal ones share the calls.
template <class Cost>
choice cheapest(std::vector<candidate> const& candidates, std::uint64_t ticket,
                Cost&& cost)
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
    constexpr double other_centre =
        1.5; // calls in work that a way to another one is worth
    return cheapest(candidates, ticket,
                    [&](candidate const& each)
                    {
                        return static_cast<double>(each.load.running) +
                               (each.server->data_centre == data_centre ? 0
                                                                        : other_centre) +
                               (each.suspect ? suspect_cost : 0);
                    })
        .server;
}

// 3. Model

namespace
{

/// Costs that all model placements share.
class model_costs
{
public:
    model_costs(std::string const& data_centre, placement_options const& options)
        : data_centre_(data_centre), options_(options)
    {
    }

    double waiting(candidate const& each) const
    {
        auto const streams = each.load.running * options_.stream_tokens;
        return static_cast<double>(each.load.unread + streams);
    }

    double distance(candidate const& each) const
    {
        bool const near = each.server->data_centre == data_centre_;
        return (near ? 0.0 : static_cast<double>(options_.distance_tokens)) +
               (each.suspect ? suspect_cost : 0.0);
    }

private:
    std::string const&       data_centre_;
    placement_options const& options_;
};

std::int64_t backlog_at(std::vector<candidate> const& candidates,
                        backend_server const*         server)
{
    auto const found =
        std::find_if(candidates.begin(), candidates.end(),
                     [&](candidate const& each) { return each.server == server; });
    return found == candidates.end() ? 0 : found->load.unread;
}

constexpr double unfit = std::numeric_limits<double>::infinity();

} // namespace

std::optional<placement> place_model(std::vector<candidate> const& candidates,
                                     caller_call const&            call,
                                     std::string const& data_centre, std::uint64_t ticket,
                                     placement_options const& options)
{
    model_costs const costs{data_centre, options};
    auto const        shared = call.shared_part();
    auto const        all = static_cast<double>(call.prompt_tokens());
    auto const        own = static_cast<double>(call.own_tokens());
    auto const*       prefill_home = home_of(candidates, shared, true);
    auto const*       decode_home = home_of(candidates, shared, false);
    auto const        unread = [&](candidate const& each, backend_server const* home)
    {
        bool const cached = each.server == home && !shared.empty();
        return cached ? own : own + options.read_again * (all - own);
    };
    bool const some_read_only =
        std::any_of(candidates.begin(), candidates.end(),
                    [](candidate const& each) {
                        return each.server->role == engine_role::prefill && !each.suspect;
                    });
    auto const may_read = [&](candidate const& each)
    {
        auto const tokens =
            static_cast<double>(each.load.unread) + unread(each, decode_home);
        return each.server->role != engine_role::prefill &&
               (!some_read_only || tokens <= static_cast<double>(options.decode_reads));
    };
    auto const whole = cheapest(
        candidates, ticket,
        [&](candidate const& each)
        {
            bool const fits = may_read(each);
            auto const tokens = costs.waiting(each) + unread(each, decode_home);
            return fits ? options.decode_reads_slower * tokens + costs.distance(each)
                        : unfit;
        });
    auto const first =
        cheapest(candidates, ticket,
                 [&](candidate const& each)
                 {
                     bool const fits = each.server->role == engine_role::prefill;
                     auto const tokens = costs.waiting(each) + unread(each, prefill_home);
                     return fits ? tokens + costs.distance(each) : unfit;
                 });
    if (whole.server == nullptr && first.server == nullptr)
    {
        return std::nullopt;
    }
    bool const sooner =
        call.own_tokens() >= options.handover_least &&
        first.cost + static_cast<double>(options.handover_cost) < whole.cost;
    bool const  apart = whole.server == nullptr || sooner;
    auto const& chosen = apart ? first : whole;
    auto const* home = apart ? prefill_home : decode_home;
    bool const  cached = chosen.server == home && !shared.empty();
    return placement{.server = chosen.server,
                     .prefill_only = apart,
                     .unread = cached ? call.own_tokens() : call.prompt_tokens(),
                     .ahead = backlog_at(candidates, chosen.server)};
}

backend_server const* place_decode(std::vector<candidate> const& candidates,
                                   std::string const& data_centre, std::uint64_t ticket,
                                   placement_options const& options)
{
    model_costs const costs{data_centre, options};
    return cheapest(candidates, ticket,
                    [&](candidate const& each)
                    {
                        bool const fits = each.server->role != engine_role::prefill;
                        return fits ? costs.waiting(each) + costs.distance(each) : unfit;
                    })
        .server;
}

} // namespace marigoldcrank
