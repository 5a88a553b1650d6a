// Reads the platform's log in order of offsets and folds its records into the ledger.
//
// Index: log_follower
//
// Records expire. A reader whose next record has expired continues from the first
// retained record without folding anything, until it finds a snapshot that covers all
// expired records; it restores the ledger from that snapshot.
#ifndef MARIGOLDCRANK_APP_LOG_FOLLOWER_HPP
#define MARIGOLDCRANK_APP_LOG_FOLLOWER_HPP

#include "adapters/logging.hpp"
#include "app/ledger_store.hpp"
#include "ports/platform_port.hpp"
#include "wire.pb.h"

#include <atomic>
#include <optional>
#include <thread>

namespace marigoldcrank
{

/// Runs one thread from construction to stop() or destruction.
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

    /// True if the ledger holds all records that were read; false during the search for a
    /// snapshot.
    bool synchronised() const noexcept
    {
        return !searching_;
    }

    /// First offset that the log still held at the last read.
    std::uint64_t first_retained() const noexcept
    {
        return first_retained_;
    }

    /// Reads one page and folds it; false if the log could not be read.
    bool read_once()
    {
        return leaf::try_handle_all(
            [&]() -> leaf::result<bool>
            {
                auto const next = store_.with_ledger([](ledger const& value)
                                                     { return value.next_offset(); });
                auto const from = searching_ ? search_from_ : next;
                BOOST_LEAF_AUTO(page, log_.read(from, wait_));
                first_retained_ = page.first_retained;
                searching_ ? search(page) : fold(page);
                return true;
            },
            [&](log_gap const& gap)
            {
                log_warning(
                    log_component::ledger,
                    "Records expired before they were read; searching for a snapshot.");
                search_from_ = gap.first_retained;
                searching_ = true;
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
    }

    /// Looks for a snapshot in a page. Folding records after the gap would give this node
    /// a ledger that differs from all others: it would take an expired lease for a free
    /// one and count usage twice.
    void search(log_page const& page)
    {
        auto offset = page.first;
        for (auto const& text : page.records)
        {
            if (auto const found = snapshot_in(text);
                found && covers(*found, offset, page.first_retained))
            {
                store_.restore(*found, boot_clock::now());
                searching_ = false;
                log_info(log_component::ledger, "Restored the ledger from a snapshot.");
                return;
            }
            ++offset;
        }
        search_from_ = offset;
    }

    static bool covers(wire::ledger_snapshot const& snapshot, std::uint64_t offset,
                       std::uint64_t first_retained)
    {
        return snapshot.through_offset() < offset &&
               snapshot.through_offset() + 1 >= first_retained;
    }

    static std::optional<wire::ledger_snapshot> snapshot_in(std::string const& text)
    {
        return leaf::try_handle_all(
            [&]() -> leaf::result<std::optional<wire::ledger_snapshot>>
            {
                BOOST_LEAF_AUTO(record, parse_record(text));
                if (!record.has_ledger())
                {
                    return std::nullopt;
                }
                return record.ledger();
            },
            [] { return std::optional<wire::ledger_snapshot>{}; });
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

    Log&                       log_;
    ledger_store&              store_;
    millis                     wait_;
    std::atomic<bool>          stopping_{false};
    std::atomic<bool>          reachable_{false};
    std::atomic<bool>          searching_{false};
    std::atomic<std::uint64_t> first_retained_{1};
    std::uint64_t              search_from_ = 1;
    std::thread                thread_;
};

} // namespace marigoldcrank

#endif
