// Settings, rules and processes of entry_cluster.
#include "platform/support/entry_cluster.hpp"

#include "platform/support/raw_caller.hpp"
#include "support/eventually.hpp"

#include <gtest/gtest.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <utility>

namespace marigoldcrank::tests
{

namespace
{

std::string loopback_address(int port)
{
    return "127.0.0.1:" + std::to_string(port);
}

nlohmann::json make_route(std::string const& path, std::string const& type, int attempts)
{
    return {{"name", path},
            {"host", "shop.example"},
            {"path_prefix", path},
            {"route_type", type},
            {"timeout_ms", 6000},
            {"target_latency_ms", 300},
            {"service", "desk"},
            {"max_attempts", attempts},
            {"priority", 1},
            {"public", path == "/open/"},
            {"resumable", path == "/resume/"}};
}

} // namespace

entry_cluster::entry_cluster(cluster_options options) : options_(std::move(options))
{
    directory_ = std::filesystem::temp_directory_path() /
                 ("marigoldcrank-" + std::to_string(::getpid()) + "-" +
                  std::to_string(reinterpret_cast<std::uintptr_t>(this)));
    std::filesystem::create_directories(directory_);
    store_port_ = ports_.next();
    duty_port_ = ports_.next();
    store_ = std::make_unique<store_standin>(store_port_);
    duty_server_ = std::make_unique<wire_server>(
        duty_port_, [this](wire_request const& request, wire_connection& connection)
        { return record_duty_request(request, connection); });
    for (int index = 0; index < options_.servers; ++index)
    {
        servers_.push_back(std::make_unique<server_standin>(
            ports_.next(), "i-" + std::to_string(index)));
        if (options_.relayed)
        {
            auto const port = ports_.next();
            server_relays_.push_back(
                std::make_unique<tcp_relay>(port, servers_.back()->port()));
            server_ports_[servers_.back()->id()] = port;
        }
        list_server(*servers_.back());
    }
    configure(1, {"key-north"});
    for (int index = 0; index < options_.daemons; ++index)
    {
        caller_ports_.push_back(ports_.next());
        readiness_ports_.push_back(ports_.next());
        peer_ports_.push_back(ports_.next());
        record_ports_.push_back(ports_.next());
        tunnel_ports_.push_back(ports_.next());
        daemons_.emplace_back();
        store_ports_.push_back(options_.own_links ? add_links() : store_port_);
        if (options_.relayed)
        {
            auto const target = std::exchange(store_ports_.back(), ports_.next());
            store_relays_.push_back(
                std::make_unique<tcp_relay>(store_ports_.back(), target));
        }
        start(index);
    }
    for (int index = 0; index < options_.daemons && options_.servers > 0; ++index)
    {
        if (!eventually([&] { return ready(index); }))
        {
            throw std::runtime_error("daemon did not become ready; its output: " +
                                     output(index));
        }
    }
}

entry_cluster::~entry_cluster()
{
    for (std::size_t index = 0; index < daemons_.size(); ++index)
    {
        expect_no_abort(static_cast<int>(index));
    }
    daemons_.clear();
    std::filesystem::remove_all(directory_);
}

void entry_cluster::expect_no_abort(int index)
{
    auto& process = daemon(index);
    if (process.running())
    {
        return;
    }
    constexpr int signalled = 128;
    int const     code = process.wait(0);
    for (int const signal : {SIGABRT, SIGSEGV, SIGBUS, SIGFPE, SIGILL})
    {
        EXPECT_NE(code, signalled + signal)
            << "daemon " << index << " aborted; its output: " << output(index);
    }
}

void entry_cluster::configure(std::uint64_t                   version,
                              std::vector<std::string> const& north_keys)
{
    auto routes = nlohmann::json::array({make_route("/repeat/", "idempotent", 2),
                                         make_route("/once/", "non_idempotent", 1),
                                         make_route("/stream/", "streaming", 1),
                                         make_route("/resume/", "streaming", 2),
                                         make_route("/open/", "idempotent", 2)});
    routes.push_back(make_route("/model/", "streaming", 1));
    routes.back()["service"] = "models";
    if (!options_.route_fields.empty())
    {
        for (auto& entry : routes)
        {
            entry.update(nlohmann::json::parse(options_.route_fields));
        }
    }
    nlohmann::json north{{"name", "north"}, {"api_keys", north_keys}};
    if (!options_.north_fields.empty())
    {
        north.update(nlohmann::json::parse(options_.north_fields));
    }
    nlohmann::json engine{{"kv_hold_s", 5.0}};
    if (options_.engine_tokens > 0)
    {
        engine["kv_capacity_tokens"] = options_.engine_tokens;
    }
    nlohmann::json rules{
        {"version", version},
        {"routes", routes},
        {"services",
         nlohmann::json::array({{{"name", "desk"},
                                 {"max_connections", 100},
                                 {"health_path", server_standin::health_target}},
                                {{"name", "models"}, {"engine", engine}}})},
        {"limits",
         {{"max_header_bytes", 8192},
          {"max_body_bytes", 100000},
          {"header_timeout_ms", 2000},
          {"idle_timeout_ms", 15000}}},
        {"tenants", nlohmann::json::array(
                        {north, {{"name", "south"}, {"api_keys", {"key-south"}}}})}};
    if (options_.change_rules)
    {
        options_.change_rules(rules);
    }
    store_->put("keyed.op", "config", rules.dump());
}

void entry_cluster::configure_north(std::uint64_t version, std::string const& fields)
{
    options_.north_fields = fields;
    configure(version, {"key-north"});
}

void entry_cluster::list_server(server_standin const& server, std::string const& state,
                                std::int64_t born, std::string const& version)
{
    nlohmann::json entry{
        {"service", "desk"}, {"address", loopback_address(port_of(server))},
        {"zone", "here"},    {"slots", options_.slots},
        {"state", state},    {"sequence", 1},
        {"version", version}};
    if (born > 0)
    {
        entry["born"] = born;
    }
    store_->put("keyed.servers", server.id(), entry.dump());
}

void entry_cluster::list_engine(server_standin const& server, std::string const& stage,
                                std::string const& version)
{
    nlohmann::json const entry{
        {"service", "models"}, {"address", loopback_address(port_of(server))},
        {"zone", "here"},      {"slots", 8},
        {"state", "ready"},    {"stage", stage},
        {"sequence", 1},       {"version", version}};
    store_->put("keyed.servers", server.id(), entry.dump());
}

int entry_cluster::port_of(server_standin const& server) const
{
    auto const relayed = server_ports_.find(server.id());
    return relayed == server_ports_.end() ? server.port() : relayed->second;
}

int entry_cluster::add_links()
{
    std::map<std::string, int> ports; // of this daemon's relays, by server id
    links_.emplace_back();
    for (auto const& server : servers_)
    {
        ports[server->id()] = ports_.next();
        links_.back().push_back(
            std::make_unique<tcp_relay>(ports[server->id()], port_of(*server)));
    }
    auto const view_port = ports_.next();
    store_->add_view(view_port,
                     [ports](std::string const& topic, std::string const& key,
                             std::string const& value)
                     {
                         auto const relay = ports.find(key);
                         if (topic != "keyed.servers" || value.empty() ||
                             relay == ports.end())
                         {
                             return value;
                         }
                         auto entry = nlohmann::json::parse(value);
                         entry["address"] = loopback_address(relay->second);
                         return entry.dump();
                     });
    return view_port;
}

void entry_cluster::break_links(int index, link_fault fault, std::size_t count)
{
    auto const servers = links_.at(static_cast<std::size_t>(index)).size();
    for (std::size_t server = 0; server < std::min(count, servers); ++server)
    {
        break_link(index, static_cast<int>(server), fault);
    }
}

void entry_cluster::restore_links(int index)
{
    auto const servers = links_.at(static_cast<std::size_t>(index)).size();
    for (std::size_t server = 0; server < servers; ++server)
    {
        restore_link(index, static_cast<int>(server));
    }
}

void entry_cluster::break_link(int index, int server, link_fault fault)
{
    auto& link =
        *links_.at(static_cast<std::size_t>(index)).at(static_cast<std::size_t>(server));
    link.silence_all(fault == link_fault::hang);
    if (fault == link_fault::hang)
    {
        link.hang_new(true);
        return;
    }
    link.refuse_new(true);
    if (fault == link_fault::reset)
    {
        link.reset_open();
    }
}

void entry_cluster::restore_link(int index, int server)
{
    auto& link =
        *links_.at(static_cast<std::size_t>(index)).at(static_cast<std::size_t>(server));
    link.silence_all(false);
    link.refuse_new(false);
    link.hang_new(false);
}

tcp_relay& entry_cluster::store_relay(int index)
{
    return *store_relays_.at(static_cast<std::size_t>(index));
}

tcp_relay& entry_cluster::server_relay(int index)
{
    return *server_relays_.at(static_cast<std::size_t>(index));
}

server_standin& entry_cluster::server(int index)
{
    return *servers_.at(static_cast<std::size_t>(index));
}

store_standin& entry_cluster::store()
{
    return *store_;
}

child_process& entry_cluster::daemon(int index)
{
    return *daemons_.at(static_cast<std::size_t>(index));
}

int entry_cluster::caller_port(int index) const
{
    return caller_ports_.at(static_cast<std::size_t>(index));
}

int entry_cluster::readiness_port(int index) const
{
    return readiness_ports_.at(static_cast<std::size_t>(index));
}

int entry_cluster::port(std::string const& name) const
{
    std::map<std::string, int> const ports{{"callers", caller_ports_.front()},
                                           {"readiness", readiness_ports_.front()},
                                           {"tunnels", tunnel_ports_.front()},
                                           {"peers", peer_ports_.front()},
                                           {"records", record_ports_.front()}};
    return ports.at(name);
}

std::string entry_cluster::write_settings(int index) const
{
    auto const    slot = static_cast<std::size_t>(index);
    bool const    first_start = options_.first_start && started_.count(index) == 0;
    auto const    file = directory_ + "/entry-" + std::to_string(index) + ".ini";
    auto const    written = file + ".new"; // a daemon may read the file at any time
    std::ofstream settings(written);
    settings << (options_.deployed ? deployed_settings(slot, first_start)
                                   : test_settings(slot, first_start));
    settings.close();
    std::filesystem::rename(written, file);
    return file;
}

std::string entry_cluster::test_settings(std::size_t slot, bool first_start) const
{
    bool const distant = static_cast<int>(slot) >= options_.daemons - options_.distant;
    std::ostringstream settings;
    settings << "[node]\nname = vm-" << slot
             << "\ndata_centre = " << (distant ? "there" : "here")
             << "\ncallers = " << loopback_address(caller_ports_[slot])
             << "\nreadiness = " << loopback_address(readiness_ports_[slot])
             << "\npeers = " << loopback_address(peer_ports_[slot])
             << "\nrecords = " << loopback_address(record_ports_[slot])
             << "\ntunnels = " << loopback_address(tunnel_ports_[slot])
             << "\nmesh = " << options_.mesh
             << "\nfirst_start = " << (first_start ? "true" : "false") << "\n"
             << options_.node
             << "[platform]\nstore = " << loopback_address(store_ports_[slot])
             << "\nduties = " << loopback_address(duty_port_)
             << "\n[logs]\nsample = 1\n[bounds]\n"
             << options_.bounds << "\n[policy]\n"
             << options_.policy;
    return settings.str();
}

std::string entry_cluster::deployed_settings(std::size_t slot, bool first_start) const
{
    std::ifstream      file(MARIGOLDCRANK_SOURCE "/platform/settings.ini.in");
    std::ostringstream text;
    text << file.rdbuf();
    // The port of metrics is fixed, so each VM has an address of its own.
    constexpr int hosts = 250;
    auto const    process = static_cast<int>(::getpid());
    auto const    ip = "127." + std::to_string(1 + process % hosts) + "." +
                    std::to_string(process / hosts % hosts) + "." +
                    std::to_string(slot + 1);
    std::map<std::string, std::string> const fields{
        {"node_name", "vm-" + std::to_string(slot)},
        {"zone", "here"},
        {"listen.frontend", loopback_address(caller_ports_[slot])},
        {"listen.ready", loopback_address(readiness_ports_[slot])},
        {"ip", ip},
        {"internal_port_range.0", std::to_string(peer_ports_[slot])},
        {"internal_port_range.1", std::to_string(record_ports_[slot])},
        {"limits.cpu_share", "0.25"},
        {"limits.memory_mb", "260"},
        {"limits.file_descriptors", "4100"},
        {"bootstrap", first_start ? "true" : "false"},
        {"platform.address", loopback_address(store_ports_[slot])},
        {"cloud_api.address", loopback_address(duty_port_)},
        {"heartbeat_ms", "1200"},
        {"bounds.grace_s", "8"},
        {"bounds.revoke_ms", "5000"},
        {"bounds.drain_ms", "3000"},
        {"bounds.revoke_fail_closed", "true"},
        {"bounds.lease_ms", "3000"},
        {"bounds.usage_window_s", "5"},
        {"bounds.usage_late_s", "10"},
        {"bounds.retry_budget_ratio", "0.2"},
        {"bounds.retry_budget_slack", "58"}};
    auto           rest = text.str();
    std::string    filled;
    constexpr auto brace = std::string_view{"{{"}.size();
    for (auto at = rest.find("{{"); at != std::string::npos; at = rest.find("{{"))
    {
        auto const end = rest.find("}}");
        auto const value = fields.find(rest.substr(at + brace, end - at - brace));
        filled += rest.substr(0, at) + (value == fields.end() ? "" : value->second);
        rest.erase(0, end + brace);
    }
    return filled + rest;
}

void entry_cluster::set_policy(std::string const& lines)
{
    options_.policy = lines;
    for (int index = 0; index < options_.daemons; ++index)
    {
        write_settings(index);
    }
}

void entry_cluster::start(int index)
{
    auto const file = write_settings(index);
    daemons_[static_cast<std::size_t>(index)] = std::make_unique<child_process>(
        std::vector<std::string>{MARIGOLDCRANK_BINARIES "/marigoldcrankd", "--entry",
                                 file},
        directory_ + "/output-" + std::to_string(index));
    started_.insert(index);
}

void entry_cluster::restart(int index)
{
    expect_no_abort(index);
    daemons_.at(static_cast<std::size_t>(index)).reset();
    start(index);
}

bool entry_cluster::restart_all()
{
    for (auto const& each : daemons_)
    {
        each->signal(SIGKILL);
    }
    for (int index = 0; index < options_.daemons; ++index)
    {
        restart(index);
    }
    return all_ready();
}

bool entry_cluster::all_ready() const
{
    for (int index = 0; index < options_.daemons; ++index)
    {
        if (!eventually([&] { return ready(index); }))
        {
            return false;
        }
    }
    return true;
}

void entry_cluster::reload(int index, std::string const& policy)
{
    options_.policy = policy;
    write_settings(index);
    daemon(index).signal(SIGHUP);
}

std::string entry_cluster::output(int index) const
{
    std::ifstream      file(directory_ + "/output-" + std::to_string(index));
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

bool entry_cluster::ready(int index) const
{
    raw_caller caller(readiness_port(index));
    caller.send("GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    return caller.read().status == 200;
}

std::vector<duty_request> entry_cluster::duty_requests() const
{
    std::lock_guard lock{mutex_};
    return duty_requests_;
}

bool entry_cluster::record_duty_request(wire_request const& request,
                                        wire_connection&    connection)
{
    {
        std::lock_guard lock{mutex_};
        duty_requests_.push_back({request.path(), request.field("duty-holder"),
                                  std::stoull(request.field("fencing-token")),
                                  nlohmann::json::parse(request.body)});
    }
    connection.send(wire_response(200, "", ""));
    return true;
}

} // namespace marigoldcrank::tests
