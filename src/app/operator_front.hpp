// HTTP routes for operators, protected by the operator key: rules, keys, drains, status,
// explain, usage, history and latency targets.
//
// Index: 1 operator_front, 2 rules and keys, 3 views
#ifndef MARIGOLDCRANK_APP_OPERATOR_FRONT_HPP
#define MARIGOLDCRANK_APP_OPERATOR_FRONT_HPP

#include "adapters/http_server.hpp"
#include "adapters/span_store.hpp"
#include "adapters/zmq_peers.hpp"
#include "app/ledger_store.hpp"
#include "app/log_writer.hpp"
#include "app/server_directory.hpp"
#include "app/target_ledger.hpp"
#include "app/usage_reporter.hpp"
#include "domain/api_key.hpp"

#include <nlohmann/json.hpp>

#include <functional>
#include <string>

namespace marigoldcrank
{

/// Adds its routes to a server, and must outlive that server.
template <platform_log_port Log, peer_port Peers>
class operator_front
{
public:
    operator_front(log_writer<Log>& writer, ledger_store& store, span_store& spans,
                   server_directory& directory, Peers& peers, std::string operator_key,
                   std::string node, std::function<void()> drain,
                   std::function<std::int64_t()> inflight)
        : writer_(writer), store_(store), spans_(spans), directory_(directory),
          peers_(peers), operator_key_(std::move(operator_key)), node_(std::move(node)),
          drain_(std::move(drain)), inflight_(std::move(inflight))
    {
    }

    /// Sets the source of /admin/targets. Must be called before the first request.
    void set_target_ledger(target_ledger const& ledger)
    {
        targets_ = &ledger;
    }

    void add_routes(httplib::Server& server)
    {
        guarded_get(server, "/admin/rules", &operator_front::rules);
        guarded_get(server, "/admin/status", &operator_front::status);
        guarded_get(server, "/admin/explain", &operator_front::explain);
        guarded_get(server, "/admin/usage", &operator_front::usage);
        guarded_get(server, "/admin/history", &operator_front::history);
        guarded_get(server, "/admin/targets", &operator_front::targets);
        guarded_post(server, "/admin/rules", &operator_front::apply);
        guarded_post(server, "/admin/keys/withdraw", &operator_front::withdraw);
        guarded_post(server, "/admin/drain", &operator_front::drain);
        guarded_post(server, "/admin/servers/drain", &operator_front::drain_servers);
    }

private:
    using json = nlohmann::json;
    using route = json (operator_front::*)(httplib::Request const&);

    static constexpr millis settle_timeout{3000};

    void guarded_get(httplib::Server& server, char const* path, route handler)
    {
        server.Get(path, [this, handler](auto const& request, auto& response)
                   { guarded(request, response, handler); });
    }

    void guarded_post(httplib::Server& server, char const* path, route handler)
    {
        server.Post(path, [this, handler](auto const& request, auto& response)
                    { guarded(request, response, handler); });
    }

    void guarded(httplib::Request const& request, httplib::Response& response,
                 route handler)
    {
        if (!authorised(request))
        {
            write_refusal(response,
                          {refusal_cause::unauthenticated, call_fate::not_run, 3600}, "");
            return;
        }
        response.set_content((this->*handler)(request).dump(
                                 -1, ' ', false, json::error_handler_t::replace),
                             "application/json");
    }

    bool authorised(httplib::Request const& request) const
    {
        auto const separator = operator_key_.find('$');
        auto const header = request.get_header_value("Authorization");
        auto const prefix = std::string{"Bearer "};
        return separator != std::string::npos && header.rfind(prefix, 0) == 0 &&
               key_matches(operator_key_.substr(0, separator),
                           operator_key_.substr(separator + 1),
                           header.substr(prefix.size()));
    }

    // 2. Rules and keys

    json rules(httplib::Request const&)
    {
        auto const access = store_.access();
        if (!access->config)
        {
            return {{"revision", 0}, {"rules", ""}};
        }
        return {{"revision", access->config->revision},
                {"change_id", access->config->change_id},
                {"rules", access->config->text}};
    }

