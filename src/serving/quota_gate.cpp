// Queries to the owners of quotas, and replies as an owner.
//
// Index: 1 cost, 2 links, 3 queries, 4 replies, 5 refusals
#include "serving/quota_gate.hpp"

#include "serving/loop_sleep.hpp"
#include "serving/record_link.hpp"
#include "serving/watched_socket.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <wire.pb.h>

#include <algorithm>

namespace marigoldcrank
{

namespace asio = boost::asio;

// 1. Cost

std::int64_t quota_cost(workspace_quota const& quota, caller_call const& call)
{
    if (!quota.tokens)
    {
        return 1;
    }
    return call.stated_tokens.value_or(quota.default_units);
}

// 2. Links

namespace
{

// 256   queries queued for one VM
constexpr int max_queued_queries = 256;
// 150   ms; a VM that doesn't reply in this time is skipped. Half of the time in which
//       the fastest calls must be served
constexpr millis reply_timeout{150};
// 1000  ms; a VM that has not replied is asked last for this time, unless another VM
//       knows it to be alive
constexpr millis silence_backoff{1000};
// 300   ms; Retry-After while no owner replies; another VM may have taken over by then
constexpr millis isolated_retry_after{300};
// 50    ms; interval of checks whether the other VMs are known
constexpr millis           fleet_check_interval{50};
constexpr std::string_view query_kind = "quota";

struct open_query
{
    explicit open_query(asio::io_context& loop) : timer(loop) {}

    asio::steady_timer               timer;
    std::optional<wire::quota_reply> reply;
};

quota_answer answer_from(wire::quota_reply const& reply)
{
    auto const last = static_cast<std::uint32_t>(quota_outcome::declined);
    return {.outcome = static_cast<quota_outcome>(std::min(reply.outcome(), last)),
            .retry_after = millis{reply.retry_after_ms()},
            .left = reply.left(),
            .owner = reply.home()};
}

} // namespace

/// Sockets to other VMs, and the queries that wait for a reply.
struct quota_gate::links
{
    links(asio::io_context& io, zmq::context_t& zmq) : loop(io), context(zmq) {}

    watched_socket& socket_to(std::string const& address)
    {
        auto& socket = sockets[address];
        if (!socket)
        {
            socket = std::make_unique<watched_socket>(
                loop, context, zmq::socket_type::dealer, max_queued_queries,
                [this](std::vector<zmq::message_t>& parts) { take(parts); });
            socket->socket().connect(zmq_endpoint(address));
        }
        return *socket;
    }

    void send(std::string const& address, wire::quota_question const& query)
    {
        auto const bytes = query.SerializeAsString();
        auto&      socket = socket_to(address);
        static_cast<void>(
            socket.socket().send(zmq::buffer(query_kind),
                                 zmq::send_flags::dontwait | zmq::send_flags::sndmore));
        static_cast<void>(
            socket.socket().send(zmq::buffer(bytes), zmq::send_flags::dontwait));
        socket.receive_pending();
    }

