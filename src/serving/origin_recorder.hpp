// Keeps in the store what began the streams under way, for VMs that start when no other
// is left.
//
// Index: origin_recorder
#ifndef MARIGOLDCRANK_SERVING_ORIGIN_RECORDER_HPP
#define MARIGOLDCRANK_SERVING_ORIGIN_RECORDER_HPP

#include "ports/log_store_port.hpp"
#include "serving/entry_state.hpp"
#include "serving/loop_sleep.hpp"
#include "serving/origin_link.hpp"

#include <algorithm>
#include <set>
#include <string>
#include <vector>

namespace marigoldcrank
{

/// Each VM writes a record of its own open streams, while their service has servers of
/// several versions or had them within a stream's life. A record is replaced as a whole,
/// so what a VM reads at its start is bounded by the streams that were under way.
template <log_store_port Store, class Codec>
class origin_recorder
{
public:
    origin_recorder(entry_state& state, Store& store) : state_(state), store_(store) {}

    /// Reads the records if streams of several versions may be under way, and then writes
    /// this VM's.
    boost::asio::awaitable<void> run()
    {
        bool answered = state_.settings.first_start;
        while (!answered)
        {
            if (state_.recorded_versions)
            {
                answered = co_await read();
            }
            if (!answered)
            {
                co_await loop_sleep(read_retry);
            }
        }
        state_.origins_read = true;
        while (true)
        {
            auto const now = boot_clock::now();
            auto       streams = state_.open.of_services(services_of_several(now), now);
            auto       keys = keys_of(streams);
            if (keys != written_ && co_await write(streams))
            {
                written_ = std::move(keys);
            }
            co_await loop_sleep(write_interval());
        }
    }

    static std::string topic()
    {
        return "keyed.origins";
    }

private:
    static constexpr unsigned lane = 8;
    // 100   ms; between attempts to read the records
    static constexpr millis read_retry{100};
    // 200   ms; shortest time between two records of a VM
    static constexpr millis min_write_interval{200};
    // 25    ms; the same for each VM of the fleet: 40 appends a second by all of them
    static constexpr millis write_interval_per_vm{25};

    millis write_interval() const
    {
        return std::max(min_write_interval, write_interval_per_vm * state_.known_vms);
    }

    std::set<std::string> services_of_several(boot_clock::time_point now)
    {
        std::set<std::string> result;
        for (auto const& [service, counts] : state_.servers.index().versions())
        {
            if (state_.versions.mixed(service, state_.stream_span(service, millis{0}),
                                      now))
            {
                result.insert(service);
            }
        }
        return result;
    }

    static std::set<std::uint64_t> keys_of(std::vector<origin_record> const& streams)
    {
        std::set<std::uint64_t> result;
        for (auto const& each : streams)
        {
            result.insert(each.key);
        }
        return result;
    }

    /// Whether the records show that each service had one version lately.
    bool one_version_each() const
    {
        auto const& records = *state_.recorded_versions;
        return !records.empty() &&
               std::all_of(records.begin(), records.end(),
                           [](auto const& each) { return each.second.size() == 1; });
    }

    boost::asio::awaitable<bool> read()
    {
        std::string after;
        while (!one_version_each())
        {
            auto        result = co_await store_.newest(lane, topic(), after);
            auto const* page = std::get_if<keyed_page>(&result);
            if (page == nullptr)
            {
                co_return false;
            }
            for (auto const& record : page->records)
            {
                merge(record);
            }
            if (!page->more || page->records.empty())
            {
                break;
            }
            after = page->records.back().key;
        }
        co_return true;
    }

    /// Goes on with the record of this VM's earlier life, which others may still need.
    void merge(keyed_record const& record)
    {
        auto const now = boot_clock::now();
        for (auto const& each : parse_origins(record.value.value_or("")))
        {
            state_.origins.record(each, now);
            if (record.key == state_.settings.name)
            {
                state_.open.begin(each, now);
            }
        }
    }

    boost::asio::awaitable<bool> write(std::vector<origin_record> const& streams)
    {
        keyed_record record{.key = state_.settings.name};
        if (!streams.empty())
        {
            record.value = format_origins(streams);
        }
        std::vector<std::string> const texts{Codec::keyed_text(record)};
        auto const result = co_await store_.append(lane, topic(), texts, std::nullopt);
        bool const done = std::holds_alternative<std::uint64_t>(result);
        state_.counters.add("origin_appends_total",
                            done ? "outcome=\"done\"" : "outcome=\"failed\"");
        co_return done;
    }

    entry_state&            state_;
    Store&                  store_;
    std::set<std::uint64_t> written_; // streams of the latest record
};

} // namespace marigoldcrank

#endif
