// What the operators have put in force: routes, services, workspaces and limits.
//
// Index: 1 call_kind, 2 route, 3 service with fleet_bounds, 4 workspace with
//        workspace_quota, 5 caller_limits, 6 serving_rules
//
// Values only. An adapter fills them; the serving path looks things up in them.
#ifndef MARIGOLDCRANK_DOMAIN_SERVING_RULES_HPP
#define MARIGOLDCRANK_DOMAIN_SERVING_RULES_HPP

#include "domain/boot_clock.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace marigoldcrank
{

/// What may be done with a call whose outcome is unknown.
enum class call_kind
{
    idempotent,     // may run more than once
    non_idempotent, // runs at most once
    stream          // events; runs at most once unless the route is resumable
};

/// One branch of a split route.
struct route_target
{
    std::string  service;
    std::int64_t weight = 1; // share of the calls, against the sum of all branches

    auto operator<=>(route_target const&) const = default;
};

/// Where calls to one host below one path go, and how they may be treated.
struct route
{
    std::string               name;
    std::string               host;        // lower case, without port
    std::string               path_prefix; // begins and ends with a slash
    call_kind                 kind = call_kind::non_idempotent;
    std::vector<route_target> targets; //        one, or the branches of a split
    millis       timeout{0};           // 0      longest a caller is kept waiting; 0: none
    millis       objective{0};         // 0      to a whole answer or the first event
    millis       event_gap{0};         // 0      longest pause between two events
    std::int64_t max_servers = 1;      // 1   servers that one call may be sent to
    std::int64_t rank = 0;             // 0   most urgent first
    bool         open = false;         //     needs no key
    bool         resumable = false;    //   a stream may go on at another server

    bool operator==(route const&) const = default;
};

/// How many servers may be ordered for a service in each data centre.
struct fleet_bounds
{
    std::int64_t least = 0;
    std::int64_t most = 0;    // of both kinds together
    bool reclaimable = false; // cheap servers, which may be taken back, can be ordered

    auto operator<=>(fleet_bounds const&) const = default;
};

/// What all servers of a service have in common.
struct service
{
    std::string  name;
    std::int64_t connections = 0; // 0  most connections one server accepts; 0: not stated
    bool         has_engines = false; //  its servers are model engines
    millis       handle_life{0}; // 0  a prefilled prompt is kept this long at its engine
    std::optional<fleet_bounds> fleet; // none: its servers can't be ordered

    bool operator==(service const&) const = default;
};

/// What a workspace may ask for, over all VMs together.
struct workspace_quota
{
    std::int64_t rate = 0;       // 0  units a second
    std::int64_t burst = 0;      // 0  units besides, saved up while less is asked
    bool         tokens = false; //    a unit is a token; else a call
    std::int64_t unstated = 1;   // 1  units of a call that states no tokens

    auto operator<=>(workspace_quota const&) const = default;
};

/// A workspace and the keys that act for it.
struct workspace
{
    std::string                    name;
    std::vector<std::string>       keys;
    std::int64_t                   rank = -1; // -1  goes before the route's; -1: none
    std::optional<workspace_quota> quota = std::nullopt; // none: no limit
    bool quota_readable = true; // true  false: what was written can't be a quota

    bool operator==(workspace const&) const = default;
};

/// What a caller may send, and how long it may take.
struct caller_limits
{
    std::int64_t header_bytes = 16384; // 16384    of one request head
    std::int64_t body_bytes = 4194304; // 4194304  of one request body
    millis       header_time{3000}; // 3000     from the first byte of a head to its last
    millis       idle_time{15000};  // 15000    a connection without a request

    bool operator==(caller_limits const&) const = default;
};

/// One version of the rules, whole. Immutable once indexed; shared between readers.
class serving_rules
{
public:
    serving_rules() = default;

    /// Indexes routes by host and keys by text. `keyed` says whether calls need a key.
    serving_rules(std::uint64_t version, std::vector<route> routes,
                  std::vector<service> services, std::vector<workspace> workspaces,
                  bool keyed, caller_limits limits);

    std::uint64_t        version() const noexcept;
    bool                 keyed() const noexcept;
    caller_limits const& limits() const noexcept;

    /// The route of `host` with the longest prefix of `path`; null if there is none.
    route const* find_route(std::string_view host, std::string_view path) const;

    /// The service of this name; null if there is none.
    service const* find_service(std::string_view name) const;

    /// The workspace for which `key` acts; null if no workspace has it.
    workspace const* find_workspace(std::string_view key) const;

    /// The workspace of this name; null if there is none.
    workspace const* find_workspace_named(std::string_view name) const;

    /// Takes the quotas of `last` where those of this version can't be read, and gives
    /// the names of their workspaces. To be called before the rules are shared.
    std::vector<std::string> keep_quotas(serving_rules const& last);

    std::vector<route> const&     routes() const noexcept;
    std::vector<service> const&   services() const noexcept;
    std::vector<workspace> const& workspaces() const noexcept;

    bool operator==(serving_rules const& other) const;

private:
    std::uint64_t          version_ = 0;
    std::vector<route>     routes_;
    std::vector<service>   services_;
    std::vector<workspace> workspaces_;
    bool                   keyed_ = false;
    caller_limits          limits_;
    std::map<std::string, std::vector<std::size_t>, std::less<>>
                                                    by_host_; // longest first
    std::map<std::string, std::size_t, std::less<>> by_key_;
};

/// The branch of a split that `ticket` falls on; tickets spread evenly give the weights.
route_target const* pick_target(route const& value, std::uint64_t tie_break);

} // namespace marigoldcrank

#endif
