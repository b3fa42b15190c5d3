#include "pomelofake/answercheck.h"

#include "pomelofake/answer.h"

namespace pomelofake
{

AnswerCheck AnswerCheck::ofEngine(std::vector<std::uint64_t> seeds, std::uint64_t count)
{
    AnswerCheck check;
    check.m_seeds = std::move(seeds);
    check.m_count = count;
    return check;
}

AnswerCheck AnswerCheck::ofService(std::string result)
{
    AnswerCheck check;
    check.m_result = std::move(result);
    return check;
}

void AnswerCheck::addChunk(std::uint64_t index, std::string_view text)
{
    if (index != m_next) {
        fail("chunk " + std::to_string(index) + " came instead of " + std::to_string(m_next));
        return;
    }
    ++m_next;
    if (m_seeds.empty()) {
        if (text != m_result) {
            fail("the result is not that of the action");
        }
        return;
    }
    std::erase_if(m_seeds, [&](std::uint64_t seed) { return chunkText(seed, index) != text; });
    if (m_seeds.empty()) {
        fail("chunk " + std::to_string(index) + " is not of this answer");
    }
}

void AnswerCheck::end(std::uint64_t count, std::uint64_t digest)
{
    if (!right()) {
        return;
    }
    if (m_next != m_count || count != m_count) {
        fail("the answer ended after " + std::to_string(m_next) + " of " + std::to_string(m_count) + " chunks");
    } else if (digest != expectedDigest()) {
        fail("the end marker carries another digest");
    }
}

void AnswerCheck::whole(std::uint64_t count, std::uint64_t digest, std::string_view text)
{
    if (m_seeds.empty()) {
        addChunk(0, text);
    }
    while (right() && !m_seeds.empty() && m_next < count) {
        const auto length = chunkText(m_seeds.front(), m_next).size();
        addChunk(m_next, text.substr(0, length));
        text.remove_prefix(std::min(length, text.size()));
    }
    if (right() && !m_seeds.empty() && !text.empty()) {
        fail("the answer is longer than its count says");
    }
    end(count, digest);
}

std::uint64_t AnswerCheck::chunks() const
{
    return m_next;
}

bool AnswerCheck::right() const
{
    return m_fault.empty();
}

const std::string &AnswerCheck::fault() const
{
    return m_fault;
}

void AnswerCheck::fail(std::string fault)
{
    if (m_fault.empty()) {
        m_fault = std::move(fault);
    }
}

std::uint64_t AnswerCheck::expectedDigest() const
{
    return m_seeds.empty() ? digestOf(m_result) : answerDigest(m_seeds.front(), m_count);
}

} // namespace pomelofake
