// Record in the store of a service's software versions, and its JSON text.
//
// Index: formats
#ifndef MARIGOLDCRANK_LEDGER_VERSION_ENTRY_HPP
#define MARIGOLDCRANK_LEDGER_VERSION_ENTRY_HPP

#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace marigoldcrank
{

std::string format_version_entry(std::set<std::string> const& versions);

/// Nothing if the text is not a valid entry: {"versions": ["v1", ...]}, one at least.
std::optional<std::set<std::string>> parse_version_entry(std::string_view text);

} // namespace marigoldcrank

#endif
