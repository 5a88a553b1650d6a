// Stand-in for an engine: streams generated tokens in a batch with a prefix cache, and
// takes orders for its role and models.
//
// Index: 1 engine, 2 streams, 3 other routes, 4 main
//
// Faults besides the common ones:
//   truncate        ends a stream in its middle without the end marker
//   crossed         sends a stream under the request id of another request
//   crossed_middle  sends an event of another request before each token
//   stale           sends an event of an earlier attempt before each token
//   doubled         sends the event of each token twice
//   reordered       swaps neighbouring events
//   malformed       sends an event with fields of wrong types before each token
//   late            delays the first token of a stream by for_ms
//   slow_decode     multiplies the time between tokens by for_ms, which is a factor here
//   silent          sends nothing for for_ms in the middle of a stream, then ends it
//   without
//                   the end marker
//   junk            like silent, but sends events that hold no token meanwhile
//   crash_stream    ends the process before the next token of a stream
//   crash_middle    ends the process in the middle of a stream
//   leaving         makes the load report say that this engine will go away
// A prompt that contains the text of the setting `poison` ends the process, so a request
// with it crashes every engine that has the same setting.
#include "engine_model.hpp"
#include "standin_server.hpp"

#include <xxhash.h>

#include <unistd.h>

#include <thread>
#include <utility>

namespace
{

using namespace marigoldcrank::standins;
using nlohmann::json;

constexpr int          status_changing = 503;
constexpr int          crash_exit = 137;
constexpr std::int64_t bytes_per_token = 4;
constexpr std::int64_t default_tokens = 16;

// 1. Engine

struct engine
{
    engine(engine_options const& value, standin_server& shared)
        : options(value), server(shared),
          cache(value.cache_tokens, value.event_lag_ms, value.event_gap),
          orders(value.checks_fencing), slots(value.batch)
    {
    }

    engine_options  options;
    standin_server& server;
    std::string     poison; // a prompt with this text ends the process; "" for none
    prefix_cache    cache;
    applied_orders  orders;
    batch_slots     slots;
    std::mutex      mutex;
    json            generated = json::array(); // ended streams, which audits read
    json            reported_load = json::object();
    std::int64_t    reported_at_ms = -1'000'000;
};

/// One stream to generate, as the headers and the body of its request describe it.
struct stream_job
{
    std::string   request_id;
    std::string   sender;
    std::string   workspace;
    std::uint64_t attempt = 1;
    std::uint64_t resume_from = 0;
    std::string   prompt;
    std::uint64_t tokens = 0; // of the complete response, with those before resume_from
    std::int64_t  priority = 0;
};

std::uint64_t header_number(httplib::Request const& request, char const* name,
                            std::uint64_t default_value)
{
    auto const text = request.get_header_value(name);
    return text.empty() ? default_value : std::strtoull(text.c_str(), nullptr, 10);
}

stream_job parse_job(httplib::Request const& request, json const& body)
{
    stream_job job;
    job.request_id = request.get_header_value("X-Request-Id");
    job.sender = request.get_header_value("X-Sender");
    job.workspace = request.get_header_value("X-Workspace");
    job.attempt = header_number(request, "X-Attempt", 1);
    job.resume_from = header_number(request, "X-Resume-From", 0);
    job.priority = static_cast<std::int64_t>(header_number(request, "X-Priority", 0));
    job.prompt =
        body.contains("messages") ? body["messages"].dump() : body.value("prompt", "");
    job.tokens = static_cast<std::uint64_t>(body.value("max_tokens", default_tokens));
    return job;
}

// 2. Streams

std::string token_event(stream_job const& job, std::uint64_t sequence,
                        std::string const& token)
{
    return "data: " +
           json{{"request_id", job.request_id},
                {"attempt", job.attempt},
                {"sequence", sequence},
                {"text", token}}
               .dump() +
           "\n\n";
}

std::string end_event(stream_job const& job, std::int64_t prompt_tokens)
{
    return "data: " +
           json{{"request_id", job.request_id},   {"attempt", job.attempt},
                {"sequence", job.tokens},         {"last", true},
                {"prompt_tokens", prompt_tokens}, {"output_tokens", job.tokens}}
               .dump() +
           "\n\n";
}

std::string cancelled_event(stream_job const& job, std::int64_t prompt_tokens,
                            std::uint64_t count)
{
    return "data: " +
           json{{"request_id", job.request_id},
                {"attempt", job.attempt},
                {"sequence", count},
                {"last", true},
                {"cancelled", true},
                {"prompt_tokens", prompt_tokens},
                {"output_tokens", count}}
               .dump() +
           "\n\n";
}

/// Faults of one stream, consumed once when it starts.
struct stream_faults
{
    stream_faults(standin_server& server, std::string const& sender)
        : slow(server.consume_fault("slow_decode", sender)),
          silent(server.consume_fault("silent", sender)),
          junk(server.consume_fault("junk", sender)),
          truncate(server.consume_fault("truncate", sender)),
          crossed_middle(server.consume_fault("crossed_middle", sender)),
          stale(server.consume_fault("stale", sender)),
          doubled(server.consume_fault("doubled", sender)),
          reordered(server.consume_fault("reordered", sender)),
          malformed(server.consume_fault("malformed", sender)),
          crash_middle(server.consume_fault("crash_middle", sender))
    {
    }

