// Decides which software versions are kept on record for each service, for VMs that start
// when no other is left.
//
// Index: 1 version_records, 2 known_versions, 3 versions_to_record, 4 proves_only_version
//
// A list of servers shows who is there, not who has left. A version therefore stays on
// record until a VM has followed the list for as long as any stream of it may be taken up
// without seeing one of its servers. No clock has to survive a restart for that.
#ifndef MARIGOLDCRANK_POLICY_VERSION_RECORDS_HPP
#define MARIGOLDCRANK_POLICY_VERSION_RECORDS_HPP

#include <map>
#include <optional>
#include <set>
#include <string>

namespace marigoldcrank
{

/// By service: the versions that streams which may still be taken up may be of.
using version_records = std::map<std::string, std::set<std::string>>;

/// What is known of the versions of one service.
struct known_versions
{
    std::set<std::string> recorded;         // empty: there is no record
    std::set<std::string> listed;           // within the longest patience of a caller
    bool                  followed = false; // for so long, or since the first start
};

/// The versions of a service to keep on record. Empty if that can't be told: a first
/// record that lacks a version would be worse than none.
inline std::set<std::string> versions_to_record(known_versions const& known)
{
    if (known.listed.empty() || (!known.followed && known.recorded.empty()))
    {
        return known.recorded;
    }
    auto result = known.listed;
    if (!known.followed)
    {
        result.insert(known.recorded.begin(), known.recorded.end());
    }
    return result;
}

/// Whether the records show that no server of `service` had another version than
/// `version` for as long as a stream may be old. Without records nothing is shown.
inline bool proves_only_version(std::optional<version_records> const& records,
                                std::string const& service, std::string const& version)
{
    if (!records)
    {
        return false;
    }
    auto const found = records->find(service);
    return found != records->end() && found->second == std::set<std::string>{version};
}

} // namespace marigoldcrank

#endif
