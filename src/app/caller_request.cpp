// Authentication of callers by API key.
#include "app/caller_request.hpp"

#include "domain/api_key.hpp"

namespace marigoldcrank
{

namespace
{
constexpr std::string_view bearer = "Bearer ";
constexpr int              retry_soon_s = 1;
constexpr int              retry_later_s = 3600;

leaf::error_id refuse(refusal_cause cause, int retry_after)
{
    return leaf::new_error(refusal{cause, call_fate::not_run, retry_after});
}

api_key presented_key(std::string const& authorization)
{
    if (authorization.rfind(bearer, 0) != 0)
    {
        return {};
    }
    return leaf::try_handle_all(
        [&] { return parse_api_key(authorization.substr(bearer.size())); },
        [] { return api_key{}; });
}
} // namespace

leaf::result<admission> admit(access_list const& access, std::string const& authorization)
{
    // Without a configuration no key can be checked, so every request is refused.
    if (!access.config)
    {
        return refuse(refusal_cause::no_configuration, retry_soon_s);
    }
    auto const key = presented_key(authorization);
    auto const rule = access.config->keys.find(key.id);
    if (rule == access.config->keys.end() ||
        !key_matches(rule->second.salt, rule->second.hash, key.secret))
    {
        return refuse(refusal_cause::unauthenticated, retry_later_s);
    }
    if (access.withdrawn.count(key.id) != 0)
    {
        return refuse(refusal_cause::key_withdrawn, retry_later_s);
    }
    return admission{rule->second.workspace, key.id, access.config};
}

} // namespace marigoldcrank
