// Fold of configuration changes.
#include "ledger/configuration_fold.hpp"

#include "wire.pb.h"

namespace marigoldcrank
{

bool configuration_fold::apply(std::uint64_t offset, wire::config_change const& change)
{
    // A repeated id is the operator's tool settling a lost answer, not a second change.
    if (verdicts_.count(change.change_id()) != 0)
    {
        return false;
    }
    // A node that took its configuration from a peer reads older changes afterwards: the
    // offset guard keeps it from stepping below the revision that it already serves.
    bool const older_than_held = offset <= revision_;
    if (older_than_held || change.base_revision() != revision_)
    {
        bool const held = change.change_id() == change_id_;
        verdicts_[change.change_id()] =
            held ? change_verdict::accepted : change_verdict::conflict;
        return false;
    }
    revision_ = offset;
    change_id_ = change.change_id();
    rules_ = change.rules();
    author_ = change.author();
    verdicts_[change_id_] = change_verdict::accepted;
    return true;
}

bool configuration_fold::apply(wire::config_snapshot const& snapshot)
{
    if (snapshot.revision() <= revision_)
    {
        return false;
    }
    revision_ = snapshot.revision();
    change_id_ = snapshot.change_id();
    rules_ = snapshot.rules();
    author_ = snapshot.author();
    verdicts_[change_id_] = change_verdict::accepted;
    return true;
}

bool configuration_fold::apply(wire::key_withdrawal const& withdrawal)
{
    auto const [place, added] =
        withdrawn_.emplace(withdrawal.key_id(), withdrawal.compromised());
    bool const worse = withdrawal.compromised() && !place->second;
    place->second = place->second || withdrawal.compromised();
    return added || worse;
}

std::uint64_t configuration_fold::revision() const noexcept
{
    return revision_;
}

std::string const& configuration_fold::rules() const noexcept
{
    return rules_;
}

std::string const& configuration_fold::change_id() const noexcept
{
    return change_id_;
}

std::string const& configuration_fold::author() const noexcept
{
    return author_;
}

std::map<std::string, bool> const& configuration_fold::withdrawn_keys() const noexcept
{
    return withdrawn_;
}

change_verdict configuration_fold::verdict(std::string const& change_id) const
{
    auto const found = verdicts_.find(change_id);
    return found == verdicts_.end() ? change_verdict::unknown : found->second;
}

} // namespace marigoldcrank
