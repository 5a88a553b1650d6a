// Closes HTTP exchanges that have passed their deadline.
#include "adapters/exchange_watch.hpp"

#include <httplib.h>

namespace marigoldcrank
{

namespace
{
constexpr millis check_interval{10}; // ms between two checks of all deadlines
} // namespace

exchange_watch::guard::guard(exchange_watch& watch, httplib::Client& client,
                             boot_clock::time_point deadline)
    : watch_(watch)
{
    std::lock_guard const lock(watch_.mutex_);
    position_ = watch_.entries_.emplace(watch_.entries_.end());
    position_->client = &client;
    move_deadline(deadline);
    watch_.changed_.notify_one();
}

exchange_watch::guard::~guard()
{
    release();
}

bool exchange_watch::guard::release()
{
    std::lock_guard const lock(watch_.mutex_);
    if (!registered_)
    {
        return false;
    }
    bool const was_expired = position_->expired;
    watch_.entries_.erase(position_);
    registered_ = false;
    return was_expired;
}

void exchange_watch::guard::move_deadline(boot_clock::time_point deadline) noexcept
{
    position_->deadline = deadline.time_since_epoch().count();
}

bool exchange_watch::guard::expired() const noexcept
{
    return position_->expired;
}

exchange_watch::exchange_watch() : thread_([this] { run(); }) {}

exchange_watch::~exchange_watch()
{
    {
        std::lock_guard const lock(mutex_);
        stopping_ = true;
    }
    changed_.notify_one();
    thread_.join();
}

void exchange_watch::run()
{
    std::unique_lock lock(mutex_);
    while (!stopping_)
    {
        changed_.wait(lock, [&] { return stopping_ || !entries_.empty(); });
        stop_expired();
        changed_.wait_for(lock, check_interval, [&] { return stopping_; });
    }
}

void exchange_watch::stop_expired()
{
    auto const now = boot_clock::now().time_since_epoch().count();
    for (auto& each : entries_)
    {
        if (now >= each.deadline)
        {
            // Repeated on every tick: a stop between two steps of the library, before its
            // socket counts as in use, has no effect. While a client connects, stop()
            // waits for it, at most for the connection timeout.
            each.expired = true;
            each.client->stop();
        }
    }
}

} // namespace marigoldcrank
