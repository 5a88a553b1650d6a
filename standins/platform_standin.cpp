// Stand-in for the platform: log, VM list, VM orders, usage reports, weight store.
//
// Index: 1 log, 2 VM list and orders, 3 usage reports, 4 weight store, 5 main
//
// Faults besides the common ones: `late` closes the connection of an append without a
// response and applies the append after for_ms. A fault with `from` isolates that sender.
#include "standin_server.hpp"

#include <condition_variable>
#include <thread>

namespace
{

using namespace marigoldcrank::standins;
using nlohmann::json;

constexpr int status_gone = 410;
constexpr int status_too_many = 429;

std::int64_t number_parameter(httplib::Request const& request, char const* name,
                              std::int64_t default_value)
{
    return request.has_param(name)
               ? std::strtoll(request.get_param_value(name).c_str(), nullptr, 10)
               : default_value;
}

// 1. Log

/// Append-only log with offsets from 1. Keeps the newest `retain` records.
class append_only_log
{
public:
    explicit append_only_log(std::size_t retain) : retain_(retain) {}

    std::uint64_t append(std::string text)
    {
        std::lock_guard const lock(mutex_);
        records_.push_back(std::move(text));
        while (records_.size() > retain_)
        {
            records_.erase(records_.begin());
            ++first_offset_;
        }
        changed_.notify_all();
        return first_offset_ + records_.size() - 1;
    }

    /// Returns records from offset `from` on; waits up to wait_ms for the first. Sets the
    /// status to 410 if `from` has expired.
    json read(std::uint64_t from, std::int64_t wait_ms, int& status)
    {
        std::unique_lock lock(mutex_);
        changed_.wait_for(lock, std::chrono::milliseconds(wait_ms),
                          [&] { return from < first_offset_ + records_.size(); });
        if (from < first_offset_)
        {
            status = status_gone;
            return {{"first_retained", first_offset_}};
        }
        json       records = json::array();
        auto const begin = static_cast<std::size_t>(from - first_offset_);
        for (auto index = begin;
             index < records_.size() && records.size() < max_records_per_read; ++index)
        {
            records.push_back(records_[index]);
        }
        return {{"first_retained", first_offset_}, {"first", from}, {"records", records}};
    }

    /// Removes the records below `offset`.
    void expire(std::uint64_t offset)
    {
        std::lock_guard const lock(mutex_);
        while (first_offset_ < offset && !records_.empty())
        {
            records_.erase(records_.begin());
            ++first_offset_;
        }
    }

private:
    static constexpr std::size_t max_records_per_read = 500;

    std::size_t              retain_;
    std::mutex               mutex_;
    std::condition_variable  changed_;
    std::vector<std::string> records_;
    std::uint64_t            first_offset_ = 1;
};

void add_log_routes(standin_server& server, append_only_log& log)
{
    server.route("POST", "/log/append", "append",
                 [&](auto const& request, auto& response)
                 {
                     if (auto const late = server.consume_fault("late", request))
                     {
                         std::thread(
                             [&log, text = request.body, wait = late->for_ms]
                             {
                                 std::this_thread::sleep_for(
                                     std::chrono::milliseconds(wait));
                                 log.append(text);
                             })
                             .detach();
                         drop_response(response);
                         return;
                     }
                     write_json(response, {{"offset", log.append(request.body)}});
                 });
    server.route("GET", "/log/read", "",
                 [&](auto const& request, auto& response)
                 {
                     int        status = 200;
                     auto const body = log.read(
                         static_cast<std::uint64_t>(number_parameter(request, "from", 1)),
                         number_parameter(request, "wait_ms", 0), status);
                     write_json(response, body, status);
                 });
    server.server().Post(
        "/control/expire",
        [&](auto const& request, auto& response)
        {
            log.expire(static_cast<std::uint64_t>(number_parameter(request, "below", 1)));
            write_json(response, json::object());
        });
}

// 2. VM list and orders

/// The VMs of the platform. A change shows in listed() only once no other has been made
/// for lag_ms; current() returns the actual state.
class vm_list
{
public:
    explicit vm_list(std::int64_t lag_ms) : lag_(lag_ms) {}

    void replace(json vms)
    {
        std::lock_guard const lock(mutex_);
        vms_ = std::move(vms);
        changed_at_ = std::chrono::steady_clock::now();
    }

    json listed()
    {
        std::lock_guard const lock(mutex_);
        if (std::chrono::steady_clock::now() - changed_at_ >= lag_)
        {
            listed_ = vms_;
        }
        return listed_;
    }

