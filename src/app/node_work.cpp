// What a daemon does beside serving: duties, usage, the book of calls.
//
// Index: 1 duties, 2 usage, 3 calls
#include "app/node_parts.hpp"

namespace marigoldcrank
{

namespace
{
constexpr millis duty_pause{50};
constexpr millis flush_timeout{2000};
constexpr millis drain_poll{20};
constexpr millis book_pause{100};
} // namespace

// 1. Duties

void node::parts::run_duties()
{
    while (!stopping && !duties_over)
    {
        auto const now = boot_clock::now();
        if (!callers.draining())
        {
            reporter_lease.step(now);
        }
        reporter.step(boot_clock::now());
        std::this_thread::sleep_for(duty_pause);
    }
}

/// On a thread of its own: an append of one duty that waits for a slow log must not keep
/// the other from renewing its lease.
void node::parts::run_keeper()
{
    while (!stopping && !duties_over)
    {
        if (!callers.draining())
        {
            keeper_lease.step(boot_clock::now());
        }
        keeper.step(boot_clock::now(), follower.first_retained());
        std::this_thread::sleep_for(duty_pause);
    }
}

/// Ends early when a drain ends the duties, which must not wait out a long interval.
void node::parts::pause(millis duration) const
{
    auto const until = boot_clock::now() + duration;
    while (!stopping && !duties_over && boot_clock::now() < until)
    {
        std::this_thread::sleep_for(drain_poll);
    }
}

// 2. Usage

void node::parts::run_usage()
{
    while (!stopping && !duties_over)
    {
        usage.hand_off_again(boot_clock::now());
        usage.flush(flush_timeout);
        settle_custody(millis{options.custody_hold_ms});
        pause(millis{options.usage_flush_ms});
    }
}

/// Appends what peers that are gone left here. True if nothing overdue is left.
bool node::parts::settle_custody(millis hold)
{
    store.with_ledger(
        [&](ledger const& value)
        {
            custody.forget_counted(value.usage());
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

// 3. Calls

/// Releases and results that the log has not taken yet.
void node::parts::run_book()
{
    while (!stopping && !duties_over)
    {
        book.flush(flush_timeout);
        std::this_thread::sleep_for(book_pause);
    }
}

} // namespace marigoldcrank
