// Tests of the fold of operators' drain orders.
#include "ledger/drain_fold.hpp"

#include "wire.pb.h"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

namespace marigoldcrank
{
namespace
{

wire::server_drain drain_of(std::string const& scope, std::string const& name, bool on)
{
    wire::server_drain record;
    record.set_scope(scope);
    record.set_name(name);
    record.set_drained(on);
    return record;
}

TEST(drain_fold, covers_a_server_by_its_id_or_data_centre)
{
    drain_fold fold;
    EXPECT_TRUE(fold.apply(1, drain_of("server", "engine-0", true)));
    EXPECT_TRUE(fold.apply(2, drain_of("data_centre", "dc-2", true)));
    EXPECT_TRUE(fold.value().covers({.id = "engine-0", .data_centre = "dc-1"}));
    EXPECT_TRUE(fold.value().covers({.id = "engine-1", .data_centre = "dc-2"}));
    EXPECT_FALSE(fold.value().covers({.id = "engine-1", .data_centre = "dc-1"}));
    EXPECT_TRUE(fold.apply(3, drain_of("server", "engine-0", false)));
    EXPECT_FALSE(fold.value().covers({.id = "engine-0", .data_centre = "dc-1"}));
}

TEST(drain_fold, drops_malformed_records)
{
    drain_fold fold;
    EXPECT_FALSE(fold.apply(1, drain_of("server", "", true)));
    EXPECT_FALSE(fold.apply(2, drain_of("region", "north", true)));
    EXPECT_EQ(fold, drain_fold{});
}

// A VM applies a peer's list and then reads the log from the start. The old records must
// not undo newer ones: the result is the same as from the log alone.
RC_GTEST_PROP(drain_fold, a_peers_list_and_the_log_agree,
              (std::vector<std::pair<bool, std::uint8_t>> const& changes))
{
    std::size_t const peer_index = changes.empty() ? 0 : changes.size() / 2;
    drain_fold        from_log;
    drain_fold        with_peer_list;
    auto const        record = [&](std::size_t index)
    {
        auto const& [on, name] = changes[index];
        return drain_of(name % 2 == 0 ? "server" : "data_centre",
                        "name-" + std::to_string(name % 5), on);
    };
    for (std::size_t index = 0; index < changes.size(); ++index)
    {
        from_log.apply(index + 1, record(index));
        if (index == peer_index)
        {
            with_peer_list.apply(to_message(from_log.value()));
        }
    }
    for (std::size_t index = 0; index < changes.size(); ++index)
    {
        with_peer_list.apply(index + 1, record(index));
    }
    RC_ASSERT(with_peer_list.value() == from_log.value());
}

} // namespace
} // namespace marigoldcrank
