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
    explicit quota_course(std::vector<std::string> candidates)
        : candidates_(std::move(candidates)), current_address_(first_unqueried())
    {
    }

    /// Whom to ask now; empty: nobody is left, or the question is decided.
    std::string const& address() const noexcept
    {
        return current_address_;
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
    void take(quota_reply reply, std::string const& known_owner = {})
    {
        auto const queried = std::exchange(current_address_, {});
        queried_.push_back(queried);
        decided_ = reply == quota_reply::decided;
        if (decided_ || queried_.size() >= max_queries)
        {
            return;
        }
        bool const declined = reply == quota_reply::declined;
        if (declined && known_owner.empty())
        {
            left_ = queried;
        }
        bool const ask_known_owner =
            declined && !known_owner.empty() && times_queried(known_owner) < 2;
        current_address_ = ask_known_owner ? known_owner : first_unqueried();
    }

private:
    // 3  questions for one call: to the home, to the next VM, to the home again
    static constexpr std::size_t max_queries = 3;

    std::ptrdiff_t times_queried(std::string const& address) const
    {
        return std::count(queried_.begin(), queried_.end(), address);
    }

    std::string first_unqueried() const
    {
        auto const found = std::find_if(candidates_.begin(), candidates_.end(),
                                        [&](std::string const& each)
                                        { return times_queried(each) == 0; });
        return found == candidates_.end() ? std::string{} : *found;
    }

    std::vector<std::string> candidates_;
    std::vector<std::string> queried_;
    std::string              current_address_;
    std::string              left_;
    bool                     decided_ = false;
};

} // namespace marigoldcrank

#endif
