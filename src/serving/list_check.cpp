// Confirms the list of servers at the store for sends that find it too old.
#include "serving/list_check.hpp"

#include "policy/list_age.hpp"
#include "serving/entry_state.hpp"
#include "serving/loop_sleep.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>

namespace marigoldcrank
{

namespace asio = boost::asio;

namespace
{

// 100   ms; a sound store answers within this, so that no other VM is asked
constexpr millis store_head_start{100};
// 50    ms; between queries of other VMs, whose lists may be too old as well
constexpr millis ask_pause{50};
// 800   ms; longest wait for a read at the store
constexpr millis max_read_wait{800};
// 4     ms; between looks whether it has ended
constexpr millis read_poll{4};

list_age_input list_age_of(entry_state const& state)
{
    auto const  now = boot_clock::now();
    auto const& latest = state.confirmation;
    return {.age = state.servers.age(now),
            .max_age = max_list_age(state.settings.leave_bound),
            .latest_age = latest_list_age(state.settings.leave_bound),
            .failed = latest.failed || !latest.read,
            .running = latest.running || !latest.read,
            .open = latest.gate.open(now) || (latest.ask && latest.ask_gate.open(now))};
}

bool is_too_old(entry_state const& state)
{
    return state.servers.age(boot_clock::now()) >
           max_list_age(state.settings.leave_bound);
}

/// Ends the wait of the sends.
void end_confirmation(entry_state& state, bool confirmed)
{
    auto& confirmation = state.confirmation;
    confirmation.failed = !confirmed;
    if (std::exchange(confirmation.running, false))
    {
        confirmation.done->cancel();
        state.counters.add("list_confirmations_total",
                           confirmed ? "outcome=\"confirmed\"" : "outcome=\"failed\"");
    }
}

/// Records the outcome of one way to confirm the list; the other one may still succeed.
void record(entry_state& state, bool confirmed)
{
    auto const& confirmation = state.confirmation;
    if (confirmed || (!confirmation.reading && !confirmation.asking))
    {
        end_confirmation(state, confirmed);
    }
}

asio::awaitable<void> read_store(entry_state& state)
{
    auto&      confirmation = state.confirmation;
    bool const confirmed = co_await confirmation.read();
    confirmation.reading = false;
    if (confirmed)
    {
        confirmation.gate.succeeded();
    }
    else
    {
        confirmation.gate.failed(boot_clock::now());
    }
    record(state, confirmed);
}

asio::awaitable<void> ask_vms(entry_state& state)
{
    auto&      confirmation = state.confirmation;
    auto const now = boot_clock::now();
    auto const until =
        now + max_list_wait(state.settings.leave_bound, state.servers.age(now));
    if (confirmation.reading)
    {
        co_await loop_sleep(store_head_start);
    }
    bool confirmed = !is_too_old(state);
    while (!confirmed && boot_clock::now() < until)
    {
        confirmed = co_await confirmation.ask();
        if (!confirmed)
        {
            co_await loop_sleep(ask_pause);
        }
    }
    confirmation.asking = false;
    if (confirmed)
    {
        confirmation.ask_gate.succeeded();
    }
    else
    {
        confirmation.ask_gate.failed(boot_clock::now());
    }
    end_confirmation(state, confirmed);
}

void begin_read(entry_state& state, asio::any_io_executor const& executor)
{
    state.confirmation.reading = true;
    asio::co_spawn(executor, read_store(state), asio::detached);
}

/// Begins to confirm the list in the ways that aren't in progress. After a failed read
/// the store is left alone for a pause if other VMs can be asked.
void begin_confirmation(entry_state& state, asio::any_io_executor const& executor)
{
    auto&      confirmation = state.confirmation;
    auto const now = boot_clock::now();
    confirmation.running = true;
    confirmation.done = std::make_shared<asio::steady_timer>(
        executor, max_list_wait(state.settings.leave_bound, state.servers.age(now)));
    if (!confirmation.reading && (!confirmation.ask || confirmation.gate.open(now)))
    {
        begin_read(state, executor);
    }
    if (!confirmation.asking && confirmation.ask)
    {
        confirmation.asking = true;
        asio::co_spawn(executor, ask_vms(state), asio::detached);
    }
}

/// Waits for the confirmation in progress. One that takes too long has failed.
asio::awaitable<void> wait_for_confirmation(entry_state& state)
{
    auto const                done = state.confirmation.done;
    boost::system::error_code ended; // by the confirmation; else it takes too long
    co_await done->async_wait(asio::redirect_error(asio::use_awaitable, ended));
    if (!ended && state.confirmation.running && state.confirmation.done == done)
    {
        end_confirmation(state, false);
        if (state.confirmation.reading)
        {
            state.confirmation.gate.failed(boot_clock::now());
        }
    }
}

bool stays(entry_state const& state, std::string const& server)
{
    auto const& listed = state.servers.servers();
    auto const  found = listed.find(server);
    return found != listed.end() && !found->second.leaving &&
           state.servers.usable(server, boot_clock::now());
}

/// Logs that a request is written by a list that is older than it should be.
void log_old_list(entry_state& state, std::string const& server)
{
    auto const now = boot_clock::now();
    auto const age = state.servers.age(now);
    if (age > max_list_age(state.settings.leave_bound))
    {
        state.log.write(event_line{"old_list"}
                            .add("server", server)
                            .add("age_ms", age)
                            .add("failed", state.confirmation.failed ? 1 : 0)
                            .add("reading", state.confirmation.reading ? 1 : 0),
                        now);
    }
}

} // namespace

asio::awaitable<bool> may_write_to(entry_state& state, std::string server)
{
    auto const executor = co_await asio::this_coro::executor;
    auto const step = decide_list_step(list_age_of(state));
    if (step != list_step::send && !state.confirmation.running)
    {
        begin_confirmation(state, executor);
    }
    if (step == list_step::confirm)
    {
        co_await wait_for_confirmation(state);
    }
    bool const may_write = stays(state, server);
    if (may_write)
    {
        log_old_list(state, server);
    }
    co_return may_write;
}

asio::awaitable<bool> list_is_as_of(entry_state& state, boot_clock::time_point since)
{
    auto const executor = co_await asio::this_coro::executor;
    auto const limit = boot_clock::now() + max_read_wait;
    auto&      confirmation = state.confirmation;
    auto const may_read = [&]
    {
        auto const now = boot_clock::now();
        return confirmation.read && confirmation.gate.open(now) && now < limit &&
               state.servers.as_of() < since;
    };
    // A read in progress may have been sent before `since`; the next one isn't.
    constexpr int max_reads = 2;
    for (int reads = 0; reads < max_reads && may_read(); ++reads)
    {
        if (!confirmation.reading)
        {
            begin_read(state, executor);
        }
        while (confirmation.reading && may_read())
        {
            co_await loop_sleep(read_poll);
        }
    }
    if (confirmation.reading && boot_clock::now() >= limit)
    {
        confirmation.gate.failed(boot_clock::now()); // later questions don't wait for it
    }
    co_return state.servers.as_of() >= since;
}

} // namespace marigoldcrank
