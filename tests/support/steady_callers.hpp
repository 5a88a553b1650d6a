// Callers that keep the engines busy while a test changes the fleet.
//
// Index: steady_callers
#ifndef MARIGOLDCRANK_TESTS_SUPPORT_STEADY_CALLERS_HPP
#define MARIGOLDCRANK_TESTS_SUPPORT_STEADY_CALLERS_HPP

#include "support/node_process.hpp"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <atomic>
#include <string>
#include <thread>
#include <vector>

namespace marigoldcrank::tests
{

/// Three threads, one for each of nodes 0 to 2, that stream one response after another
/// until stop() or destruction.
class steady_callers
{
public:
    static constexpr int requested_tokens = 150; // of each response

    explicit steady_callers(fleet const& system)
    {
        for (int node = 0; node < 3; ++node)
        {
            threads_.emplace_back([this, &system, node] { run(system, node); });
        }
    }

    ~steady_callers()
    {
        stop();
    }

    void stop()
    {
        stopping_ = true;
        for (auto& thread : threads_)
        {
            thread.join();
        }
        threads_.clear();
    }

    std::atomic<int> complete{0};
    std::atomic<int> failed{0};

private:
    void run(fleet const& system, int node)
    {
        using nlohmann::json;
        json const body = {{"model", "wording"},
                           {"messages", json::array({{{"role", "user"},
                                                      {"content", "a line for Noor"}}})},
                           {"max_tokens", requested_tokens},
                           {"stream", true}};
        while (!stopping_)
        {
            httplib::Client client("127.0.0.1", system.node_port(node));
            client.set_read_timeout(30);
            auto const answer =
                client.Post("/v1/chat/completions",
                            {{"Authorization", "Bearer " + system.key("north")}},
                            body.dump(), "application/json");
            bool const is_complete =
                answer && answer->status == 200 &&
                answer->body.find("data: [DONE]") != std::string::npos &&
                answer->body.find("\"completion_tokens\":" +
                                  std::to_string(requested_tokens)) != std::string::npos;
            ++(is_complete ? complete : failed);
        }
    }

    std::atomic<bool>        stopping_{false};
    std::vector<std::thread> threads_;
};

} // namespace marigoldcrank::tests

#endif
