#include "answerassembler.h"

#include <xxhash.h>

namespace pomeloport::detail
{

namespace
{

/// How far ahead of the next chunk one is kept, in chunks.
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

void AnswerAssembler::take(std::uint64_t index, std::string text, const Deliver &deliver)
{
    if (index < m_next || index - m_next > ReorderWindow) {
        return;
    }
    if (index == m_next && m_ahead.empty()) {
        accept(std::move(text), deliver);
        return;
    }
    m_ahead.emplace(index, std::move(text));
    for (auto chunk = m_ahead.begin(); chunk != m_ahead.end() && chunk->first == m_next; chunk = m_ahead.begin()) {
        auto next = std::move(chunk->second);
        m_ahead.erase(chunk);
        accept(std::move(next), deliver);
    }
}

void AnswerAssembler::accept(std::string text, const Deliver &deliver)
{
    XXH64_update(m_hash.get(), text.data(), text.size());
    if (m_keepText) {
        m_text += text;
    }
    deliver(m_next, std::move(text));
    ++m_next;
}

void AnswerAssembler::end(std::uint64_t count, std::optional<std::uint64_t> digest)
{
    m_end = EndMarker{count, digest};
}

void AnswerAssembler::startAttempt()
{
    m_ahead.clear();
    m_end.reset();
}

AnswerAssembler::State AnswerAssembler::state() const
{
    if (!m_end) {
        return State::Incomplete;
    }
    if (m_next < m_end->count) {
        return State::Incomplete;
    }
    const bool matching = m_next == m_end->count && m_end->digest.value_or(digest()) == digest();
    return matching ? State::Whole : State::Corrupt;
}

std::uint64_t AnswerAssembler::next() const
{
    return m_next;
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
