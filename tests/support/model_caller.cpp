// A caller that checks streamed model responses to the token.
#include "support/model_caller.hpp"

#include "adapters/sse_reader.hpp"
#include "engine_model.hpp"

#include <httplib.h>
#include <xxhash.h>

#include <cerrno>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace marigoldcrank::tests
{

namespace
{
using nlohmann::json;

json messages_of(chat_request const& chat)
{
    return json::array({{{"role", "user"}, {"content", chat.prompt}}});
}

void take_event(std::string_view data, model_response& answer)
{
    if (data == "[DONE]")
    {
        answer.ended = true;
        return;
    }
    auto const event = json::parse(data, nullptr, false);
    if (!event.is_object())
    {
        return;
    }
    if (event.contains("error"))
    {
        answer.fate = event["error"].value("fate", "");
        return;
    }
    for (auto const& choice : event.value("choices", json::array()))
    {
        answer.text += choice.value("delta", json::object()).value("content", "");
    }
    if (event.contains("usage") && event["usage"].is_object())
    {
        answer.stated_tokens =
            event["usage"].value("completion_tokens", std::uint64_t{0});
    }
}

void take_body(std::string const& text, model_response& answer)
{
    auto const body = json::parse(text, nullptr, false);
    if (!body.is_object())
    {
        return;
    }
    if (body.contains("error"))
    {
        answer.fate = body["error"].value("fate", "");
        return;
    }
    answer.text = body["choices"][0]["message"].value("content", "");
    answer.stated_tokens = body["usage"].value("completion_tokens", std::uint64_t{0});
    answer.ended = true;
}
} // namespace

bool model_response::whole(chat_request const& chat) const
{
    return status == 200 && ended && text == expected &&
           stated_tokens == static_cast<std::uint64_t>(chat.tokens);
}

model_response call_model(fleet const& system, int node, chat_request const& chat,
                          std::function<void()> const& on_bytes)
{
    auto const      port = chat.port != 0 ? chat.port : system.node_port(node);
    httplib::Client client("127.0.0.1", port);
    client.set_read_timeout(chat.timeout_s);
    model_response answer;
    answer.expected = expected_text(chat);
    std::string      rest;
    sse_reader       reader;
    httplib::Request request;
    request.method = "POST";
    request.path = "/v1/chat/completions";
    auto const key = chat.key.empty() ? system.key(chat.workspace) : chat.key;
    request.headers = {{"Authorization", "Bearer " + key},
                       {"Content-Type", "application/json"}};
    request.body = json{
        {"model", "wording"},
        {"messages", messages_of(chat)},
        {"max_tokens", chat.tokens},
        {"stream",
         chat.stream}}.dump();
    request.content_receiver =
        [&](char const* data, std::size_t size, std::uint64_t, std::uint64_t)
    {
        std::string_view const bytes{data, size};
        rest += bytes;
        reader.feed(bytes,
                    [&](std::string_view event)
                    {
                        take_event(event, answer);
                        return true;
                    });
        on_bytes();
        return true;
    };
    request.response_handler = [&](httplib::Response const& response)
    {
        answer.status = response.status;
        answer.request_id = response.get_header_value("X-Request-Id");
        answer.connection = response.get_header_value("Connection");
        return true;
    };
    errno = 0;
    auto const result = client.send(request);
    answer.transport =
        httplib::to_string(result.error()) + ", errno " + std::to_string(errno);
    if (!chat.stream || answer.status != 200)
    {
        take_body(rest, answer);
    }
    return answer;
}

std::string describe(model_response const& response)
{
    std::ostringstream text;
    text << "status " << response.status << ", fate " << response.fate << ", id "
         << response.request_id << ", " << response.text.size() << " of "
         << response.expected.size() << " bytes, ended " << response.ended
         << ", transport: " << response.transport;
    return text.str();
}

std::string describe_tcp()
{
    std::ifstream sockets("/proc/net/sockstat");
    std::ifstream range("/proc/sys/net/ipv4/ip_local_port_range");
    std::ifstream statistics("/proc/net/netstat");
    std::string   first;
    std::string   last;
    range >> first >> last;
    std::ostringstream text;
    text << "local ports " << first << " to " << last << "; ";
    for (std::string line; std::getline(sockets, line);)
    {
        text << (line.starts_with("TCP:") ? line : "");
    }
    std::string names;
    std::string values;
    while (std::getline(statistics, names) && std::getline(statistics, values))
    {
        std::istringstream name_words(names);
        std::istringstream value_words(values);
        std::string        name;
        std::string        value;
        while (name_words >> name && value_words >> value)
        {
            bool const wanted = name == "ListenOverflows" || name == "ListenDrops" ||
                                name == "TCPTimeWaitOverflow" ||
                                name == "TCPAbortOnMemory";
            text << (wanted ? "; " + name + " " + value : "");
        }
    }
    return text.str();
}

std::string expected_text(chat_request const& chat)
{
    auto const  prompt = messages_of(chat).dump();
    auto const  hash = XXH64(prompt.data(), prompt.size(), 0);
    std::string text;
    for (int index = 0; index < chat.tokens; ++index)
    {
        text += standins::generate_token(hash, static_cast<std::uint64_t>(index));
    }
    return text;
}

caller_group::caller_group(fleet const& system, std::vector<int> nodes, int callers,
                           chat_request chat)
{
    for (int index = 0; index < callers; ++index)
    {
        threads_.emplace_back(
            [this, &system, nodes, chat, index]
            {
                for (auto turn = static_cast<std::size_t>(index); !stopping_; ++turn)
                {
                    // Each prompt differs: equal prompts in flight on two servers that
                    // crash would become one suspect of being poison.
                    auto own = chat;
                    own.prompt +=
                        " " + std::to_string(index) + "/" + std::to_string(turn);
                    auto answer = call_model(system, nodes[turn % nodes.size()], own);
                    std::lock_guard const lock(mutex_);
                    answers_.push_back(std::move(answer));
                }
            });
    }
}

caller_group::~caller_group()
{
    stop();
}

std::vector<model_response> caller_group::stop()
{
    stopping_ = true;
    for (auto& thread : threads_)
    {
        thread.join();
    }
    threads_.clear();
    return answers_;
}

std::size_t caller_group::answered() const
{
    std::lock_guard const lock(mutex_);
    return answers_.size();
}

std::uint64_t reported_tokens(fleet const& system, std::string const& workspace)
{
    std::map<std::string, std::uint64_t> by_window;
    for (auto const& report : system.received(system.platform_port(), "usage"))
    {
        std::uint64_t tokens = 0;
        auto const    body = json::parse(report["body"].get<std::string>());
        for (auto const& figure : body["figures"])
        {
            bool const counts = workspace.empty() || figure["workspace"] == workspace;
            tokens += counts ? figure["output_tokens"].get<std::uint64_t>() : 0;
        }
        by_window[report["path"]] = tokens;
    }
    std::uint64_t total = 0;
    for (auto const& [window, tokens] : by_window)
    {
        total += tokens;
    }
    return total;
}

std::size_t process_count(pid_t pid, std::string const& name)
{
    std::size_t                               count = 0;
    std::filesystem::directory_iterator const entries("/proc/" + std::to_string(pid) +
                                                      "/" + name);
    for ([[maybe_unused]] auto const& entry : entries)
    {
        ++count;
    }
    return count;
}

} // namespace marigoldcrank::tests
