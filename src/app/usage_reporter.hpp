// Reporter duty: seals usage windows in the log and reports their figures to the
// platform.
//
// Index: 1 format_window, 2 reporter_options, 3 usage_reporter
#ifndef MARIGOLDCRANK_APP_USAGE_REPORTER_HPP
#define MARIGOLDCRANK_APP_USAGE_REPORTER_HPP

#include "adapters/logging.hpp"
#include "app/lease_keeper.hpp"
#include "app/ledger_store.hpp"
#include "app/log_writer.hpp"
#include "ports/order_port.hpp"
#include "ports/platform_port.hpp"

#include <algorithm>
#include <string>
#include <vector>

namespace marigoldcrank
{

/// Formats the report of a window as JSON; every reporter produces the same bytes.
std::string format_window(sealed_window const& window);

/// Identity, timing and destination of reports.
struct reporter_options
{
    std::string holder;        //       node and incarnation
    millis      window{5000};  // 5000  length of a window
    millis      margin{500};   // 500   wait of a new holder for reports in flight
    std::string platform_host; //       destination of reports
    int         platform_port = 0;
};

/// Reports are sent as orders are: no byte is sent after the end of the lease, even if
/// the process is paused in between, and a new holder waits for reports that may be in
/// flight. Therefore no two processes report at once. `step` must be called by one thread
/// only.
template <platform_log_port Log, order_port Reports>
class usage_reporter
{
public:
    usage_reporter(log_writer<Log>& writer, ledger_store& store, Reports& reports,
                   lease_keeper<Log>& lease, reporter_options options)
        : writer_(writer), store_(store), reports_(reports), lease_(lease),
          options_(std::move(options))
    {
    }

    /// Seals the open window if that is due, then reports the sealed windows in order.
    void step(boot_clock::time_point now)
    {
        auto const held = lease_.held(now);
        if (!held)
        {
            return;
        }
        if (now - last_seal_ >= options_.window)
        {
            last_seal_ = now;
            seal(*held);
        }
        if (now - held->since >= options_.margin)
        {
            report_sealed();
            mark_reported(*held);
        }
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
        body->set_holder(options_.holder);
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
            // Reporting ends with the lease, even if sealed windows are left.
            auto const held = lease_.held(boot_clock::now());
            if (!held || !report(window, *held))
            {
                return;
            }
            reported_ = window.window;
        }
    }

    /// Records the last reported window, after which a new holder continues. If the
    /// record is lost or superseded, windows are only reported again with the same
    /// figures.
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
        body->set_holder(options_.holder);
        writer_.append(record, seal_timeout);
    }

    bool report(sealed_window const& window, held_lease const& held)
    {
        auto const          number = std::to_string(window.window);
        order_message const message{options_.platform_host, options_.platform_port,
                                    "/usage/" + number,     format_window(window),
                                    "window-" + number,     held.epoch};
        return leaf::try_handle_all(
            [&]() -> leaf::result<bool>
            {
                BOOST_LEAF_AUTO(response, reports_.send(message, held.valid_until));
                return response.status == status_ok;
            },
            [&]
            {
                log_warning(
                    log_component::usage,
                    "The platform did not accept a usage report; it will be retried.");
                return false;
            });
    }

    static constexpr millis seal_timeout{1000};
    static constexpr int    status_ok = 200;

    log_writer<Log>&       writer_;
    ledger_store&          store_;
    Reports&               reports_;
    lease_keeper<Log>&     lease_;
    reporter_options       options_;
    boot_clock::time_point last_seal_{};
    std::uint64_t          reported_ = 0;
};

} // namespace marigoldcrank

#endif
