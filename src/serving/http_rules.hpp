// HTTP rules that hold on any wire: which fields end at a hop, which heads are ambiguous.
//
// Index: 1 head_fault, 2 check_head, 3 copy_end_to_end, 4 bare_host, 5 parse_whole_number
#ifndef MARIGOLDCRANK_SERVING_HTTP_RULES_HPP
#define MARIGOLDCRANK_SERVING_HTTP_RULES_HPP

#include "serving/wire_dialect.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace marigoldcrank
{

/// Why a head is refused with 400 though it could be parsed.
enum class head_fault
{
    none,
    host,            // missing, repeated or empty
    length,          // repeated lengths, or a length beside a transfer coding
    transfer_coding, // anything but chunked, once
    target           // neither begins with a slash nor can be forwarded as it is
};

/// Heads that two parsers could read differently. Passed on, such a request lets a second
/// one hide in its body and run with another caller's rights.
head_fault check_head(request_head const& head);

char const* head_fault_name(head_fault value);

/// Copies the fields that go from end to end. Fields that concern one connection, and
/// those that Connection names, stay behind; `kept` tells names that Connection can't
/// take away.
template <class Kept>
void copy_end_to_end(boost::beast::http::fields const& from,
                     boost::beast::http::fields& to, Kept&& kept);

/// True for names that concern one connection only.
bool hop_field(std::string_view name);

/// True if a Connection field names `name`.
bool named_by_connection(boost::beast::http::fields const& fields, std::string_view name);

/// The host in lower case, without its port.
std::string bare_host(std::string_view host);

/// A whole number without sign or blanks.
std::optional<std::int64_t> parse_whole_number(std::string_view text);

template <class Kept>
void copy_end_to_end(boost::beast::http::fields const& from,
                     boost::beast::http::fields& to, Kept&& kept)
{
    for (auto const& field : from)
    {
        auto const             text = field.name_string();
        std::string_view const name{text.data(), text.size()};
        bool const             stays =
            hop_field(name) || (!kept(name) && named_by_connection(from, name));
        if (!stays)
        {
            to.insert(field.name(), text, field.value());
        }
    }
}

} // namespace marigoldcrank

#endif
