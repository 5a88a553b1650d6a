// HTTP server, fault injection and command line of the stand-ins.
//
// Index: 1 routes, 2 faults, 3 control endpoint, 4 command line
#define SI_NO_CONVERSION
#include "standin_server.hpp"

#include <SimpleIni.h>

#include <getopt.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <unistd.h>

#include <charconv>
#include <iostream>
#include <thread>

namespace marigoldcrank::standins
{

namespace
{
using nlohmann::json;
using std::chrono::steady_clock;

constexpr int crash_exit = 137;
constexpr int status_unavailable = 503;
constexpr int exit_usage = 2;

void sleep_ms(std::int64_t duration)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(duration));
}
} // namespace

// 1. Routes

standin_server::standin_server(std::string name, std::size_t threads)
    : name_(std::move(name)), started_(steady_clock::now())
{
    server_.new_task_queue = [threads]
    {
        return new httplib::ThreadPool(threads);
    };
    server_.set_tcp_nodelay(true);
    server_.set_keep_alive_max_count(1'000'000);
    server_.set_socket_options(
        [](int socket)
        {
            int const on = 1;
            setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        });
    add_control_routes();
}

void standin_server::route(std::string const& method, std::string const& pattern,
                           std::string kind, handler handle_request)
{
    httplib::Server::Handler const wrapped =
        [this, kind = std::move(kind), handle_request = std::move(handle_request)](
            httplib::Request const& request, httplib::Response& response)
    {
        handle(request, response, kind, handle_request);
    };
    if (method == "GET")
    {
        server_.Get(pattern, wrapped);
    }
    else if (method == "PUT")
    {
        server_.Put(pattern, wrapped);
    }
    else if (method == "DELETE")
    {
        server_.Delete(pattern, wrapped);
    }
    else
    {
        server_.Post(pattern, wrapped);
    }
}

void standin_server::handle(httplib::Request const& request, httplib::Response& response,
                            std::string const& kind, handler const& next_handler)
{
    record(request, kind);
    if (consume_fault("crash", request))
    {
        _exit(crash_exit);
    }
    if (consume_fault("outage", request))
    {
        // The request takes no effect, but to its sender this looks like a lost response.
        drop_response(response);
        return;
    }
    if (auto const active = consume_fault("freeze", request))
    {
        sleep_ms(active->for_ms);
    }
    if (auto const active = consume_fault("slow", request))
    {
        sleep_ms(active->for_ms);
    }
    if (consume_fault("refuse", request))
    {
        write_json(response, {{"error", "refused"}}, status_unavailable);
        return;
    }
    next_handler(request, response);
    if (consume_fault("drop_answer", request))
    {
        drop_response(response);
    }
}

void standin_server::record(httplib::Request const& request, std::string const& kind)
{
    if (kind.empty())
    {
        return;
    }
    json headers = json::object();
    for (auto const& [name, value] : request.headers)
    {
        headers[name] = value;
    }
    auto const            id = request.get_header_value("X-Request-Id");
    json                  entry = {{"at_ms", elapsed_ms()},
                                   {"from", request.get_header_value("X-Sender")},
                                   {"id", id},
                                   {"kind", kind},
                                   {"path", request.path},
                                   {"fence", request.get_header_value("X-Fence")},
                                   {"headers", std::move(headers)},
                                   {"body", request.body}};
    std::lock_guard const lock(mutex_);
    received_.push_back(std::move(entry));
}

int standin_server::run(std::string const& host, int port)
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    signal(SIGPIPE, SIG_IGN);
    if (port == 0)
    {
        port = server_.bind_to_any_port(host);
    }
    else if (!server_.bind_to_port(host, port))
    {
        port = -1;
    }
    if (port < 0)
    {
        std::cerr << name_ << ": cannot bind the configured host and port\n";
        return 1;
    }
    std::cout << name_ << " listens on " << host << ":" << port << std::endl;
    std::thread stopper(
        [&]
        {
            int received = 0;
            sigwait(&signals, &received);
            server_.stop();
            // Exits after 200 ms even if handlers still sleep for a fault.
            sleep_ms(200);
            _exit(0);
        });
    server_.listen_after_bind();
    stopper.join();
    return 0;
}

httplib::Server& standin_server::server() noexcept
{
    return server_;
}

std::string const& standin_server::name() const noexcept
{
    return name_;
}

std::int64_t standin_server::elapsed_ms() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(steady_clock::now() -
                                                                 started_)
        .count();
}

// 2. Faults

std::optional<fault> standin_server::consume_fault(std::string const& kind,
                                                   std::string const& sender)
{
    return consume_fault(kind, sender, "", "");
}

std::optional<fault> standin_server::consume_fault(std::string const&      kind,
                                                   httplib::Request const& request)
{
    return consume_fault(kind, request.get_header_value("X-Sender"), request.path,
                         request.body);
}

