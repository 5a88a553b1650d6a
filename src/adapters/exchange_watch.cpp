// Closes HTTP exchanges that have passed their deadline or bring too many bytes.
#include "adapters/exchange_watch.hpp"

#include "adapters/counted_client.hpp"

namespace marigoldcrank
{

namespace
{
constexpr millis check_interval{10}; // ms between two checks of all deadlines
} // namespace

exchange_watch::guard::guard(exchange_watch& watch, counted_client& client,
                             boot_clock::time_point deadline, std::int64_t most_bytes)
    : watch_(watch)
{
    std::lock_guard const lock(watch_.mutex_);
    position_ = watch_.entries_.emplace(watch_.entries_.end());
    position_->client = &client;
    position_->most_bytes = most_bytes;
    progress(deadline);
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

void exchange_watch::guard::allow(std::int64_t most_bytes) noexcept
{
    position_->counted_from = position_->client->received();
    position_->most_bytes = most_bytes;
}

void exchange_watch::guard::progress(boot_clock::time_point deadline) noexcept
{
    position_->counted_from = position_->client->received();
    move_deadline(deadline);
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
        // A new connection has received less than the one before it.
        auto const received = each.client->received();
        auto const from = each.counted_from.load();
        bool const too_long = received - (received < from ? 0 : from) > each.most_bytes;
        if (now >= each.deadline || too_long)
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
