// Fields of JSON objects that others sent: a field of another type reads as absent.
//
// Index: number_field, text_field, flag_field
//
// nlohmann's value() throws if the type differs; from a confused engine that would end
// the daemon.
#ifndef MARIGOLDCRANK_ADAPTERS_JSON_FIELDS_HPP
#define MARIGOLDCRANK_ADAPTERS_JSON_FIELDS_HPP

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>

namespace marigoldcrank
{

/// A whole number that is not negative; 0 if there is none.
inline std::uint64_t number_field(nlohmann::json const& object, char const* name)
{
    auto const found = object.find(name);
    return found != object.end() && found->is_number_unsigned()
               ? found->get<std::uint64_t>()
               : 0;
}

inline std::string text_field(nlohmann::json const& object, char const* name)
{
    auto const found = object.find(name);
    return found != object.end() && found->is_string() ? found->get<std::string>() : "";
}

inline bool flag_field(nlohmann::json const& object, char const* name)
{
    auto const found = object.find(name);
    return found != object.end() && found->is_boolean() && found->get<bool>();
}

} // namespace marigoldcrank

#endif
