// Reads the platform's log from offset to offset into the ledger store.
//
// Index: log_follower
#ifndef MARIGOLDCRANK_APP_LOG_FOLLOWER_HPP
#define MARIGOLDCRANK_APP_LOG_FOLLOWER_HPP

#include "adapters/logging.hpp"
#include "app/ledger_store.hpp"
#include "ports/platform_port.hpp"

#include <atomic>
#include <thread>

namespace marigoldcrank
{

/// One thread; ends with the object.
template <platform_log_port Log>
class log_follower
{
public:
    log_follower(Log& log, ledger_store& store, millis wait)
        : log_(log), store_(store), wait_(wait), thread_([this] { run(); })
    {
    }

    ~log_follower()
    {
        stop();
    }

    void stop()
    {
        stopping_ = true;
        if (thread_.joinable())
        {
            thread_.join();
        }
    }

    /// True while the last read succeeded.
    bool reachable() const noexcept
    {
        return reachable_;
    }

    /// Reads one page and folds it; false if the log could not be read.
    bool read_once()
    {
        return leaf::try_handle_all(
            [&]() -> leaf::result<bool>
            {
                auto const from = store_.with_ledger([](ledger const& value)
                                                     { return value.next_offset(); });
                BOOST_LEAF_AUTO(page, log_.read(from, wait_));
                fold(page);
                return true;
            },
            [&](log_gap const& gap)
            {
                log_warning(log_part::ledger, "Records expired unread.");
                store_.skip_to(gap.first_retained);
                return true;
            },
            [] { return false; });
    }

private:
    static constexpr millis retry_pause{100};

    void fold(log_page const& page)
    {
        auto offset = page.first;
        for (auto const& text : page.records)
        {
            store_.apply(offset, text, boot_clock::now());
            ++offset;
        }
        store_.forget_before(page.first_retained);
    }

    void run()
    {
        while (!stopping_)
        {
            reachable_ = read_once();
            if (!reachable_)
            {
                std::this_thread::sleep_for(retry_pause);
            }
        }
    }

    Log&              log_;
    ledger_store&     store_;
    millis            wait_;
    std::atomic<bool> stopping_{false};
    std::atomic<bool> reachable_{false};
    std::thread       thread_;
};

} // namespace marigoldcrank

#endif
