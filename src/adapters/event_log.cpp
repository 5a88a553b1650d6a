// Formats log lines and writes them without blocking.
#include "adapters/event_log.hpp"

#include <xxhash.h>

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>

namespace marigoldcrank
{

namespace
{

constexpr std::size_t pipe_atomic_bytes =
    4096; // a pipe that polls as writable accepts this many without blocking

bool needs_no_quotes(std::string_view value)
{
    return !value.empty() && std::all_of(value.begin(), value.end(),
                                         [](unsigned char letter)
                                         {
                                             return letter > ' ' && letter < 0x7f &&
                                                    letter != '"' && letter != '=' &&
                                                    letter != '\\';
                                         });
}

void append_quoted(std::string& out, std::string_view value)
{
    out.push_back('"');
    for (unsigned char const letter : value)
    {
        if (letter == '"' || letter == '\\')
        {
            out.push_back('\\');
            out.push_back(static_cast<char>(letter));
        }
        else if (letter < ' ' || letter >= 0x7f)
        {
            char code[5];
            std::snprintf(code, sizeof code, "\\x%02x", letter);
            out += code;
        }
        else
        {
            out.push_back(static_cast<char>(letter));
        }
    }
    out.push_back('"');
}

} // namespace

event_line::event_line(std::string_view event) : text_("ev=")
{
    text_ += event;
}

event_line& event_line::add(std::string_view name, std::string_view value)
{
    text_.push_back(' ');
    text_ += name;
    text_.push_back('=');
    if (needs_no_quotes(value))
    {
        text_ += value;
    }
    else
    {
        append_quoted(text_, value);
    }
    return *this;
}

event_line& event_line::add(std::string_view name, std::int64_t value)
{
    return add(name, std::to_string(value));
}

event_line& event_line::add(std::string_view name, boot_clock::duration value)
{
    return add(name, std::chrono::duration_cast<millis>(value).count());
}

std::string const& event_line::text() const noexcept
{
    return text_;
}

event_log::event_log(event_log_options options, int descriptor)
    : options_(options), descriptor_(descriptor)
{
}

bool event_log::sampled(std::string_view id) const noexcept
{
    return options_.sample > 0 && XXH3_64bits(id.data(), id.size()) %
                                          static_cast<std::uint64_t>(options_.sample) ==
                                      0;
}

bool event_log::admit(boot_clock::time_point now)
{
    if (now - second_start_ >= std::chrono::seconds{1})
    {
        second_start_ = now;
        lines_this_second_ = 0;
    }
    bool const admitted = lines_this_second_ < options_.lines_per_s &&
                          buffer_.size() < options_.buffer_bytes;
    lines_this_second_ += admitted ? 1 : 0;
    dropped_ += admitted ? 0 : 1;
    return admitted;
}

void event_log::write(event_line const& line, boot_clock::time_point now)
{
    if (!admit(now))
    {
        return;
    }
    buffer_ += "t=";
    buffer_ += std::to_string(unix_millis());
    buffer_.push_back(' ');
    buffer_ += line.text();
    buffer_.push_back('\n');
}

void event_log::write_step(std::string_view id, event_line const& line,
                           boot_clock::time_point now)
{
    if (sampled(id))
    {
        write(line, now);
    }
}

void event_log::flush(boot_clock::time_point now)
{
    if (dropped_ != reported_drops_ && lines_this_second_ < options_.lines_per_s)
    {
        auto const unreported = static_cast<std::int64_t>(dropped_ - reported_drops_);
        reported_drops_ = dropped_;
        write(event_line{"lines_dropped"}.add("count", unreported), now);
    }
    while (!buffer_.empty())
    {
        pollfd descriptor{descriptor_, POLLOUT, 0};
        if (::poll(&descriptor, 1, 0) != 1 || (descriptor.revents & POLLOUT) == 0)
        {
            return;
        }
        auto const written = ::write(descriptor_, buffer_.data(),
                                     std::min(buffer_.size(), pipe_atomic_bytes));
        if (written <= 0)
        {
            return; // the next flush tries again; the buffer is bounded
        }
        buffer_.erase(0, static_cast<std::size_t>(written));
    }
}

std::uint64_t event_log::dropped() const noexcept
{
    return dropped_;
}

} // namespace marigoldcrank