    json current()
    {
        std::lock_guard const lock(mutex_);
        return vms_;
    }

    /// Adds a VM and returns its id. Orders are not idempotent: a repeated order adds
    /// another.
    std::string buy(json const& order)
    {
        std::lock_guard const lock(mutex_);
        auto                  id = "vm-" + std::to_string(++bought_);
        vms_.push_back({{"id", id},
                        {"order_id", order.value("order_id", "")},
                        {"group", order.value("group", "")},
                        {"data_centre", order.value("data_centre", "")},
                        {"cheap", order.value("cheap", false)},
                        {"state", "starting"}});
        changed_at_ = std::chrono::steady_clock::now();
        return id;
    }

    bool dismiss(std::string const& id)
    {
        std::lock_guard const lock(mutex_);
        for (auto& vm : vms_)
        {
            if (vm.value("id", "") == id)
            {
                vm["state"] = "leaving";
                changed_at_ = std::chrono::steady_clock::now();
                return true;
            }
        }
        return false;
    }

private:
    std::chrono::milliseconds             lag_;
    std::mutex                            mutex_;
    json                                  vms_ = json::array();
    json                                  listed_ = json::array();
    int                                   bought_ = 0;
    std::chrono::steady_clock::time_point changed_at_{};
};

void add_vm_routes(standin_server& server, vm_list& vms)
{
    server.route("GET", "/vms", "",
                 [&](auto const&, auto& response)
                 { write_json(response, vms.listed()); });
    server.route("POST", "/vms/order", "vm_order",
                 [&](auto const& request, auto& response)
                 {
                     auto const order = json::parse(request.body, nullptr, false);
                     if (!order.is_object())
                     {
                         write_json(response, {{"error", "malformed"}}, 400);
                         return;
                     }
                     if (order.value("kind", "buy") == "dismiss")
                     {
                         bool const found = vms.dismiss(order.value("id", ""));
                         write_json(response, {{"dismissed", found}}, found ? 200 : 404);
                         return;
                     }
                     write_json(response, {{"id", vms.buy(order)}});
                 });
    server.server().Post("/control/vms",
                         [&](auto const& request, auto& response)
                         {
                             vms.replace(json::parse(request.body, nullptr, false));
                             write_json(response, json::object());
                         });
    server.server().Get("/control/vms", [&](auto const&, auto& response)
                        { write_json(response, vms.current()); });
}

// 3. Usage reports

void add_usage_routes(standin_server& server)
{
    server.route("POST", "/usage/([0-9]+)", "usage",
                 [](auto const&, auto& response) {
                     write_json(response, {{"received", true}});
                 });
}

// 4. Weight store

/// Serves at most `per_second` fetches in each second; the others get 429.
void add_weight_routes(standin_server& server, std::int64_t per_second)
{
    auto second = std::make_shared<std::int64_t>(0);
    auto used = std::make_shared<std::int64_t>(0);
    auto mutex = std::make_shared<std::mutex>();
    server.route("GET", "/weights/([^/]+)", "weights",
                 [=, &server](auto const& request, auto& response)
                 {
                     std::lock_guard const lock(*mutex);
                     auto const            now = server.elapsed_ms() / 1000;
                     *used = now == *second ? *used + 1 : 1;
                     *second = now;
                     if (*used > per_second)
                     {
                         write_json(response, {{"error", "rate"}}, status_too_many);
                         return;
                     }
                     write_json(response, {{"weights", request.matches[1].str()}});
                 });
}

} // namespace

// 5. main

int main(int argc, char** argv)
{
    auto const      settings = parse_command_line(argc, argv,
                                                  {{"name", "platform"},
                                                   {"host", "127.0.0.1"},
                                                   {"port", "9000"},
                                                   {"threads", "128"},
                                                   {"retain_records", "1000000"},
                                                   {"list_lag_ms", "0"},
                                                   {"weights_per_second", "4"}},
                                                  "Stand-in for the platform.");
    standin_server  server(settings.at("name"),
                           static_cast<std::size_t>(number_setting(settings, "threads")));
    append_only_log log(
        static_cast<std::size_t>(number_setting(settings, "retain_records")));
    vm_list vms(number_setting(settings, "list_lag_ms"));
    add_log_routes(server, log);
    add_vm_routes(server, vms);
    add_usage_routes(server);
    add_weight_routes(server, number_setting(settings, "weights_per_second"));
    return server.run(settings.at("host"),
                      static_cast<int>(number_setting(settings, "port")));
}
