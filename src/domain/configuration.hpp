// What operators configure: the rules file as values.
//
// Index: 1 rules by section, 2 configuration, 3 parse functions
//
// The file is INI text, one line a rule, `id = field=value field=value`. The comment line
// above a rule says who asked for it; a rule without one is refused. The section gives
// the kind of rule. README and examples/ show whole files.
#ifndef MARIGOLDCRANK_DOMAIN_CONFIGURATION_HPP
#define MARIGOLDCRANK_DOMAIN_CONFIGURATION_HPP

#include "domain/failure.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace marigoldcrank
{

// 1. Rules by section

/// [workspaces] A workspace and its share of the fleet.
struct workspace_rule
{
    std::string  name;                  // the rule's id
    std::int64_t weight = 1;            // 1    share of the fleet under load, relative
    std::int64_t tokens_per_minute = 0; // 0    limit over all entry VMs; 0 for none
    std::string  requester;             //      who asked, from the comment

    bool operator==(workspace_rule const&) const = default;
};

/// [keys] A key of a workspace; only its salted hash is known here.
struct key_rule
{
    std::string id;        // public part of the key
    std::string workspace; // whose requests it admits
    std::string salt;      // hexadecimal
    std::string hash;      // SHA-256 of salt and secret, hexadecimal
    std::string requester;

    bool operator==(key_rule const&) const = default;
};

/// [models] A model and the group of engines that serve it.
struct model_rule
{
    std::string name;
    std::string group;
    std::string requester;

    bool operator==(model_rule const&) const = default;
};

/// [services] A plain service; paths below `once` may not be repeated.
struct service_rule
{
    std::string              name;
    std::string              group;
    std::vector<std::string> once; // path prefixes, comma-separated in the file
    std::string              requester;

    bool operator==(service_rule const&) const = default;
};

/// [targets] A service target of a workspace, judged over a window.
struct target_rule
{
    std::string  id;
    std::string  workspace;
    std::int64_t first_token_ms = 410;   // 410    time to first token, ms
    std::int64_t between_tokens_ms = 75; // 75     time between tokens, ms
    std::int64_t percent = 95;           // 95     of requests that must meet both, %
    std::int64_t window_s = 300;         // 300    length of the judged window, s
    std::string  requester;

    bool operator==(target_rule const&) const = default;
};

/// [groups] How many backend servers a group keeps, and whether they check fencing.
struct group_rule
{
    std::string  name;
    bool         checks_fencing = false; // no     engines refuse a lower fencing number
    std::int64_t least = 1;              // 1      backend servers per data centre
    std::int64_t most = 64;              // 64     backend servers per data centre
    std::int64_t cheap_percent = 0;      // 0      of them that may be cheap, %
    std::string  requester;

    bool operator==(group_rule const&) const = default;
};

/// [roles] Engines of a group that each data centre keeps in a role; the others are
/// mixed.
struct role_rule
{
    std::string  group;       // the rule's id
    std::int64_t prefill = 0; // 0      engines per data centre
    std::int64_t decode = 0;  // 0      engines per data centre
    std::string  requester;

    bool operator==(role_rule const&) const = default;
};

// 2. Configuration

/// An accepted rules file. Immutable once parsed; nodes swap whole configurations.
struct configuration
{
    std::uint64_t                         revision = 0; // offset of its change in the log
    std::string                           change_id;
    std::string                           text; // the file as accepted
    std::map<std::string, workspace_rule> workspaces;
    std::map<std::string, key_rule>       keys;
    std::map<std::string, model_rule>     models;
    std::map<std::string, service_rule>   services;
    std::map<std::string, target_rule>    targets;
    std::map<std::string, group_rule>     groups;
    std::map<std::string, role_rule>      roles;

    bool operator==(configuration const&) const = default;
};

// 3. Parse functions

/// Parses a rules file. Fails with rules_failure, which lists every bad rule.
leaf::result<configuration> parse_rules(std::string const& text, std::string const& file);

} // namespace marigoldcrank

#endif
