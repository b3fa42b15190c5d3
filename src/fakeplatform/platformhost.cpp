#include "platformhost.h"

#include "pomelofake/program.h"
#include "pomeloport/protocol/jsonfields.h"
#include "targets.h"

#include <charconv>

namespace fakeplatform
{

using pomelofake::ExchangePointer;
using pomelofake::HttpStatus;
using pomelofake::replyDone;
using pomelofake::replyError;
using pomelofake::replyJson;
using pomelofake::steadyNow;
using pomeloport::StoreCall;
using pomeloport::StoreOperation;
using pomeloport::StoreReply;
using pomeloport::StoreStatus;

namespace
{

constexpr std::string_view ObjectsPrefix = "/v1/objects/";
constexpr std::string_view WatchPrefix = "/v1/watch/";
constexpr std::string_view WeightsPrefix = "/v1/weights/";

std::optional<std::uint64_t> numberIn(const pomeloport::HttpRequest &request, const std::string &key)
{
    const auto found = request.query.find(key);
    if (found == request.query.end()) {
        return std::nullopt;
    }
    const auto &text = found->second;
    std::uint64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc() || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return number;
}

boost::json::object toJson(const pomeloport::StoreObject &object)
{
    boost::json::object json{
        {"kind", object.kind}, {"name", object.name}, {"version", object.version}, {"value", object.value}};
    if (object.removed) {
        json["removed"] = true;
    }
    return json;
}

boost::json::value toJson(const StoreReply &reply)
{
    boost::json::array objects;
    for (const auto &object : reply.objects) {
        objects.push_back(toJson(object));
    }
    return {{"version", reply.storeVersion}, {"objects", std::move(objects)}};
}

boost::json::value bodyOf(StoreOperation operation, const StoreReply &reply)
{
    if (operation == StoreOperation::List || operation == StoreOperation::Watch) {
        return toJson(reply);
    }
    if (operation == StoreOperation::Get) {
        return toJson(reply.objects.at(0));
    }
    return {{"version", reply.objects.at(0).version}};
}

/// Fills in the operation that a method on an object stands for. False, with a last reason, for a bad request.
bool chooseOperation(const pomeloport::HttpRequest &request, StoreCall &call)
{
    if (request.method == "GET") {
        call.operation = StoreOperation::Get;
        return true;
    }
    const auto version = numberIn(request, "if_version");
    if (!version) {
        pomeloport::setLastReason("if_version must be a non-negative whole number");
        return false;
    }
    call.ifVersion = *version;
    if (request.method == "PUT") {
        call.operation = *version == 0 ? StoreOperation::Create : StoreOperation::Update;
        return true;
    }
    call.operation = StoreOperation::Remove;
    pomeloport::setLastReason("unknown method");
    return request.method == "DELETE";
}

} // namespace

PlatformHost::PlatformHost(boost::asio::io_context &context, pomelofake::PlatformModelSettings settings)
    : m_model(settings)
    , m_timer(context)
{
}

void PlatformHost::handle(const ExchangePointer &exchange)
{
    const auto &request = exchange->request();
    const std::string_view path = request.path;
    const auto route = request.method + ' ' + request.path;
    if (path.starts_with(ObjectsPrefix)) {
        callStore(exchange, path.substr(ObjectsPrefix.size()));
    } else if (request.method == "GET" && path.starts_with(WatchPrefix)) {
        watch(exchange, path.substr(WatchPrefix.size()));
    } else if (request.method == "POST" && path.starts_with(WeightsPrefix)) {
        const bool granted = m_model.takeWeights(steadyNow());
        replyJson(exchange, granted ? HttpStatus::Ok : HttpStatus::TooManyRequests, std::string("{}"));
    } else if (route == "GET /v1/instances") {
        listInstances(exchange);
    } else if (route == "POST /v1/instances") {
        registerInstance(exchange);
    } else if (route == "POST /faults") {
        setFaults(exchange);
    } else if (route == "GET /counts") {
        replyJson(exchange, HttpStatus::Ok, boost::json::value_from(m_model.counts()));
    } else {
        replyError(exchange, HttpStatus::NotFound, "no such resource");
    }
}

void PlatformHost::callStore(const ExchangePointer &exchange, std::string_view rest)
{
    const auto &request = exchange->request();
    const auto slash = rest.find('/');
    StoreCall call;
    call.kind = pomeloport::detail::percentDecoded(rest.substr(0, slash));
    if (slash == std::string_view::npos) {
        const auto prefix = request.query.find("prefix");
        call.operation = StoreOperation::List;
        call.name = prefix == request.query.end() ? std::string() : prefix->second;
    } else {
        call.name = pomeloport::detail::percentDecoded(rest.substr(slash + 1));
        if (!chooseOperation(request, call)) {
            replyError(exchange, HttpStatus::BadRequest, pomeloport::lastReason());
            return;
        }
    }
    call.value = exchange->takeBody();
    submit(exchange, call);
}

void PlatformHost::watch(const ExchangePointer &exchange, std::string_view kind)
{
    const auto &request = exchange->request();
    StoreCall call;
    call.operation = StoreOperation::Watch;
    call.kind = pomeloport::detail::percentDecoded(kind);
    call.ifVersion = numberIn(request, "after").value_or(0);
    submit(exchange, call, std::chrono::milliseconds(numberIn(request, "timeout_ms").value_or(0)));
}

void PlatformHost::submit(const ExchangePointer &exchange, const StoreCall &call, pomeloport::Duration wait)
{
    const auto ticket = m_model.submit(call, steadyNow(), wait);
    m_waiting[ticket] = {exchange, call.operation};
    exchange->onClosed([this, ticket] {
        m_model.forget(ticket);
        m_waiting.erase(ticket);
    });
    pump();
}

void PlatformHost::listInstances(const ExchangePointer &exchange)
{
    if (m_model.faults().outage) {
        replyError(exchange, HttpStatus::Unavailable, "outage");
        return;
    }
    boost::json::array instances;
    for (const auto &instance : m_model.instances(steadyNow())) {
        instances.push_back({{"name", instance.name},
                             {"address", instance.address},
                             {"kind", pomeloport::nameOf(instance.kind)},
                             {"state", pomeloport::nameOf(instance.state)}});
    }
    replyJson(exchange, HttpStatus::Ok, boost::json::value{{"instances", std::move(instances)}});
}

void PlatformHost::registerInstance(const ExchangePointer &exchange)
{
    pomeloport::detail::JsonReader reader(exchange->request().body);
    pomelofake::PlatformInstance instance;
    instance.name = reader.text("name", true);
    instance.address = reader.text("address", true);
    const auto kind = pomeloport::valueOf<pomelofake::PlatformInstanceKind>(reader.text("kind", true));
    const auto state = pomeloport::valueOf<pomelofake::PlatformInstanceState>(reader.text("state", true));
    if (!reader.ok() || !kind || !state) {
        replyError(exchange, HttpStatus::BadRequest, "expected name, address, kind and state");
        return;
    }
    instance.kind = *kind;
    instance.state = *state;
    m_model.registerInstance(std::move(instance), steadyNow());
    replyDone(exchange);
}

void PlatformHost::setFaults(const ExchangePointer &exchange)
{
    pomeloport::detail::JsonReader reader(exchange->request().body);
    auto faults = m_model.faults();
    faults.outage = reader.find("outage") ? reader.boolean("outage") : faults.outage;
    faults.rejectAll = reader.find("reject_all") ? reader.boolean("reject_all") : faults.rejectAll;
    faults.loseAnswers = reader.find("lose_answers") ? reader.real("lose_answers") : faults.loseAnswers;
    if (reader.find("lose_next_answers")) {
        faults.loseNextAnswers = reader.number("lose_next_answers");
    }
    if (reader.find("delay_ms")) {
        faults.delay = std::chrono::milliseconds(reader.number("delay_ms"));
    }
    if (reader.find("stale_reads_ms")) {
        faults.staleReads = std::chrono::milliseconds(reader.number("stale_reads_ms"));
    }
    if (!reader.ok()) {
        replyError(exchange, HttpStatus::BadRequest, pomeloport::lastReason());
        return;
    }
    m_model.setFaults(faults, steadyNow());
    replyDone(exchange);
    pump();
}

void PlatformHost::pump()
{
    for (const auto &[ticket, reply] : m_model.advance(steadyNow())) {
        const auto found = m_waiting.find(ticket);
        if (found == m_waiting.end()) {
            continue;
        }
        const auto [exchange, operation] = found->second;
        m_waiting.erase(found);
        switch (reply.status) {
        case StoreStatus::Ok:
            replyJson(exchange, HttpStatus::Ok, bodyOf(operation, reply));
            break;
        case StoreStatus::NotFound:
            replyError(exchange, HttpStatus::NotFound, "no such object");
            break;
        case StoreStatus::Conflict:
            replyJson(exchange, HttpStatus::Conflict, toJson(reply.objects.at(0)));
            break;
        case StoreStatus::Rejected:
            replyError(exchange, HttpStatus::TooManyRequests, "rate limit");
            break;
        case StoreStatus::Unavailable:
        case StoreStatus::HistoryGone:
            replyError(exchange, HttpStatus::Unavailable, "unavailable");
            break;
        }
    }
    arm();
}

void PlatformHost::arm()
{
    const auto next = m_model.nextEventAt();
    if (next == pomeloport::Instant::max()) {
        m_timer.cancel();
        return;
    }
    m_timer.expires_at(next);
    m_timer.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            pump();
        }
    });
}

} // namespace fakeplatform
