// Events of the parser.
#include "serving/request_parser.hpp"

#include "serving/http_rules.hpp"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>

#include <utility>

namespace marigoldcrank
{

namespace http = boost::beast::http;

namespace
{

std::string_view view(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

} // namespace

http_request const& request_parser::request() const noexcept
{
    return request_;
}

http_request request_parser::release()
{
    return std::move(request_);
}

void request_parser::on_request_impl(http::verb method, string_view method_text,
                                     string_view target, int version, error_code& error)
{
    if (method == http::verb::unknown)
    {
        request_.method_string(method_text);
    }
    else
    {
        request_.method(method);
    }
    request_.target(target);
    request_.version(static_cast<unsigned>(version));
    error = {};
}

void request_parser::on_response_impl(int, string_view, int, error_code& error)
{
    error = http::error::bad_method;
}

void request_parser::on_field_impl(http::field, string_view name, string_view value,
                                   error_code& error)
{
    error = {};
    if (head_complete_)
    {
        return; // of a trailer
    }
    // Fields that this program itself must understand are never so long.
    bool const own = is_hop_by_hop(view(name)) || boost::beast::iequals(name, "Host");
    if (++fields_ > max_fields || (own && is_long(view(name), view(value))))
    {
        error = http::error::header_limit;
        return;
    }
    insert_field(request_, view(name), view(value));
}

void request_parser::on_header_impl(error_code& error)
{
    head_complete_ = true;
    error = {};
}

void request_parser::on_body_init_impl(boost::optional<std::uint64_t> const&,
                                       error_code& error)
{
    error = {};
}

std::size_t request_parser::on_body_impl(string_view body, error_code& error)
{
    request_.body().append(body.data(), body.size());
    error = {};
    return body.size();
}

void request_parser::on_chunk_header_impl(std::uint64_t, string_view, error_code& error)
{
    error = {};
}

std::size_t request_parser::on_chunk_body_impl(std::uint64_t, string_view body,
                                               error_code& error)
{
    return on_body_impl(body, error);
}

void request_parser::on_finish_impl(error_code& error)
{
    error = {};
}

} // namespace marigoldcrank
