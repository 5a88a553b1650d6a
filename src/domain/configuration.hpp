// The operators' configuration: a rules file, parsed into values.
//
// Index: 1 rules by section, 2 configuration, 3 parse functions
//
// The file is INI text with one rule per line, `id = field=value field=value`; the
// section gives the kind of the rule. The comment line above a rule says who asked for
// it, and a rule without one is refused. README and examples/ show complete files.
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

/// [workspaces] A workspace with its share of the fleet and its token limit.
struct workspace_rule
{
    std::string  name;                  // the rule's id
    std::int64_t weight = 1;            // 1    relative share of the fleet under load
    std::int64_t tokens_per_minute = 0; // 0    limit over all entry VMs; 0: no limit
    std::string  requester;             //      who asked for the rule, from its comment

    bool operator==(workspace_rule const&) const = default;
};

/// [keys] An API key of a workspace, as the salted hash of its secret.
struct key_rule
{
    std::string id;        // public id of the key, also the rule's id
    std::string workspace; // workspace that calls with this key belong to
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

/// [services] A plain service and the group of servers that run it. Calls to paths below
/// `once` may not be sent twice.
struct service_rule
{
    std::string              name;
    std::string              group;
    std::vector<std::string> once; // path prefixes, comma-separated in the file
    std::string              requester;

    bool operator==(service_rule const&) const = default;
};

/// [targets] A latency target of a workspace, evaluated over a time window.
struct target_rule
{
    std::string  id;
    std::string  workspace;
    std::int64_t first_token_ms = 410;   // 410    max. time to the first token, ms
    std::int64_t between_tokens_ms = 75; // 75     max. time between tokens, ms
    std::int64_t percent = 95;           // 95     of requests that must meet both, %
    std::int64_t window_s = 300;         // 300    length of the evaluated window, s
    std::string  requester;

    bool operator==(target_rule const&) const = default;
};

/// [groups] How many backend servers a group has in each data centre, and whether they
/// check fencing numbers.
struct group_rule
{
    std::string  name;
    bool         checks_fencing = false; // no     engines refuse a lower fencing number
    std::int64_t least = 1;              // 1      min. backend servers per data centre
    std::int64_t most = 64;              // 64     max. backend servers per data centre
    std::int64_t cheap_percent = 0;      // 0      share of them that may be cheap, %
    std::string  requester;

    bool operator==(group_rule const&) const = default;
};

/// [roles] How many engines of a group each data centre keeps in the roles prefill and
/// decode; the others are mixed.
struct role_rule
{
    std::string  group;       // the rule's id
    std::int64_t prefill = 0; // 0      engines per data centre
    std::int64_t decode = 0;  // 0      engines per data centre
    std::string  requester;

    bool operator==(role_rule const&) const = default;
};

// 2. Configuration

/// An accepted rules file, made by parse_rules. It isn't changed once parsed; a node
/// replaces its configuration as a whole.
struct configuration
{
    std::uint64_t revision = 0; // log offset of the change that set it
    std::string   change_id;    // id of that change
    std::string   text;         // the accepted file
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
