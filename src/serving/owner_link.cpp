// Queries to the owners of buckets, and replies.
//
// Index: 1 messages, 2 queries, 3 replies
#include "serving/owner_link.hpp"

#include "policy/owner_queries.hpp"
#include "serving/record_link.hpp"

#include <wire.pb.h>

#include <algorithm>
#include <utility>

namespace marigoldcrank
{

namespace asio = boost::asio;

// 1. Messages

namespace
{

// 1000  ms; a VM that has not replied is asked last for this time, unless another VM
//       knows it to be alive
constexpr millis      silence_backoff{1000};
constexpr char const* query_kind = "bucket";

bucket_answer answer_from(wire::bucket_reply const& reply)
{
    auto const last = static_cast<std::uint32_t>(bucket_outcome::declined);
    return {.outcome = static_cast<bucket_outcome>(std::min(reply.outcome(), last)),
            .retry_after = millis{reply.retry_after_ms()},
            .left = reply.left(),
            .owner = reply.owner()};
}

wire::bucket_question format_query(bucket_query const& query)
{
    wire::bucket_question message;
    message.set_key(query.key);
    message.set_units(query.units);
    message.set_left(query.left);
    message.set_kind(static_cast<std::uint32_t>(query.kind));
    message.set_rate(query.rate);
    return message;
}

bucket_query parse_query(wire::bucket_question const& message)
{
    return {.kind = static_cast<bucket_kind>(message.kind()),
            .key = message.key(),
            .units = message.units(),
            .rate = message.rate(),
            .left = message.left()};
}

} // namespace

// 2. Queries

owner_link::owner_link(asio::io_context& loop, zmq::context_t& context,
                       entry_state& state, record_link& records)
    : state_(state), queries_(loop, context, query_kind)
{
    records.reply_to_others(query_kind, [this](std::string const& serialized)
                            { return reply_to_vm(serialized); });
}

void owner_link::handle(bucket_kind kind, query_handler handler)
{
    handlers_[kind] = std::move(handler);
}

void owner_link::follow(std::vector<std::string> const& owners)
{
    owners_ = owners;
    auto const gone = [&](auto const& each)
    {
        return std::find(owners.begin(), owners.end(), each.first) == owners.end();
    };
    queries_.follow(owners);
    std::erase_if(backoff_until_, gone);
}

std::vector<std::string> owner_link::live_owners(boot_clock::time_point now) const
{
    std::vector<std::string> result;
    std::copy_if(owners_.begin(), owners_.end(), std::back_inserter(result),
                 [&](std::string const& each) { return state_.is_live(each, now); });
    return result;
}

std::vector<std::string> owner_link::order(std::string const& key) const
{
    auto const now = boot_clock::now();
    auto const silent = [&](std::string const& vm)
    {
        auto const found = backoff_until_.find(vm);
        return found != backoff_until_.end() && now < found->second;
    };
    // A VM whose digests are missing may still reply, since digests come through relays.
    auto const unreachability = [&](std::string const& vm)
    {
        return (silent(vm) ? 2 : 0) + (state_.is_live(vm, now) ? 0 : 1);
    };
    constexpr int unreachable = 3; // no digests and no replies
    auto          owners = rank_owners(key, owners_);
    std::erase_if(owners, [&](std::string const& each)
                  { return unreachability(each) == unreachable; });
    std::stable_sort(owners.begin(), owners.end(),
                     [&](std::string const& left, std::string const& right)
                     { return unreachability(left) < unreachability(right); });
    return owners;
}

asio::awaitable<std::optional<owner_decision>> owner_link::query(bucket_query request)
{
    owner_queries  queries{order(request.key)};
    owner_decision decision;
    while (!queries.address().empty())
    {
        decision.granted_by = queries.address();
        request.left = queries.left();
        auto const reply = co_await query_vm(decision.granted_by, request);
        decision.answer = reply.value_or(bucket_answer{});
        bool const declined = decision.answer.outcome == bucket_outcome::declined;
        queries.take(!reply     ? query_result::silent
                     : declined ? query_result::declined
                                : query_result::decided,
                     decision.answer.owner);
    }
    co_return queries.decided() ? std::optional{decision} : std::nullopt;
}

asio::awaitable<std::optional<bucket_answer>> owner_link::query_vm(std::string  address,
                                                                   bucket_query request)
{
    if (address == state_.contact.records)
    {
        co_return handle_query(request);
    }
    auto const number = queries_.next_number();
    auto       message = format_query(request);
    message.set_number(number);
    auto const bytes =
        co_await queries_.query(address, number, message.SerializeAsString());
    wire::bucket_reply reply;
    bool const         replied = bytes && reply.ParseFromString(*bytes);
    state_.counters.add(replied ? "quota_answers_total" : "quota_silences_total");
    if (!replied)
    {
        backoff_until_[address] = boot_clock::now() + silence_backoff;
        co_return std::nullopt;
    }
    backoff_until_.erase(address);
    co_return answer_from(reply);
}

void owner_link::give_back(bucket_query granted, std::string const& granted_by)
{
    granted.units = -granted.units;
    if (granted_by == state_.contact.records)
    {
        static_cast<void>(handle_query(granted));
        return;
    }
    queries_.send(granted_by, format_query(granted).SerializeAsString());
}

// 3. Replies

owner_view owner_link::view_for(bucket_query const& query) const
{
    auto const  now = boot_clock::now();
    auto const& own = state_.contact.records;
    owner_view  view{.stopping = state_.draining, .share = state_.fleet.value()};
    for (auto const& each : rank_owners(query.key, owners_))
    {
        view.listed = view.listed || each == own;
        bool const before =
            !view.listed && view.predecessor.empty() && each != query.left;
        view.predecessor = before && state_.is_live(each, now) ? each : view.predecessor;
    }
    return view;
}

bucket_answer owner_link::handle_query(bucket_query const& request) const
{
    auto const handler = handlers_.find(request.kind);
    return handler == handlers_.end() ? bucket_answer{} : handler->second(request);
}

std::string owner_link::reply_to_vm(std::string const& serialized)
{
    wire::bucket_question message;
    if (!message.ParseFromString(serialized))
    {
        state_.counters.add("quota_questions_unreadable_total");
        return "";
    }
    auto const answer = handle_query(parse_query(message));
    if (message.units() < 0)
    {
        return "";
    }
    wire::bucket_reply reply;
    reply.set_number(message.number());
    reply.set_outcome(static_cast<std::uint32_t>(answer.outcome));
    reply.set_retry_after_ms(static_cast<std::uint32_t>(answer.retry_after.count()));
    reply.set_left(answer.left);
    reply.set_owner(answer.owner);
    return reply.SerializeAsString();
}

} // namespace marigoldcrank
