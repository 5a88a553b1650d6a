// Bytes that a VM holds for callers and servers, their bounds, and which slow callers are
// ended.
//
// Index: 1 held_kind, 2 held_options, 3 held_memory, 4 held_share, 5 slow_rule,
//        6 unwritten_response, 7 rule_for, 8 choose_for_memory
//
// Responses that callers don't take and requests that servers don't read stay in the
// memory of a VM, and the smallest VM has 120 MB. Without a bound, some hundreds of slow
// callers would use up the memory, and the daemon would end with all its calls.
#ifndef MARIGOLDCRANK_POLICY_HELD_MEMORY_HPP
#define MARIGOLDCRANK_POLICY_HELD_MEMORY_HPP

#include "domain/boot_clock.hpp"
#include "domain/entry_settings.hpp"

#include <algorithm>
#include <array>
#include <cassert>
#include <cstdint>
#include <memory>
#include <utility>
#include <vector>

namespace marigoldcrank
{

/// What bytes are held for.
enum class held_kind
{
    requests, // bodies of requests, and their copies on the way to servers
    reading,  // plain responses, and events of streams, that aren't complete yet
    responses // responses not yet written to callers
};

inline constexpr std::array held_kinds{held_kind::requests, held_kind::reading,
                                       held_kind::responses};

/// The name of the kind for metrics.
constexpr char const* held_kind_name(held_kind value)
{
    switch (value)
    {
    case held_kind::requests:
        return "requests";
    case held_kind::reading:
        return "reading";
    case held_kind::responses:
        break;
    }
    return "responses";
}

struct held_options
{
    std::int64_t most = 31457280;          // 30 MiB  bytes held by the VM
    std::int64_t most_unwritten = 262144;  // 256 KiB  of a stream; then its server waits
    std::int64_t most_response = 16777216; // 16 MiB  plain response, event of a stream
    millis       stall{10000};       // 10000  ms; a caller that takes nothing is ended
    millis       full_stall{2000};   // 2000  ms; the same while its server waits
    millis       memory_stall{1000}; // 1000  ms; the same while the VM holds much
    millis       most_late{30000};   // 30000  ms after the deadline
    std::size_t  most_idle = 2000;   // 2000  connections that wait for a request
    double       wait_level = 0.75;  // 0.75  of `most`; above it new bodies wait

    bool operator==(held_options const&) const = default;
};

/// The options that the settings state, or that suit the VM's memory.
inline held_options held_options_for(entry_settings const& settings)
{
    constexpr std::int64_t bytes_per_mb = 1'000'000;
    constexpr std::int64_t smallest_vm = 120; // MB
    constexpr std::int64_t held_part = 4;
    // An idle connection takes about 8 kB, and all of them a sixteenth of the memory.
    constexpr std::int64_t idle_part = 16;
    constexpr std::int64_t idle_bytes = 8192;
    auto const             memory =
        (settings.memory > 0 ? settings.memory : smallest_vm) * bytes_per_mb;
    auto const idle = settings.idle_connections > 0 ? settings.idle_connections
                                                    : memory / idle_part / idle_bytes;
    constexpr std::int64_t spared_part = 4; // for the other calls
    constexpr std::int64_t longest_response = std::int64_t{16} << 20;
    auto const most = settings.held_bytes > 0 ? settings.held_bytes : memory / held_part;
    return {.most = most,
            .most_unwritten = settings.caller_bytes,
            .most_response = std::min(most - most / spared_part, longest_response),
            .stall = settings.caller_stall,
            .full_stall = settings.caller_full_stall,
            .most_idle = static_cast<std::size_t>(idle)};
}

class held_share;

/// Sums by kind. Pure: no I/O and no clock.
class held_memory
{
public:
    explicit held_memory(held_options options) : options_(options) {}

    held_options const& options() const noexcept
    {
        return options_;
    }

    void add(held_kind kind, std::int64_t bytes) noexcept
    {
        held_[static_cast<std::size_t>(kind)] += bytes;
        assert(held(kind) >= 0 && "remove only what was added");
    }

    std::int64_t held(held_kind kind) const noexcept
    {
        return held_[static_cast<std::size_t>(kind)];
    }

    std::int64_t sum() const noexcept
    {
        return held_[0] + held_[1] + held_[2];
    }

    /// Whether the VM may hold more.
    bool has_room() const noexcept
    {
        return sum() < options_.most;
    }

    /// Whether a new request may be read now.
    bool has_room_for_new() const noexcept
    {
        return static_cast<double>(sum()) <
               static_cast<double>(options_.most) * options_.wait_level;
    }

    /// Bytes above the level from which new bodies wait; 0 or less: none.
    std::int64_t excess() const noexcept
    {
        return sum() - static_cast<std::int64_t>(static_cast<double>(options_.most) *
                                                 options_.wait_level);
    }

    /// Unwritten bytes from which the reader of a stream waits for its caller.
    std::int64_t most_unwritten() const noexcept
    {
        return has_room() ? options_.most_unwritten : 0;
    }

