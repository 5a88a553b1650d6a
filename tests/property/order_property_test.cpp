// Tests the fold of orders under any interleaving, and purchases from a platform that
// loses responses, acts late and shows a list that lags, with orderers that fail
// meanwhile.
//
// Index: 1 fold, 2 purchases
#include "ledger/ledger.hpp"
#include "policy/order_settlement.hpp"
#include "policy/wanted_state.hpp"
#include "wire.pb.h"

#include <gtest/gtest.h>

// After GoogleTest, whose names it uses without including it.
#include <rapidcheck/gtest.h>

#include <algorithm>

namespace marigoldcrank
{
namespace
{

// 1. Fold

/// Records that any process may append, based on its state at some earlier time.
class order_records
{
public:
    void claim(int who)
    {
        wire::log_record record;
        auto const       state = fold_.leases().state("duty");
        record.mutable_claim()->set_duty("duty");
        record.mutable_claim()->set_holder("process-" + std::to_string(who));
        record.mutable_claim()->set_supersedes_epoch(state.epoch);
        record.mutable_claim()->set_after_offset(state.last_offset);
        add(record);
    }

    /// Appends an intent under the last epoch of `who`, which may have ended.
    void intend(int who, int target, int id)
    {
        wire::log_record record;
        auto*            body = record.mutable_intent();
        body->set_order_id("order-" + std::to_string(id));
        body->set_duty("duty");
        body->set_holder("process-" + std::to_string(who));
        body->set_epoch(epochs_[who]);
        body->set_target("duty/engine-" + std::to_string(target));
        auto const before = fold_.orders().open();
        bool const effective = add(record);
        auto const state = fold_.leases().state("duty");
        if (effective)
        {
            RC_ASSERT(state.holder == body->holder());
            RC_ASSERT(state.epoch == body->epoch());
            RC_ASSERT(before.count(body->target()) == 0U);
            RC_ASSERT(ids_.insert(body->order_id()).second);
        }
        RC_ASSERT(effective || fold_.orders().open() == before);
    }

    void settle(int who, int id)
    {
        wire::log_record record;
        auto*            body = record.mutable_outcome();
        body->set_order_id("order-" + std::to_string(id));
        body->set_duty("duty");
        body->set_holder("process-" + std::to_string(who));
        body->set_epoch(epochs_[who]);
        body->set_outcome("done");
        if (add(record))
        {
            RC_ASSERT(closed_.insert(body->order_id()).second);
            RC_ASSERT(fold_.leases().state("duty").epoch == body->epoch());
        }
    }

    ledger const& fold() const
    {
        return fold_;
    }

    std::vector<wire::log_record> log;

private:
    bool add(wire::log_record const& record)
    {
        log.push_back(record);
        bool const effective =
            fold_.apply(log.size(), record) == record_effect::effective;
        if (effective && record.has_claim())
        {
            auto const who = record.claim().holder().back() - '0';
            epochs_[who] = log.size();
        }
        return effective;
    }

    ledger                       fold_;
    std::map<int, std::uint64_t> epochs_;
    std::set<std::string>        ids_;
    std::set<std::string>        closed_;
};

RC_GTEST_PROP(order_property, only_the_current_epoch_opens_and_closes_orders, ())
{
    order_records simulation;
    auto const steps = *rc::gen::container<std::vector<std::tuple<int, int, int, int>>>(
        rc::gen::tuple(rc::gen::inRange(0, 5), rc::gen::inRange(0, 3),
                       rc::gen::inRange(0, 3), rc::gen::inRange(0, 12)));
    for (auto const& [what, who, target, id] : steps)
    {
        if (what == 0)
        {
            simulation.claim(who);
        }
        else if (what < 3)
        {
            simulation.intend(who, target, id);
        }
        else
        {
            simulation.settle(who, id);
        }
    }
    ledger other;
    for (std::size_t index = 0; index < simulation.log.size(); ++index)
    {
        other.apply(index + 1, simulation.log[index]);
    }
    RC_ASSERT(other == simulation.fold());
    // A fold restored from a snapshot equals the saved one.
    wire::order_state_snapshot snapshot;
    other.orders().save(snapshot);
    RC_ASSERT(order_fold::restored(snapshot) == other.orders());
}

// 2. Purchases

constexpr std::int64_t longest_lag = 300;   // of the platform's list, ms
constexpr std::int64_t longest_delay = 300; // of a purchase's effect, ms
constexpr millis       settle_limit{1000};
constexpr std::int64_t poll_interval = 50; // ms

/// Result of sending a purchase.
enum class delivery
{
    answered,
    response_lost,
    lost,
    refused
};

/// One group in one data centre, its platform, and a succession of orderers.
class purchases
{
public:
    purchases(std::int64_t least, std::int64_t lag) : lag_(lag)
    {
        plan_ = {.group = "wording",
                 .data_centre = "dc-1",
                 .min_servers = least,
                 .max_servers = least};
    }

