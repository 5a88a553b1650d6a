// The store's HTTP interface: append to, read and list the newest values of a topic.
#include "platform/support/store_standin.hpp"

#include "platform/log_codec.hpp"

#include <nlohmann/json.hpp>
#include <openssl/evp.h>

#include <chrono>

namespace marigoldcrank::tests
{

namespace
{

constexpr int         ok = 200;
constexpr int         gone = 410;
constexpr int         precondition_failed = 412;
constexpr int         unavailable = 503;
constexpr std::size_t length_bytes = 4;

std::string big_endian(std::uint64_t value)
{
    std::string out;
    for (int shift = 56; shift >= 0; shift -= 8)
    {
        out.push_back(static_cast<char>(value >> shift));
    }
    return out;
}

std::string base64(std::string const& bytes)
{
    std::string out((bytes.size() + 2) / 3 * 4 + 1, '\0');
    auto const  length =
        EVP_EncodeBlock(reinterpret_cast<unsigned char*>(out.data()),
                        reinterpret_cast<unsigned char const*>(bytes.data()),
                        static_cast<int>(bytes.size()));
    out.resize(static_cast<std::size_t>(length));
    return out;
}

std::vector<std::string> split_records(std::string const& body)
{
    std::vector<std::string> records;
    for (std::size_t at = 0; at + length_bytes <= body.size();)
    {
        std::uint32_t length = 0;
        for (std::size_t byte = 0; byte < length_bytes; ++byte)
        {
            length = (length << 8U) | static_cast<unsigned char>(body[at + byte]);
        }
        records.push_back(body.substr(at + length_bytes, length));
        at += length_bytes + length;
    }
    return records;
}

std::string encode_keyed(std::string const& key, std::string const& value)
{
    return std::string(1, static_cast<char>(key.size())) + key + value;
}

std::string json_response(int status, nlohmann::json const& body)
{
    return wire_response(status, "Content-Type: application/json\r\n", body.dump());
}

} // namespace

store_standin::store_standin(int port)
    : server_(port, [this](wire_request const& request, wire_connection& connection)
              { return handle(request, connection, {}); })
{
}

void store_standin::add_view(int port, value_view view)
{
    view_servers_.push_back(std::make_unique<wire_server>(
        port, [this, view = std::move(view)](wire_request const& request,
                                             wire_connection&    connection)
        { return handle(request, connection, view); }));
}

store_standin::~store_standin()
{
    {
        std::lock_guard lock{mutex_};
        stopping_ = true;
    }
    appended_.notify_all();
}

void store_standin::trouble(store_fault_kind kind)
{
    std::lock_guard lock{mutex_};
    fault_ = kind;
    if (kind == store_fault_kind::truncated)
    {
        for (auto& [name, topic] : topics_)
        {
            topic.first_offset = topic.records.size();
        }
    }
}

void store_standin::read_in_parts(std::size_t records, std::chrono::milliseconds pause)
{
    std::lock_guard lock{mutex_};
    records_per_read_ = records;
    read_pause_ = pause;
}

void store_standin::put(std::string const& topic, std::string const& key,
                        std::string const& value)
{
    {
        std::lock_guard lock{mutex_};
        topics_[topic].records.push_back(encode_keyed(key, value));
    }
    appended_.notify_all();
}

void store_standin::append(std::string const& topic, std::string const& record)
{
    {
        std::lock_guard lock{mutex_};
        topics_[topic].records.push_back(record);
    }
    appended_.notify_all();
}

void store_standin::remove(std::string const& topic, std::string const& key)
{
    put(topic, key, "");
}

std::vector<std::string> store_standin::records(std::string const& topic) const
{
    std::lock_guard lock{mutex_};
    auto const      found = topics_.find(topic);
    return found == topics_.end() ? std::vector<std::string>{} : found->second.records;
}

std::size_t store_standin::request_count() const
{
    std::lock_guard lock{mutex_};
    return request_count_;
}

std::size_t store_standin::request_count(std::string const& operation,
                                         std::string const& topic) const
{
    std::lock_guard lock{mutex_};
    auto const      found = counts_.find({"/api/" + operation, topic});
    return found == counts_.end() ? 0 : found->second;
}

bool store_standin::handle(wire_request const& request, wire_connection& connection,
                           value_view const& view)
{
    auto kind = store_fault_kind::none;
    {
        std::lock_guard lock{mutex_};
        ++request_count_;
        ++counts_[{request.path(), request.query("topic")}];
        kind = fault_;
    }
    if (kind == store_fault_kind::silent)
    {
        while (!connection.closed_by_peer())
        {
            std::this_thread::sleep_for(std::chrono::milliseconds{20});
            std::lock_guard lock{mutex_};
            if (stopping_)
            {
                break;
            }
        }
        return false;
    }
    if (kind == store_fault_kind::refusing)
    {
        connection.send(json_response(unavailable, {{"error", "down"}}));
        return true;
    }
    auto const path = request.path();
    if (kind == store_fault_kind::endless)
    {
        connection.send("HTTP/1.1 200 OK\r\n\r\n");
        std::string const piece(65536, 'x');
        while (!connection.closed_by_peer())
        {
            connection.send(piece);
        }
        return false;
    }
    if (path == "/api/log-read")
    {
        std::unique_lock lock{mutex_};
        auto const       pause = read_pause_;
        lock.unlock();
        std::this_thread::sleep_for(pause);
    }
    auto const response = path == "/api/log-append" ? append(request)
                          : path == "/api/log-read" ? read(request, view)
                                                    : newest_by_key(request, view);
    if (kind == store_fault_kind::losing_responses && path == "/api/log-append")
    {
        return false;
    }
    connection.send(response);
    return true;
}

std::string store_standin::append(wire_request const& request)
{
    std::uint64_t end = 0;
    {
        std::lock_guard lock{mutex_};
        auto&           topic = topics_[request.query("topic")];
        auto const      at = request.query("at");
        end = topic.records.size();
        if (!at.empty() && std::stoull(at) != end)
        {
            return json_response(precondition_failed, {{"end_offset", end}});
        }
        for (auto& record : split_records(request.body))
        {
            topic.records.push_back(std::move(record));
        }
        auto const first = end;
        end = topic.records.size();
        appended_.notify_all();
        return json_response(ok, {{"offset", first}, {"end_offset", end}});
    }
}

std::string store_standin::read(wire_request const& request, value_view const& view)
{
    std::unique_lock lock{mutex_};
    auto&            topic = topics_[request.query("topic")];
    auto const       from = std::stoull(request.query("source"));
    auto const       wait = request.query("wait_ms");
    if (from < topic.first_offset)
    {
        return json_response(gone, {{"first_offset", topic.first_offset}});
    }
    if (!wait.empty())
    {
        appended_.wait_for(lock, std::chrono::milliseconds{std::stoi(wait)},
                           [&] { return stopping_ || topic.records.size() > from; });
    }
    auto const               most = records_per_read_;
    std::vector<std::string> records;
    for (auto at = from; at < topic.records.size() && records.size() < most; ++at)
    {
        auto const record =
            view ? platform::decode_keyed(topic.records[at], at) : std::nullopt;
        records.push_back(
            record && record->value
                ? encode_keyed(record->key,
                               view(request.query("topic"), record->key, *record->value))
                : topic.records[at]);
    }
    return wire_response(ok, "",
                         big_endian(topic.records.size()) +
                             big_endian(topic.first_offset) +
                             platform::frame_records(records));
}

std::string store_standin::newest_by_key(wire_request const& request,
                                         value_view const&   view)
{
    std::lock_guard lock{mutex_};
    auto&           topic = topics_[request.query("topic")];
    std::map<std::string, std::pair<std::string, std::size_t>> values;
    for (std::size_t at = 0; at < topic.records.size(); ++at)
    {
        auto const record = platform::decode_keyed(topic.records[at], at);
        if (record && record->value)
        {
            values[record->key] = {*record->value, at};
        }
        else if (record)
        {
            values.erase(record->key);
        }
    }
    auto items = nlohmann::json::array();
    for (auto const& [key, value] : values)
    {
        auto const seen =
            view ? view(request.query("topic"), key, value.first) : value.first;
        items.push_back(
            {{"key", key}, {"value", base64(seen)}, {"offset", value.second}});
    }
    return json_response(
        ok,
        {{"items", items}, {"has_more", false}, {"end_offset", topic.records.size()}});
}

} // namespace marigoldcrank::tests
