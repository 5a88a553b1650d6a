// Placement by cost, in milliseconds until the prompt is prefilled.
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

// 1e9  ms; above any real cost, so that avoided servers are chosen last
constexpr double avoided_cost = 1e9;

/// Rendezvous hashing: all VMs rank the engines for a prompt part alike without messages.
std::uint64_t rendezvous_rank(std::string_view part, std::string const& id)
{
    return XXH3_64bits_withSeed(id.data(), id.size(),
                                XXH3_64bits(part.data(), part.size()));
}

/// The engine with the highest rank for a shared prompt part, among the prefill engines
/// or the others.
backend_server const* rendezvous_engine(std::vector<candidate> const& candidates,
                                        std::string_view part, bool prefill)
{
    backend_server const* best = nullptr;
    std::uint64_t         best_rank = 0;
    for (auto const& each : candidates)
    {
        bool const fits = (each.server->role == engine_role::prefill) == prefill;
        auto const rank = rendezvous_rank(part, each.server->id);
        if (fits && !each.avoided && (best == nullptr || rank > best_rank))
        {
            best = each.server;
            best_rank = rank;
        }
    }
    return best;
}

/// A value from 0 to 1 that depends only on the call's tie_break and the engine's id.
double hash_fraction(std::uint64_t tie_break, std::string const& id)
{
    constexpr double most = 18446744073709551615.0; // 2^64 - 1
    return static_cast<double>(XXH3_64bits_withSeed(id.data(), id.size(), tie_break)) /
           most;
}

struct choice
{
    candidate const* chosen = nullptr;
    double           cost = std::numeric_limits<double>::infinity();
};