    /// One step of the orderer. What it sends has the result `fate` and takes effect
    /// `delay` later.
    void poll(delivery fate, std::int64_t delay)
    {
        auto const         listed = list();
        std::vector<order> open;
        for (auto at = open_.begin(); at != open_.end();)
        {
            auto const step =
                settle_vm(at->wanted, at->id, progress_of(*at), listed, true);
            if (step == order_step::send)
            {
                send(*at, fate, delay);
            }
            bool const closed =
                step == order_step::close_done || step == order_step::close_abandoned;
            if (!closed && !shown(listed, at->id))
            {
                open.push_back(at->wanted);
            }
            at = closed ? open_.erase(at) : std::next(at);
        }
        bool const inherited =
            std::any_of(open_.begin(), open_.end(),
                        [&](auto const& entry) { return entry.epoch != epoch_; });
        auto const wanted = next_vm_order(listed, open, plan_);
        if (!inherited && wanted)
        {
            open_.push_back({"order-" + std::to_string(++ids_), *wanted, epoch_, now_,
                             order_sending::not_sent});
        }
        now_ += poll_interval;
    }

    /// Another orderer takes over. It knows the open orders, but not whether they were
    /// sent.
    void take_over()
    {
        ++epoch_;
        now_ += poll_interval;
        for (auto& entry : open_)
        {
            entry.seen_at = now_;
            entry.sending = order_sending::without_effect;
        }
    }

    std::int64_t servers() const
    {
        return static_cast<std::int64_t>(bought_.size());
    }

private:
    struct purchase
    {
        std::string   id;
        order         wanted;
        int           epoch;
        std::int64_t  seen_at;
        order_sending sending;
    };

    std::vector<backend_server> list() const
    {
        std::vector<backend_server> result;
        for (auto const& [id, at] : bought_)
        {
            if (at + lag_ <= now_)
            {
                result.push_back({.id = "vm-" + id,
                                  .data_centre = "dc-1",
                                  .group = "wording",
                                  .leaving = true,
                                  .order_id = id,
                                  .starting = true});
            }
        }
        return result;
    }

    static bool shown(std::vector<backend_server> const& listed, std::string const& id)
    {
        return std::any_of(listed.begin(), listed.end(),
                           [&](auto const& server) { return server.order_id == id; });
    }

    order_progress progress_of(purchase const& own) const
    {
        return {.inherited = own.epoch != epoch_,
                .sending = own.sending,
                .age = millis{now_ - own.seen_at},
                .settle_limit = settle_limit};
    }

    void send(purchase& own, delivery fate, std::int64_t delay)
    {
        own.sending = fate == delivery::refused ? order_sending::without_effect
                                                : order_sending::may_have_effect;
        if (fate == delivery::answered || fate == delivery::response_lost)
        {
            bought_.emplace_back(own.id, now_ + delay);
        }
    }

    std::int64_t                                      lag_;
    vm_plan                                           plan_;
    std::int64_t                                      now_ = 0;
    int                                               epoch_ = 1;
    int                                               ids_ = 0;
    std::vector<purchase>                             open_;
    std::vector<std::pair<std::string, std::int64_t>> bought_; // id, time of effect
};

RC_GTEST_PROP(order_property, nothing_is_bought_twice_or_missed, ())
{
    auto const least = *rc::gen::inRange<std::int64_t>(1, 4);
    purchases  simulation(least, *rc::gen::inRange<std::int64_t>(0, longest_lag + 1));
    auto const steps = *rc::gen::container<std::vector<std::tuple<int, std::int64_t>>>(
        rc::gen::tuple(rc::gen::inRange(0, 8),
                       rc::gen::inRange<std::int64_t>(0, longest_delay + 1)));
    for (auto const& [what, delay] : steps)
    {
        if (what == 7)
        {
            simulation.take_over();
        }
        else
        {
            simulation.poll(what < 4 ? static_cast<delivery>(what) : delivery::answered,
                            delay);
        }
        RC_ASSERT(simulation.servers() <= least);
    }
    for (int round = 0; round < 300; ++round)
    {
        simulation.poll(delivery::answered, 0);
    }
    RC_ASSERT(simulation.servers() == least);
}

} // namespace
} // namespace marigoldcrank
