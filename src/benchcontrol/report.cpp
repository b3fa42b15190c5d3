#include "report.h"

#include <iomanip>
#include <iostream>

namespace benchcontrol
{

void Report::add(const Figure &figure)
{
    const int digits = figure.value < 0.1 ? 6 : 3;
    std::cout << "metric=" << figure.metric << " nodes=" << figure.nodes;
    if (!figure.labels.empty()) {
        std::cout << ' ' << figure.labels;
    }
    std::cout << " value=" << std::fixed << std::setprecision(digits) << figure.value << " unit=" << figure.unit;
    if (figure.bound) {
        const bool within = figure.value <= *figure.bound;
        m_kept = m_kept && within;
        std::cout << " bound=" << *figure.bound << " verdict=" << (within ? "pass" : "fail");
    } else {
        std::cout << " bound=none verdict=printed";
    }
    std::cout << std::endl;
}

} // namespace benchcontrol
