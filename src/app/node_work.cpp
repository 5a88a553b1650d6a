// Background work of the daemon: duties, usage and the idempotency log.
//
// Index: 1 duties, 2 usage, 3 idempotency log
#include "app/node_parts.hpp"

namespace marigoldcrank
{

namespace
{
constexpr millis duty_interval{50};
constexpr millis flush_timeout{2000};
constexpr millis drain_poll{20};
constexpr millis idempotency_interval{100};
} // namespace

// 1. Duties

void node::parts::run_duties()
{
    while (!stopping && !duties_ended)
    {
        auto const now = boot_clock::now();
        if (!callers.draining())
        {
            reporter_lease.step(now);
        }
        reporter.step(boot_clock::now());
        std::this_thread::sleep_for(duty_interval);
    }
}

/// Runs on its own thread: while one duty waits for an append to a slow log, the other
/// must still renew its lease.
void node::parts::run_keeper()
{
    while (!stopping && !duties_ended)
    {
        if (!callers.draining())
        {
            keeper_lease.step(boot_clock::now());
        }
        keeper.step(boot_clock::now(), follower.first_retained());
        std::this_thread::sleep_for(duty_interval);
    }
}

/// Sleeps for `duration`, but returns early when a drain ends the duties.
void node::parts::pause(millis duration) const
{
    auto const until = boot_clock::now() + duration;
    while (!stopping && !duties_ended && boot_clock::now() < until)
    {
        std::this_thread::sleep_for(drain_poll);
    }
}

// 2. Usage

void node::parts::run_usage()
{
    while (!stopping && !duties_ended)
    {
        usage.hand_off_again(boot_clock::now());
        usage.flush(flush_timeout);
        append_custody(millis{options.custody_hold_ms});
        pause(millis{options.usage_flush_ms});
    }
}

/// Appends overdue usage that peers handed to this node. True if nothing overdue is left.
bool node::parts::append_custody(millis hold)
{
    store.with_ledger(
        [&](ledger const& value)
        {
            custody.erase_counted(value.usage());
            return 0;
        });
    auto const now = boot_clock::now();
    auto const alive = [&](std::string const& name, std::string const& run)
    {
        return hold != millis::zero() && roster.alive(name, run, now);
    };
    for (auto const& batch : custody.overdue(now, hold, alive))
    {
        if (!append_batch(writer, batch, flush_timeout))
        {
            return false;
        }
    }
    return true;
}

void node::parts::add_usage(wire::usage_delta delta)
{
    limits.charge(delta.workspace(), static_cast<std::int64_t>(delta.output_tokens()));
    auto const begun = boot_clock::now();
    bool const shared = usage.add(std::move(delta));
    counters.observe("usage_handoff_seconds", boot_clock::now() - begun);
    if (!shared)
    {
        counters.add("usage_unshared_total");
    }
}

// 3. Idempotency log

/// Appends releases and results of calls that are not in the log yet.
void node::parts::run_idempotency()
{
    while (!stopping && !duties_ended)
    {
        idempotency.flush(flush_timeout);
        std::this_thread::sleep_for(idempotency_interval);
    }
}

} // namespace marigoldcrank
