// Which responses are the answer to the latest request of their connection.
#include "policy/response_match.hpp"

#include <gtest/gtest.h>

namespace marigoldcrank
{
namespace
{

// Additional bytes without an id were taken for the answer to the next request.
TEST(response_match, response_without_id_is_no_answer_on_a_kept_connection)
{
    EXPECT_EQ(match_response("a", "", false), response_match::stray);
    EXPECT_EQ(match_response("a", "", true), response_match::unproven);
}

TEST(response_match, id_of_the_request_makes_an_answer)
{
    for (bool const first : {true, false})
    {
        EXPECT_EQ(match_response("a", "a", first), response_match::answer);
        EXPECT_EQ(match_response("a", "b", first), response_match::stray);
        EXPECT_EQ(match_response("", "b", first), response_match::stray);
        EXPECT_EQ(match_response("", "", first), response_match::answer);
    }
}

} // namespace
} // namespace marigoldcrank