    /// Whether the reader of a plain response leaves the rest unread for now; `reader`
    /// counts the bytes read so far. At the bound, unwritten responses leave by
    /// themselves, so it waits for them. Requests and responses that are being read leave
    /// only by reading on; all of these responses go on while they take less than half of
    /// the bound, and above that one of them, and those that are small so far.
    bool must_wait(held_share const& reader) noexcept
    {
        constexpr std::int64_t unwritten_part = 4;
        constexpr std::int64_t reading_part = 2;
        if (!has_room() && unwritten_part * held(held_kind::responses) >= options_.most)
        {
            return true;
        }
        if (reading_part * held(held_kind::reading) < options_.most ||
            (has_room() && is_small(reader)))
        {
            return false;
        }
        reads_on_ = reads_on_ == nullptr ? &reader : reads_on_;
        return reads_on_ != &reader;
    }

    /// Whether `reader` is one of several large responses that together leave new calls
    /// no room, and has had its share: it may have no end. Others wait behind it.
    bool must_end(held_share const& reader) const noexcept;

    /// Lets another reader go on in place of `reader`, which has ended.
    void end_reading(held_share const& reader) noexcept
    {
        reads_on_ = reads_on_ == &reader ? nullptr : reads_on_;
    }

private:
    bool is_small(held_share const& reader) const noexcept;

    held_options                options_;
    std::array<std::int64_t, 3> held_{};
    held_share const*           reads_on_ = nullptr; // the one reader; only compared
};

/// The bytes that one holder has; removes them from the sum on destruction.
class held_share
{
public:
    held_share(std::shared_ptr<held_memory> memory, held_kind kind)
        : memory_(std::move(memory)), kind_(kind)
    {
    }

    ~held_share()
    {
        set(0);
        memory_->end_reading(*this);
    }

    held_share(held_share const&) = delete;
    held_share& operator=(held_share const&) = delete;

    void set(std::int64_t bytes) noexcept
    {
        memory_->add(kind_, bytes - bytes_);
        bytes_ = bytes;
    }

    std::int64_t bytes() const noexcept
    {
        return bytes_;
    }

    held_memory const& memory() const noexcept
    {
        return *memory_;
    }

private:
    std::shared_ptr<held_memory> memory_;
    held_kind                    kind_;
    std::int64_t                 bytes_ = 0;
};

inline bool held_memory::is_small(held_share const& reader) const noexcept
{
    constexpr std::int64_t small_part = 256;
    return reader.bytes() * small_part < options_.most;
}

inline bool held_memory::must_end(held_share const& reader) const noexcept
{
    constexpr std::int64_t share_part = 6;
    constexpr std::int64_t reading_part = 2;
    auto const             reading = held(held_kind::reading);
    return reader.bytes() > options_.most_response ||
           (reader.bytes() * share_part > options_.most &&
            reading * reading_part >= options_.most && reading > reader.bytes());
}

/// Why a slow caller was ended.
enum class slow_rule
{
    none,
    stalled, // took nothing for too long
    full,    // the same, while its server waited
    memory,  // the same, while the VM held too much
    late     // still took bytes long after the call's deadline
};

/// The name of the rule for logs and metrics.
constexpr char const* slow_rule_name(slow_rule value)
{
    switch (value)
    {
    case slow_rule::stalled:
        return "stalled";
    case slow_rule::full:
        return "full";
    case slow_rule::memory:
        return "memory";
    case slow_rule::late:
        return "late";
    case slow_rule::none:
        break;
    }
    return "none";
}

/// What a caller hasn't taken yet.
struct unwritten_response
{
    std::int64_t bytes = 0;            // that the VM counts as held
    std::int64_t in_kernel = 0;        // written, but the caller has no room for them
    millis       stalled{0};           // since the caller last took bytes
    bool         server_waits = false; // the rest isn't read from the server
    std::int64_t rank = 0;             // of the call; 0 is the most urgent

    bool operator==(unwritten_response const&) const = default;
};

/// The rule that ends a caller, whatever the VM holds for others. It is ended sooner
/// while its server waits: a response that has been read to its end occupies no server.
constexpr slow_rule rule_for(unwritten_response const& response,
                             held_options const&       options)
{
    if (response.bytes + response.in_kernel == 0)
    {
        return slow_rule::none;
    }
    if (response.server_waits && response.stalled >= options.full_stall)
    {
        return slow_rule::full;
    }
    return response.stalled >= options.stall ? slow_rule::stalled : slow_rule::none;
}

/// Indices of the callers to end so that `excess` bytes come free: of those that have
/// taken nothing for some time, the least urgent first, then those with most bytes.
inline std::vector<std::size_t>
choose_for_memory(std::vector<unwritten_response> const& responses, std::int64_t excess,
                  held_options const& options)
{
    std::vector<std::size_t> order;
    for (std::size_t index = 0; index < responses.size(); ++index)
    {
        if (responses[index].bytes > 0 &&
            responses[index].stalled >= options.memory_stall)
        {
            order.push_back(index);
        }
    }
    std::sort(
        order.begin(), order.end(),
        [&](std::size_t left, std::size_t right)
        {
            auto const& one = responses[left];
            auto const& other = responses[right];
            return std::pair{one.rank, one.bytes} > std::pair{other.rank, other.bytes};
        });
    std::size_t chosen = 0;
    while (chosen < order.size() && excess > 0)
    {
        excess -= responses[order[chosen]].bytes;
        ++chosen;
    }
    order.resize(chosen);
    return order;
}

} // namespace marigoldcrank

#endif
