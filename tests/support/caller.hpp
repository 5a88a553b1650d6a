// A caller of the language model API, and the record of its requests at the stand-ins.
//
// Index: 1 caller_options, 2 streamed_response, 3 ask, 4 generated
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
    int         tokens = 8;                 // 8     max_tokens of the request
    std::string prompt = "a line for Noor"; //       determines the response text
    bool        stream = true;              // true  server-sent events
    int         leave_after_ms = 0;         // 0     closes the connection then; 0: never
};

/// What the caller received.
struct streamed_response
{
    int            status = 0;
    bool           complete = false; // the HTTP transfer ended properly
    bool           done = false;     // the end marker of the API arrived
    std::string    text;
    int            token_count = 0;
    nlohmann::json error = nlohmann::json::object();
    std::string    retry_after;
    std::string    body;
    std::int64_t   duration_ms = 0;
};

/// Sends a chat completion request to entry VM `node` as workspace north.
streamed_response ask(fleet const& system, int node, caller_options const& options);

httplib::Headers bearer(fleet const& system, std::string const& workspace = "north");

/// Requests that an engine ran, with the workspace and the tokens of each.
nlohmann::json generated(fleet const& system, int engine);

} // namespace marigoldcrank::tests

#endif
