// Batches and directions of notices.
#include "serving/send_announcer.hpp"

#include "policy/notice_route.hpp"
#include "serving/digest_link.hpp"
#include "serving/entry_state.hpp"

namespace marigoldcrank
{

namespace
{

// 5 and 15  ms in which a VM and a relay collect notices: less than the prefills that
//           are announced take, and at most 200 and 67 messages of a scope a second
constexpr millis batch_time{5};
constexpr millis relay_batch_time{15};
// 2000  ms for which own notices are recognised, as relays return them to their sender
constexpr millis echo_time{2000};

notice_place place_of(entry_state const& state)
{
    if (!state.is_relay)
    {
        return notice_place::member;
    }
    return state.is_first_relay ? notice_place::first_relay : notice_place::relay;
}

} // namespace

send_announcer::send_announcer(boost::asio::io_context& loop, entry_state& state,
                               digest_link& link)
    : state_(state), link_(link), timer_(loop)
{
}

void send_announcer::announce(send_notice const& notice)
{
    auto const now = boot_clock::now();
    while (!own_ends_.empty() && own_ends_.begin()->first <= now)
    {
        own_.erase(own_ends_.begin()->second);
        own_ends_.erase(own_ends_.begin());
    }
    state_.counters.add("announced_prompts_total");
    own_.insert(notice.number);
    own_ends_.emplace(now + echo_time, notice.number);
    for (auto const scope : own_notice_scopes(place_of(state_)))
    {
        add(scope, notice);
    }
}

void send_announcer::receive(digest_scope scope, std::vector<send_notice> const& notices)
{
    auto const now = boot_clock::now();
    auto const scopes = passed_notice_scopes(place_of(state_), scope);
    for (auto const& each : notices)
    {
        bool const is_new = own_.count(each.number) == 0 &&
                            state_.sends.receive(each, state_.digest_age(), now);
        if (!is_new)
        {
            continue;
        }
        state_.counters.add("heard_prompts_total");
        for (auto const passed : scopes)
        {
            add(passed, each);
        }
    }
}

void send_announcer::add(digest_scope scope, send_notice const& notice)
{
    bool const waiting = !pending_.empty();
    pending_[scope].push_back(notice);
    if (!waiting)
    {
        timer_.expires_after(state_.is_relay ? relay_batch_time : batch_time);
        timer_.async_wait(
            [this](boost::system::error_code const& error)
            {
                if (!error)
                {
                    publish();
                }
            });
    }
}

void send_announcer::publish()
{
    auto const pending = std::exchange(pending_, {});
    for (auto const& [scope, notices] : pending)
    {
        link_.publish(scope, notices);
    }
    // A send may consume the signal of a message that has arrived.
    link_.receive_pending();
}

} // namespace marigoldcrank
