// Queue that hands the tokens of one response from the engine thread to the caller
// thread.
//
// Index: 1 response_end, 2 response_batch, 3 response_stream
#ifndef MARIGOLDCRANK_APP_RESPONSE_STREAM_HPP
#define MARIGOLDCRANK_APP_RESPONSE_STREAM_HPP

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

/// How a response ended, and the tokens it is accounted with.
struct response_end
{
    std::optional<refusal> refused; // none: the response is complete
    std::uint64_t          prompt_tokens = 0;
    std::uint64_t          output_tokens = 0;

    bool operator==(response_end const&) const = default;
};

/// The tokens, and the end if it has come, since the previous read.
struct response_batch
{
    std::vector<std::string>    tokens;
    std::optional<response_end> end;
};

/// Thread-safe queue for exactly one producer thread and one consumer thread.
class response_stream
{
public:
    /// Producer: appends a token. Returns false once the caller has disconnected.
    bool push(std::string const& token)
    {
        {
            std::lock_guard const lock(mutex_);
            if (abandoned_)
            {
                return false;
            }
            pending_.tokens.push_back(token);
        }
        changed_.notify_one();
        return true;
    }

    /// Producer: ends the response. No token may be pushed afterwards.
    void finish(response_end const& end)
    {
        {
            std::lock_guard const lock(mutex_);
            pending_.end = end;
        }
        changed_.notify_one();
    }

    /// Consumer: waits for a token or the end. Returns an empty batch after the timeout.
    response_batch take(millis timeout)
    {
        std::unique_lock lock(mutex_);
        changed_.wait_for(lock, timeout,
                          [&] { return !pending_.tokens.empty() || pending_.end; });
        return std::exchange(pending_, {});
    }

    /// Consumer: marks that the caller has disconnected and runs the callback of
    /// `on_abandon` on this thread, so that an engine that never produces a token is
    /// cancelled too.
    void abandon()
    {
        std::function<void()> callback;
        {
            std::lock_guard const lock(mutex_);
            abandoned_ = true;
            callback = on_abandon_;
        }
        if (callback)
        {
            callback();
        }
    }

    /// Producer: sets the callback to run when the caller disconnects; it runs at once if
    /// that has already happened. An empty function removes the callback. A removed
    /// callback may still run once on another thread, since it runs outside the lock.
    void on_abandon(std::function<void()> const& callback)
    {
        bool already_abandoned = false;
        {
            std::lock_guard const lock(mutex_);
            on_abandon_ = callback;
            already_abandoned = abandoned_;
        }
        if (already_abandoned && callback)
        {
            callback();
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
    response_batch          pending_;
    bool                    abandoned_ = false;
    std::function<void()>   on_abandon_;
};

} // namespace marigoldcrank

#endif
