#include "pomelofake/platformmodel.h"

#include <algorithm>

namespace pomelofake
{

using pomeloport::Duration;
using pomeloport::Instant;
using pomeloport::StoreCall;
using pomeloport::StoreObject;
using pomeloport::StoreOperation;
using pomeloport::StoreReply;
using pomeloport::StoreStatus;

namespace
{

constexpr double SecondsPerMinute = 60;

bool isWrite(StoreOperation operation)
{
    return operation == StoreOperation::Create || operation == StoreOperation::Update
        || operation == StoreOperation::Remove;
}

} // namespace

PlatformModel::PlatformModel(PlatformModelSettings settings)
    : m_settings(settings)
    , m_writes(settings.writesPerSecond, settings.writesPerSecond)
    , m_reads(settings.readsPerSecond, settings.readsPerSecond)
    , m_weights(settings.weightLoadsPerMinute / SecondsPerMinute, settings.weightLoadsPerMinute)
    , m_random(settings.seed)
{
}

std::uint64_t PlatformModel::submit(const StoreCall &call, Instant now, Duration wait)
{
    endWatches(now);
    const auto ticket = ++m_lastTicket;
    count(nameOf(call.operation));
    auto reply = execute(call, now);
    const bool waits =
        call.operation == StoreOperation::Watch && reply.status == StoreStatus::Ok && reply.objects.empty();
    if (waits) {
        m_watches[ticket] = {call, now + (wait > Duration::zero() ? wait : m_settings.watchTimeout)};
        return ticket;
    }
    const bool written = isWrite(call.operation) && reply.status == StoreStatus::Ok;
    if (written && losesAnswer()) {
        reply = {call.id, StoreStatus::Unavailable, {}, 0};
    }
    schedule(ticket, std::move(reply), now);
    if (written) {
        answerWatches(call.kind, now);
    }
    return ticket;
}

void PlatformModel::forget(std::uint64_t ticket)
{
    m_watches.erase(ticket);
    std::erase_if(m_replies, [ticket](const auto &entry) { return entry.second.ticket == ticket; });
}

std::vector<PlatformReply> PlatformModel::advance(Instant now)
{
    endWatches(now);
    std::vector<PlatformReply> due;
    while (!m_replies.empty() && m_replies.begin()->first <= now) {
        due.push_back(std::move(m_replies.begin()->second));
        m_replies.erase(m_replies.begin());
    }
    return due;
}

Instant PlatformModel::nextEventAt() const
{
    auto next = m_replies.empty() ? Instant::max() : m_replies.begin()->first;
    for (const auto &[ticket, watch] : m_watches) {
        next = std::min(next, watch.endsAt);
    }
    return next;
}

void PlatformModel::setFaults(const PlatformFaults &faults, Instant now)
{
    m_faults = faults;
    if (!m_faults.outage) {
        return;
    }
    for (const auto &[ticket, watch] : m_watches) {
        schedule(ticket, {watch.call.id, StoreStatus::Unavailable, {}, 0}, now);
    }
    m_watches.clear();
}

const PlatformFaults &PlatformModel::faults() const
{
    return m_faults;
}

void PlatformModel::registerInstance(PlatformInstance instance, Instant now)
{
    m_instances[instance.name].write(instance, now);
}

std::vector<PlatformInstance> PlatformModel::instances(Instant now)
{
    count("instances");
    std::vector<PlatformInstance> result;
    for (const auto &[name, history] : m_instances) {
        const auto *instance = history.asOf(now - m_settings.instanceListLag);
        if (instance && instance->state != PlatformInstanceState::Gone) {
            result.push_back(*instance);
        }
    }
    return result;
}

bool PlatformModel::takeWeights(Instant now)
{
    count("weights");
    return !m_faults.outage && m_weights.take(now);
}

const std::map<std::string, std::uint64_t, std::less<>> &PlatformModel::counts() const
{
    return m_counts;
}

std::uint64_t PlatformModel::version() const
{
    return m_version;
}

void PlatformModel::count(std::string_view operation)
{
    ++m_counts[std::string(operation)];
}

bool PlatformModel::isWithinLimit(const StoreCall &call, Instant now)
{
    if (m_faults.rejectAll || call.value.size() > m_settings.maximumValueBytes) {
        return false;
    }
    return isWrite(call.operation) ? m_writes.take(now) : m_reads.take(now);
}

StoreReply PlatformModel::execute(const StoreCall &call, Instant now)
{
    if (m_faults.outage) {
        return {call.id, StoreStatus::Unavailable, {}, 0};
    }
    if (!isWithinLimit(call, now)) {
        return {call.id, StoreStatus::Rejected, {}, m_version};
    }
    switch (call.operation) {
    case StoreOperation::Get:
        return read(call, now);
    case StoreOperation::List:
        return list(call, now);
    case StoreOperation::Watch:
        return changes(call);
    default:
        return write(call, now);
    }
}

StoreReply PlatformModel::read(const StoreCall &call, Instant now) const
{
    const auto found = m_objects.find({call.kind, call.name});
    const auto *object = found == m_objects.end() ? nullptr : found->second.asOf(now - m_faults.staleReads);
    if (!object || object->removed) {
        return {call.id, StoreStatus::NotFound, {}, m_version};
    }
    return {call.id, StoreStatus::Ok, {*object}, m_version};
}

StoreReply PlatformModel::list(const StoreCall &call, Instant now) const
{
    StoreReply reply{call.id, StoreStatus::Ok, {}, m_version};
    for (auto entry = m_objects.lower_bound({call.kind, call.name}); entry != m_objects.end(); ++entry) {
        if (entry->first.first != call.kind || !entry->first.second.starts_with(call.name)) {
            break;
        }
        const auto *object = entry->second.asOf(now - m_faults.staleReads);
        if (object && !object->removed) {
            reply.objects.push_back(*object);
        }
    }
    return reply;
}

StoreReply PlatformModel::write(const StoreCall &call, Instant now)
{
    auto &history = m_objects[{call.kind, call.name}];
    const auto *present = history.latest();
    const bool exists = present && !present->removed;
    if (call.operation == StoreOperation::Create && exists) {
        return {call.id, StoreStatus::Conflict, {*present}, m_version};
    }
    if (call.operation != StoreOperation::Create && !exists) {
        return {call.id, StoreStatus::NotFound, {}, m_version};
    }
    if (call.operation != StoreOperation::Create && present->version != call.ifVersion) {
        return {call.id, StoreStatus::Conflict, {*present}, m_version};
    }
    const bool removed = call.operation == StoreOperation::Remove;
    StoreObject object{call.kind, call.name, removed ? std::string() : call.value, ++m_version, removed};
    history.write(object, now);
    return {call.id, StoreStatus::Ok, {std::move(object)}, m_version};
}

StoreReply PlatformModel::changes(const StoreCall &call) const
{
    StoreReply reply{call.id, StoreStatus::Ok, {}, m_version};
    for (auto entry = m_objects.lower_bound({call.kind, ""}); entry != m_objects.end(); ++entry) {
        if (entry->first.first != call.kind) {
            break;
        }
        const auto *object = entry->second.latest();
        if (object && object->version > call.ifVersion) {
            reply.objects.push_back(*object);
        }
    }
    std::ranges::sort(reply.objects, {}, &StoreObject::version);
    return reply;
}

bool PlatformModel::losesAnswer()
{
    if (m_faults.loseNextAnswers > 0) {
        --m_faults.loseNextAnswers;
        return true;
    }
    return std::uniform_real_distribution<double>()(m_random) < m_faults.loseAnswers;
}

void PlatformModel::schedule(std::uint64_t ticket, StoreReply reply, Instant at)
{
    m_replies.emplace(at + m_faults.delay, PlatformReply{ticket, std::move(reply)});
}

void PlatformModel::answerWatches(const std::string &kind, Instant now)
{
    for (auto watch = m_watches.begin(); watch != m_watches.end();) {
        auto reply = changes(watch->second.call);
        if (watch->second.call.kind != kind || reply.objects.empty()) {
            ++watch;
            continue;
        }
        schedule(watch->first, std::move(reply), now);
        watch = m_watches.erase(watch);
    }
}

void PlatformModel::endWatches(Instant now)
{
    for (auto watch = m_watches.begin(); watch != m_watches.end();) {
        if (watch->second.endsAt > now) {
            ++watch;
            continue;
        }
        schedule(watch->first, {watch->second.call.id, StoreStatus::Ok, {}, m_version}, watch->second.endsAt);
        watch = m_watches.erase(watch);
    }
}

} // namespace pomelofake
