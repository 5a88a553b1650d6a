// Output and file input that the subcommands share.
#include "operator_output.hpp"

#include <fstream>
#include <iostream>
#include <sstream>

namespace marigoldcrank
{

void print_result(command_context const& context, nlohmann::json const& value,
                  std::string const& text)
{
    std::cout << (context.options.json ? value.dump(2) : text) << "\n";
}

int usage_error(std::string const& text)
{
    std::cerr << "marigoldcrank: " << text << "; see --help\n";
    return exit_usage;
}

leaf::result<std::string> read_file(std::string const& path)
{
    std::ifstream stream(path);
    if (!stream)
    {
        return leaf::new_error(rules_failure{
            {{rule_fault::unreadable_text, path, 0, "", "a readable file"}}});
    }
    std::ostringstream text;
    text << stream.rdbuf();
    return text.str();
}

} // namespace marigoldcrank
