// Confirms the list of servers at the store for sends that find it too old.
#include "serving/list_check.hpp"

#include "policy/list_age.hpp"
#include "serving/entry_state.hpp"
#include "serving/loop_sleep.hpp"

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

bool is_too_old(entry_state const& state)
{
    return state.servers.age(boot_clock::now()) >
           max_list_age(state.settings.leave_bound);
}

bool store_away(entry_state const& state)
{
    auto const  now = boot_clock::now();
    auto const& confirmation = state.confirmation;
    if (!confirmation.read)
    {
        return true;
    }
    return confirmation.ask ? confirmation.contact.away(confirmation.answers, now)
                            : confirmation.answers.lost(now);
}

/// Entries expire while the store is away, as their servers can't renew them.
void note_outage(entry_state& state)
{
    auto const  now = boot_clock::now();
    auto const& confirmation = state.confirmation;
    bool const  outage = confirmation.ask
                             ? confirmation.contact.outage(confirmation.answers, now)
                             : confirmation.answers.lost(now);
    if (confirmation.read && outage)
    {
        state.servers.store_lost();
    }
}

list_step next_step(entry_state const& state)
{
    auto const  now = boot_clock::now();
    auto const& latest = state.confirmation;
    bool const  open = latest.gate.open(now) || (latest.ask && latest.ask_gate.open(now));
    return decide_list_step({.age = state.servers.age(now),
                             .max_age = max_list_age(state.settings.leave_bound),
                             .away = store_away(state),
                             .running = latest.running,
                             .open = latest.read && open});
}

/// Ends the wait of the sends.
void end_confirmation(entry_state& state, bool confirmed)
{
    auto& confirmation = state.confirmation;
    note_outage(state);
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
        confirmation.contact.answered();
    }
    else
    {
        confirmation.gate.failed(boot_clock::now());
    }
    record(state, confirmed);
}

/// Asks other VMs until they have newer records, the store is known to be away, or sends
/// no longer wait.
asio::awaitable<void> ask_vms(entry_state& state)
{
    auto&      confirmation = state.confirmation;
    auto const until = boot_clock::now() + max_list_wait(store_away(state));
    if (confirmation.reading)
    {
        co_await loop_sleep(store_head_start);
    }
    bool confirmed = !is_too_old(state) && !confirmation.answers.lost(boot_clock::now());
    bool away = false;
    while (!confirmed && !away && boot_clock::now() < until)
    {
        auto const began = boot_clock::now();
        auto const answer = co_await confirmation.ask();
        confirmation.contact.record(answer, began, boot_clock::now());
        confirmed = answer == vms_answer::newer;
        away = !confirmed && store_away(state);
        if (!confirmed && !away)
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
    if (confirmed || away || !confirmation.reading)
    {
        end_confirmation(state, confirmed);
    }
}

void begin_read(entry_state& state, asio::any_io_executor const& executor)
{
    state.confirmation.reading = true;
    auto const failed =
        [&state, sink = state.failures()](std::string_view task, std::string_view cause)
    {
        state.confirmation.reading = false;
        sink(task, cause);
    };
    spawn_task(executor, "list_read", failed, read_store(state));
}

/// Begins to confirm the list in the ways that aren't in progress. While the store is
/// away, it is left alone for a pause after each failed read if other VMs can be asked.
void begin_confirmation(entry_state& state, asio::any_io_executor const& executor)
{
    auto&      confirmation = state.confirmation;
    auto const now = boot_clock::now();
    bool const away = store_away(state);
    confirmation.running = true;
    confirmation.done =
        std::make_shared<asio::steady_timer>(executor, max_list_wait(away));
    bool const may_read = !away || !confirmation.ask || confirmation.gate.open(now);
    if (!confirmation.reading && may_read)
    {
        begin_read(state, executor);
    }
    if (!confirmation.asking && confirmation.ask)
    {
        confirmation.asking = true;
        auto const failed = [&state, sink = state.failures()](std::string_view task,
                                                              std::string_view cause)
        {
            state.confirmation.asking = false;
            sink(task, cause);
        };
        spawn_task(executor, "list_query", failed, ask_vms(state));
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

/// Logs a request that meets a list that is older than it should be.
void log_old_list(entry_state& state, std::string const& server, bool written)
{
    auto const  now = boot_clock::now();
    auto const& confirmation = state.confirmation;
    auto const  unanswered = confirmation.answers.unanswered(now);
    state.counters.add("old_list_requests_total",
                       written ? "outcome=\"written\"" : "outcome=\"refused\"");
    state.log.write(event_line{"old_list"}
                        .add("server", server)
                        .add("age_ms", state.servers.age(now))
                        .add("written", written ? 1 : 0)
                        .add("reading", confirmation.reading ? 1 : 0)
                        .add("unanswered_ms", unanswered),
                    now);
}

} // namespace

asio::awaitable<write_verdict> may_write_to(entry_state& state, std::string server)
{
    auto const executor = co_await asio::this_coro::executor;
    if (next_step(state) == list_step::confirm)
    {
        if (!state.confirmation.running)
        {
            begin_confirmation(state, executor);
        }
        co_await wait_for_confirmation(state);
    }
    if (!stays(state, server))
    {
        co_return write_verdict::left;
    }
    if (!is_too_old(state))
    {
        co_return write_verdict::write;
    }
    bool const write = store_away(state);
    log_old_list(state, server, write);
    co_return write ? write_verdict::write : write_verdict::unconfirmed;
}

void confirm_old_list(entry_state& state, asio::any_io_executor const& executor)
{
    note_outage(state);
    auto const  now = boot_clock::now();
    auto const& latest = state.confirmation;
    // Entries may expire in an outage that is shorter than a list may be old.
    bool const asks = latest.answers.lost(now) && latest.ask && latest.ask_gate.open(now);
    if (!latest.running && (asks || next_step(state) == list_step::confirm))
    {
        begin_confirmation(state, executor);
    }
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
