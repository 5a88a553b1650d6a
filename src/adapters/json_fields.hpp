// Fields of JSON objects that other systems sent.
//
// Index: field_or
#ifndef MARIGOLDCRANK_ADAPTERS_JSON_FIELDS_HPP
#define MARIGOLDCRANK_ADAPTERS_JSON_FIELDS_HPP

#include <nlohmann/json.hpp>

#include <string>
#include <type_traits>

namespace marigoldcrank
{

/// The field, or `otherwise` if it is missing or of another type. json::value throws on
/// another type, and a confused backend server would take the whole daemon down with it.
template <class Value>
Value field_or(nlohmann::json const& body, char const* name, Value otherwise)
{
    auto const found = body.is_object() ? body.find(name) : body.end();
    if (found == body.end())
    {
        return otherwise;
    }
    bool fits = found->is_number();
    if constexpr (std::is_same_v<Value, std::string>)
    {
        fits = found->is_string();
    }
    else if constexpr (std::is_same_v<Value, bool>)
    {
        fits = found->is_boolean();
    }
    return fits ? found->get<Value>() : otherwise;
}

} // namespace marigoldcrank

#endif
