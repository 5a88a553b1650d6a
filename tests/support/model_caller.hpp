// A caller of model calls, for tests of failures.
//
// Index: 1 model_answer, 2 call_model, 3 caller_group, 4 counts
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

/// One request for `tokens` tokens.
struct model_question
{
    std::string workspace = "north";
    std::string key; // "": the workspace's own
    std::string prompt = "a line for Noor";
    int         tokens = 8;
    bool        stream = true;
    int         timeout_s = 30;
    int         port = 0; // 0: the node's own, else a relay before it
};

/// What the caller saw.
struct model_answer
{
    int           status = 0; // 0: no answer at all
    std::string   text;       // tokens in the order of arrival
    std::uint64_t stated_tokens = 0;
    bool          ended = false; // the proper end marker came
    std::string   fate;          // of a refusal
    std::string   request_id;
    std::string   connection; // header Connection
    std::string   expected;   // the text that every engine gives as the answer

    bool whole(model_question const& question) const;
};

/// Calls a node; `on_bytes` runs as parts of a streamed answer arrive.
model_answer call_model(
    fleet const& system, int node, model_question const& question = {},
    std::function<void()> const& on_bytes = [] {});

/// The text that every engine gives as the answer.
std::string expected_text(model_question const& question);

/// Callers that ask one node after the other until the object stops them.
class caller_group
{
public:
    caller_group(fleet const& system, std::vector<int> nodes, int callers,
                 model_question question);
    ~caller_group();

    /// Stops and gives all answers.
    std::vector<model_answer> stop();

    /// Answers so far.
    std::size_t answered() const;

private:
    std::atomic<bool>         over_{false};
    mutable std::mutex        mutex_;
    std::vector<model_answer> answers_;
    std::vector<std::thread>  threads_;
};

/// Output tokens in the reports that the platform received, each window once; of one
/// workspace, or of all if it is empty.
std::uint64_t reported_tokens(fleet const& system, std::string const& workspace = "");

/// Entries of /proc/PID/NAME, for example of `fd` and `task`.
std::size_t process_count(pid_t pid, std::string const& name);

} // namespace marigoldcrank::tests

#endif
