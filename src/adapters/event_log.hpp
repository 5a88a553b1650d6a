// Structured log lines on standard output: rate-limited, sampled, never blocking.
//
// Index: 1 event_line, 2 event_log_options, 3 event_log
//
// A slow reader of the pipe must not block the serving path: lines wait in a bounded
// buffer, are written only while the pipe accepts them, and are counted when they are
// dropped.
#ifndef MARIGOLDCRANK_ADAPTERS_EVENT_LOG_HPP
#define MARIGOLDCRANK_ADAPTERS_EVENT_LOG_HPP

#include "domain/boot_clock.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace marigoldcrank
{

/// Builds one line in logfmt: `ev=refuse id=9c41 status=503`.
class event_line
{
public:
    explicit event_line(std::string_view event);

    /// A value that is empty or contains blanks, quotes, equals signs, backslashes,
    /// control bytes or bytes beyond ASCII is quoted and escaped.
    event_line& add(std::string_view name, std::string_view value);
    event_line& add(std::string_view name, std::int64_t value);
    event_line& add(std::string_view name, boot_clock::duration value); // in ms

    std::string const& text() const noexcept;

private:
    std::string text_;
};

struct event_log_options
{
    std::int64_t lines_per_s = 400;     // 400    lines/s; more are dropped and counted
    std::int64_t sample = 8;            // 8      one call in this many has all its lines
    std::size_t  buffer_bytes = 262144; // 262144 bytes waiting for the pipe's reader

    bool operator==(event_log_options const&) const = default;
};

/// Not thread-safe: one thread uses it and also calls `flush` a few times a second.
class event_log
{
public:
    explicit event_log(event_log_options options, int descriptor = 1);

    /// Whether all lines of the call with this id are written. The decision depends on
    /// the id alone and is the same on every VM with the same setting, so a sampled call
    /// can be followed through all of them.
    bool sampled(std::string_view id) const noexcept;

    /// Writes a line for every call, sampled or not, up to the limits: a refusal, a
    /// failure, or a change in what the VM assumes about the system.
    void write(event_line const& line, boot_clock::time_point now);

    /// Writes a line about a step of a call if the id is sampled.
    void write_step(std::string_view id, event_line const& line,
                    boot_clock::time_point now);

    /// Writes what the pipe accepts without blocking. If lines were dropped since the
    /// last report, a `lines_dropped` line states how many.
    void flush(boot_clock::time_point now);

    /// Lines dropped since the start.
    std::uint64_t dropped() const noexcept;

private:
    bool admit(boot_clock::time_point now);

    event_log_options      options_;
    int                    descriptor_;
    std::string            buffer_;
    boot_clock::time_point second_start_{};
    std::int64_t           lines_this_second_ = 0; // admitted in the current second
    std::uint64_t          dropped_ = 0;
    std::uint64_t          reported_drops_ = 0; // those that the log has reported
};

} // namespace marigoldcrank

#endif
