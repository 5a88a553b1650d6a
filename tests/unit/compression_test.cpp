// Records that are compressed on their way between VMs.
#include "adapters/compression.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace marigoldcrank::tests
{
namespace
{

RC_GTEST_PROP(compression, text_is_the_same_after_the_way, (std::string const& text))
{
    RC_ASSERT(expand(compress(text), text.size()) == text);
}

// A torn reply was taken for the rules.
TEST(compression, malformed_bytes_are_refused)
{
    auto const bytes = compress(std::string(5000, 'x'));
    EXPECT_TRUE(expand(bytes, 5000));
    EXPECT_FALSE(expand(bytes.substr(0, bytes.size() / 2), 5000));
    EXPECT_FALSE(expand("not compressed", 5000));
    EXPECT_FALSE(expand(bytes, 4999));
    EXPECT_FALSE(expand(bytes, 5001));
    EXPECT_FALSE(expand(bytes, std::size_t{1} << 40U));
}

} // namespace
} // namespace marigoldcrank::tests