    /// Body: change_id, base_revision, rules, author. If the response is lost, the
    /// operator sends the same change again; the fold recognises its id and applies it
    /// once.
    json apply(httplib::Request const& request)
    {
        auto const body = json::parse(request.body, nullptr, false);
        if (!body.is_object() || !body.value("change_id", json()).is_string() ||
            !body.value("rules", json()).is_string() ||
            body["change_id"].get<std::string>().empty())
        {
            return {{"outcome", "malformed"}};
        }
        auto const refused = validate_rules(body["rules"].get<std::string>());
        if (!refused.empty())
        {
            return {{"outcome", "invalid"}, {"failures", refused}};
        }
        auto const       id = body["change_id"].get<std::string>();
        wire::log_record record;
        auto*            change = record.mutable_change();
        change->set_change_id(id);
        change->set_base_revision(body.value("base_revision", std::uint64_t{0}));
        change->set_rules(body["rules"].get<std::string>());
        change->set_author(body.value("author", ""));
        change->set_at_unix_ms(unix_millis());
        writer_.append(record, settle_timeout);
        return verdict_of(id);
    }

    static json validate_rules(std::string const& rules)
    {
        return leaf::try_handle_all(
            [&]() -> leaf::result<json>
            {
                BOOST_LEAF_CHECK(parse_rules(rules, "rules"));
                return json::array();
            },
            [](rules_failure const& failure)
            {
                json list = json::array();
                for (auto const& rule : failure.failures)
                {
                    list.push_back({{"line", rule.line},
                                    {"rule", rule.rule},
                                    {"fault", name_of(rule.fault)},
                                    {"allowed", rule.allowed}});
                }
                return list;
            },
            [] { return json::array({"unreadable"}); });
    }

    json verdict_of(std::string const& change_id) const
    {
        return store_.with_ledger(
            [&](ledger const& value) -> json
            {
                auto const  verdict = value.config().verdict(change_id);
                char const* name = verdict == change_verdict::accepted   ? "accepted"
                                   : verdict == change_verdict::conflict ? "conflict"
                                                                         : "unknown";
                return {{"outcome", name}, {"revision", value.config().revision()}};
            });
    }

    /// Body: key_id, compromised. The withdrawal is sent to peers before it is appended,
    /// so that it takes effect while the platform is unreachable. If the append fails,
    /// the holder of the keeper duty appends the withdrawal later.
    json withdraw(httplib::Request const& request)
    {
        auto const body = json::parse(request.body, nullptr, false);
        if (!body.is_object() || !body.value("key_id", json()).is_string())
        {
            return {{"outcome", "malformed"}};
        }
        wire::peer_message message;
        message.set_from(node_);
        auto* withdrawal = message.mutable_withdrawals()->add_withdrawals();
        withdrawal->set_key_id(body["key_id"].get<std::string>());
        withdrawal->set_compromised(body.value("compromised", false));
        store_.merge(message.withdrawals());
        peers_.broadcast(message);
        wire::log_record record;
        *record.mutable_withdrawal() = *withdrawal;
        auto const outcome = writer_.append(record, settle_timeout);
        return {{"outcome", "withdrawn"}, {"logged", outcome.has_value()}};
    }

    json drain(httplib::Request const&)
    {
        drain_();
        return {{"outcome", "draining"}};
    }

    /// Body: scope (server or data_centre), name, drained, author. The drain is appended
    /// to the log, so that all nodes agree on it. Repeating the request changes nothing.
    json drain_servers(httplib::Request const& request)
    {
        auto const body = json::parse(request.body, nullptr, false);
        if (!body.is_object() || !body.value("scope", json()).is_string() ||
            !body.value("name", json()).is_string())
        {
            return {{"outcome", "malformed"}};
        }
        wire::log_record record;
        auto*            wanted = record.mutable_drain();
        wanted->set_scope(body["scope"].get<std::string>());
        wanted->set_name(body["name"].get<std::string>());
        wanted->set_drained(body.value("drained", true));
        wanted->set_author(body.value("author", ""));
        auto const outcome = writer_.append(record, settle_timeout);
        if (!outcome)
        {
            return {{"outcome", "unknown"}};
        }
        auto const  drains = store_.access()->drains;
        auto const& names =
            wanted->scope() == "server" ? drains.servers : drains.data_centres;
        bool const in_force = (names.count(wanted->name()) != 0) == wanted->drained();
        return {{"outcome", in_force ? "accepted" : "malformed"},
                {"revision", drains.revision}};
    }

