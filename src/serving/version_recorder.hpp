// Keeps the software versions of each service in the store, for VMs that start when no
// other is left.
//
// Index: version_recorder
#ifndef MARIGOLDCRANK_SERVING_VERSION_RECORDER_HPP
#define MARIGOLDCRANK_SERVING_VERSION_RECORDER_HPP

#include "ledger/version_entry.hpp"
#include "policy/version_records.hpp"
#include "ports/log_store_port.hpp"
#include "serving/entry_state.hpp"
#include "serving/loop_sleep.hpp"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace marigoldcrank
{

/// A VM reads the records when it starts, and again while they lack a service. The holder
/// of the duties writes them, under the condition that no other has since it read them.
template <log_store_port Store, class Codec>
class version_recorder
{
public:
    version_recorder(entry_state& state, Store& store) : state_(state), store_(store) {}

    /// Reads the records, and then writes changes while this VM holds the duties.
    boost::asio::awaitable<void> run()
    {
        while (true)
        {
            up_to_date_ = up_to_date_ && state_.holds_duties;
            auto const now = boot_clock::now();
            bool const wanted = state_.holds_duties || lacks_records();
            if (wanted && !up_to_date_ && now >= next_read_)
            {
                next_read_ = now + pause_;
                pause_ = std::min(pause_ * 2, max_pause);
                co_await read();
            }
            pause_ = state_.holds_duties ? min_pause : pause_;
            if (state_.holds_duties && up_to_date_)
            {
                co_await write(changes(boot_clock::now()));
            }
            co_await loop_sleep(look_interval);
        }
    }

    static std::string topic()
    {
        return "keyed.versions";
    }

private:
    static constexpr unsigned lane = 7;
    // 500 to 16000  ms; between reads of the records, doubled each time: after an update
    // from a release that kept none they lack services for a minute
    static constexpr millis min_pause{500};
    static constexpr millis max_pause{16'000};
    // 200   ms; between looks for changes
    static constexpr millis look_interval{200};

    /// Whether this VM may need a record that it doesn't have.
    bool lacks_records() const
    {
        auto const& known = state_.recorded_versions;
        auto const& listed = state_.servers.index().versions();
        return !state_.settings.first_start &&
               (!known || std::any_of(listed.begin(), listed.end(),
                                      [&](auto const& each)
                                      { return known->count(each.first) == 0; }));
    }

    boost::asio::awaitable<void> read()
    {
        version_records              stored;
        std::optional<std::uint64_t> end;
        std::string                  after;
        while (true)
        {
            auto        result = co_await store_.newest(lane, topic(), after);
            auto const* page = std::get_if<keyed_page>(&result);
            if (page == nullptr)
            {
                co_return;
            }
            for (auto const& record : page->records)
            {
                if (auto versions = parse_version_entry(record.value.value_or("")))
                {
                    stored.insert_or_assign(record.key, std::move(*versions));
                }
            }
            // A change behind the first page's end fails the next append.
            end = end.value_or(page->end);
            if (!page->more || page->records.empty())
            {
                break;
            }
            after = page->records.back().key;
        }
        state_.recorded_versions = std::move(stored);
        end_ = *end;
        up_to_date_ = true;
    }

    /// The records that differ from what this VM's list shows.
    version_records changes(boot_clock::time_point now)
    {
        version_records result;
        state_.record_versions(now);
        for (auto const& [service, counts] : state_.servers.index().versions())
        {
            auto const     span = state_.longest_patience(service);
            known_versions known{
                .recorded = recorded(service),
                .listed = state_.versions.versions_within(service, span, now),
                .followed = state_.settings.first_start ||
                            state_.versions.followed_for(service, span, now)};
            auto wanted = versions_to_record(known);
            if (wanted != known.recorded)
            {
                result.insert_or_assign(service, std::move(wanted));
            }
        }
        return result;
    }

    std::set<std::string> recorded(std::string const& service) const
    {
        auto const found = state_.recorded_versions->find(service);
        return found == state_.recorded_versions->end() ? std::set<std::string>{}
                                                        : found->second;
    }

    boost::asio::awaitable<void> write(version_records changed)
    {
        if (changed.empty())
        {
            co_return;
        }
        std::vector<std::string> texts;
        for (auto const& [service, versions] : changed)
        {
            texts.push_back(Codec::keyed_text(
                {.key = service, .value = format_version_entry(versions)}));
        }
        auto const  result = co_await store_.append(lane, topic(), texts, end_);
        auto const* offset = std::get_if<std::uint64_t>(&result);
        up_to_date_ = offset != nullptr;
        if (up_to_date_)
        {
            end_ = *offset + texts.size();
            for (auto& [service, versions] : changed)
            {
                state_.recorded_versions->insert_or_assign(service, std::move(versions));
            }
        }
        state_.log.write(event_line{"versions_recorded"}
                             .add("services", static_cast<std::int64_t>(texts.size()))
                             .add("first", changed.begin()->first)
                             .add("written", up_to_date_ ? 1 : 0),
                         boot_clock::now());
    }

    entry_state&           state_;
    Store&                 store_;
    std::uint64_t          end_ = 0; // of the topic, by the latest read or append
    bool                   up_to_date_ = false; // the records, for all that is known
    boot_clock::time_point next_read_{};
    millis                 pause_ = min_pause;
};

} // namespace marigoldcrank

#endif
