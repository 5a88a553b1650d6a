// Reads fields of JSON objects that other processes sent; a field of the wrong type
// counts as absent.
//
// Index: number_field, bounded_field, text_field, flag_field
//
// nlohmann's value() throws if the type differs; a faulty message from an engine would
// then end the daemon.
#ifndef MARIGOLDCRANK_ADAPTERS_JSON_FIELDS_HPP
#define MARIGOLDCRANK_ADAPTERS_JSON_FIELDS_HPP

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace marigoldcrank
{

/// The value of a non-negative integer field; 0 if there is none.
inline std::uint64_t number_field(nlohmann::json const& object, char const* name)
{
    auto const found = object.find(name);
    return found != object.end() && found->is_number_unsigned()
               ? found->get<std::uint64_t>()
               : 0;
}

/// The value of an integer field from 0 to `most`, and 0 if it is absent; nothing if it
/// has another type or is out of range.
inline std::optional<std::int64_t> bounded_field(nlohmann::json const& object,
                                                 char const* name, std::int64_t most)
{
    auto const found = object.find(name);
    if (found == object.end())
    {
        return 0;
    }
    bool const valid = found->is_number_unsigned() &&
                       found->get<std::uint64_t>() <= static_cast<std::uint64_t>(most);
    return valid ? std::optional{found->get<std::int64_t>()} : std::nullopt;
}

/// The value of a string field; empty if there is none.
inline std::string text_field(nlohmann::json const& object, char const* name)
{
    auto const found = object.find(name);
    return found != object.end() && found->is_string() ? found->get<std::string>() : "";
}

/// The value of a boolean field; false if there is none.
inline bool flag_field(nlohmann::json const& object, char const* name)
{
    auto const found = object.find(name);
    return found != object.end() && found->is_boolean() && found->get<bool>();
}

} // namespace marigoldcrank

#endif
