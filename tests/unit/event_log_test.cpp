// Log lines: rate limit, quoting, sampling, and a log reader that stalls.
#include "adapters/event_log.hpp"

#include <gtest/gtest.h>

#include <fcntl.h>
#include <unistd.h>

namespace marigoldcrank
{
namespace
{

/// A pipe that is read only on request.
class test_pipe
{
public:
    test_pipe()
    {
        EXPECT_EQ(::pipe2(ends_, O_NONBLOCK), 0);
        ::fcntl(ends_[1], F_SETPIPE_SZ, 4096);
        ::fcntl(ends_[1], F_SETFL, 0); // a write to a full pipe would block
    }

    ~test_pipe()
    {
        ::close(ends_[0]);
        ::close(ends_[1]);
    }

    int write_end() const
    {
        return ends_[1];
    }

    std::string read_all()
    {
        std::string text;
        char        buffer[4096];
        for (auto count = ::read(ends_[0], buffer, sizeof buffer); count > 0;
             count = ::read(ends_[0], buffer, sizeof buffer))
        {
            text.append(buffer, static_cast<std::size_t>(count));
        }
        return text;
    }

private:
    int ends_[2]{};
};

boot_clock::time_point at(int second)
{
    return boot_clock::time_point{std::chrono::seconds{second}};
}

// The reader of the log stalls and the pipe fills. A log that blocks there would stop the
// daemon; it must drop lines, count them and continue.
TEST(event_log, stalled_reader_drops_lines_without_blocking)
{
    test_pipe pipe;
    event_log log({.lines_per_s = 100'000, .sample = 1, .buffer_bytes = 8192},
                  pipe.write_end());
    for (int line = 0; line < 2000; ++line)
    {
        log.write(event_line{"x"}.add("n", line), at(1));
        log.flush(at(1));
    }
    EXPECT_GT(log.dropped(), 1000U);
    for (int round = 0; round < 20; ++round)
    {
        pipe.read_all();
        log.flush(at(2));
    }
    log.flush(at(2));
    log.write(event_line{"after"}, at(2));
    log.flush(at(2));
    EXPECT_NE(pipe.read_all().find("ev=after"), std::string::npos);
}

TEST(event_log, lines_beyond_the_rate_limit_are_dropped_and_reported)
{
    test_pipe pipe;
    event_log log({.lines_per_s = 10, .sample = 1}, pipe.write_end());
    for (int line = 0; line < 50; ++line)
    {
        log.write(event_line{"x"}, at(1));
    }
    EXPECT_EQ(log.dropped(), 40U);
    log.write(event_line{"y"}, at(2));
    log.flush(at(2));
    EXPECT_NE(pipe.read_all().find("ev=lines_dropped count=40"), std::string::npos);
}

// A value from a header that contains a line break must not produce a line of its own.
TEST(event_log, values_can_not_inject_lines)
{
    event_line line{"end"};
    line.add("id", "a b\n ev=forged").add("empty", "").add("quote", "\"=\\");
    EXPECT_EQ(line.text(),
              "ev=end id=\"a b\\x0a ev=forged\" empty=\"\" quote=\"\\\"=\\\\\"");
}

TEST(event_log, sampling_of_a_call_is_the_same_in_every_log)
{
    event_log const one({.sample = 4});
    event_log const other({.sample = 4});
    int             sampled = 0;
    for (int id = 0; id < 1000; ++id)
    {
        auto const text = std::to_string(id);
        EXPECT_EQ(one.sampled(text), other.sampled(text));
        sampled += one.sampled(text) ? 1 : 0;
    }
    EXPECT_GT(sampled, 150);
    EXPECT_LT(sampled, 350);
}

} // namespace
} // namespace marigoldcrank