    void take(std::vector<zmq::message_t>& parts)
    {
        wire::quota_reply reply;
        auto const&       bytes = parts.back();
        if (!reply.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        {
            return; // the query times out
        }
        auto const found = open_queries.find(reply.number());
        if (found != open_queries.end())
        {
            found->second->reply = std::move(reply);
            found->second->timer.cancel();
        }
    }

    asio::io_context&                                      loop;
    zmq::context_t&                                        context;
    std::map<std::string, std::unique_ptr<watched_socket>> sockets; // by address
    std::map<std::uint64_t, std::shared_ptr<open_query>>   open_queries;
    std::uint64_t                                          number = 0;
};

// 3. Queries

quota_gate::quota_gate(asio::io_context& loop, zmq::context_t& context,
                       entry_state& state, record_link& records)
    : state_(state), links_(std::make_unique<links>(loop, context))
{
    records.reply_to_others([this](std::string const& serialized)
                            { return reply_to_vm(serialized); });
}

quota_gate::~quota_gate() = default;

void quota_gate::follow(std::vector<std::string> const& owners)
{
    home_.terms(terms());
    owners_ = owners;
    auto const gone = [&](auto const& each)
    {
        return std::find(owners.begin(), owners.end(), each.first) == owners.end();
    };
    std::erase_if(links_->sockets, gone);
    std::erase_if(backoff_until_, gone);
    forget_workspaces();
}

quota_terms quota_gate::terms() const
{
    return {state_.settings.quota_window, state_.settings.quota_permille,
            state_.settings.quota_slack};
}

void quota_gate::forget_workspaces()
{
    auto const rules = state_.view.rules;
    if (!rules)
    {
        return;
    }
    auto const known = [&](std::string const& workspace)
    {
        return rules->find_workspace_by_name(workspace) != nullptr;
    };
    home_.forget_unless(known);
    std::erase_if(isolated_buckets_,
                  [&](auto const& each) { return !known(each.first); });
}

std::vector<std::string> quota_gate::live_owners(boot_clock::time_point now) const
{
    std::vector<std::string> result;
    std::copy_if(owners_.begin(), owners_.end(), std::back_inserter(result),
                 [&](std::string const& each) { return state_.is_live(each, now); });
    return result;
}

std::vector<std::string> quota_gate::order(std::string const& workspace) const
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
    auto          owners = rank_owners(workspace, owners_);
    std::erase_if(owners, [&](std::string const& each)
                  { return unreachability(each) == unreachable; });
    std::stable_sort(owners.begin(), owners.end(),
                     [&](std::string const& left, std::string const& right)
                     { return unreachability(left) < unreachability(right); });
    return owners;
}

asio::awaitable<std::optional<quota_answer>> quota_gate::query(std::string address,
                                                               quota_query request)
{
    if (address == state_.contact.records)
    {
        co_return reply_as_owner(request);
    }
    auto const           number = ++links_->number;
    auto const           pending = std::make_shared<open_query>(links_->loop);
    wire::quota_question message;
    message.set_number(number);
    message.set_workspace(request.workspace);
    message.set_units(request.units);
    message.set_left(request.left);
    links_->open_queries[number] = pending;
    pending->timer.expires_after(reply_timeout);
    links_->send(address, message);
    boost::system::error_code error; // cancelled by the reply, or expired
    co_await pending->timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
    links_->open_queries.erase(number);
    state_.counters.add(pending->reply ? "quota_answers_total" : "quota_silences_total");
    if (!pending->reply)
    {
        backoff_until_[address] = boot_clock::now() + silence_backoff;
        co_return std::nullopt;
    }
    backoff_until_.erase(address);
    co_return answer_from(*pending->reply);
}

/// If all VMs restart at once, calls arrive before the VMs have discovered each other.
/// Without the wait, each VM would admit only its share for a fleet of unknown size,
/// almost nothing, and refuse the rest.
asio::awaitable<void> quota_gate::wait_for_fleet() const
{
    while (!state_.fleet.settled(boot_clock::now()))
    {
        co_await loop_sleep(fleet_check_interval);
    }
}

asio::awaitable<std::optional<own_response>>
quota_gate::admit(caller_call const& call, workspace const& caller_workspace,
                  quota_hold& hold)
{
    auto const   began = boot_clock::now();
    auto const   units = quota_cost(*caller_workspace.quota, call);
    quota_answer answer;
    hold = {.workspace = caller_workspace.name};
    co_await wait_for_fleet();
    quota_queries queries{order(caller_workspace.name)};
    while (!queries.address().empty())
    {
        hold.granted_by = queries.address();
        quota_query request{caller_workspace.name, units, queries.left()};
        auto const  reply = co_await query(hold.granted_by, std::move(request));
        answer = reply.value_or(quota_answer{});
        bool const declined = answer.outcome == quota_outcome::declined;
        queries.take(!reply     ? quota_reply::silent
                     : declined ? quota_reply::declined
                                : quota_reply::decided,
                     answer.owner);
    }
    if (!queries.decided())
    {
        hold.granted_by.clear();
        answer = decide_isolated(caller_workspace.name, units, *caller_workspace.quota);
    }
    state_.counters.observe("quota_seconds", boot_clock::now() - began);
    if (answer.outcome == quota_outcome::granted)
    {
        hold.units = units;
        co_return std::nullopt;
    }
    log_refusal(call, caller_workspace, hold, answer);
    co_return own_response{429, call_fate::not_run, "quota", answer.retry_after};
}

quota_answer quota_gate::decide_isolated(std::string const& workspace, std::int64_t units,
                                         workspace_quota const& quota)
{
    auto const now = boot_clock::now();
    auto const bounds = isolated_bounds(quota, terms(), state_.fleet.single_vm_share());
    auto const bucket = isolated_buckets_.try_emplace(workspace, bounds, now).first;
    bucket->second.limit(bounds, now);
    bool const over = bucket->second.take(units, now).has_value();
    return {.outcome = over ? quota_outcome::over_quota : quota_outcome::granted,
            .retry_after = isolated_retry_after,
            .left = static_cast<std::int64_t>(bucket->second.level())};
}

void quota_gate::give_back(quota_hold const& hold)
{
    auto const now = boot_clock::now();
    if (hold.granted_by == state_.contact.records)
    {
        home_.give_back(hold.workspace, hold.units, now);
        return;
    }
    if (hold.granted_by.empty())
    {
        auto const bucket = isolated_buckets_.find(hold.workspace);
        if (bucket != isolated_buckets_.end())
        {
            bucket->second.give_back(hold.units, now);
        }
        return;
    }
    wire::quota_question message;
    message.set_workspace(hold.workspace);
    message.set_units(-hold.units);
    links_->send(hold.granted_by, message);
}

// 4. Replies

quota_answer quota_gate::reply_as_owner(quota_query const& ask)
{
    auto const  now = boot_clock::now();
    auto const& rules = state_.view.rules;
    auto const* caller_workspace =
        rules ? rules->find_workspace_by_name(ask.workspace) : nullptr;
    if (caller_workspace == nullptr)
    {
        return {};
    }
    if (!caller_workspace->quota)
    {
        return {.outcome = quota_outcome::granted};
    }
    auto const& own = state_.contact.records;
    owner_view  view{.stopping = state_.draining, .share = state_.fleet.value()};
    for (auto const& each : rank_owners(ask.workspace, owners_))
    {
        view.listed = view.listed || each == own;
        bool const before = !view.listed && view.predecessor.empty() && each != ask.left;
        view.predecessor = before && state_.is_live(each, now) ? each : view.predecessor;
    }
    return home_.answer(ask, *caller_workspace->quota, view, now);
}

std::string quota_gate::reply_to_vm(std::string const& serialized)
{
    wire::quota_question message;
    if (!message.ParseFromString(serialized))
    {
        state_.counters.add("quota_questions_unreadable_total");
        return "";
    }
    if (message.units() < 0)
    {
        home_.give_back(message.workspace(), -message.units(), boot_clock::now());
        return "";
    }
    auto const answer =
        reply_as_owner({message.workspace(), message.units(), message.left()});
    wire::quota_reply reply;
    reply.set_number(message.number());
    reply.set_outcome(static_cast<std::uint32_t>(answer.outcome));
    reply.set_retry_after_ms(static_cast<std::uint32_t>(answer.retry_after.count()));
    reply.set_left(answer.left);
    reply.set_home(answer.owner);
    return reply.SerializeAsString();
}

// 5. Refusals

void quota_gate::log_refusal(caller_call const& call, workspace const& caller_workspace,
                             quota_hold const& hold, quota_answer const& answer)
{
    state_.log.write(
        event_line{"over_quota"}
            .add("id", call.id)
            .add("workspace", caller_workspace.name)
            .add("units", quota_cost(*caller_workspace.quota, call))
            .add("rate", caller_workspace.quota->rate)
            .add("burst", caller_workspace.quota->burst)
            .add("left", answer.left)
            .add("keeper", hold.granted_by.empty() ? "alone" : hold.granted_by)
            .add("vms", state_.fleet.vms())
            .add("rules", state_.view.rules
                              ? static_cast<std::int64_t>(state_.view.rules->version())
                              : 0)
            .add("rules_age_ms", boot_clock::now() - state_.view.read_sent)
            .add("retry_ms", answer.retry_after),
        boot_clock::now());
}

} // namespace marigoldcrank
