// Closes HTTP exchanges that have passed their deadline or bring too many bytes, from a
// thread of its own.
//
// Index: 1 exchange_watch, 2 exchange_watch::guard
#ifndef MARIGOLDCRANK_ADAPTERS_EXCHANGE_WATCH_HPP
#define MARIGOLDCRANK_ADAPTERS_EXCHANGE_WATCH_HPP

#include "domain/boot_clock.hpp"

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <list>
#include <memory>
#include <mutex>
#include <thread>

namespace marigoldcrank
{

class counted_client;

/// Enforces a deadline and a number of bytes on HTTP exchanges. A read timeout starts
/// again with every byte, so a server that trickles junk, or headers byte by byte, would
/// hold a caller beyond its deadline, and one that sends at full speed would take all
/// memory. The watch shuts the socket down then, whatever the reading thread waits for.
class exchange_watch
{
    struct entry;

public:
    /// Keeps one exchange registered with the watch during its lifetime.
    class guard
    {
    public:
        /// `most_bytes`: that the exchange may receive until it has made progress, with
        /// what arrives between two checks.
        guard(exchange_watch& watch, counted_client& client,
              boot_clock::time_point deadline, std::int64_t most_bytes);
        ~guard();
        guard(guard const&) = delete;
        guard& operator=(guard const&) = delete;

        /// Changes the deadline; takes no lock.
        void move_deadline(boot_clock::time_point deadline) noexcept;

        /// Sets how many bytes may come from now on; takes no lock.
        void allow(std::int64_t most_bytes) noexcept;

        /// Changes the deadline after progress: bytes count from now on.
        void progress(boot_clock::time_point deadline) noexcept;

        /// True if the watch has ended the exchange.
        bool expired() const noexcept;

        /// Ends the registration and returns true if the watch has ended this exchange.
        /// It must be called before the client goes to another user: a late stop would
        /// end that user's exchange.
        bool release();

    private:
        exchange_watch&            watch_;
        std::list<entry>::iterator position_;
        bool                       registered_ = true;
    };

    exchange_watch();
    ~exchange_watch();

private:
    struct entry
    {
        counted_client*              client = nullptr;
        std::atomic<std::int64_t>    most_bytes{0};
        std::atomic<std::int64_t>    counted_from{0}; // bytes received before
        std::atomic<boot_clock::rep> deadline{0};     // nanoseconds since boot
        std::atomic<bool>            expired{false};
    };

    void run();
    void stop_expired();

    std::mutex              mutex_;
    std::condition_variable changed_;
    std::list<entry>        entries_;
    bool                    stopping_ = false;
    std::thread             thread_;
};

} // namespace marigoldcrank

#endif
