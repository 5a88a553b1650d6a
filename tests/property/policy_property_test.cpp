// Properties of the limits, fair shares, spending plan and engine choice.
//
// Index: 1 limits shared by entry VMs, 2 fair level, 3 spending, 4 routing
#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

#include "policy/fair_share.hpp"
#include "policy/limit_book.hpp"
#include "policy/route.hpp"
#include "policy/spending_plan.hpp"

#include <algorithm>
#include <deque>

namespace
{
using namespace marigoldcrank;

constexpr std::size_t entry_count = 4;

/// A message in transit, which may be lost, delayed or duplicated.
struct message
{
    std::size_t to = 0;
    std::size_t from = 0;
    bool        is_grant = false;
    limit_ask   ask{};
    limit_grant grant{};
};

struct limit_simulation
{
    explicit limit_simulation(limit_terms shared) : terms(shared)
    {
        for (std::size_t entry = 0; entry < entry_count; ++entry)
        {
            start(entry);
        }
        now += terms.loan + terms.drift; // all have been running for longer than a loan
    }

    void start(std::size_t entry)
    {
        if (books.size() <= entry)
        {
            books.emplace_back(terms, now, runs++ * 1'000);
        }
        else
        {
            books[entry] = limit_book(terms, now, runs++ * 1'000);
        }
        books[entry].set_limit("noord", limit);
    }

    std::int64_t in_use()
    {
        std::int64_t sum = 0;
        for (auto& book : books)
        {
            sum += book.usable("noord", now);
        }
        return sum;
    }

    void deliver(std::size_t index, bool keep)
    {
        if (wire.empty())
        {
            return;
        }
        auto const at = wire.begin() + static_cast<std::ptrdiff_t>(index % wire.size());
        auto const each = *at;
        if (!keep)
        {
            wire.erase(at);
        }
        if (each.is_grant)
        {
            books[each.to].take(each.grant, now);
        }
        else if (auto const grant = books[each.to].lend(each.ask, now))
        {
            message answer;
            answer.to = each.from;
            answer.from = each.to;
            answer.is_grant = true;
            answer.grant = *grant;
            wire.push_back(answer);
        }
    }

    static constexpr std::int64_t limit = 40'000;

    limit_terms             terms;
    boot_clock::time_point  now = boot_clock::time_point{} + std::chrono::hours{1};
    std::vector<limit_book> books;
    std::deque<message>     wire;
    std::uint64_t           runs = 1;
};
} // namespace

// 1. Limits

// A workspace would be billed for more than its limit if two entry VMs used the same
// share at once, after a network partition, a restart, or late or repeated messages. The
// shares must never add up to more than the limit.
RC_GTEST_PROP(limit_book, shares_never_add_up_to_more_than_the_limit, ())
{
    limit_simulation simulation({.entries = static_cast<std::int64_t>(entry_count)});
    auto const       steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 6), rc::gen::inRange(0, 10'000)));
    for (auto const& [kind, value] : steps)
    {
        auto const entry = static_cast<std::size_t>(value) % entry_count;
        auto const peer =
            (entry + 1 + static_cast<std::size_t>(value / 7) % 3) % entry_count;
        switch (kind)
        {
        case 0:
            simulation.books[entry].set_demand("noord", value * 5);
            break;
        case 1:
            if (auto const ask = simulation.books[entry].ask("noord", simulation.now))
            {
                message sent;
                sent.to = peer;
                sent.from = entry;
                sent.ask = *ask;
                simulation.wire.push_back(sent);
            }
            break;
        case 2:
            simulation.deliver(static_cast<std::size_t>(value), false);
            break;
        case 3:
            simulation.deliver(static_cast<std::size_t>(value),
                               true); // it is delivered again later
            break;
        case 4:
            simulation.now += millis{value / 4};
            break;
        default:
            if (value % 5 == 0)
            {
                simulation.start(entry);
            }
            break;
        }
        RC_ASSERT(simulation.in_use() <= limit_simulation::limit);
    }
}

// 2. Fair level

RC_GTEST_PROP(fair_level, distributes_exactly_the_capacity, ())
{
    auto const pairs =
        *rc::gen::nonEmpty(rc::gen::container<std::vector<std::pair<int, int>>>(
            rc::gen::pair(rc::gen::inRange(1, 9), rc::gen::inRange(0, 100'000))));
    auto const                capacity = *rc::gen::inRange<std::int64_t>(0, 300'000);
    std::vector<share_demand> demands;
    std::int64_t              offered = 0;
    std::int64_t              weights = 0;
    for (auto const& [weight, tokens] : pairs)
    {
        demands.push_back({weight, tokens});
        offered += tokens;
        weights += weight;
    }
    auto const level = fair_level(demands, capacity);
    if (offered <= capacity)
    {
        RC_ASSERT(level == unlimited_level);
        return;
    }
    std::int64_t given = 0;
    for (auto const& demand : demands)
    {
        given += std::min(demand.offered, level * demand.weight);
    }
    RC_ASSERT(given <= capacity);
    RC_ASSERT(given + weights >= capacity); // all of it, except for rounding
}

// 3. Spending

// All cheap servers of a data centre are lost: the remaining servers must carry the load
// at a higher utilization.
RC_GTEST_PROP(plan_spending, survives_the_loss_of_any_data_centres_cheap_servers, ())
{
    spending_input input;
    input.need_milli = *rc::gen::inRange(0, 12'000);
    for (int zone = 0; zone < 3; ++zone)
    {
        input.max_servers.push_back({*rc::gen::inRange(0, 8), *rc::gen::inRange(0, 8)});
    }
    input.reachable = {true, true, *rc::gen::arbitrary<bool>()};
    spending_options const options;
    auto const             plan = plan_spending(input, options);
    std::int64_t           all = 0;
    for (std::size_t zone = 0; zone < 3; ++zone)
    {
        RC_ASSERT(plan.wanted[zone].full_price <= input.max_servers[zone].full_price);
        RC_ASSERT(plan.wanted[zone].cheap <= input.max_servers[zone].cheap);
        RC_ASSERT(input.reachable[zone] || plan.wanted[zone] == server_count{});
        all += plan.wanted[zone].full_price + plan.wanted[zone].cheap;
    }
    if (plan.short_of_servers)
    {
        return;
    }
    RC_ASSERT(all >= plan.servers_for_load);
    for (std::size_t zone = 0; zone < 3; ++zone)
    {
        RC_ASSERT(all - plan.wanted[zone].cheap >= plan.servers_after_loss);
    }
}

// 4. Routing

RC_GTEST_PROP(choose_engine, never_takes_a_forbidden_engine, ())
{
    auto const               count = *rc::gen::inRange(1, 30);
    std::vector<engine_view> views(static_cast<std::size_t>(count));
    for (auto& view : views)
    {
        view.open = *rc::gen::arbitrary<bool>();
        view.cheap = *rc::gen::arbitrary<bool>();
        view.queued_tokens = *rc::gen::inRange(0, 50'000);
        view.failures = *rc::gen::inRange(0, 3);
    }
    std::vector<std::uint32_t> const excluded{0};
    bool const                       cheap_allowed = *rc::gen::arbitrary<bool>();
    engine_request const request{.prompt_tokens = *rc::gen::inRange(0, 10'000),
                                 .now_us = 0,
                                 .may_use_cheap = cheap_allowed,
                                 .hits = {},
                                 .excluded = excluded};
    auto const           decision = choose_engine(views, request, {}, {});
    std::uint32_t        allowed = 0;
    for (std::size_t index = 1; index < views.size(); ++index)
    {
        allowed += views[index].open && (cheap_allowed || !views[index].cheap);
    }
    RC_ASSERT(decision.candidates == allowed);
    RC_ASSERT((decision.engine == engine_decision::none) == (allowed == 0));
    if (decision.engine != engine_decision::none)
    {
        auto const& chosen = views[decision.engine];
        RC_ASSERT(chosen.open && decision.engine != 0U);
        RC_ASSERT(cheap_allowed || !chosen.cheap);
    }
}
