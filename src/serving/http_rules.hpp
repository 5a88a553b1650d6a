// HTTP rules common to all dialects: hop-by-hop fields, and checks for ambiguous heads.
//
// Index: 1 head_fault, 2 check_head, is_ambiguous, 3 memory_of, 4 copy_end_to_end, 5
// bare_host,
//        6 parse_whole_number, parse_decimal, parse_http_date
#ifndef MARIGOLDCRANK_SERVING_HTTP_RULES_HPP
#define MARIGOLDCRANK_SERVING_HTTP_RULES_HPP

#include "serving/wire_dialect.hpp"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace marigoldcrank
{

/// Why a head that was parsed is refused with 400.
enum class head_fault
{
    none,
    host,            // missing, repeated or empty
    length,          // invalid or repeated lengths, or a length and a transfer coding
    transfer_coding, // repeated, or other than chunked
    target           // not a path, or with characters that can't be forwarded
};

/// Finds heads that two parsers could read differently. If one were forwarded, a second
/// request could be smuggled in its body and run with another caller's rights.
head_fault check_head(http_request const& head);

/// The name of the fault for logs and responses.
char const* head_fault_name(head_fault value);

/// Whether two readers could take a head for different responses. Either a status line
/// stands within it, so that a response was cut within its head and the next one was read
/// as the rest of it; or the body has a transfer coding other than chunked, whose end
/// this program can't tell.
bool is_ambiguous(response_head const& head);

/// About how many bytes a parsed head takes. Short fields take many times their length.
std::int64_t memory_of(http_request const& head);

/// About how many bytes a parsed call takes besides its request: its prompt may have
/// thousands of parts.
std::int64_t memory_of(caller_call const& call);

/// Copies the end-to-end fields. Hop-by-hop fields and those listed in Connection are
/// left out, except that `kept(name)` keeps a field that Connection lists.
template <class Kept>
void copy_end_to_end(boost::beast::http::fields const& from,
                     boost::beast::http::fields& to, Kept&& kept);

/// True for hop-by-hop fields and for those that frame one message.
bool is_hop_by_hop(std::string_view name);

/// True if a Connection field lists `name`.
bool listed_in_connection(boost::beast::http::fields const& fields,
                          std::string_view                  name);

/// The names that Connection fields list, in lower case.
std::set<std::string> names_in_connection(boost::beast::http::fields const& fields);

std::string lower_case(std::string_view text);

/// The host in lower case, without its port.
std::string bare_host(std::string_view host);

/// Parses a decimal integer without sign or blanks.
std::optional<std::int64_t> parse_whole_number(std::string_view text);

/// Parses a decimal number such as "2" or "0.5", without sign, exponent or blanks.
std::optional<double> parse_decimal(std::string_view text);

/// Parses a date such as "Sun, 06 Nov 1994 08:49:37 GMT" as Unix ms.
std::optional<std::int64_t> parse_http_date(std::string const& text);

template <class Kept>
void copy_end_to_end(boost::beast::http::fields const& from,
                     boost::beast::http::fields& to, Kept&& kept)
{
    // A head may list thousands of names and have thousands of fields.
    auto const listed = names_in_connection(from);
    for (auto const& field : from)
    {
        auto const             text = field.name_string();
        std::string_view const name{text.data(), text.size()};
        bool const stays = is_hop_by_hop(name) || (!listed.empty() && !kept(name) &&
                                                   listed.count(lower_case(name)) > 0);
        if (!stays)
        {
            to.insert(field.name(), text, field.value());
        }
    }
}

} // namespace marigoldcrank

#endif
