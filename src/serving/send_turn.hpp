// Lets one call wait at this VM until it should be sent.
//
// Index: 1 send_forecast, 2 send_turn
#ifndef MARIGOLDCRANK_SERVING_SEND_TURN_HPP
#define MARIGOLDCRANK_SERVING_SEND_TURN_HPP

#include "policy/send_time.hpp"
#include "serving/call_ending.hpp"
#include "serving/call_queue.hpp"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <memory>
#include <string_view>
#include <vector>

namespace marigoldcrank
{

/// Predictions for a call, from the server chosen for it and the other candidates.
struct send_forecast
{
    double       wait_ms = 0;       // until the chosen server begins the call
    double       work_ms = 0;       // from then to the first token or response
    std::int64_t ready_servers = 0; // which can begin a call now

    bool operator==(send_forecast const&) const = default;
};

/// Lives as long as its call.
class send_turn
{
public:
    send_turn(call_context& context, call_ending& ending);

    /// Returns true at once if the call should be sent now to the server that has been
    /// chosen for it. Otherwise waits, and returns false: the server must be chosen anew,
    /// unless the call has ended.
    boost::asio::awaitable<bool> wait(send_forecast forecast);

    /// Leaves the queue, if the call is still in it; it won't be sent.
    void end();

    /// Ends the wait early, since the caller has disconnected.
    void stop();

private:
    send_input   input_for(send_forecast const& forecast, boot_clock::time_point now);
    waiting_call order_of(send_decision const&   decision,
                          boot_clock::time_point now) const;
    void         leave(std::string_view reason, send_forecast const& forecast);

    call_context&                context_;
    call_ending&                 ending_;
    std::unique_ptr<queue_place> place_;        // null: the call doesn't wait
    bool                         over_ = false; // the call doesn't wait (again)
    boot_clock::time_point       entered_at_{};
};

/// The forecast for a call to a service without engines.
send_forecast forecast_plain(std::vector<candidate> const& candidates, millis objective);

} // namespace marigoldcrank

#endif
