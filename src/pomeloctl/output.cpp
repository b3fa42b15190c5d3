#include "output.h"

#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <ostream>
#include <string>
#include <vector>

namespace pomeloctl
{

namespace
{

using Row = std::vector<std::string>;

/// Formats a number with the fewest digits that represent it exactly.
std::string numberText(double number)
{
    std::array<char, 32> buffer{};
    const auto [end, error] = std::to_chars(buffer.data(), buffer.data() + buffer.size(), number);
    return {buffer.data(), end};
}

std::string cellText(const boost::json::value &value)
{
    if (value.is_string()) {
        return std::string(value.get_string());
    }
    if (value.is_double()) {
        return numberText(value.get_double());
    }
    return value.is_null() ? "-" : boost::json::serialize(value);
}

bool isTable(const boost::json::value &value)
{
    return value.is_array() && !value.get_array().empty()
        && std::ranges::all_of(value.get_array(), [](const auto &entry) { return entry.is_object(); });
}

Row columnsOf(const boost::json::array &rows)
{
    Row columns;
    for (const auto &row : rows) {
        for (const auto &[key, value] : row.get_object()) {
            if (std::ranges::find(columns, std::string(key)) == columns.end()) {
                columns.emplace_back(key);
            }
        }
    }
    return columns;
}

void printRow(std::ostream &out, const Row &row, const std::vector<std::size_t> &widths)
{
    std::string line;
    for (std::size_t i = 0; i < row.size(); ++i) {
        line += row[i];
        line.append(widths[i] - row[i].size() + 2, ' ');
    }
    out << line.substr(0, line.find_last_not_of(' ') + 1) << '\n';
}

void printTable(std::ostream &out, const boost::json::array &rows)
{
    const auto columns = columnsOf(rows);
    std::vector<Row> cells{columns};
    for (const auto &row : rows) {
        Row line;
        for (const auto &column : columns) {
            const auto *value = row.get_object().if_contains(column);
            line.push_back(value ? cellText(*value) : "-");
        }
        cells.push_back(std::move(line));
    }
    std::vector<std::size_t> widths(columns.size());
    for (const auto &row : cells) {
        for (std::size_t i = 0; i < row.size(); ++i) {
            widths[i] = std::max(widths[i], row[i].size());
        }
    }
    for (const auto &row : cells) {
        printRow(out, row, widths);
    }
}

} // namespace

void print(std::ostream &out, const boost::json::value &document, OutputFormat format)
{
    if (format == OutputFormat::Json || !document.is_object()) {
        out << boost::json::serialize(document) << '\n';
        return;
    }
    for (const auto &[key, value] : document.get_object()) {
        if (!isTable(value)) {
            out << key << "  " << cellText(value) << '\n';
        }
    }
    for (const auto &[key, value] : document.get_object()) {
        if (isTable(value)) {
            out << '\n' << key << ":\n";
            printTable(out, value.get_array());
        }
    }
}

} // namespace pomeloctl
