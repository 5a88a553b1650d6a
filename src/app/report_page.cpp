// HTML report with plots as inline SVG.
#include "app/report_page.hpp"

#include <algorithm>
#include <array>
#include <sstream>

namespace marigoldcrank
{

namespace
{
constexpr double width = 900;
constexpr double height = 180;
constexpr double margin = 40;

struct plot
{
    char const*              title;
    std::vector<std::string> columns;
};

std::vector<plot> const& plots()
{
    static std::vector<plot> const table{
        {"Goodput: requests offered, and requests that met their targets, per second",
         {"offered", "good"}},
        {"Worst-served workspace: share of its requests that met their targets",
         {"worst"}},
        {"Spending: paid servers by price, and engines that the demand keeps busy",
         {"dear", "cheap", "need"}},
        {"Roles: engines used for prefill, role changes", {"prefill", "changes"}},
        {"Refusals per second", {"refused"}}};
    return table;
}

std::string escaped(std::string const& text)
{
    std::string result;
    for (char const character : text)
    {
        result += character == '<'   ? "&lt;"
                  : character == '&' ? "&amp;"
                                     : std::string(1, character);
    }
    return result;
}

std::size_t column_of(report_series const& series, std::string const& name)
{
    auto const found = std::find(series.columns.begin(), series.columns.end(), name);
    return static_cast<std::size_t>(found - series.columns.begin());
}

double highest(report_series const& series, plot const& spec)
{
    double top = 1e-9;
    for (auto const& name : spec.columns)
    {
        auto const column = column_of(series, name);
        for (auto const& row : series.rows)
        {
            top = column < row.size() ? std::max(top, row[column]) : top;
        }
    }
    return top;
}

std::string line_of(report_series const& series, std::size_t column, double top,
                    char const* colour)
{
    std::ostringstream out;
    auto const         last = series.rows.empty() ? 1.0 : series.rows.back().front();
    out << "<polyline fill='none' stroke='" << colour << "' stroke-width='2' points='";
    for (auto const& row : series.rows)
    {
        auto const x = margin + row.front() / std::max(1.0, last) * (width - 2 * margin);
        auto const y = height - margin - row[column] / top * (height - 2 * margin);
        out << x << "," << y << " ";
    }
    out << "'/>";
    return out.str();
}

std::string format_plot(report_series const& series, plot const& spec)
{
    static constexpr std::array colours{"#1f6f8b", "#c8553d", "#588b3c"};
    auto const                  top = highest(series, spec);
    std::ostringstream          out;
    out << "<h2>" << spec.title << "</h2>\n<svg viewBox='0 0 " << width << " " << height
        << "' role='img'><line x1='" << margin << "' y1='" << height - margin << "' x2='"
        << width - margin << "' y2='" << height - margin
        << "' stroke='#999'/><text x='0' y='" << margin << "' font-size='12'>" << top
        << "</text>";
    for (std::size_t index = 0; index < spec.columns.size(); ++index)
    {
        auto const  column = column_of(series, spec.columns[index]);
        auto const* colour = colours.at(index % colours.size());
        if (column < series.columns.size())
        {
            out << line_of(series, column, top, colour) << "<text x='"
                << margin + 120.0 * static_cast<double>(index) << "' y='" << height - 8
                << "' font-size='13' fill='" << colour << "'>" << spec.columns[index]
                << "</text>";
        }
    }
    out << "</svg>\n";
    return out.str();
}
} // namespace

leaf::result<report_series> parse_series(std::string const& text)
{
    report_series      series;
    std::istringstream stream(text);
    for (std::string line; std::getline(stream, line);)
    {
        std::istringstream words(line);
        std::string        kind;
        words >> kind;
        if (kind == "title")
        {
            std::getline(words >> std::ws, series.title);
        }
        else if (kind == "refused")
        {
            std::string cause;
            words >> cause >> series.refused[cause];
        }
        else if (kind == "columns")
        {
            for (std::string name; words >> name;)
            {
                series.columns.push_back(name);
            }
        }
        else
        {
            std::istringstream  numbers(line);
            std::vector<double> row;
            for (double number = 0; numbers >> number;)
            {
                row.push_back(number);
            }
            if (row.empty() || row.size() != series.columns.size())
            {
                return leaf::new_error(message_failure{"series", line});
            }
            series.rows.push_back(std::move(row));
        }
    }
    return series;
}

std::string format_report(report_series const& series)
{
    std::ostringstream out;
    out << "<!DOCTYPE html><html lang='en'><head><meta charset='utf-8'><title>"
        << escaped(series.title)
        << "</title><style>body{font:15px sans-serif;max-width:920px;margin:2em auto}"
           "h2{font-size:15px}td{padding:2px 12px}</style></head><body>\n<h1>"
        << escaped(series.title) << "</h1>\n";
    for (auto const& spec : plots())
    {
        out << format_plot(series, spec);
    }
    out << "<h2>Refusals by cause</h2>\n<table>";
    for (auto const& [cause, count] : series.refused)
    {
        out << "<tr><td>" << escaped(cause) << "</td><td>" << count << "</td></tr>";
    }
    out << (series.refused.empty() ? "<tr><td>none</td></tr>" : "")
        << "</table>\n</body></html>\n";
    return out.str();
}

} // namespace marigoldcrank
