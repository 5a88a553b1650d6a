// The rules in force: routes, services, workspaces and limits, and look-ups in them.
//
// Index: 1 call_kind, 2 route, 3 service with fleet_bounds, 4 workspace with
//        workspace_quota, 5 caller_limits, 6 number_fault, 7 serving_rules
//
// These are plain values. The rules decoder fills them from the store's records, and the
// serving path reads them.
#ifndef MARIGOLDCRANK_DOMAIN_SERVING_RULES_HPP
#define MARIGOLDCRANK_DOMAIN_SERVING_RULES_HPP

#include "domain/boot_clock.hpp"

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace marigoldcrank
{

/// Whether a call may be sent again after an attempt with an unknown outcome.
enum class call_kind
{
    idempotent,     // may run more than once
    non_idempotent, // runs at most once
    stream          // response is a stream of events; runs at most once unless resumable
};

/// One service that a route sends calls to; a split route has several.
struct route_target
{
    std::string  service;
    std::int64_t weight = 1; // share of the calls, relative to the sum of the weights

    auto operator<=>(route_target const&) const = default;
};

/// Where calls to one host below one path are sent, and how they are served.
struct route
{
    std::string               name;
    std::string               host;        // lower case, without port
    std::string               path_prefix; // begins and ends with a slash
    call_kind                 kind = call_kind::non_idempotent;
    std::vector<route_target> targets;      // one, or several for a split
    millis                    timeout{0};   // 0  longest wait of a caller, ms; 0: any
    millis                    objective{0}; // 0  target for response or first event, ms
    millis                    event_gap{0}; // 0  longest pause between two events, ms
    std::int64_t              max_servers = 1; // 1  max. servers that one call is sent to
    std::int64_t              rank = 0;        // 0  priority; 0 is the most urgent
    bool                      open = false;    // calls need no key
    bool resumable = false; // a broken stream may be continued on another server

    bool operator==(route const&) const = default;

    bool has_target(std::string_view service) const
    {
        return std::any_of(targets.begin(), targets.end(),
                           [&](route_target const& each)
                           { return each.service == service; });
    }
};

/// Bounds of the number of servers that are ordered for a service in each data centre.
struct fleet_bounds
{
    std::int64_t least = 0;
    std::int64_t most = 0;            // full-price and cheap servers together
    bool         reclaimable = false; // cheap servers can be ordered too

    auto operator<=>(fleet_bounds const&) const = default;
};

/// A service and the properties that all its servers share.
struct service
{
    std::string  name;
    std::int64_t connections = 0;      // 0  max. connections per server; 0: not stated
    bool         has_engines = false;  //  its servers are model engines
    millis       handle_lifetime{0};   // 0  ms that an engine keeps a prefilled prompt
    std::int64_t engine_tokens = 0;    // 0  tokens that an engine holds; 0: not stated
    bool         has_copies = false;   //  its engines copy a run's memory to another one
    std::optional<fleet_bounds> fleet; // none: its servers aren't ordered
    std::string health_path; // where a server says which one it is; empty: nowhere

    bool operator==(service const&) const = default;
};

/// Quota of a workspace over all VMs together: a rate and a burst, in tokens or calls.
struct workspace_quota
{
    std::int64_t rate = 0;  // 0  units per second
    std::int64_t burst = 0; // 0  further units, saved up while less than the rate is used
    bool         tokens = false;    // a unit is a token; otherwise a call
    std::int64_t default_units = 1; // 1  units of a call that states no tokens

    auto operator<=>(workspace_quota const&) const = default;
};

/// A workspace with its API keys, priority and quota.
struct workspace
{
    std::string              name;
    std::vector<std::string> keys;
    std::int64_t rank = -1; // -1  priority, overrides the route's; -1: the route's
    std::optional<workspace_quota> quota = std::nullopt; // none: no limit
    bool quota_valid = true; // true  false: the rule's quota is invalid

    bool operator==(workspace const&) const = default;
};

// 1048576  bytes of a head at most, whatever the rules state: a head is kept several
// times
//          over while its call runs
inline constexpr std::int64_t max_header_bytes = 1048576;

/// Limits on the size of a caller's requests and on the time to send them.
struct caller_limits
{
    std::int64_t header_bytes = 16384; // 16384  max. bytes of a request head
    std::int64_t body_bytes = 4194304; // 4194304  max. bytes of a request body
    millis       header_time{3000};    // 3000  ms from first to last byte of a head
    millis idle_time{15000}; // 15000  ms until a connection without a request is closed

    bool operator==(caller_limits const&) const = default;
};

/// A number in the rules that is of another type or out of its range.
struct number_fault
{
    std::string                 field;  // such as "services.m.scaling.max"
    std::string                 stated; // the first characters of what stands there
    std::optional<std::int64_t> used;   // in its place; none: as if it were absent

    auto operator<=>(number_fault const&) const = default;
};

/// One complete version of the rules, made by the rules decoder. It isn't changed once it
/// is shared between readers.
class serving_rules
{
public:
    serving_rules() = default;

    /// Indexes the routes by host and the workspaces by key. `keyed` says whether calls
    /// need a key.
    serving_rules(std::uint64_t version, std::vector<route> routes,
                  std::vector<service> services, std::vector<workspace> workspaces,
                  bool keyed, caller_limits limits,
                  std::vector<number_fault> faults = {});

    std::uint64_t version() const noexcept;
    bool          keyed() const noexcept; // calls need a key, except on open routes
    caller_limits const& limits() const noexcept;

    /// The route of `host` with the longest path prefix that `path` begins with; null if
    /// there is none.
    route const* find_route(std::string_view host, std::string_view path) const;

    /// The service of this name; null if there is none.
    service const* find_service(std::string_view name) const;

    /// The workspace that `key` belongs to; null if there is none.
    workspace const* find_workspace_by_key(std::string_view key) const;

    /// The workspace of this name; null if there is none.
    workspace const* find_workspace_by_name(std::string_view name) const;

    /// Replaces the quotas that are invalid in this version by those of `last`, and
    /// returns the names of their workspaces. Must be called before the rules are shared.
    std::vector<std::string> carry_over_quotas(serving_rules const& last);

    std::vector<route> const&     routes() const noexcept;
    std::vector<service> const&   services() const noexcept;
    std::vector<workspace> const& workspaces() const noexcept;

    /// What the decoder couldn't take as it is stated, in the order of the document.
    std::vector<number_fault> const& faults() const noexcept;

    bool operator==(serving_rules const& other) const;

private:
    std::uint64_t             version_ = 0;
    std::vector<route>        routes_;
    std::vector<service>      services_;
    std::vector<workspace>    workspaces_;
    bool                      keyed_ = false;
    caller_limits             limits_;
    std::vector<number_fault> faults_;
    std::map<std::string, std::vector<std::size_t>, std::less<>>
                                                    by_host_; // longest prefix first
    std::map<std::string, std::size_t, std::less<>> by_key_;
};

/// The target that `tie_break` selects. Evenly spread values of `tie_break` select the
/// targets in proportion to their weights. Null if the route has no target.
route_target const* pick_target(route const& value, std::uint64_t tie_break);

} // namespace marigoldcrank

#endif
