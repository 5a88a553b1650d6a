// Formatting of responses to callers.
#include "serving/own_response.hpp"

#include "serving/http_rules.hpp"

#include <boost/beast/http/status.hpp>
#include <nlohmann/json.hpp>

#include <array>
#include <cstdio>

namespace marigoldcrank
{

namespace http = boost::beast::http;

namespace
{

/// Status and end-to-end fields of a server's response, without its framing.
response_head relayed_head(response_head const& from, bool close)
{
    response_head head;
    head.version(11);
    head.result(from.result_int());
    head.reason(from.reason());
    http::fields& fields = head;
    copy_end_to_end(from, fields, [](std::string_view) { return false; });
    if (close)
    {
        fields.set(http::field::connection, "close");
    }
    return head;
}

std::string to_text(response_head const& head)
{
    std::string out = "HTTP/1.1 " + std::to_string(head.result_int()) + " ";
    out += head.reason();
    out += "\r\n";
    for (auto const& field : head)
    {
        out += field.name_string();
        out += ": ";
        out += field.value();
        out += "\r\n";
    }
    out += "\r\n";
    return out;
}

} // namespace

std::string format_own_response(own_response const& reply, bool close, bool head_only)
{
    auto const body = nlohmann::json{{"error",
                                      {{"cause", std::string{reply.cause}},
                                       {"fate", name_of(reply.fate)}}}}
                          .dump();
    auto const  reason = http::obsolete_reason(http::int_to_status(reply.status));
    std::string out = "HTTP/1.1 " + std::to_string(reply.status) + " ";
    out.append(reason.data(), reason.size());
    out += "\r\nContent-Type: application/json\r\nContent-Length: ";
    out += std::to_string(body.size());
    if (reply.retry_after)
    {
        constexpr double     second_ms = 1000;
        std::array<char, 32> seconds{};
        std::snprintf(seconds.data(), seconds.size(), "%.3f",
                      static_cast<double>(reply.retry_after->count()) / second_ms);
        out += "\r\nRetry-After: ";
        out += seconds.data();
    }
    out += close ? "\r\nConnection: close\r\n\r\n" : "\r\n\r\n";
    return head_only ? out : out + body;
}

std::string format_response(response_head const& head, std::string const& body,
                            bool close, bool head_only)
{
    auto result = relayed_head(head, close);
    if (head_only)
    {
        if (head.count(http::field::content_length) > 0)
        {
            result.set(http::field::content_length, head[http::field::content_length]);
        }
        return to_text(result);
    }
    constexpr unsigned no_content = 204;
    constexpr unsigned not_modified = 304;
    if (head.result_int() != no_content && head.result_int() != not_modified)
    {
        result.set(http::field::content_length, std::to_string(body.size()));
    }
    return to_text(result) + body;
}

std::string format_stream_head(response_head const& head, bool close, bool chunked)
{
    auto result = relayed_head(head, close || !chunked);
    if (chunked)
    {
        result.set(http::field::transfer_encoding, "chunked");
    }
    return to_text(result);
}

std::string format_chunk(std::string_view bytes)
{
    std::array<char, 20> length{};
    std::snprintf(length.data(), length.size(), "%zx\r\n", bytes.size());
    std::string out = length.data();
    out += bytes;
    out += "\r\n";
    return out;
}

} // namespace marigoldcrank
