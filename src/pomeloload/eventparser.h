#pragma once

#include <string>
#include <string_view>

/// Reading of server-sent events.
namespace pomeloload
{

/// One event: its name, empty for plain data, and its data.
struct ServerEvent
{
    std::string_view name;
    std::string_view data;
};

/// Splits a stream that arrives in pieces into events.
class EventParser
{
public:
    /// Takes a piece and calls the function for each event that it completes.
    template<typename Function>
    void take(std::string_view piece, Function &&function)
    {
        m_pending += piece;
        std::size_t begin = 0;
        for (auto end = m_pending.find("\n\n"); end != std::string::npos; end = m_pending.find("\n\n", begin)) {
            function(parse(std::string_view(m_pending).substr(begin, end - begin)));
            begin = end + 2;
        }
        m_pending.erase(0, begin);
    }

private:
    static ServerEvent parse(std::string_view block)
    {
        constexpr std::string_view NameField = "event: ";
        constexpr std::string_view DataField = "data: ";
        ServerEvent event;
        while (!block.empty()) {
            const auto line = block.substr(0, block.find('\n'));
            if (line.starts_with(NameField)) {
                event.name = line.substr(NameField.size());
            } else if (line.starts_with(DataField)) {
                event.data = line.substr(DataField.size());
            }
            block.remove_prefix(std::min(block.size(), line.size() + 1));
        }
        return event;
    }

    std::string m_pending;
};

} // namespace pomeloload
