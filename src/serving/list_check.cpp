// Confirms the list of servers at the store for sends that find it too old.
#include "serving/list_check.hpp"

#include "policy/list_age.hpp"
#include "serving/entry_state.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace marigoldcrank
{

namespace asio = boost::asio;

namespace
{

// 800   ms; sends wait for a confirmation at most so long
constexpr millis max_confirmation_wait{800};

list_age_input list_age_of(entry_state const& state)
{
    auto const  now = boot_clock::now();
    auto const& latest = state.confirmation;
    return {.age = state.servers.age(now),
            .max_age = max_list_age(state.settings.leave_bound),
            .failed = latest.failed || !latest.read,
            .running = latest.running || !latest.read,
            .open = latest.gate.open(now)};
}

/// Records the outcome of a confirmation that has ended, or that sends no longer wait
/// for.
void record(entry_state& state, bool confirmed)
{
    state.confirmation.failed = !confirmed;
    if (confirmed)
    {
        state.confirmation.gate.succeeded();
    }
    else
    {
        state.confirmation.gate.failed(boot_clock::now());
    }
}

asio::awaitable<void> confirm(entry_state& state)
{
    auto const done = state.confirmation.done;
    bool const confirmed = co_await state.confirmation.read();
    state.confirmation.running = false;
    record(state, confirmed);
    state.counters.add("list_confirmations_total",
                       confirmed ? "outcome=\"confirmed\"" : "outcome=\"failed\"");
    done->cancel();
}

void begin_confirmation(entry_state& state, asio::any_io_executor const& executor)
{
    state.confirmation.running = true;
    state.confirmation.done =
        std::make_shared<asio::steady_timer>(executor, max_confirmation_wait);
    asio::co_spawn(executor, confirm(state), asio::detached);
}

asio::awaitable<void> wait_for_confirmation(entry_state& state)
{
    auto const                done = state.confirmation.done;
    boost::system::error_code ended; // by the confirmation; else it takes too long
    co_await done->async_wait(asio::redirect_error(asio::use_awaitable, ended));
    if (!ended && state.confirmation.running)
    {
        record(state, false);
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
                            .add("running", state.confirmation.running ? 1 : 0),
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

} // namespace marigoldcrank
