#include "answerassembler.h"

#include <xxhash.h>

namespace pomeloport::detail
{

namespace
{

/// Chunks that are further ahead of the next expected one than this are dropped.
constexpr std::uint64_t ReorderWindow = 4096;

} // namespace

void AnswerAssembler::FreeState::operator()(XXH64_state_s *state) const
{
    XXH64_freeState(state);
}

AnswerAssembler::AnswerAssembler(bool keepText)
    : m_keepText(keepText)
    , m_hash(XXH64_createState())
{
    XXH64_reset(m_hash.get(), 0);
}

void AnswerAssembler::addChunk(std::uint64_t index, std::string text, const Deliver &deliver)
{
    if (index < m_nextIndex || index - m_nextIndex > ReorderWindow) {
        return;
    }
    if (index == m_nextIndex && m_pendingChunks.empty()) {
        deliverNext(std::move(text), deliver);
        return;
    }
    m_pendingChunks.emplace(index, std::move(text));
    for (auto chunk = m_pendingChunks.begin(); chunk != m_pendingChunks.end() && chunk->first == m_nextIndex;
         chunk = m_pendingChunks.begin()) {
        auto next = std::move(chunk->second);
        m_pendingChunks.erase(chunk);
        deliverNext(std::move(next), deliver);
    }
}

void AnswerAssembler::deliverNext(std::string text, const Deliver &deliver)
{
    XXH64_update(m_hash.get(), text.data(), text.size());
    if (m_keepText) {
        m_text += text;
    }
    deliver(m_nextIndex, std::move(text));
    ++m_nextIndex;
}

void AnswerAssembler::setEndMarker(std::uint64_t count, std::optional<std::uint64_t> digest)
{
    m_endMarker = EndMarker{count, digest};
}

void AnswerAssembler::resetAttempt()
{
    m_pendingChunks.clear();
    m_endMarker.reset();
}

AnswerAssembler::State AnswerAssembler::state() const
{
    if (!m_endMarker) {
        return State::Incomplete;
    }
    if (m_nextIndex < m_endMarker->count) {
        return State::Incomplete;
    }
    const bool matching = m_nextIndex == m_endMarker->count && m_endMarker->digest.value_or(digest()) == digest();
    return matching ? State::Complete : State::Corrupt;
}

std::uint64_t AnswerAssembler::nextIndex() const
{
    return m_nextIndex;
}

std::uint64_t AnswerAssembler::digest() const
{
    return XXH64_digest(m_hash.get());
}

const std::string &AnswerAssembler::text() const
{
    return m_text;
}

} // namespace pomeloport::detail
