// A caller that checks streamed model responses to the token, for failure tests.
//
// Index: 1 model_response, 2 call_model, 3 caller_group, 4 counts
#ifndef MARIGOLDCRANK_TESTS_SUPPORT_MODEL_CALLER_HPP
#define MARIGOLDCRANK_TESTS_SUPPORT_MODEL_CALLER_HPP

#include "support/node_process.hpp"

#include <atomic>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace marigoldcrank::tests
{

/// A chat completion request for `tokens` tokens.
struct chat_request
{
    std::string workspace = "north";
    std::string key; // "": the key of the workspace
    std::string prompt = "a line for Noor";
    int         tokens = 8;
    bool        stream = true;
    int         timeout_s = 30;
    int         port = 0; // 0: the port of the node, else of a relay before it
};

/// What the caller received.
struct model_response
{
    int           status = 0; // 0: no response
    std::string   text;       // tokens in the order of arrival
    std::uint64_t stated_tokens = 0;
    bool          ended = false; // the end marker arrived
    std::string   fate;          // of a refused or failed call
    std::string   request_id;
    std::string   connection; // header Connection
    std::string   expected;   // the text that every engine generates for it
    std::string   transport;  // what became of the connection, for failure texts

    bool whole(chat_request const& chat) const;
};

/// Calls a node; `on_bytes` runs whenever a part of the response arrives.
model_response call_model(
    fleet const& system, int node, chat_request const& chat = {},
    std::function<void()> const& on_bytes = [] {});

/// What a caller received, for failure texts.
std::string describe(model_response const& response);

/// The state of the kernel's TCP connections, for failure texts: local ports in use and
/// available, connections in TIME_WAIT, and overflows of accept queues since the boot.
std::string describe_tcp();

/// The text that every engine generates for the request.
std::string expected_text(chat_request const& chat);

/// Threads that call the nodes in turn until stop() or destruction.
class caller_group
{
public:
    caller_group(fleet const& system, std::vector<int> nodes, int callers,
                 chat_request chat);
    ~caller_group();

    /// Stops the callers and returns all responses.
    std::vector<model_response> stop();

    /// Number of responses so far.
    std::size_t answered() const;

private:
    std::atomic<bool>           stopping_{false};
    mutable std::mutex          mutex_;
    std::vector<model_response> answers_;
    std::vector<std::thread>    threads_;
};

/// Output tokens in the usage reports that the platform received, each window once, for
/// one workspace, or for all if it is empty.
std::uint64_t reported_tokens(fleet const& system, std::string const& workspace = "");

/// Number of entries in /proc/PID/NAME, where `fd` counts descriptors and `task` threads.
std::size_t process_count(pid_t pid, std::string const& name);

} // namespace marigoldcrank::tests

#endif
