// Splitting of streams at the ends of events, and the longest event.
#include "serving/event_splitter.hpp"

#include <gtest/gtest.h>

namespace marigoldcrank
{
namespace
{

TEST(event_splitter, ends_of_events_are_found_wherever_the_bytes_are_split)
{
    for (std::string const event_end : {"\n\n", "\r\n\r\n", "\r\r", "\n\r\n"})
    {
        auto const text = "id: 7\ndata: one" + event_end;
        for (std::size_t at = 0; at <= text.size(); ++at)
        {
            event_splitter splitter;
            auto           bytes = splitter.feed(text.substr(0, at)).bytes;
            bytes += splitter.feed(text.substr(at)).bytes;
            EXPECT_EQ(bytes, text) << at;
            EXPECT_TRUE(splitter.rest().empty()) << at;
        }
    }
}

TEST(event_splitter, an_event_without_an_end_is_too_long_at_last)
{
    event_splitter    splitter;
    std::string const piece(1U << 16U, 'x');
    while (splitter.rest().size() < max_event_size)
    {
        EXPECT_FALSE(splitter.too_long());
        splitter.feed(piece);
    }
    EXPECT_FALSE(splitter.too_long());
    splitter.feed("x");
    EXPECT_TRUE(splitter.too_long());
    splitter.feed("\n\n");
    EXPECT_FALSE(splitter.too_long());
}

} // namespace
} // namespace marigoldcrank
