// JSON request and response bodies of the language model API.
#include "app/model_body.hpp"

#include "domain/api_key.hpp"
#include "domain/boot_clock.hpp"

#include <nlohmann/json.hpp>

namespace marigoldcrank
{

namespace
{
using nlohmann::json;

constexpr std::int64_t  bytes_per_token = 4;
constexpr std::uint64_t millis_per_second = 1000;

json usage_object(std::uint64_t prompt_tokens, std::uint64_t output_tokens)
{
    return {{"prompt_tokens", prompt_tokens},
            {"completion_tokens", output_tokens},
            {"total_tokens", prompt_tokens + output_tokens}};
}

std::string escaped(std::string const& text)
{
    return json(text).dump(-1, ' ', false, json::error_handler_t::replace);
}

leaf::error_id malformed_body(std::string const& detail)
{
    return leaf::new_error(message_failure{"request body", detail});
}
} // namespace

leaf::result<model_body> parse_model_body(std::string const& path,
                                          std::string const& body)
{
    auto const parsed = json::parse(body, nullptr, false);
    if (!parsed.is_object())
    {
        return malformed_body("not a JSON object");
    }
    auto const model = parsed.find("model");
    if (model == parsed.end() || !model->is_string())
    {
        return malformed_body("field model is missing or not a string");
    }
    bool const  chat = path == "/v1/chat/completions";
    char const* field = chat ? "messages" : "prompt";
    auto const  prompt = parsed.find(field);
    bool const  valid_prompt =
        prompt != parsed.end() && (chat ? prompt->is_array() : prompt->is_string());
    if (!valid_prompt)
    {
        return malformed_body(std::string{"field "} + field +
                              " is missing or has the wrong type");
    }
    auto const stream = parsed.find("stream");
    if (stream != parsed.end() && !stream->is_boolean())
    {
        return malformed_body("field stream is not a boolean");
    }
    model_body result;
    result.model = model->get<std::string>();
    result.stream = stream != parsed.end() && stream->get<bool>();
    auto const text = prompt->dump(-1, ' ', false, json::error_handler_t::replace);
    result.content = salted_hash(result.model, text);
    result.prompt_tokens = static_cast<std::int64_t>(text.size()) / bytes_per_token;
    return result;
}

response_writer::response_writer(std::string const& request_id, std::string const& model,
                                 bool chat)
    : request_id_(request_id), model_(model), chat_(chat)
{
    auto const created = std::to_string(unix_millis() / millis_per_second);
    auto const object = chat ? "chat.completion.chunk" : "text_completion";
    chunk_prefix_ = "data: {\"id\":" + escaped(request_id) + ",\"object\":\"" + object +
                    "\",\"created\":" + created + ",\"model\":" + escaped(model) +
                    ",\"choices\":[{\"index\":0,";
    chunk_prefix_ += chat ? "\"delta\":{\"content\":" : "\"text\":";
    chunk_suffix_ =
        chat ? "},\"finish_reason\":null}]}\n\n" : ",\"finish_reason\":null}]}\n\n";
}

std::string response_writer::chunk(std::string const& token) const
{
    return chunk_prefix_ + escaped(token) + chunk_suffix_;
}

std::string response_writer::closing_events(std::uint64_t prompt_tokens,
                                            std::uint64_t output_tokens) const
{
    json const choice =
        chat_ ? json{{"index", 0}, {"delta", json::object()}, {"finish_reason", "stop"}}
              : json{{"index", 0}, {"text", ""}, {"finish_reason", "stop"}};
    json const final_chunk = {
        {"id", request_id_},
        {"object", chat_ ? "chat.completion.chunk" : "text_completion"},
        {"model", model_},
        {"choices", json::array({choice})},
        {"usage", usage_object(prompt_tokens, output_tokens)}};
    return "data: " + final_chunk.dump() + "\n\ndata: [DONE]\n\n";
}

std::string response_writer::complete_body(std::string const& text,
                                           std::uint64_t      prompt_tokens,
                                           std::uint64_t      output_tokens) const
{
    json choice = {{"index", 0}, {"finish_reason", "stop"}};
    if (chat_)
    {
        choice["message"] = {{"role", "assistant"}, {"content", text}};
    }
    else
    {
        choice["text"] = text;
    }
    json const body = {{"id", request_id_},
                       {"object", chat_ ? "chat.completion" : "text_completion"},
                       {"created", unix_millis() / millis_per_second},
                       {"model", model_},
                       {"choices", json::array({choice})},
                       {"usage", usage_object(prompt_tokens, output_tokens)}};
    return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace marigoldcrank
