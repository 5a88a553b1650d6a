// Configures the duty runner of a node from its settings.
//
// Index: node_duties
#ifndef MARIGOLDCRANK_APP_NODE_DUTIES_HPP
#define MARIGOLDCRANK_APP_NODE_DUTIES_HPP

#include "adapters/http_backend.hpp"
#include "adapters/http_engine_state.hpp"
#include "adapters/http_platform.hpp"
#include "adapters/order_socket.hpp"
#include "app/duty_runner.hpp"
#include "domain/settings.hpp"

#include <sstream>

namespace marigoldcrank
{

/// Runs from construction until stop() or destruction.
class node_duties
{
public:
    node_duties(settings const& options, std::string const& holder, lease_durations lease,
                log_writer<http_platform>& writer, ledger_store& store,
                http_platform& platform, server_directory& directory, span_store& spans)
        : orders_(millis{options.order_timeout_ms}, options.name),
          engines_({millis{options.connect_ms}, millis{options.order_timeout_ms}},
                   options.name),
          probe_({millis{options.connect_ms}, millis{options.order_timeout_ms}},
                 millis{options.order_timeout_ms}, options.name),
          runner_(writer, store, platform, orders_, engines_, probe_, directory, spans,
                  duties_of(options, holder, lease))
    {
    }

    /// Ends all duties and releases their leases; see duty_runner.
    void release_duties()
    {
        runner_.release_duties();
    }

    void stop()
    {
        runner_.stop();
    }

private:
    static duty_options duties_of(settings const& options, std::string const& holder,
                                  lease_durations lease)
    {
        duty_options       value{.data_centre = options.data_centre,
                                 .holder = holder,
                                 .lease = lease,
                                 .orders = {.margin = millis{options.order_margin_ms},
                                            .notice = millis{options.order_notice_ms},
                                            .abandon_after = millis{options.order_settle_ms},
                                            .check_interval = millis{options.order_every_ms},
                                            .append = lease.renew},
                                 .platform = {.host = options.platform_host,
                                              .port = static_cast<int>(options.platform_port),
                                              .data_centres = {}}};
        std::istringstream words(options.order_centres);
        std::string        word;
        while (words >> word)
        {
            value.platform.data_centres.insert(word);
        }
        return value;
    }

    order_socket      orders_;
    http_engine_state engines_;
    http_backend      probe_; // queries loads, with timeouts shorter than a lease
    duty_runner<http_platform, http_platform, order_socket, http_engine_state,
                http_backend>
        runner_;
};

} // namespace marigoldcrank

#endif
