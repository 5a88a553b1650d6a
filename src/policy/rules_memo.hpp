// What the rules say about the order of calls, looked up once for each version of them.
//
// Index: 1 service_kinds, 2 kinds_of, 3 rules_memo
#ifndef MARIGOLDCRANK_POLICY_RULES_MEMO_HPP
#define MARIGOLDCRANK_POLICY_RULES_MEMO_HPP

#include "policy/send_time.hpp"
#include "policy/urgency.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace marigoldcrank
{

/// What the rules say about the calls to a service.
struct service_kinds
{
    bool   ranked = false;        // their ranks differ
    millis shortest_objective{0}; // 0: none has one

    bool operator==(service_kinds const&) const = default;
};

inline service_kinds kinds_of(serving_rules const& rules, std::string const& service)
{
    service_kinds               result;
    std::optional<std::int64_t> first;
    auto const                  add_rank = [&](std::int64_t rank)
    {
        first = first.value_or(rank);
        result.ranked = result.ranked || rank != *first;
    };
    for (auto const& each : rules.routes())
    {
        auto& shortest = result.shortest_objective;
        if (each.has_target(service))
        {
            add_rank(each.rank);
            bool const shorter = shortest.count() == 0 || each.objective < shortest;
            shortest = each.objective.count() > 0 && shorter ? each.objective : shortest;
        }
    }
    for (auto const& each : rules.workspaces())
    {
        if (each.rank >= 0)
        {
            add_rank(each.rank);
        }
    }
    return result;
}

/// Remembers the answers for the version of the rules that was asked for last: looking
/// through all routes and workspaces for each attempt would take longer than placing it.
/// Calls that were admitted by an earlier version get the answers of that one.
class rules_memo
{
public:
    using rules_pointer = std::shared_ptr<serving_rules const>; // never null

    urgency_scale const& scale(rules_pointer const& rules)
    {
        follow(rules);
        if (!scale_)
        {
            scale_ = scale_of(*rules);
        }
        return *scale_;
    }

    service_kinds const& kinds(rules_pointer const& rules, std::string const& service)
    {
        follow(rules);
        auto found = kinds_.find(service);
        if (found == kinds_.end())
        {
            found = kinds_.emplace(service, kinds_of(*rules, service)).first;
        }
        return found->second;
    }

    /// Whether calls of this rank and objective yield to others (yields_to_others).
    bool yields(rules_pointer const& rules, std::string const& service, std::int64_t rank,
                millis objective)
    {
        follow(rules);
        auto&      of_service = yields_[service];
        auto const key = std::pair{rank, objective};
        auto       found = of_service.find(key);
        if (found == of_service.end())
        {
            auto const answer = yields_to_others(*rules, service, rank, objective);
            found = of_service.emplace(key, answer).first;
        }
        return found->second;
    }

private:
    void follow(rules_pointer const& rules)
    {
        if (rules != rules_)
        {
            *this = rules_memo{};
            rules_ = rules;
        }
    }

    using rank_and_objective = std::pair<std::int64_t, millis>;

    rules_pointer                rules_; // held, so that its address stays its own
    std::optional<urgency_scale> scale_;
    std::map<std::string, service_kinds>                      kinds_;  // by service
    std::map<std::string, std::map<rank_and_objective, bool>> yields_; // by service
};

} // namespace marigoldcrank

#endif
