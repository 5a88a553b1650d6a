// Formats the report of a usage window as JSON.
#include "app/usage_reporter.hpp"

#include <nlohmann/json.hpp>

namespace marigoldcrank
{

std::string format_window(sealed_window const& window)
{
    using nlohmann::json;
    json figures = json::array();
    for (auto const& [key, figure] : window.figures)
    {
        figures.push_back({{"workspace", key.first},
                           {"model", key.second},
                           {"prompt_tokens", figure.prompt_tokens},
                           {"output_tokens", figure.output_tokens},
                           {"calls", figure.calls}});
    }
    return json{{"window", window.window},
                {"sealed_at_offset", window.sealed_at},
                {"ended_at_unix_ms", window.ended_at_unix_ms},
                {"figures", figures}}
        .dump();
}

} // namespace marigoldcrank
