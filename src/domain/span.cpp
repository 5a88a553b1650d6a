// Random trace ids, and parsing and writing of the W3C traceparent header.
#include "domain/span.hpp"

#include <algorithm>
#include <random>

namespace marigoldcrank
{

namespace
{
constexpr std::size_t trace_digits = 32;
constexpr std::size_t span_digits = 16;
constexpr std::size_t header_size = 55; // version-trace-span-flags

bool is_hexadecimal(std::string_view text)
{
    return text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}
} // namespace

std::string random_id(std::size_t digits)
{
    thread_local std::mt19937_64 generator{std::random_device{}()};
    std::string                  result;
    result.reserve(digits);
    for (std::size_t index = 0; index < digits; ++index)
    {
        result += "0123456789abcdef"[generator() & 15U];
    }
    return result;
}

trace_context parse_traceparent(std::string_view header)
{
    auto const trace = header.size() == header_size ? header.substr(3, trace_digits) : "";
    auto const parent =
        header.size() == header_size ? header.substr(36, span_digits) : "";
    if (trace.empty() || !is_hexadecimal(trace) || !is_hexadecimal(parent))
    {
        return {random_id(trace_digits), ""};
    }
    return {std::string{trace}, std::string{parent}};
}

std::string format_traceparent(trace_context const& context)
{
    return "00-" + context.trace_id + "-" + context.span_id + "-01";
}

} // namespace marigoldcrank
