// Names of failures as they are written to responses, metrics and spans.
#include "domain/failure.hpp"

namespace marigoldcrank
{

char const* name_of(setting_fault fault) noexcept
{
    switch (fault)
    {
    case setting_fault::unreadable_file:
        return "unreadable_file";
    case setting_fault::unknown_section:
        return "unknown_section";
    case setting_fault::unknown_key:
        return "unknown_key";
    case setting_fault::not_a_number:
        return "not_a_number";
    case setting_fault::out_of_range:
        return "out_of_range";
    case setting_fault::missing:
        return "missing";
    case setting_fault::malformed:
        return "malformed";
    }
    return "unknown";
}

char const* name_of(rule_fault fault) noexcept
{
    switch (fault)
    {
    case rule_fault::unreadable_text:
        return "unreadable_text";
    case rule_fault::unknown_section:
        return "unknown_section";
    case rule_fault::unknown_field:
        return "unknown_field";
    case rule_fault::missing_field:
        return "missing_field";
    case rule_fault::no_requester:
        return "no_requester";
    case rule_fault::not_a_number:
        return "not_a_number";
    case rule_fault::out_of_range:
        return "out_of_range";
    case rule_fault::unknown_workspace:
        return "unknown_workspace";
    case rule_fault::repeated_id:
        return "repeated_id";
    }
    return "unknown";
}

char const* name_of(transport_fault fault) noexcept
{
    switch (fault)
    {
    case transport_fault::not_connected:
        return "not_connected";
    case transport_fault::refused:
        return "refused";
    case transport_fault::response_lost:
        return "answer_lost";
    case transport_fault::silent:
        return "silent";
    }
    return "unknown";
}

char const* name_of(call_fate fate) noexcept
{
    switch (fate)
    {
    case call_fate::not_run:
        return "not_run";
    case call_fate::outcome_unknown:
        return "outcome_unknown";
    case call_fate::final_refusal:
        return "final";
    }
    return "unknown";
}

char const* name_of(refusal_cause cause) noexcept
{
    switch (cause)
    {
    case refusal_cause::unauthenticated:
        return "unauthenticated";
    case refusal_cause::key_withdrawn:
        return "key_withdrawn";
    case refusal_cause::malformed:
        return "malformed";
    case refusal_cause::too_large:
        return "too_large";
    case refusal_cause::unknown_model:
        return "unknown_model";
    case refusal_cause::unknown_service:
        return "unknown_service";
    case refusal_cause::no_configuration:
        return "no_configuration";
    case refusal_cause::no_backend_server:
        return "no_backend_server";
    case refusal_cause::overloaded:
        return "overloaded";
    case refusal_cause::over_limit:
        return "over_limit";
    case refusal_cause::deadline:
        return "deadline";
    case refusal_cause::draining:
        return "draining";
    case refusal_cause::log_unavailable:
        return "log_unavailable";
    case refusal_cause::key_reused:
        return "key_reused";
    case refusal_cause::in_progress:
        return "in_progress";
    case refusal_cause::owner_lost:
        return "owner_lost";
    case refusal_cause::poison:
        return "poison";
    case refusal_cause::backend_server_failed:
        return "backend_server_failed";
    case refusal_cause::cancelled:
        return "cancelled";
    }
    return "unknown";
}

} // namespace marigoldcrank
