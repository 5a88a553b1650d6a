// Whether a call is let in, from rules, key and what is known of its content.
//
// Index: 1 admitted_call, 2 admit_call, 3 soon
#ifndef MARIGOLDCRANK_SERVING_CALL_ADMISSION_HPP
#define MARIGOLDCRANK_SERVING_CALL_ADMISSION_HPP

#include "serving/entry_state.hpp"
#include "serving/own_reply.hpp"

#include <memory>
#include <optional>
#include <string>

namespace marigoldcrank
{

// 300  ms; a refused caller comes back once a short disturbance is over
constexpr millis soon{300};

/// What the rules in force at its arrival say of a call. The pointers lead into `rules`,
/// which stay alive with it.
struct admitted_call
{
    std::shared_ptr<serving_rules const> rules;
    route const*                         matched = nullptr;
    service const*   target = nullptr; // null: the rules don't describe it
    workspace const* owner = nullptr;  // null: the call bears no key
    std::string      service_name;
    std::string      content;            // hash of path, caller and body
    std::int64_t     rank = 0;           // most urgent first
    bool             repeatable = false; // may run more than once
    loop_time        deadline{};         // of the final answer
};

/// Fills `admitted` as far as the call gets; the refusal if it isn't let in.
std::optional<own_reply> admit_call(entry_state& state, caller_call const& call,
                                    std::string const&     body,
                                    boot_clock::time_point arrived,
                                    admitted_call&         admitted);

} // namespace marigoldcrank

#endif
