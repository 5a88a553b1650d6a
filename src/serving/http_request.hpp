// A request with its whole body, whose fields may be of any length.
//
// Index: 1 long_field, 2 http_request, 3 is_long, insert_field, set_field,
//        4 count_fields, field_value, 5 format_head
#ifndef MARIGOLDCRANK_SERVING_HTTP_REQUEST_HPP
#define MARIGOLDCRANK_SERVING_HTTP_REQUEST_HPP

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace marigoldcrank
{

/// A field that is too long for Beast's fields, which store each size in 16 bits and
/// throw std::length_error beyond that.
struct long_field
{
    std::string name;
    std::string value;

    auto operator<=>(long_field const&) const = default;
};

/// A request of a caller, or to a backend server.
struct http_request : boost::beast::http::request<boost::beast::http::string_body>
{
    using message::message;

    std::vector<long_field> long_fields; // sent behind the others
};

/// Whether a field is too long for Beast's fields.
bool is_long(std::string_view name, std::string_view value);

/// Adds a field behind those of the same name.
void insert_field(http_request& request, std::string_view name, std::string_view value);

/// Replaces all fields of this name.
void set_field(http_request& request, std::string_view name, std::string_view value);

std::size_t count_fields(http_request const& request, std::string_view name);

/// The value of the first field of this name; empty if there is none.
std::string_view field_value(http_request const& request, std::string_view name);

/// The request line and all fields, up to the empty line that ends the head.
std::string format_head(http_request const& request);

} // namespace marigoldcrank

#endif
