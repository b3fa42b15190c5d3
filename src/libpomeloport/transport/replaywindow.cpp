#include "pomeloport/transport/replaywindow.h"

namespace pomeloport
{

bool ReplayWindow::accept(const OwnerId &sender, std::uint64_t sequence)
{
    const auto known = m_senders.find(sender.instance);
    if (known == m_senders.end() || sender.incarnation > known->second.incarnation) {
        if (known == m_senders.end() && m_senders.size() >= MaximumSenders) {
            m_senders.erase(m_senders.begin());
        }
        m_senders[sender.instance] = {sender.incarnation, sequence, 1};
        return true;
    }
    auto &seen = known->second;
    if (sender.incarnation < seen.incarnation) {
        return false;
    }
    if (sequence > seen.highest) {
        const auto step = sequence - seen.highest;
        seen.bits = step < Width ? (seen.bits << step) | 1U : 1U;
        seen.highest = sequence;
        return true;
    }
    const auto age = seen.highest - sequence;
    const auto bit = age < Width ? std::uint64_t{1} << age : 0;
    if (bit == 0 || (seen.bits & bit) != 0) {
        return false;
    }
    seen.bits |= bit;
    return true;
}

} // namespace pomeloport