    // 3. Views

    json status(httplib::Request const&)
    {
        auto const access = store_.access();
        json       servers = json::array();
        for (auto const& server : directory_.all())
        {
            servers.push_back({{"id", server.id},
                               {"group", server.group},
                               {"data_centre", server.data_centre},
                               {"cheap", server.cheap},
                               {"leaving", server.leaving}});
        }
        json       duties = json::object();
        json       open_orders = json::object();
        auto const next = store_.with_ledger(
            [&](ledger const& value)
            {
                for (auto const& [duty, state] : value.leases().duties())
                {
                    duties[duty] = {{"holder", state.holder},
                                    {"epoch", state.epoch},
                                    {"released", state.released}};
                }
                for (auto const& [target, order] : value.orders().open())
                {
                    open_orders[target] = {{"order_id", order.order_id},
                                           {"wanted", order.wanted},
                                           {"holder", order.holder},
                                           {"epoch", order.epoch}};
                }
                return value.next_offset();
            });
        return {{"node", node_},
                {"revision", access->revision()},
                {"withdrawn_keys", access->withdrawn.size()},
                {"live_peers", peers_.live()},
                {"peer_bytes_sent", peers_.bytes_sent()},
                {"drained_servers", access->drains.servers},
                {"drained_data_centres", access->drains.data_centres},
                {"inflight", inflight_()},
                {"own_running", directory_.own_running()},
                {"next_offset", next},
                {"duties", duties},
                {"open_orders", open_orders},
                {"backend_servers", servers}};
    }

    json explain(httplib::Request const& request)
    {
        json list = json::array();
        for (auto const& value : spans_.find(request.get_param_value("id")))
        {
            json attributes = json::object();
            for (auto const& attribute : value.attributes)
            {
                attributes[attribute.name] = attribute.value;
            }
            list.push_back({{"name", value.name},
                            {"node", node_},
                            {"trace_id", value.trace_id},
                            {"request_id", value.request_id},
                            {"begin_unix_nano", value.begin},
                            {"end_unix_nano", value.end},
                            {"attributes", attributes}});
        }
        return {{"spans", list}};
    }

    json targets(httplib::Request const&)
    {
        auto const access = store_.access();
        return access->config && targets_ != nullptr
                   ? targets_->view(*access->config,
                                    static_cast<std::int64_t>(unix_millis()))
                   : json{{"targets", json::array()}};
    }

    json usage(httplib::Request const&)
    {
        return store_.with_ledger(
            [](ledger const& value) -> json
            {
                json windows = json::array();
                for (auto const& [number, window] : value.usage().sealed())
                {
                    windows.push_back(json::parse(format_window(window)));
                }
                return {{"windows", windows}};
            });
    }

    /// Accepted changes, and changes refused because of a conflict, oldest first.
    json history(httplib::Request const&)
    {
        return store_.with_ledger(
            [](ledger const& value) -> json
            {
                json changes = json::array();
                for (auto const& note : value.config().history())
                {
                    changes.push_back({{"change_id", note.change_id},
                                       {"offset", note.offset},
                                       {"base_revision", note.base_revision},
                                       {"accepted", note.accepted},
                                       {"author", note.author},
                                       {"at_unix_ms", note.at_unix_ms}});
                }
                return {{"revision", value.config().revision()}, {"changes", changes}};
            });
    }

    log_writer<Log>&              writer_;
    ledger_store&                 store_;
    span_store&                   spans_;
    server_directory&             directory_;
    Peers&                        peers_;
    std::string                   operator_key_;
    std::string                   node_;
    std::function<void()>         drain_;
    std::function<std::int64_t()> inflight_;
    target_ledger const*          targets_ = nullptr;
};

} // namespace marigoldcrank

#endif
