// Costs of candidates, in milliseconds until the call's prompt is read.
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
backend_server const* rendezvous_engine(std::vector<candidate> const& candidates,
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

/// From 0 to 1; the same for a call and an engine however often it is asked for.
double chance_of(std::uint64_t ticket, std::string const& id)
{
    constexpr double most = 18446744073709551615.0; // of 64 bits
    return static_cast<double>(XXH3_64bits_withSeed(id.data(), id.size(), ticket)) / most;
}

struct choice
{
    candidate const* chosen = nullptr;
    double           cost = std::numeric_limits<double>::infinity();
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
            best = {&each, value};
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
    auto const best =
        cheapest(candidates, ticket,
                 [&](candidate const& each)
                 {
                     bool const near = each.server->data_centre == data_centre;
                     return static_cast<double>(each.load.running) +
                            (near ? 0 : other_centre) + (each.suspect ? suspect_cost : 0);
                 });
    return best.chosen == nullptr ? nullptr : best.chosen->server;
}

// 3. Model

namespace
{

// ms; above any real wait, so that an engine that wasn't drawn is taken only if no other
//     one is sound
constexpr double undrawn = 1e6;
constexpr double unfit = std::numeric_limits<double>::infinity();

bool reads_only(candidate const& each)
{
    return each.server->role == engine_role::prefill;
}

/// Ways of having one prompt read.
class reading_costs
{
public:
    reading_costs(std::vector<candidate> const& candidates, caller_call const& call,
                  engine_costs const& engines, std::string const& data_centre,
                  std::uint64_t ticket, placement_options const& options)
        : engines_(engines), data_centre_(data_centre), ticket_(ticket),
          options_(options), own_(call.own_tokens()),
          shared_(call.prompt_tokens() - call.own_tokens())
    {
        for (auto const& each : candidates)
        {
            some_read_only_ = some_read_only_ || (reads_only(each) && !each.suspect);
            readers_ += reads_only(each) && !each.suspect ? 1 : 0;
            decoders_ += !reads_only(each) && !each.suspect ? 1 : 0;
            known_ = known_ || each.kept > 0;
            bool const better = holder_ == nullptr || each.ready > holder_->ready;
            if (!each.suspect && each.ready > 0 && better)
            {
                holder_ = &each;
            }
        }
        if (!known_ && !call.shared_part().empty())
        {
            prefill_home_ = rendezvous_engine(candidates, call.shared_part(), true);
            decode_home_ = rendezvous_engine(candidates, call.shared_part(), false);
        }
    }

    /// How the prompt would be read at `each`.
    placement at(candidate const& each) const
    {
        placement  result{.server = each.server,
                          .prefill_only = reads_only(each),
                          .unread = own_ + shared_ - each.kept,
                          .wait_ms = waiting(each)};
        auto const read_own = reading(each, own_);
        auto const read_rest = reading(each, shared_ - each.kept);
        auto const fetched = fetchable(each);
        auto const fetch =
            fetching(each, fetched) + reading(each, shared_ - each.kept - fetched);
        result.read_ms = fixed(each) + read_own + read_rest;
        if (fetched > 0 && fetch < read_rest)
        {
            result.fetch_from = holder_->server;
            result.unread -= fetched;
            result.read_ms = fixed(each) + read_own + fetch;
        }
        return result;
    }

    /// What a placement costs: its time, and what it takes from others.
    double of(candidate const& each, placement const& placed) const
    {
        auto const shared = placed.read_ms - fixed(each) - reading(each, own_);
        bool const home =
            each.server == (reads_only(each) ? prefill_home_ : decode_home_);
        auto const discount = home ? options_.home * reading(each, shared_) : 0.0;
        return placed.wait_ms + placed.read_ms + (options_.read_again - 1) * shared -
               discount + distance(each) + spread(each) + (drawn(each) ? 0.0 : undrawn);
    }

    /// Whether an engine that decodes may read the prompt beside its streams.
    bool may_read(candidate const& each, placement const& placed) const
    {
        return !reads_only(each) &&
               (!some_read_only_ ||
                each.load.unread + placed.unread <= engines_.beside_streams);
    }

    double waiting(candidate const& each) const
    {
        return reading(each, each.load.unread) +
               static_cast<double>(each.load.running) * options_.stream_ms;
    }

    double distance(candidate const& each) const
    {
        bool const near = each.server->data_centre == data_centre_;
        return (near ? 0.0 : options_.distance_ms) + (each.suspect ? suspect_cost : 0.0);
    }

    /// Whether the call may go there: to an engine that keeps its prompt, or should, or
    /// was drawn.
    bool drawn(candidate const& each) const
    {
        auto const role = reads_only(each) ? readers_ : decoders_;
        bool const few = engines_.choices <= 0 || role <= engines_.choices;
        bool const home = each.server == prefill_home_ || each.server == decode_home_;
        return few || home || each.kept > 0 ||
               chance_of(~ticket_, each.server->id) * static_cast<double>(role) <
                   static_cast<double>(engines_.choices);
    }

    double spread(candidate const& each) const
    {
        auto const most = options_.spread * engines_.unheard_ms;
        return most <= 0 ? 0.0 : most * chance_of(ticket_, each.server->id);
    }

private:
    double reading(candidate const& each, std::int64_t tokens) const
    {
        auto const speed = reads_only(each) ? engines_.read_speed : engines_.beside_speed;
        return static_cast<double>(tokens) / speed;
    }

    double fixed(candidate const& each) const
    {
        return reads_only(each) ? engines_.read_fixed_ms : engines_.beside_fixed_ms;
    }

    /// Tokens that the engine could fetch from the one that keeps most of the prompt.
    std::int64_t fetchable(candidate const& each) const
    {
        bool const other = options_.fetch && holder_ != nullptr && &each != holder_;
        auto const tokens = other ? holder_->ready - each.kept : 0;
        return tokens >= options_.fetch_least ? tokens : 0;
    }

    double fetching(candidate const& each, std::int64_t tokens) const
    {
        constexpr double far = 2; // times as long between data centres
        bool const       near = holder_ == nullptr ||
                          each.server->data_centre == holder_->server->data_centre;
        return options_.fetch_setup_ms +
               static_cast<double>(tokens) / options_.fetch_speed * (near ? 1.0 : far);
    }

    engine_costs const&      engines_;
    std::string const&       data_centre_;
    std::uint64_t            ticket_;
    placement_options const& options_;
    std::int64_t             own_;
    std::int64_t             shared_;
    bool                     some_read_only_ = false;
    std::int64_t             readers_ = 0;      // engines that read only
    std::int64_t             decoders_ = 0;     // the others
    bool                     known_ = false;    // some engine keeps a part of the prompt
    candidate const*         holder_ = nullptr; // has read most of the prompt
    backend_server const*    prefill_home_ = nullptr;
    backend_server const*    decode_home_ = nullptr;
};

} // namespace

std::optional<placement> place_model(std::vector<candidate> const& candidates,
                                     caller_call const& call, engine_costs const& costs,
                                     std::string const& data_centre, std::uint64_t ticket,
                                     placement_options const& options)
{
    reading_costs const    ways{candidates, call, costs, data_centre, ticket, options};
    std::vector<placement> placed(candidates.size());
    std::transform(candidates.begin(), candidates.end(), placed.begin(),
                   [&](candidate const& each) { return ways.at(each); });
    auto const way = [&](candidate const& each) -> placement const&
    {
        return placed[static_cast<std::size_t>(&each - candidates.data())];
    };
    auto const whole = cheapest(
        candidates, ticket,
        [&](candidate const& each)
        { return ways.may_read(each, way(each)) ? ways.of(each, way(each)) : unfit; });
    auto const apart =
        cheapest(candidates, ticket,
                 [&](candidate const& each)
                 { return reads_only(each) ? ways.of(each, way(each)) : unfit; });
    if (whole.chosen == nullptr && apart.chosen == nullptr)
    {
        return std::nullopt;
    }
    bool const sooner =
        options.handover && call.own_tokens() >= options.handover_least &&
        apart.cost + costs.handover_ms + options.handover_cost_ms < whole.cost;
    return way(whole.chosen == nullptr || sooner ? *apart.chosen : *whole.chosen);
}

backend_server const* place_decode(std::vector<candidate> const& candidates,
                                   engine_costs const&           costs,
                                   std::string const& data_centre, std::uint64_t ticket,
                                   placement_options const& options)
{
    reading_costs const ways{candidates,  caller_call{}, costs,
                             data_centre, ticket,        options};
    auto const          best = cheapest(candidates, ticket,
                                        [&](candidate const& each)
                                        {
                                   return reads_only(each)
                                                       ? unfit
                                                       : ways.waiting(each) + ways.distance(each) +
                                                    ways.spread(each);
                               });
    return best.chosen == nullptr ? nullptr : best.chosen->server;
}

} // namespace marigoldcrank
