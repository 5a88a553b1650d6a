// The reporter's duty: seals usage windows in the log and reports sealed figures.
//
// Index: usage_reporter, format_window
#ifndef MARIGOLDCRANK_APP_USAGE_REPORTER_HPP
#define MARIGOLDCRANK_APP_USAGE_REPORTER_HPP

#include "adapters/logging.hpp"
#include "app/lease_keeper.hpp"
#include "app/ledger_store.hpp"
#include "app/log_writer.hpp"
#include "ports/platform_port.hpp"

#include <algorithm>
#include <string>
#include <vector>

namespace marigoldcrank
{

/// The body of a window's report, the same from every reporter.
std::string format_window(sealed_window const& window);

/// `step` is called by one thread.
template <platform_log_port Log, usage_report_port Reports>
class usage_reporter
{
public:
    usage_reporter(log_writer<Log>& writer, ledger_store& store, Reports& reports,
                   lease_keeper<Log>& lease, std::string holder, millis window)
        : writer_(writer), store_(store), reports_(reports), lease_(lease),
          holder_(std::move(holder)), window_(window)
    {
    }

    /// Seals the open window if it is due, then reports sealed windows in order.
    void step(boot_clock::time_point now)
    {
        auto const held = lease_.held(now);
        if (!held)
        {
            return;
        }
        if (now - last_seal_ >= window_)
        {
            last_seal_ = now;
            seal(*held);
        }
        report_sealed();
        mark_reported(*held);
    }

private:
    void seal(held_lease const& held)
    {
        auto const empty = store_.with_ledger([](ledger const& value)
                                              { return value.usage().open().empty(); });
        if (empty)
        {
            return;
        }
        wire::log_record record;
        auto*            body = record.mutable_seal();
        body->set_window(store_.with_ledger([](ledger const& value)
                                            { return value.usage().last_sealed(); }) +
                         1);
        body->set_epoch(held.epoch);
        body->set_holder(holder_);
        body->set_ended_at_unix_ms(unix_millis());
        writer_.append(record, seal_timeout);
    }

    void report_sealed()
    {
        auto const windows = store_.with_ledger(
            [&](ledger const& value)
            {
                std::vector<sealed_window> result;
                auto const&                sealed = value.usage().sealed();
                reported_ = std::max(reported_, value.usage().last_reported());
                for (auto at = sealed.upper_bound(reported_); at != sealed.end(); ++at)
                {
                    result.push_back(at->second);
                }
                return result;
            });
        for (auto const& window : windows)
        {
            // Reports stop with the lease, even in the middle of a backlog.
            if (!lease_.held(boot_clock::now()) || !report(window))
            {
                return;
            }
            reported_ = window.window;
        }
    }

    /// The mark says from where a successor goes on. One that is lost or loses its race
    /// only costs repeats with the same figures.
    void mark_reported(held_lease const& held)
    {
        auto const marked = store_.with_ledger([](ledger const& value)
                                               { return value.usage().last_reported(); });
        if (reported_ <= marked)
        {
            return;
        }
        wire::log_record record;
        auto*            body = record.mutable_reported();
        body->set_window(reported_);
        body->set_epoch(held.epoch);
        body->set_holder(holder_);
        writer_.append(record, seal_timeout);
    }

    bool report(sealed_window const& window)
    {
        return leaf::try_handle_all(
            [&]() -> leaf::result<bool>
            {
                BOOST_LEAF_CHECK(
                    reports_.report_usage(window.window, format_window(window)));
                return true;
            },
            [&]
            {
                log_warning(log_part::usage, "Report of a window failed; will retry.");
                return false;
            });
    }

    static constexpr millis seal_timeout{1000};

    log_writer<Log>&       writer_;
    ledger_store&          store_;
    Reports&               reports_;
    lease_keeper<Log>&     lease_;
    std::string            holder_;
    millis                 window_;
    boot_clock::time_point last_seal_{};
    std::uint64_t          reported_ = 0;
};

} // namespace marigoldcrank

#endif
