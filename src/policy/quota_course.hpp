// Whom a VM asks for units of a quota, one after the other.
//
// Index: 1 quota_reply, 2 quota_course
#ifndef MARIGOLDCRANK_POLICY_QUOTA_COURSE_HPP
#define MARIGOLDCRANK_POLICY_QUOTA_COURSE_HPP

#include <algorithm>
#include <cstddef>
#include <string>
#include <utility>
#include <vector>

namespace marigoldcrank
{

enum class quota_reply
{
    decided, // granted, or over the quota
    declined,
    silent
};

/// The questions of one call. Failure guarded against: a lost packet makes two VMs keep
/// one quota, so a silent home is asked once more if the next VM knows it to live.
class quota_course
{
public:
    /// `order`: addresses of VMs that are heard and may keep the quota, the home first.
    explicit quota_course(std::vector<std::string> order)
        : order_(std::move(order)), asked_now_(first_not_asked())
    {
    }

    /// Whom to ask now; empty: nobody is left, or the question is decided.
    std::string const& address() const noexcept
    {
        return asked_now_;
    }

    bool decided() const noexcept
    {
        return decided_;
    }

    /// A VM that has said that it stops; empty: none.
    std::string const& left() const noexcept
    {
        return left_;
    }

    /// `named`: the home that a declining VM knows; empty: it stops.
    void take(quota_reply reply, std::string const& named = {})
    {
        auto const asked = std::exchange(asked_now_, {});
        asked_.push_back(asked);
        decided_ = reply == quota_reply::decided;
        if (decided_ || asked_.size() >= most_questions)
        {
            return;
        }
        bool const declined = reply == quota_reply::declined;
        if (declined && named.empty())
        {
            left_ = asked;
        }
        bool const leads_on = declined && !named.empty() && times_asked(named) < 2;
        asked_now_ = leads_on ? named : first_not_asked();
    }

private:
    // 3  questions for one call: to the home, to the next VM, to the home again
    static constexpr std::size_t most_questions = 3;

    std::ptrdiff_t times_asked(std::string const& address) const
    {
        return std::count(asked_.begin(), asked_.end(), address);
    }

    std::string first_not_asked() const
    {
        auto const found =
            std::find_if(order_.begin(), order_.end(),
                         [&](std::string const& each) { return times_asked(each) == 0; });
        return found == order_.end() ? std::string{} : *found;
    }

    std::vector<std::string> order_;
    std::vector<std::string> asked_;
    std::string              asked_now_;
    std::string              left_;
    bool                     decided_ = false;
};

} // namespace marigoldcrank

#endif
