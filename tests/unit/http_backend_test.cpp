// http_backend with engines that send malformed reports and events.
#include "adapters/http_backend.hpp"

#include <httplib.h>

#include <gtest/gtest.h>

#include <thread>

namespace marigoldcrank
{
namespace
{

/// An engine in the test process that sends the same text for every request.
class fake_engine
{
public:
    explicit fake_engine(std::string const& text)
    {
        auto const answer = [text](auto const&, auto& response)
        {
            response.set_content(text, "text/event-stream");
        };
        server_.Get(".*", answer);
        server_.Post(".*", answer);
        port_ = server_.bind_to_any_port("127.0.0.1");
        thread_ = std::thread([this] { server_.listen_after_bind(); });
    }

    ~fake_engine()
    {
        server_.stop();
        thread_.join();
    }

    backend_server address() const
    {
        return {.id = "engine", .host = "127.0.0.1", .port = port_};
    }

private:
    httplib::Server server_;
    int             port_ = 0;
    std::thread     thread_;
};

/// The number of running streams that is read from the report; -1 for a failure.
std::int64_t read_running(std::string const& report)
{
    fake_engine  engine(report);
    http_backend backend({}, millis{500}, "node");
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::int64_t>
        {
            BOOST_LEAF_AUTO(load, backend.load(engine.address()));
            return load.running;
        },
        [] { return std::int64_t{-1}; });
}

TEST(http_backend, reads_load_fields_of_the_wrong_type_as_missing)
{
    EXPECT_EQ(read_running(R"({"running":3})"), 3);
    EXPECT_EQ(read_running(R"({"running":"many","role":7,"lag_ms":null,"leaving":1})"),
              0);
    EXPECT_EQ(read_running("[1]"), -1);
    EXPECT_EQ(read_running("nonsense"), -1);
}

TEST(http_backend, passes_on_malformed_events_without_a_request_id)
{
    fake_engine  engine("data: {\"request_id\":7,\"attempt\":\"x\",\"last\":2}\n\n");
    http_backend backend({}, millis{500}, "node");
    std::vector<stream_event> events;
    bool const                ended = leaf::try_handle_all(
        [&]() -> leaf::result<bool>
        {
            BOOST_LEAF_CHECK(backend.stream(engine.address(), {.path = "/v1/completions"},
                                                           [&](stream_event const& event)
                                                           {
                                                events.push_back(event);
                                                return event_verdict::no_progress;
                                            }));
            return true;
        },
        [] { return false; });
    EXPECT_TRUE(ended);
    EXPECT_EQ(events, std::vector<stream_event>{stream_event{}});
}

} // namespace
} // namespace marigoldcrank
