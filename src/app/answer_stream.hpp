// Tokens on their way from an engine's thread to the caller's thread.
//
// Index: 1 answer_end, 2 answer_batch, 3 answer_stream
#ifndef MARIGOLDCRANK_APP_ANSWER_STREAM_HPP
#define MARIGOLDCRANK_APP_ANSWER_STREAM_HPP

#include "domain/boot_clock.hpp"
#include "domain/failure.hpp"

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace marigoldcrank
{

/// How an answer ended: whole, or with a refusal.
struct answer_end
{
    std::optional<refusal> refused; // none: the answer is whole
    std::uint64_t          prompt_tokens = 0;
    std::uint64_t          output_tokens = 0;

    bool operator==(answer_end const&) const = default;
};

/// All that came since the last look.
struct answer_batch
{
    std::vector<std::string>  tokens;
    std::optional<answer_end> end;
};

/// One producer, one consumer.
class answer_stream
{
public:
    /// Producer: false once the caller has left.
    bool push(std::string const& token)
    {
        {
            std::lock_guard const lock(mutex_);
            if (abandoned_)
            {
                return false;
            }
            waiting_.tokens.push_back(token);
        }
        changed_.notify_one();
        return true;
    }

    /// Producer: nothing may be pushed afterwards.
    void finish(answer_end const& end)
    {
        {
            std::lock_guard const lock(mutex_);
            waiting_.end = end;
        }
        changed_.notify_one();
    }

    /// Consumer: waits for a token or the end; an empty batch after the timeout.
    answer_batch take(millis timeout)
    {
        std::unique_lock lock(mutex_);
        changed_.wait_for(lock, timeout,
                          [&] { return !waiting_.tokens.empty() || waiting_.end; });
        return std::exchange(waiting_, {});
    }

    /// Consumer: the caller has left. The producer's `on_abandon` runs on this thread, so
    /// that an engine which gives no token at all is told as well.
    void abandon()
    {
        std::function<void()> notify;
        {
            std::lock_guard const lock(mutex_);
            abandoned_ = true;
            notify = on_abandon_;
        }
        if (notify)
        {
            notify();
        }
    }

    /// Producer: what to do when the caller leaves; runs at once if it has left. Empty to
    /// forget. May run once more after it was forgotten, on another thread.
    void on_abandon(std::function<void()> const& notify)
    {
        bool left = false;
        {
            std::lock_guard const lock(mutex_);
            on_abandon_ = notify;
            left = abandoned_;
        }
        if (left && notify)
        {
            notify();
        }
    }

    bool abandoned() const
    {
        std::lock_guard const lock(mutex_);
        return abandoned_;
    }

private:
    mutable std::mutex      mutex_;
    std::condition_variable changed_;
    answer_batch            waiting_;
    bool                    abandoned_ = false;
    std::function<void()>   on_abandon_;
};

} // namespace marigoldcrank

#endif
