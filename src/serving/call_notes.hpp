// Log lines and counters of one call.
//
// Index: 1 call_end, 2 send_failure, 3 send_step, 4 call_notes
#ifndef MARIGOLDCRANK_SERVING_CALL_NOTES_HPP
#define MARIGOLDCRANK_SERVING_CALL_NOTES_HPP

#include "policy/placement.hpp"
#include "policy/send_account.hpp"
#include "serving/call_admission.hpp"
#include "serving/stream_pace.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace marigoldcrank
{

/// How a call ended.
struct call_end
{
    std::string_view outcome; // one word
    unsigned         status = 0;
    std::int64_t     runs = 0;
    std::string_view fault;  // the last one before the end
    std::string_view server; // the last one that was to run it
    stream_pace      pace;
};

/// What is known of a failed send.
struct send_failure
{
    std::string_view event; // the line's own name
    std::string_view server;
    exchange_fate    fate = exchange_fate::unknown;
    std::string_view fault;
    unsigned         status = 0;
};

/// What one send to a server is for, and what was expected of it.
struct send_step
{
    std::string_view server;
    std::string_view work;    // "call", "prompt" or "run": with a prompt read elsewhere
    std::int64_t     run = 0; // number of the run of this call
    placement        planned; // tokens to be read there, and the time that takes
};

class call_notes
{
public:
    call_notes(entry_state& state, std::string const& id, boot_clock::time_point arrived);

    /// A step, written for sampled calls.
    void sent(send_step const& step, admitted_call const& admitted);

    void failed(send_failure const& failure);

    /// A call of this content may have crashed its server.
    void suspected(std::string const& content, std::string const& server);

    /// The call's one final line.
    void ended(call_end const& end, admitted_call const& admitted);

private:
    entry_state&           state_;
    std::string const&     id_;
    boot_clock::time_point arrived_;
};

} // namespace marigoldcrank

#endif
