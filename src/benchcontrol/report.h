#pragma once

#include <cstddef>
#include <optional>
#include <string>

/// Output of the bench: one line of key=value pairs for each figure.
namespace benchcontrol
{

/// One figure with its bound.
struct Figure
{
    std::string metric;
    std::size_t nodes = 0;
    /// Further keys, for example "loss=0.1".
    std::string labels;
    double value = 0;
    std::string unit;
    /// The value may not exceed it; a figure without one is only printed.
    std::optional<double> bound;
};

/// Prints figures and remembers whether one exceeds its bound.
class Report
{
public:
    void add(const Figure &figure);

    /// Whether all figures keep to their bounds.
    bool kept() const
    {
        return m_kept;
    }

private:
    bool m_kept = true;
};

} // namespace benchcontrol