/// The candidate with the least cost. The search starts at the index that `tie_break`
/// selects, so that calls spread over candidates of equal cost.
template <class Cost>
choice cheapest(std::vector<candidate> const& candidates, std::uint64_t tie_break,
                Cost&& cost)
{
    choice best;
    for (std::size_t step = 0; step < candidates.size(); ++step)
    {
        auto const& each = candidates[(tie_break + step) % candidates.size()];
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

namespace
{

// 1e6  ms or calls; above any real cost, so that a server outside the sample is chosen
//      only if all sampled ones are avoided
constexpr double unsampled_cost = 1e6;
// 3    servers in this data centre, and as many in others, that a call considers on
//      average if servers differ in pace
constexpr double drawn_servers = 3;

} // namespace

backend_server const* place_plain(std::vector<candidate> const& candidates,
                                  std::string const& data_centre, std::uint64_t tie_break)
{
    // 1.5  calls at a server of pace 1; cost of a hop to another data centre
    constexpr double remote_penalty = 1.5;
    auto const       is_near = [&](candidate const& each)
    {
        return each.server->data_centre == data_centre;
    };
    // With equal paces there are many ties, which spread the calls of VMs with old loads.
    // With different ones all VMs would choose the same server if none were left out.
    bool const all_drawn = std::all_of(candidates.begin(), candidates.end(),
                                       [](auto const& each) { return each.pace == 1; });
    auto const near_count = std::count_if(candidates.begin(), candidates.end(), is_near);
    double const near_servers = static_cast<double>(near_count);
    double const far_servers = static_cast<double>(candidates.size()) - near_servers;
    auto const   cost = [&](candidate const& each)
    {
        auto const servers = is_near(each) ? near_servers : far_servers;
        bool const drawn =
            all_drawn || servers <= drawn_servers ||
            hash_fraction(~tie_break, each.server->id) * servers < drawn_servers;
        return static_cast<double>(each.load.running + 1) / each.pace +
               (is_near(each) ? 0 : remote_penalty) + (drawn ? 0 : unsampled_cost) +
               (each.avoided ? avoided_cost : 0);
    };
    auto const best = cheapest(candidates, tie_break, cost);
    return best.chosen == nullptr ? nullptr : best.chosen->server;
}

// 3. Model

namespace
{

constexpr double infeasible_cost = std::numeric_limits<double>::infinity();

bool is_prefill_engine(candidate const& each)
{
    return each.server->role == engine_role::prefill;
}

/// Predicts the time and cost of one prompt's prefill at each engine.
class prefill_costs
{
public:
    prefill_costs(std::vector<candidate> const& candidates, caller_call const& call,
                  engine_costs const& engines, std::string const& data_centre,
                  std::uint64_t tie_break, placement_options const& options)
        : costs_(engines), data_centre_(data_centre), tie_break_(tie_break),
          options_(options), own_tokens_(call.unshared_tokens()),
          shared_tokens_(call.prompt_tokens() - call.unshared_tokens())
    {
        for (auto const& each : candidates)
        {
            has_prefill_engine_ =
                has_prefill_engine_ || (is_prefill_engine(each) && !each.avoided);
            prefill_engines_ += is_prefill_engine(each) && !each.avoided ? 1 : 0;
            decode_engines_ += !is_prefill_engine(each) && !each.avoided ? 1 : 0;
            cached_anywhere_ = cached_anywhere_ || each.cached > 0;
            if (each.rendezvous && !each.avoided)
            {
                (is_prefill_engine(each) ? prefill_rendezvous_ : decode_rendezvous_) =
                    each.server;
            }
            bool const better = best_cache_ == nullptr || each.ready > best_cache_->ready;
            if (!each.avoided && each.ready > 0 && better)
            {
                best_cache_ = &each;
            }
        }
        bool const drawn =
            prefill_rendezvous_ != nullptr || decode_rendezvous_ != nullptr;
        if (drawn && cached_anywhere_)
        {
            prefill_rendezvous_ = nullptr;
            decode_rendezvous_ = nullptr;
        }
        else if (!drawn && !cached_anywhere_ && !call.shared_prefix_id().empty())
        {
            prefill_rendezvous_ =
                rendezvous_engine(candidates, call.shared_prefix_id(), true);
            decode_rendezvous_ =
                rendezvous_engine(candidates, call.shared_prefix_id(), false);
        }
    }

    /// The placement of the call at `each`, with the cached parts fetched if that is
    /// faster.
    placement plan_at(candidate const& each) const
    {
        placement  result{.server = each.server,
                          .prefill_only = is_prefill_engine(each),
                          .prefill_tokens = own_tokens_ + shared_tokens_ - each.cached,
                          .wait_ms = queue_time(each)};
        auto const prefill_own = prefill_time(each, own_tokens_);
        auto const prefill_rest = prefill_time(each, shared_tokens_ - each.cached);
        auto const fetched = fetchable(each);
        auto const fetch = fetch_time(each, fetched) +
                           prefill_time(each, shared_tokens_ - each.cached - fetched);
        result.prefill_ms = fixed_time(each) + prefill_own + prefill_rest;
        if (fetched > 0 && fetch < prefill_rest)
        {
            result.fetch_from = best_cache_->server;
            result.prefill_tokens -= fetched;
            result.prefill_ms = fixed_time(each) + prefill_own + fetch;
        }
        result.paced = paced_prefill_of(each, result);
        return result;
    }

    /// The cost of a placement in ms: its time plus its cost to other calls.
    double total_cost(candidate const& each, placement const& placed) const
    {
        auto const shared =
            placed.prefill_ms - fixed_time(each) - prefill_time(each, own_tokens_);
        bool const is_rendezvous =
            each.server ==
            (is_prefill_engine(each) ? prefill_rendezvous_ : decode_rendezvous_);
        auto const discount = is_rendezvous
                                  ? options_.rendezvous_margin *
                                        prefill_time(each, shared_tokens_) * each.pace
                                  : 0.0;
        return placed.wait_ms + placed.prefill_ms +
               (options_.recompute_weight - 1) * shared - discount + distance_cost(each) +
               random_cost(each) + (is_sampled(each) ? 0.0 : unsampled_cost);
    }

    /// Whether a decode engine may prefill the prompt while its streams run.
    bool may_prefill(candidate const& each, placement const& placed) const
    {
        return !is_prefill_engine(each) &&
               (!has_prefill_engine_ ||
                static_cast<double>(each.load.prefill_tokens + placed.prefill_tokens) <=
                    static_cast<double>(costs_.max_colocated_tokens) * each.pace);
    }

    double queue_time(candidate const& each) const
    {
        return prefill_time(each, each.load.prefill_tokens) +
               static_cast<double>(each.load.running) * options_.stream_slowdown_ms /
                   each.pace;
    }

    double distance_cost(candidate const& each) const
    {
        bool const near = each.server->data_centre == data_centre_;
        return (near ? 0.0 : options_.remote_cost_ms) +
               (each.avoided ? avoided_cost : 0.0);
    }

    /// Whether the call considers this engine: it caches a part of the prompt, is a
    /// rendezvous engine for it, or is in the call's random sample.
    bool is_sampled(candidate const& each) const
    {
        auto const role = is_prefill_engine(each) ? prefill_engines_ : decode_engines_;
        bool const few = costs_.sampled_engines <= 0 || role <= costs_.sampled_engines;
        bool const is_rendezvous =
            each.server == prefill_rendezvous_ || each.server == decode_rendezvous_;
        return few || is_rendezvous || each.cached > 0 ||
               hash_fraction(~tie_break_, each.server->id) * static_cast<double>(role) <
                   static_cast<double>(costs_.sampled_engines);
    }

    double random_cost(candidate const& each) const
    {
        auto const most = options_.random_range * costs_.unreported_ms;
        return most <= 0 ? 0.0
                         : most / each.pace * hash_fraction(tie_break_, each.server->id);
    }

private:
    double prefill_time(candidate const& each, std::int64_t tokens) const
    {
        auto const speed =
            is_prefill_engine(each) ? costs_.prefill_rate : costs_.colocated_rate;
        return static_cast<double>(tokens) / speed / each.pace;
    }

    double fixed_time(candidate const& each) const
    {
        return (is_prefill_engine(each) ? costs_.prefill_fixed_ms
                                        : costs_.colocated_fixed_ms) /
               each.pace;
    }

    /// The weight of the sample is the time of the tokens known to be prefilled, relative
    /// to the longest time: if the wait is twice as long and no part is cached any more.
    paced_prefill paced_prefill_of(candidate const& each, placement const& placed) const
    {
        paced_prefill result{.mean_ms = placed.prefill_ms * each.pace,
                             .pace = each.pace,
                             .remote = each.server->data_centre != data_centre_};
        if (placed.fetch_from == nullptr)
        {
            auto const longest = fixed_time(each) +
                                 prefill_time(each, own_tokens_ + shared_tokens_) +
                                 2 * placed.wait_ms;
            result.weight =
                longest > 0 ? prefill_time(each, placed.prefill_tokens) / longest : 0;
        }
        return result;
    }

    /// Tokens that the engine could fetch from the one that caches most of the prompt.
    std::int64_t fetchable(candidate const& each) const
    {
        bool const other =
            options_.fetch && best_cache_ != nullptr && &each != best_cache_;
        auto const tokens = other ? best_cache_->ready - each.cached : 0;
        return tokens >= options_.min_fetch_tokens ? tokens : 0;
    }

    double fetch_time(candidate const& each, std::int64_t tokens) const
    {
        constexpr double remote_factor = 2; // times as long between data centres
        bool const       near = best_cache_ == nullptr ||
                          each.server->data_centre == best_cache_->server->data_centre;
        return options_.fetch_setup_ms + static_cast<double>(tokens) /
                                             options_.fetch_speed *
                                             (near ? 1.0 : remote_factor);
    }

    engine_costs const&      costs_;
    std::string const&       data_centre_;
    std::uint64_t            tie_break_;
    placement_options const& options_;
    std::int64_t             own_tokens_;
    std::int64_t             shared_tokens_;
    bool                     has_prefill_engine_ = false;
    std::int64_t             prefill_engines_ = 0; // prefill engines not avoided
    std::int64_t             decode_engines_ = 0;  // the others not avoided
    bool             cached_anywhere_ = false; // some engine caches a part of the prompt
    candidate const* best_cache_ = nullptr;    // has computed most of the prompt
    backend_server const* prefill_rendezvous_ = nullptr;
    backend_server const* decode_rendezvous_ = nullptr;
};

} // namespace

std::optional<placement> place_model(std::vector<candidate> const& candidates,
                                     caller_call const& call, engine_costs const& costs,
                                     std::string const&       data_centre,
                                     std::uint64_t            tie_break,
                                     placement_options const& options)
{
    prefill_costs const    estimates{candidates,  call,      costs,
                                  data_centre, tie_break, options};
    std::vector<placement> placed(candidates.size());
    std::transform(candidates.begin(), candidates.end(), placed.begin(),
                   [&](candidate const& each) { return estimates.plan_at(each); });
    auto const plan_of = [&](candidate const& each) -> placement const&
    {
        return placed[static_cast<std::size_t>(&each - candidates.data())];
    };
    auto const colocated =
        cheapest(candidates, tie_break,
                 [&](candidate const& each)
                 {
                     return estimates.may_prefill(each, plan_of(each))
                                ? estimates.total_cost(each, plan_of(each))
                                : infeasible_cost;
                 });
    auto const handed_off =
        cheapest(candidates, tie_break,
                 [&](candidate const& each)
                 {
                     return is_prefill_engine(each)
                                ? estimates.total_cost(each, plan_of(each))
                                : infeasible_cost;
                 });
    if (colocated.chosen == nullptr && handed_off.chosen == nullptr)
    {
        return std::nullopt;
    }
    bool const use_handoff =
        options.allow_handoff && call.unshared_tokens() >= options.min_handoff_tokens &&
        handed_off.cost + costs.handoff_ms + options.handoff_cost_ms < colocated.cost;
    return plan_of(colocated.chosen == nullptr || use_handoff ? *handed_off.chosen
                                                              : *colocated.chosen);
}

backend_server const* place_decode(std::vector<candidate> const& candidates,
                                   engine_costs const&           costs,
                                   std::string const&            data_centre,
                                   std::uint64_t                 tie_break,
                                   placement_options const&      options)
{
    prefill_costs const estimates{candidates,  caller_call{}, costs,
                                  data_centre, tie_break,     options};
    auto const          best = cheapest(candidates, tie_break,
                                        [&](candidate const& each)
                                        {
                                   return is_prefill_engine(each)
                                                       ? infeasible_cost
                                                       : estimates.queue_time(each) +
                                                    estimates.distance_cost(each) +
                                                    estimates.random_cost(each);
                               });
    return best.chosen == nullptr ? nullptr : best.chosen->server;
}

} // namespace marigoldcrank
