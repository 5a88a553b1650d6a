// Parsers of rules, settings, peer messages and log records: they read back what was
// written, refuse invalid input, and no input makes them crash.
#include "domain/configuration.hpp"
#include "domain/settings.hpp"
#include "ledger/ledger.hpp"
#include "wire.pb.h"

#include <gtest/gtest.h>

// RapidCheck's header must follow GoogleTest's, which it uses without including it.
#include <rapidcheck/gtest.h>

namespace marigoldcrank
{
namespace
{

/// Whether `parse` succeeds.
template <class Parse>
bool parses(Parse&& parse)
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<bool>
        {
            BOOST_LEAF_CHECK(parse());
            return true;
        },
        [] { return false; });
}

/// Generates a word of characters that rule ids may have.
rc::Gen<std::string> word()
{
    return rc::gen::nonEmpty(
        rc::gen::container<std::string>(rc::gen::elementOf(std::string{"abcxyz019-"})));
}

RC_GTEST_PROP(rules_parser, any_bytes_never_crash, (std::string const& bytes))
{
    parses([&] { return parse_rules(bytes, "any"); });
}

RC_GTEST_PROP(rules_parser, reads_back_what_was_written, ())
{
    auto const  names = *rc::gen::unique<std::vector<std::string>>(word());
    std::string text = "[workspaces]\n";
    std::map<std::string, std::int64_t> weights;
    for (auto const& name : names)
    {
        weights[name] = *rc::gen::inRange<std::int64_t>(1, 10'001);
        text += "; asked for by A\n" + name +
                " = weight=" + std::to_string(weights[name]) + "\n";
    }
    auto const parsed = leaf::try_handle_all([&] { return parse_rules(text, "written"); },
                                             [] { return configuration{}; });
    RC_ASSERT(parsed.workspaces.size() == weights.size());
    for (auto const& [name, rule] : parsed.workspaces)
    {
        RC_ASSERT(rule.weight == weights.at(name));
        RC_ASSERT(rule.requester == "asked for by A");
    }
}

RC_GTEST_PROP(rules_parser, refuses_a_rule_without_requester_at_its_line, ())
{
    auto const blank_lines = *rc::gen::inRange(0, 20);
    auto const text = "[workspaces]\n" +
                      std::string(static_cast<std::size_t>(blank_lines), '\n') +
                      "north = weight=1\n";
    auto const line = leaf::try_handle_all(
        [&]() -> leaf::result<int>
        {
            BOOST_LEAF_CHECK(parse_rules(text, "file"));
            return 0;
        },
        [](rules_failure const& failure)
        {
            return failure.failures.at(0).fault == rule_fault::no_requester
                       ? failure.failures.at(0).line
                       : -1;
        },
        [] { return -2; });
    RC_ASSERT(line == blank_lines + 2);
}

RC_GTEST_PROP(settings_parser, any_bytes_never_crash, (std::string const& bytes))
{
    parses([&] { return parse_settings(bytes, "any"); });
}

RC_GTEST_PROP(settings_parser, reads_back_what_was_written, ())
{
    settings value;
    for (auto const& option : setting_options())
    {
        if (option.number != nullptr)
        {
            value.*option.number =
                *rc::gen::inRange<std::int64_t>(option.lowest, option.highest + 1);
        }
    }
    value.name = *word();
    auto const parsed = leaf::try_handle_all(
        [&] { return parse_settings(format_settings(value), "written"); },
        [] { return settings{}; });
    RC_ASSERT(parsed == value);
}

RC_GTEST_PROP(settings_parser, refuses_what_is_out_of_range, ())
{
    std::vector<setting_option> numbers;
    for (auto const& option : setting_options())
    {
        if (option.number != nullptr)
        {
            numbers.push_back(option);
        }
    }
    auto const option = *rc::gen::elementOf(numbers);
    auto const excess = *rc::gen::inRange<std::int64_t>(1, 1'000'000);
    auto const text = std::string{"["} + option.section + "]\n" + option.key + " = " +
                      std::to_string(option.highest + excess) + "\n";
    auto const key = leaf::try_handle_all(
        [&]() -> leaf::result<std::string>
        {
            BOOST_LEAF_CHECK(parse_settings(text, "file"));
            return std::string{};
        },
        [](setting_failure const& failure) {
            return failure.fault == setting_fault::out_of_range ? failure.key
                                                                : std::string{};
        },
        [] { return std::string{}; });
    RC_ASSERT(key == option.key);
}

RC_GTEST_PROP(log_records, any_bytes_never_crash, (std::string const& bytes))
{
    parses([&] { return parse_record(bytes); });
}

RC_GTEST_PROP(log_records, reads_back_what_was_written,
              (std::uint64_t epoch, std::uint64_t offset))
{
    wire::log_record record;
    record.set_record_id(*word());
    record.mutable_claim()->set_duty(*word());
    record.mutable_claim()->set_holder(*word());
    record.mutable_claim()->set_supersedes_epoch(epoch);
    record.mutable_claim()->set_after_offset(offset);
    auto const back =
        leaf::try_handle_all([&] { return parse_record(format_record(record)); },
                             [] { return wire::log_record{}; });
    RC_ASSERT(back.SerializeAsString() == record.SerializeAsString());
}

RC_GTEST_PROP(peer_messages, any_bytes_never_crash, (std::string const& bytes))
{
    wire::peer_message message;
    (void)message.ParseFromString(bytes);
}

RC_GTEST_PROP(peer_messages, reads_back_what_was_written, (std::uint64_t revision))
{
    wire::peer_message message;
    message.set_from(*word());
    message.mutable_beat()->set_config_revision(revision);
    wire::peer_message back;
    RC_ASSERT(back.ParseFromString(message.SerializeAsString()));
    RC_ASSERT(back.SerializeAsString() == message.SerializeAsString());
}

} // namespace
} // namespace marigoldcrank
