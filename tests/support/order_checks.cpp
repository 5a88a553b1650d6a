// Queries of the stand-ins for tests of orders.
#include "support/order_checks.hpp"

#include <httplib.h>

#include <map>

namespace marigoldcrank::tests
{

namespace
{
using nlohmann::json;

json get(int port, std::string const& path)
{
    httplib::Client client("127.0.0.1", port);
    client.set_read_timeout(2);
    auto const answer = client.Get(path);
    return answer ? json::parse(answer->body, nullptr, false) : json::object();
}
} // namespace

std::string rules_with(fleet const& system, std::string const& lines)
{
    return system.rules() + lines;
}

bool apply_lines(fleet const& system, std::string const& lines,
                 std::string const& change_id, int node)
{
    auto const revision =
        system.admin(node, "/admin/rules").value("revision", std::uint64_t{0});
    return system.apply(node, rules_with(system, lines), revision, change_id)
               .value("outcome", "") == "accepted";
}

int holder_of(fleet const& system, std::string const& duty, int asked)
{
    auto const duties = system.admin(asked, "/admin/status").value("duties", json());
    if (!duties.is_object() || !duties.contains(duty) || duties[duty]["released"] == true)
    {
        return -1;
    }
    auto const holder = duties[duty]["holder"].get<std::string>(); // "node-N/incarnation"
    return std::stoi(holder.substr(5, holder.find('/') - 5));
}

std::vector<json> intents(fleet const& system)
{
    std::vector<json> result;
    for (auto const& entry : system.received(system.platform_port(), "append"))
    {
        auto const record = json::parse(entry["body"].get<std::string>(), nullptr, false);
        if (record.is_object() && record.contains("intent"))
        {
            result.push_back({{"from", entry["from"]}, {"intent", record["intent"]}});
        }
    }
    return result;
}

std::vector<received_order> orders_at(fleet const& system, int port,
                                      std::string const& kind)
{
    std::vector<received_order> result;
    for (auto const& entry : system.received(port, kind))
    {
        auto const body = json::parse(entry["body"].get<std::string>(), nullptr, false);
        result.push_back({entry["from"], entry["id"],
                          std::stoull(entry["fence"].get<std::string>()),
                          body.value("kind", ""), entry["at_ms"]});
    }
    return result;
}

bool one_holder_at_a_time(std::vector<received_order> const& orders)
{
    std::map<std::uint64_t, std::string> senders;
    std::uint64_t                        highest = 0;
    for (auto const& order : orders)
    {
        auto const [position, added] = senders.emplace(order.fence, order.from);
        if (position->second != order.from || order.fence < highest)
        {
            return false;
        }
        highest = order.fence;
    }
    return true;
}

json engine_state_at(int port)
{
    return get(port, "/state");
}

json current_vms(fleet const& system)
{
    return get(system.platform_port(), "/control/vms");
}

} // namespace marigoldcrank::tests