    std::optional<fault> slow;
    std::optional<fault> silent;
    std::optional<fault> junk;
    std::optional<fault> truncate;
    std::optional<fault> crossed_middle;
    std::optional<fault> stale;
    std::optional<fault> doubled;
    std::optional<fault> reordered;
    std::optional<fault> malformed;
    std::optional<fault> crash_middle;
};

/// Returns the event of a token together with the events that the faults add.
std::string events_with_faults(stream_faults const& faults, stream_job const& job,
                               std::uint64_t sequence, std::string const& token)
{
    std::string text;
    if (faults.stale)
    {
        auto earlier = job;
        --earlier.attempt;
        text += token_event(earlier, sequence, "stale ");
    }
    if (faults.crossed_middle)
    {
        auto other = job;
        other.request_id = "other-request";
        text += token_event(other, sequence, "foreign ");
    }
    if (faults.malformed)
    {
        text += "data: {\"request_id\":7,\"attempt\":\"x\",\"text\":[]}\n\n";
    }
    auto const own = token_event(job, sequence, token);
    text += faults.doubled ? own + own : own;
    return text;
}

/// Sends events without a token until for_ms have passed or the client has disconnected.
void send_junk_events(httplib::DataSink& sink, std::int64_t for_ms)
{
    constexpr std::int64_t interval_ms = 20;
    std::string const      junk = "data: {\"request_id\":\"junk\"}\n\n";
    for (std::int64_t waited = 0; waited < for_ms; waited += interval_ms)
    {
        std::this_thread::sleep_for(std::chrono::milliseconds(interval_ms));
        if (!sink.write(junk.data(), junk.size()))
        {
            return;
        }
    }
}

/// Applies the faults that occur in the middle of a stream. Returns true if the stream
/// ends there.
bool apply_midstream_fault(stream_faults const& faults, httplib::DataSink& sink)
{
    if (faults.crash_middle)
    {
        _exit(crash_exit);
    }
    if (faults.silent)
    {
        std::this_thread::sleep_for(std::chrono::milliseconds(faults.silent->for_ms));
    }
    if (faults.junk)
    {
        send_junk_events(sink, faults.junk->for_ms);
    }
    return faults.truncate || faults.silent || faults.junk;
}

/// Sends the tokens from resume_from on; returns how many were generated.
std::uint64_t send_stream(engine& self, stream_job const& job, std::string const& key,
                          std::int64_t prompt_tokens, httplib::DataSink& sink)
{
    auto const          hash = XXH64(job.prompt.data(), job.prompt.size(), 0);
    stream_faults const faults(self.server, job.sender);
    auto const          half = job.resume_from + (job.tokens - job.resume_from) / 2;
    auto const  factor = faults.slow ? std::max<std::int64_t>(faults.slow->for_ms, 1) : 1;
    std::string delayed;
    for (auto sequence = job.resume_from; sequence < job.tokens; ++sequence)
    {
        if (self.slots.is_cancelled(key))
        {
            auto const text = cancelled_event(job, prompt_tokens, sequence);
            sink.write(text.data(), text.size());
            return sequence - job.resume_from;
        }
        if (sequence == half && apply_midstream_fault(faults, sink))
        {
            return sequence - job.resume_from;
        }
        if (self.server.consume_fault("crash_stream", job.sender))
        {
            _exit(crash_exit);
        }
        std::this_thread::sleep_for(
            std::chrono::microseconds(self.options.decode_us * factor));
        auto text =
            events_with_faults(faults, job, sequence, generate_token(hash, sequence));
        if (faults.reordered && delayed.empty() && sequence + 1 < job.tokens)
        {
            delayed = std::move(text);
            continue;
        }
        text += std::exchange(delayed, {});
        if (!sink.write(text.data(), text.size()))
        {
            return sequence + 1 - job.resume_from;
        }
    }
    auto const text = end_event(job, prompt_tokens);
    sink.write(text.data(), text.size());
    return job.tokens - job.resume_from;
}

std::string attempt_key(std::string const& request_id, std::uint64_t attempt)
{
    return request_id + "/" + std::to_string(attempt);
}

void run_job(engine& self, stream_job job, httplib::DataSink& sink)
{
    auto const prompt_tokens =
        static_cast<std::int64_t>(job.prompt.size()) / bytes_per_token;
    auto const key = attempt_key(job.request_id, job.attempt);
    if (!self.slots.acquire(key, job.priority, prompt_tokens))
    {
        auto const text = cancelled_event(job, 0, job.resume_from);
        sink.write(text.data(), text.size());
        return;
    }
    auto const request_id = job.request_id;
    auto const computed =
        prompt_tokens - self.cache.lookup_and_store(job.prompt, self.server.elapsed_ms());
    if (auto const late = self.server.consume_fault("late", job.sender))
    {
        std::this_thread::sleep_for(std::chrono::milliseconds(late->for_ms));
    }
    if (self.server.consume_fault("crossed", job.sender))
    {
        job.request_id = "other-request";
    }
    std::this_thread::sleep_for(
        std::chrono::microseconds(computed * 1'000'000 / self.options.prefill_per_s));
    self.slots.finish_prefill(prompt_tokens);
    auto const count = send_stream(self, job, key, prompt_tokens, sink);
    self.slots.release(key);
    std::lock_guard const lock(self.mutex);
    self.generated.push_back({{"request_id", request_id},
                              {"workspace", job.workspace},
                              {"attempt", job.attempt},
                              {"resume_from", job.resume_from},
                              {"prompt_tokens", prompt_tokens},
                              {"output_tokens", count}});
}

void add_stream_routes(engine& self)
{
    auto generate = [&](httplib::Request const& request, httplib::Response& response)
    {
        auto const body = json::parse(request.body, nullptr, false);
        if (!body.is_object())
        {
            write_json(response, {{"error", "malformed"}}, 400);
            return;
        }
        auto const job = parse_job(request, body);
        if (!self.poison.empty() && job.prompt.find(self.poison) != std::string::npos)
        {
            _exit(crash_exit);
        }
        if (self.orders.is_changing_role(self.server.elapsed_ms()))
        {
            write_json(response, {{"error", "changing role"}}, status_changing);
            return;
        }
        response.set_chunked_content_provider(
            "text/event-stream",
            [&self, job](std::size_t, httplib::DataSink& sink)
            {
                run_job(self, job, sink);
                sink.done();
                return true;
            });
    };
    self.server.route("POST", "/v1/chat/completions", "generate", generate);
    self.server.route("POST", "/v1/completions", "generate", generate);
}

// 3. Other routes

json load_report(engine& self)
{
    std::lock_guard const lock(self.mutex);
    auto const            now = self.server.elapsed_ms();
    if (now - self.reported_at_ms >= self.options.load_lag_ms)
    {
        self.reported_load = self.slots.load();
        self.reported_load["role"] = self.orders.role();
        self.reported_at_ms = now;
    }
    auto answer = self.reported_load;
    answer["lag_ms"] = now - self.reported_at_ms;
    if (self.server.consume_fault("leaving", ""))
    {
        answer["leaving"] = true;
    }
    return answer;
}

void add_state_routes(engine& self)
{
    self.server.route("GET", "/load", "",
                      [&](auto const&, auto& response)
                      { write_json(response, load_report(self)); });
    self.server.route(
        "GET", "/state", "",
        [&](auto const&, auto& response)
        { write_json(response, self.orders.state(self.server.elapsed_ms())); });
    self.server.route(
        "GET", "/events", "",
        [&](auto const& request, auto& response)
        {
            auto const from =
                request.has_param("from") ? request.get_param_value("from") : "0";
            write_json(response,
                       self.cache.events(std::strtoull(from.c_str(), nullptr, 10),
                                         self.server.elapsed_ms()));
        });
    self.server.server().Get("/control/generated",
                             [&](auto const&, auto& response)
                             {
                                 std::lock_guard const lock(self.mutex);
                                 write_json(response, self.generated);
                             });
}

void add_order_routes(engine& self)
{
    self.server.route("POST", "/orders", "order",
                      [&](auto const& request, auto& response)
                      {
                          auto const order = json::parse(request.body, nullptr, false);
                          auto const now = self.server.elapsed_ms();
                          auto const before = self.orders.role();
                          auto const status =
                              self.orders.apply(order, now, self.options.role_change_ms);
                          if (self.orders.role() != before)
                          {
                              // A change of role restarts the batch: streams end in the
                              // middle unless the engine was drained first.
                              self.slots.cancel_all();
                          }
                          write_json(response, self.orders.state(now), status);
                      });
    self.server.route("POST", "/cancel", "cancel",
                      [&](auto const& request, auto& response)
                      {
                          auto const body = json::parse(request.body, nullptr, false);
                          if (body.is_object())
                          {
                              self.slots.cancel(
                                  attempt_key(body.value("request_id", ""),
                                              body.value("attempt", std::uint64_t{1})));
                          }
                          write_json(response, json::object());
                      });
    self.server.route("GET", "/kv/export", "kv_export",
                      [&](auto const& request, auto& response)
                      {
                          auto const prefix = request.get_param_value("prefix");
                          bool const cached = self.cache.contains(prefix);
                          write_json(response, {{"prefix", prefix}}, cached ? 200 : 404);
                      });
    self.server.route("POST", "/kv/import", "kv_import",
                      [&](auto const& request, auto& response)
                      {
                          auto const body = json::parse(request.body, nullptr, false);
                          if (!body.is_object())
                          {
                              write_json(response, {{"error", "malformed"}}, 400);
                              return;
                          }
                          self.cache.import(body.value("prefix", ""),
                                            body.value("tokens", std::int64_t{0}),
                                            self.server.elapsed_ms());
                          write_json(response, json::object());
                      });
}

engine_options parse_options(standin_settings const& settings)
{
    engine_options options;
    options.prefill_per_s = number_setting(settings, "prefill_per_s");
    options.decode_us = number_setting(settings, "decode_us");
    options.batch = number_setting(settings, "batch");
    options.cache_tokens = number_setting(settings, "cache_tokens");
    options.load_lag_ms = number_setting(settings, "load_lag_ms");
    options.event_lag_ms = number_setting(settings, "event_lag_ms");
    options.event_gap = number_setting(settings, "event_gap");
    options.role_change_ms = number_setting(settings, "role_change_ms");
    options.checks_fencing = settings.at("checks_fencing") == "yes";
    return options;
}

} // namespace

// 4. main

int main(int argc, char** argv)
{
    auto const     settings = parse_command_line(argc, argv,
                                                 {{"name", "engine"},
                                                  {"host", "127.0.0.1"},
                                                  {"port", "9100"},
                                                  {"threads", "256"},
                                                  {"prefill_per_s", "20000"},
                                                  {"decode_us", "2000"},
                                                  {"batch", "64"},
                                                  {"cache_tokens", "200000"},
                                                  {"load_lag_ms", "100"},
                                                  {"event_lag_ms", "300"},
                                                  {"event_gap", "0"},
                                                  {"role_change_ms", "2000"},
                                                  {"checks_fencing", "yes"},
                                                  {"poison", ""}},
                                                 "Stand-in for an engine.");
    standin_server server(settings.at("name"),
                          static_cast<std::size_t>(number_setting(settings, "threads")));
    engine         self(parse_options(settings), server);
    self.poison = settings.at("poison");
    add_stream_routes(self);
    add_state_routes(self);
    add_order_routes(self);
    return server.run(settings.at("host"),
                      static_cast<int>(number_setting(settings, "port")));
}