std::optional<fault> standin_server::consume_fault(std::string const& kind,
                                                   std::string const& sender,
                                                   std::string const& path,
                                                   std::string const& body)
{
    std::lock_guard const lock(mutex_);
    auto const            found = faults_.find(kind);
    if (found == faults_.end())
    {
        return std::nullopt;
    }
    auto&      active = found->second;
    bool const expired = active.count == 0 || (active.count < 0 && active.for_ms > 0 &&
                                               steady_clock::now() >= active.until);
    bool const other_sender =
        !active.from.empty() &&
        (" " + active.from + " ").find(" " + sender + " ") == std::string::npos;
    if (expired)
    {
        faults_.erase(found);
        return std::nullopt;
    }
    bool const other_request = (!active.path.empty() && active.path != path) ||
                               body.find(active.text) == std::string::npos;
    if (other_sender || other_request)
    {
        return std::nullopt;
    }
    if (active.count > 0)
    {
        --active.count;
    }
    return active;
}

void drop_response(httplib::Response& response)
{
    response.body.clear();
    response.status = 200;
    response.set_content_provider(1'000'000, "application/octet-stream",
                                  [](std::size_t, std::size_t, httplib::DataSink&)
                                  { return false; });
}

void write_json(httplib::Response& response, json const& body, int status)
{
    response.status = status;
    response.set_content(body.dump(-1, ' ', false, json::error_handler_t::replace),
                         "application/json");
}

// 3. Control endpoint

void standin_server::add_control_routes()
{
    server_.Get("/control/received",
                [this](auto const&, auto& response)
                {
                    std::lock_guard const lock(mutex_);
                    write_json(response, received_);
                });
    server_.Post("/control/fault", [this](auto const& request, auto& response)
                 { set_fault(request, response); });
}

void standin_server::set_fault(httplib::Request const& request,
                               httplib::Response&      response)
{
    auto const body = json::parse(request.body, nullptr, false);
    if (!body.is_object() || !body.value("kind", json()).is_string())
    {
        write_json(response, {{"error", "malformed"}}, 400);
        return;
    }
    fault value;
    value.kind = body["kind"].get<std::string>();
    value.count = body.value("count", std::int64_t{-1});
    value.for_ms = body.value("for_ms", std::int64_t{0});
    value.from = body.value("from", "");
    value.path = body.value("path", "");
    value.text = body.value("text", "");
    value.until = steady_clock::now() + std::chrono::milliseconds(value.for_ms);
    std::lock_guard const lock(mutex_);
    if (value.kind == "none")
    {
        faults_.clear();
    }
    else
    {
        faults_[value.kind] = value;
    }
    write_json(response, {{"fault", value.kind}});
}

// 4. Command line

namespace
{
void print_help(standin_settings const& defaults, std::string const& description)
{
    std::cout << description << "\n\n"
              << "  --settings FILE   INI file with a section [standin]\n"
              << "  --set KEY=VALUE   one setting, after the file\n"
              << "  --help            print this text\n\nSettings and their defaults:\n";
    for (auto const& [key, value] : defaults)
    {
        std::cout << "  " << key << " = " << value << "\n";
    }
}

[[noreturn]] void exit_with_usage_error(std::string const& text)
{
    std::cerr << text << "; see --help\n";
    std::exit(exit_usage);
}

void assign_setting(standin_settings& settings, std::string const& key,
                    std::string const& value)
{
    auto const found = settings.find(key);
    if (found == settings.end())
    {
        exit_with_usage_error("unknown setting " + key);
    }
    found->second = value;
}

void read_settings_file(standin_settings& settings, std::string const& path)
{
    CSimpleIniA ini;
    if (ini.LoadFile(path.c_str()) < 0)
    {
        exit_with_usage_error("cannot read the settings file " + path);
    }
    CSimpleIniA::TNamesDepend keys;
    ini.GetAllKeys("standin", keys);
    for (auto const& key : keys)
    {
        assign_setting(settings, key.pItem, ini.GetValue("standin", key.pItem, ""));
    }
}
} // namespace

standin_settings parse_command_line(int argc, char** argv,
                                    standin_settings const& defaults,
                                    std::string const&      description)
{
    static option const options[] = {{"settings", required_argument, nullptr, 's'},
                                     {"set", required_argument, nullptr, 'k'},
                                     {"help", no_argument, nullptr, 'h'},
                                     {nullptr, 0, nullptr, 0}};
    auto                settings = defaults;
    for (int flag = 0; (flag = getopt_long(argc, argv, "s:k:h", options, nullptr)) != -1;)
    {
        std::string const argument = optarg != nullptr ? optarg : "";
        auto const        equals = argument.find('=');
        switch (flag)
        {
        case 's':
            read_settings_file(settings, argument);
            break;
        case 'k':
            assign_setting(settings, argument.substr(0, equals),
                           equals == std::string::npos ? ""
                                                       : argument.substr(equals + 1));
            break;
        case 'h':
            print_help(defaults, description);
            std::exit(0);
        default:
            std::exit(exit_usage);
        }
    }
    return settings;
}

std::int64_t number_setting(standin_settings const& settings, std::string const& key)
{
    auto const&  text = settings.at(key);
    std::int64_t value = 0;
    auto const [end, error] =
        std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc{} || end != text.data() + text.size())
    {
        exit_with_usage_error("setting " + key + " is not an integer");
    }
    return value;
}

} // namespace marigoldcrank::standins
