// Reads /proc.
#include "support/process_figures.hpp"

#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>

namespace marigoldcrank::tests
{

process_figures read_figures(pid_t process)
{
    constexpr std::int64_t bytes_per_kib = 1024;
    auto const             folder = "/proc/" + std::to_string(process);
    process_figures        result;
    std::ifstream          status(folder + "/status");
    for (std::string line; std::getline(status, line);)
    {
        if (line.rfind("VmHWM:", 0) == 0)
        {
            result.peak_memory = std::stoll(line.substr(6)) * bytes_per_kib;
        }
    }
    std::error_code                           ended;
    std::filesystem::directory_iterator const open{folder + "/fd", ended};
    result.descriptors = ended ? 0 : std::distance(begin(open), end(open));
    return result;
}

} // namespace marigoldcrank::tests
