// Structured log lines on standard output: bounded, sampled, never blocking.
//
// Index: 1 event_line, 2 event_log_options, 3 event_log
//
// A reader of the pipe that stalls must not stall the serving path: lines wait in a
// bounded buffer, are written only while the pipe takes them, and are counted once they
// are dropped.
#ifndef MARIGOLDCRANK_ADAPTERS_EVENT_LOG_HPP
#define MARIGOLDCRANK_ADAPTERS_EVENT_LOG_HPP

#include "domain/boot_clock.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace marigoldcrank
{

/// One line in the making, in logfmt: `ev=refuse id=9c41 status=503`.
class event_line
{
public:
    explicit event_line(std::string_view event);

    /// Text with blanks, quotes, equals signs or control bytes is quoted and escaped.
    event_line& add(std::string_view name, std::string_view value);
    event_line& add(std::string_view name, std::int64_t value);
    event_line& add(std::string_view name, boot_clock::duration value); // in ms

    std::string const& text() const noexcept;

private:
    std::string text_;
};

struct event_log_options
{
    std::int64_t lines_per_s = 400;     // 400    most lines a second; more are counted
    std::int64_t sample = 8;            // 8      one call in so many has all its lines
    std::size_t  buffer_bytes = 262144; // 262144 waiting for the reader of the pipe

    bool operator==(event_log_options const&) const = default;
};

/// Used by one thread, which also calls `flush` a few times a second.
class event_log
{
public:
    explicit event_log(event_log_options options, int descriptor = 1);

    /// Whether all lines of the call with this id are written. The same on every VM, so a
    /// sampled call can be followed through all of them.
    bool sampled(std::string_view id) const noexcept;

    /// A refusal, a failure or a change of belief: written up to the bound.
    void write(event_line const& line, boot_clock::time_point now);

    /// A step of a call: written for sampled ids only.
    void write_step(std::string_view id, event_line const& line,
                    boot_clock::time_point now);

    /// Hands to the pipe what it takes at once.
    void flush(boot_clock::time_point now);

    std::uint64_t dropped() const noexcept;

private:
    bool admit(boot_clock::time_point now);

    event_log_options      options_;
    int                    descriptor_;
    std::string            waiting_;
    boot_clock::time_point second_{};
    std::int64_t           lines_ = 0; // in this second
    std::uint64_t          dropped_ = 0;
    std::uint64_t          told_ = 0; // dropped lines that a line has told of
};

} // namespace marigoldcrank

#endif
