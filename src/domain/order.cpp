// Conversion of orders to and from JSON, and names of roles and duties.
#include "domain/order.hpp"

#include <nlohmann/json.hpp>

namespace marigoldcrank
{

namespace
{
using nlohmann::json;

char const* name_of(order_kind kind) noexcept
{
    switch (kind)
    {
    case order_kind::role:
        return "role";
    case order_kind::buy:
        return "buy";
    case order_kind::dismiss:
        return "dismiss";
    }
    return "unknown";
}

/// The text field of this name; empty if it is missing or isn't a string.
std::string text_field(json const& body, char const* field)
{
    auto const found = body.find(field);
    return found != body.end() && found->is_string() ? found->get<std::string>() : "";
}
} // namespace

char const* name_of(engine_role role) noexcept
{
    switch (role)
    {
    case engine_role::prefill:
        return "prefill";
    case engine_role::decode:
        return "decode";
    case engine_role::mixed:
        break;
    }
    return "mixed";
}

engine_role parse_engine_role(std::string const& text) noexcept
{
    return text == "prefill"  ? engine_role::prefill
           : text == "decode" ? engine_role::decode
                              : engine_role::mixed;
}

std::string format_order(order const& value)
{
    return json{{"kind", name_of(value.kind)},      {"server", value.server},
                {"role", name_of(value.role)},      {"group", value.group},
                {"data_centre", value.data_centre}, {"cheap", value.cheap}}
        .dump(-1, ' ', false, json::error_handler_t::replace);
}

leaf::result<order> parse_order(std::string const& text)
{
    auto const body = json::parse(text, nullptr, false);
    if (!body.is_object())
    {
        return leaf::new_error(message_failure{"order", "not a JSON object"});
    }
    order      value;
    auto const kind = text_field(body, "kind");
    if (kind != "role" && kind != "buy" && kind != "dismiss")
    {
        return leaf::new_error(
            message_failure{"order", "unknown kind, expected role, buy or dismiss"});
    }
    value.kind = kind == "role"  ? order_kind::role
                 : kind == "buy" ? order_kind::buy
                                 : order_kind::dismiss;
    value.server = text_field(body, "server");
    value.role = parse_engine_role(text_field(body, "role"));
    value.group = text_field(body, "group");
    value.data_centre = text_field(body, "data_centre");
    auto const cheap = body.find("cheap");
    value.cheap = cheap != body.end() && cheap->is_boolean() && cheap->get<bool>();
    return value;
}

std::string controller_duty(std::string const& group, std::string const& data_centre)
{
    return "controller/" + group + "/" + data_centre;
}

} // namespace marigoldcrank
