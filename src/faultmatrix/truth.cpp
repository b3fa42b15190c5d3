#include "truth.h"

#include "pomelofake/answer.h"

#include <algorithm>

namespace faultmatrix
{

using pomeloport::nameOf;

namespace
{

/// Time after which a leaving server gets no new work and a configuration is in force.
constexpr Duration SpreadTime = std::chrono::seconds(3);
/// Time for the last message to reach the caller.
constexpr Duration TellTime = std::chrono::milliseconds(50);

std::string expectedChunk(const Demand &demand, std::uint64_t index)
{
    if (demand.work == Work::Action) {
        return pomelofake::serviceResult(demand.key, std::to_string(demand.promptDigest));
    }
    return pomelofake::chunkText(pomelofake::answerSeed({demand.promptDigest, "m", "", ""}), index);
}

std::uint64_t chunkCount(const Demand &demand)
{
    return demand.work == Work::Action ? 1 : demand.chunks;
}

std::string wholeText(const Demand &demand)
{
    std::string text;
    for (std::uint64_t index = 0; index < chunkCount(demand); ++index) {
        text += expectedChunk(demand, index);
    }
    return text;
}

} // namespace

Truth::Truth(VirtualClock &clock)
    : m_clock(clock)
{
}

std::size_t Truth::send(const Demand &demand, const std::string &instance)
{
    Sending sending;
    sending.demand = demand;
    sending.instance = instance;
    sending.sentAt = m_clock.now();
    sending.deadline = m_clock.now() + demand.patience;
    m_sendings.push_back(std::move(sending));
    return m_sendings.size() - 1;
}

void Truth::admitted(std::size_t sending, const StreamAddress &stream)
{
    m_sendings[sending].admitted = true;
    m_sendings[sending].stream = stream;
    m_byStream[{stream.owner, stream.sequence}] = sending;
}

void Truth::chunk(std::size_t sending, std::uint64_t index, const std::string &text)
{
    Sending &told = m_sendings[sending];
    if (told.ended()) {
        violate(describe(sending) + " got a chunk after its end");
    }
    if (index != told.chunks.size()) {
        violate(describe(sending) + " got chunk " + std::to_string(index) + " out of order or twice");
    }
    told.chunks.push_back(text);
}

void Truth::ended(std::size_t sending, std::uint64_t count, std::uint64_t digest)
{
    Sending &told = m_sendings[sending];
    std::string text;
    for (const std::string &chunk : told.chunks) {
        text += chunk;
    }
    const bool own = text == wholeText(told.demand) && digest == pomelofake::digestOf(text);
    if (count != told.chunks.size() || !own) {
        violate(describe(sending) + " got an answer that is not whole or not its own");
    }
    told.whole = true;
    outcome(sending);
}

void Truth::failed(std::size_t sending, const pomeloport::Failure &failure)
{
    m_sendings[sending].failure = failure;
    outcome(sending);
    m_clock.trace(describe(sending) + " failed: " + std::string(nameOf(failure.verdict)) + ' '
                  + std::string(nameOf(failure.reason)));
    const std::string expected = wholeText(m_sendings[sending].demand);
    std::string text;
    for (const std::string &chunk : m_sendings[sending].chunks) {
        text += chunk;
    }
    if (!expected.starts_with(text)) {
        violate(describe(sending) + " got a part that is not its own");
    }
}

void Truth::outcome(std::size_t sending)
{
    Sending &told = m_sendings[sending];
    ++told.outcomes;
    told.endedAt = m_clock.now();
    if (told.outcomes > 1) {
        violate(describe(sending) + " was told two outcomes");
    }
}

void Truth::lost(std::size_t sending)
{
    Sending &told = m_sendings[sending];
    if (!told.ended()) {
        told.lost = true;
        told.endedAt = m_clock.now();
    }
}

void Truth::reset(std::size_t sending)
{
    m_sendings[sending].reset = true;
    lost(sending);
}

void Truth::cancelled(std::size_t sending)
{
    m_sendings[sending].cancelled = true;
    m_sendings[sending].endedAt = m_clock.now();
}

const Sending *Truth::find(const StreamAddress &stream) const
{
    const auto found = m_byStream.find({stream.owner, stream.sequence});
    return found == m_byStream.end() ? nullptr : &m_sendings[found->second];
}

void Truth::started(const StreamAddress &stream)
{
    const auto found = m_byStream.find({stream.owner, stream.sequence});
    if (found == m_byStream.end()) {
        return;
    }
    Sending &sending = m_sendings[found->second];
    sending.started = true;
    if (!sending.demand.nonIdempotent()) {
        return;
    }
    std::set<StreamAddress> &runs = m_runs[sending.demand.key];
    runs.insert(stream);
    if (runs.size() > 1) {
        violate("action " + sending.demand.key + " ran twice");
    }
}

void Truth::allowLearningByRefusal()
{
    m_learningAllowed = true;
}

void Truth::workArrived(const std::string &backend, const OwnerId &owner)
{
    const auto since = m_leaving.find(backend);
    if (since == m_leaving.end() || m_clock.now() <= since->second + SpreadTime) {
        return;
    }
    const bool first = m_learned.emplace(backend, owner).second;
    if (!m_learningAllowed || !first) {
        violate("new work at " + backend + " although it has been leaving for 3 s");
    }
}

void Truth::leaving(const std::string &backend, bool leaving)
{
    if (leaving) {
        m_leaving.emplace(backend, m_clock.now());
    } else {
        m_leaving.erase(backend);
    }
}

void Truth::configAccepted(std::uint64_t version)
{
    m_accepted[version] = m_clock.now();
    m_clock.trace("configuration " + std::to_string(version) + " accepted");
}

void Truth::admitting(const std::string &instance, std::uint64_t version)
{
    for (const auto &[accepted, at] : m_accepted) {
        if (accepted > version && m_clock.now() > at + SpreadTime) {
            violate(instance + " admits with configuration " + std::to_string(version) + " although "
                    + std::to_string(accepted) + " was accepted 3 s ago");
            return;
        }
    }
}

void Truth::adopted(const std::string &process, std::uint64_t version)
{
    std::uint64_t &before = m_adopted[process];
    if (version < before) {
        violate(process + " went back to configuration " + std::to_string(version));
    }
    before = version;
}

std::uint64_t Truth::configVersion() const
{
    return m_accepted.empty() ? 0 : m_accepted.rbegin()->first;
}

void Truth::violate(const std::string &text)
{
    m_clock.trace("VIOLATION " + text);
    if (m_reported.insert(text).second) {
        m_violations.push_back(text);
    }
}

const std::vector<Sending> &Truth::sendings() const
{
    return m_sendings;
}

const std::vector<std::string> &Truth::violations() const
{
    return m_violations;
}

void Truth::checkSendings()
{
    for (std::size_t i = 0; i < m_sendings.size(); ++i) {
        const Sending &sending = m_sendings[i];
        const bool inTime = sending.ended() && sending.endedAt <= sending.deadline + TellTime;
        if (sending.admitted && !inTime) {
            violate(describe(i) + " did not end in time");
        }
        const bool toldNotRun = sending.failure && sending.failure->verdict == pomeloport::Verdict::NotRun;
        if (toldNotRun && sending.started) {
            violate(describe(i) + " was told not_run but ran");
        }
    }
}

std::string Truth::describe(std::size_t sending) const
{
    const Sending &told = m_sendings[sending];
    return "sending " + std::to_string(sending) + " (" + std::string(nameOf(told.demand.work)) + ' ' + told.demand.key
        + " at " + told.instance + ')';
}

} // namespace faultmatrix
