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
    auto &state = known->second;
    if (sender.incarnation < state.incarnation) {
        return false;
    }
    if (sequence > state.highest) {
        const auto step = sequence - state.highest;
        state.accepted = step < Width ? (state.accepted << step) | 1U : 1U;
        state.highest = sequence;
        return true;
    }
    const auto age = state.highest - sequence;
    const auto bit = age < Width ? std::uint64_t{1} << age : 0;
    if (bit == 0 || (state.accepted & bit) != 0) {
        return false;
    }
    state.accepted |= bit;
    return true;
}

} // namespace pomeloport
