// The calls under way at this VM, and their end in a planned stop.
//
// Index: running_calls
#ifndef MARIGOLDCRANK_SERVING_RUNNING_CALLS_HPP
#define MARIGOLDCRANK_SERVING_RUNNING_CALLS_HPP

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

namespace marigoldcrank
{

/// Used on the thread of the event loop only.
class running_calls
{
public:
    using end_function = std::function<void()>;

    /// Lists a call for the lifetime of this object.
    class place
    {
    public:
        /// `end` makes the call send its final response if it has none yet.
        place(running_calls& calls, end_function end)
            : calls_(calls), number_(calls.next_++)
        {
            calls_.ends_.emplace(number_, std::move(end));
        }

        ~place()
        {
            calls_.ends_.erase(number_);
        }

        place(place const&) = delete;
        place& operator=(place const&) = delete;

    private:
        running_calls& calls_;
        std::uint64_t  number_;
    };

    std::int64_t size() const noexcept
    {
        return static_cast<std::int64_t>(ends_.size());
    }

    /// Makes the calls without a response send their final one. From here on nothing is
    /// sent to a server.
    void end_all()
    {
        ended_ = true;
        for (auto const& [number, end] : ends_)
        {
            end();
        }
    }

    bool ended() const noexcept
    {
        return ended_;
    }

private:
    std::map<std::uint64_t, end_function> ends_; // by the order of arrival
    std::uint64_t                         next_ = 0;
    bool                                  ended_ = false;
};

} // namespace marigoldcrank

#endif
