#include "pomeloport/coordination/configapply.h"

#include "pomeloport/coordination/configpatch.h"

#include <algorithm>
#include <utility>

namespace pomeloport
{

namespace
{

constexpr Duration MaximumRetryDelay = std::chrono::seconds(2);

/// Returns whether the object was written by the change with the given token or by a later change based on it.
bool includesChange(const ConfigObject &object, const std::string &token)
{
    return object.token == token || std::ranges::find(object.earlier, token) != object.earlier.end();
}

} // namespace

ConfigApply::ConfigApply(ConfigEdit edit, Instant deadline)
    : m_edit(std::move(edit))
    , m_deadline(deadline)
{
}

ConfigApplyStep ConfigApply::begin(Instant now)
{
    return readBack(now);
}

ConfigApplyStep ConfigApply::handle(const StoreReply &reply, Instant now)
{
    return m_reading ? afterRead(reply, now) : afterWrite(reply, now);
}

ConfigApplyStep ConfigApply::readBack(Instant at)
{
    m_reading = true;
    return configapply::Call{{.id = m_nextCall++,
                              .operation = StoreOperation::Get,
                              .kind = std::string(ConfigKind),
                              .name = std::string(ConfigName)},
                             at};
}

ConfigApplyStep ConfigApply::write(Instant at)
{
    m_reading = false;
    return configapply::Call{{.id = m_nextCall++,
                              .operation = m_baseVersion == 0 ? StoreOperation::Create : StoreOperation::Update,
                              .kind = std::string(ConfigKind),
                              .name = std::string(ConfigName),
                              .ifVersion = m_baseVersion,
                              .value = encode(ConfigObject{m_edit.token, m_edit.yaml, m_earlierTokens})},
                             at};
}

ConfigApplyStep ConfigApply::afterRead(const StoreReply &reply, Instant now)
{
    if (reply.status == StoreStatus::Ok && !reply.objects.empty()) {
        return resolve(reply.objects.front(), now);
    }
    if (reply.status != StoreStatus::NotFound) {
        return retryLater(now);
    }
    if (m_edit.ifVersion.value_or(0) != 0 || (m_baseKnown && m_baseVersion != 0)) {
        return configapply::Done{ApplyResult::Conflict, 0, ""};
    }
    m_baseKnown = true;
    return write(now);
}

ConfigApplyStep ConfigApply::afterWrite(const StoreReply &reply, Instant now)
{
    switch (reply.status) {
    case StoreStatus::Ok:
        return configapply::Done{
            ApplyResult::Applied, reply.objects.empty() ? reply.storeVersion : reply.objects.front().version, ""};
    case StoreStatus::Conflict:
        return reply.objects.empty() ? readBack(now) : resolve(reply.objects.front(), now);
    case StoreStatus::NotFound:
        return readBack(now);
    case StoreStatus::Rejected:
        return retryLater(now);
    case StoreStatus::Unavailable:
    case StoreStatus::HistoryGone:
        m_writeUncertain = true;
        return retryLater(now);
    }
    return retryLater(now);
}

ConfigApplyStep ConfigApply::resolve(const StoreObject &object, Instant now)
{
    const auto stored = decodeConfigObject(object.value).value_or(ConfigObject{});
    if (includesChange(stored, m_edit.token)) {
        return configapply::Done{ApplyResult::Applied, object.version, ""};
    }
    const auto base = m_baseKnown ? m_baseVersion : m_edit.ifVersion.value_or(object.version);
    if (object.version != base) {
        return configapply::Done{ApplyResult::Conflict, object.version, stored.yaml};
    }
    if (stored.yaml == m_edit.yaml && !m_writeUncertain) {
        return configapply::Done{ApplyResult::Unchanged, object.version, ""};
    }
    m_baseKnown = true;
    m_baseVersion = object.version;
    m_earlierTokens = stored.earlier;
    m_earlierTokens.insert(m_earlierTokens.begin(), stored.token);
    m_earlierTokens.resize(std::min(m_earlierTokens.size(), MaximumEarlierTokens));
    return write(now);
}

ConfigApplyStep ConfigApply::retryLater(Instant now)
{
    const auto at = now + m_retryDelay;
    if (at >= m_deadline) {
        return configapply::Done{m_writeUncertain ? ApplyResult::Uncertain : ApplyResult::NotApplied, 0, ""};
    }
    m_retryDelay = std::min(2 * m_retryDelay, MaximumRetryDelay);
    return readBack(at);
}

} // namespace pomeloport
