// A caller of the language model API.
#include "support/caller.hpp"

#include "domain/boot_clock.hpp"

#include <map>
#include <sstream>
#include <thread>

namespace marigoldcrank::tests
{

using nlohmann::json;

namespace
{
void read_events(streamed_response& answer)
{
    std::istringstream lines(answer.body);
    for (std::string line; std::getline(lines, line);)
    {
        if (line.rfind("data: ", 0) != 0)
        {
            continue;
        }
        auto const data = line.substr(6);
        if (data == "[DONE]")
        {
            answer.done = true;
            continue;
        }
        auto const event = json::parse(data, nullptr, false);
        if (event.contains("error"))
        {
            answer.error = event["error"];
            continue;
        }
        auto const& delta = event["choices"][0]["delta"];
        if (delta.contains("content"))
        {
            answer.text += delta["content"].get<std::string>();
            ++answer.token_count;
        }
    }
}

void read_object(streamed_response& answer)
{
    auto const object = json::parse(answer.body, nullptr, false);
    if (object.is_object() && object.contains("error"))
    {
        answer.error = object["error"];
    }
    if (object.is_object() && object.contains("choices"))
    {
        answer.text = object["choices"][0]["message"]["content"].get<std::string>();
        answer.token_count = object["usage"]["completion_tokens"].get<int>();
        answer.done = true;
    }
}
} // namespace

httplib::Headers bearer(fleet const& system, std::string const& workspace)
{
    return {{"Authorization", "Bearer " + system.key(workspace)}};
}

streamed_response ask(fleet const& system, int node, caller_options const& options)
{
    auto const        begun = boot_clock::now();
    streamed_response answer;
    httplib::Client   client("127.0.0.1", system.node_port(node));
    client.set_read_timeout(60);
    std::thread disconnect;
    if (options.leave_after_ms > 0)
    {
        disconnect = std::thread(
            [&]
            {
                std::this_thread::sleep_for(millis{options.leave_after_ms});
                client.stop();
            });
    }
    httplib::Request request;
    request.method = "POST";
    request.path = "/v1/chat/completions";
    request.headers = bearer(system);
    request.headers.emplace("Content-Type", "application/json");
    request.body =
        json{{"model", "wording"},
             {"messages", json::array({{{"role", "user"}, {"content", options.prompt}}})},
             {"max_tokens", options.tokens},
             {"stream", options.stream}}
            .dump();
    request.response_handler = [&](httplib::Response const& response)
    {
        answer.status = response.status;
        answer.retry_after = response.get_header_value("Retry-After");
        return true;
    };
    request.content_receiver =
        [&](char const* data, std::size_t size, std::uint64_t, std::uint64_t)
    {
        answer.body.append(data, size);
        return true;
    };
    answer.complete = static_cast<bool>(client.send(request));
    if (disconnect.joinable())
    {
        disconnect.join();
    }
    answer.duration_ms =
        std::chrono::duration_cast<millis>(boot_clock::now() - begun).count();
    bool const events = answer.body.rfind("data: ", 0) == 0;
    events ? read_events(answer) : read_object(answer);
    return answer;
}

json generated(fleet const& system, int engine)
{
    httplib::Client client("127.0.0.1", system.engine_port(engine));
    auto const      answer = client.Get("/control/generated");
    return answer ? json::parse(answer->body) : json::array();
}

} // namespace marigoldcrank::tests
