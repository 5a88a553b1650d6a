// A caller of the language model API, and what the stand-ins know of its requests.
//
// Index: 1 caller_options, 2 streamed_answer, 3 ask, 4 the receiving end's truth
#ifndef MARIGOLDCRANK_TESTS_SUPPORT_CALLER_HPP
#define MARIGOLDCRANK_TESTS_SUPPORT_CALLER_HPP

#include "support/node_process.hpp"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>

namespace marigoldcrank::tests
{

struct caller_options
{
    int         tokens = 8;                 // 8     length of the answer
    std::string prompt = "a line for Noor"; //       decides the answer's text
    bool        stream = true;              // true  server-sent events
    int         leave_after_ms = 0;         // 0     closes the connection; 0 for never
};

/// What the caller saw.
struct streamed_answer
{
    int            status = 0;
    bool           complete = false; // the HTTP transfer ended in good order
    bool           done = false;     // the end marker of the API came
    std::string    text;
    int            token_count = 0;
    nlohmann::json error = nlohmann::json::object();
    std::string    retry_after;
    std::string    body;
    std::int64_t   duration_ms = 0;
};

/// Asks entry VM `node` for a chat completion as workspace north.
streamed_answer ask(fleet const& system, int node, caller_options const& options);

httplib::Headers bearer(fleet const& system, std::string const& workspace = "north");

/// What an engine generated, for whom.
nlohmann::json generated(fleet const& system, int engine);

} // namespace marigoldcrank::tests

#endif
