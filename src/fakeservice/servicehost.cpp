#include "servicehost.h"

#include "pomelofake/answer.h"
#include "pomelofake/program.h"
#include "pomeloport/protocol/enginemessages.h"
#include "pomeloport/protocol/jsonfields.h"

#include <boost/asio/steady_timer.hpp>

namespace fakeservice
{

using pomelofake::ExchangePointer;
using pomelofake::HttpStatus;
using pomelofake::replyDone;
using pomelofake::replyError;
using pomelofake::replyJson;
using pomeloport::RefusalCode;

namespace
{

void refuse(const ExchangePointer &exchange, RefusalCode code)
{
    const auto status = code == RefusalCode::Full ? HttpStatus::TooManyRequests : HttpStatus::Unavailable;
    replyJson(exchange, status, encode(pomeloport::Refusal{code}));
}

} // namespace

ServiceHost::ServiceHost(boost::asio::io_context &context, ServiceSettings settings)
    : m_context(context)
    , m_settings(std::move(settings))
    , m_epoch(pomelofake::wallMilliseconds())
{
}

void ServiceHost::handle(const ExchangePointer &exchange)
{
    const auto route = exchange->request().method + ' ' + exchange->request().path;
    if (route == "POST /v1/call") {
        call(exchange);
    } else if (route == "POST /v1/cancel") {
        replyJson(exchange, HttpStatus::Ok, std::string(R"({"existed":false,"started":false})"));
    } else if (route == "GET /v1/load") {
        replyLoad(exchange);
    } else if (route == "GET /v1/holdings") {
        replyJson(exchange, HttpStatus::Ok, encode(pomeloport::EngineHoldings{m_settings.name, {}}));
    } else if (route == "GET /runs") {
        replyJson(exchange, HttpStatus::Ok, boost::json::value{{"runs", boost::json::value_from(m_runs)}});
    } else if (route == "POST /faults") {
        setFaults(exchange);
    } else {
        replyError(exchange, HttpStatus::NotFound, "no such resource");
    }
}

void ServiceHost::call(const ExchangePointer &exchange)
{
    pomeloport::detail::JsonReader reader(exchange->request().body);
    const auto stream = pomeloport::parseStreamAddress(reader.text("stream", true));
    const auto key = reader.text("key");
    const auto body = reader.text("body");
    if (!reader.ok() || !stream) {
        refuse(exchange, RefusalCode::Bad);
        return;
    }
    if (m_settings.leaving) {
        refuse(exchange, RefusalCode::Leaving);
        return;
    }
    if (m_settings.refusing || m_running >= m_settings.maximumRunning) {
        refuse(exchange, RefusalCode::Full);
        return;
    }
    ++m_runs[key];
    ++m_running;
    answerLater(exchange, pomelofake::serviceResult(key, body));
}

void ServiceHost::answerLater(const ExchangePointer &exchange, std::string result)
{
    const bool lost = std::uniform_real_distribution<double>()(m_random) < m_settings.loseAnswers;
    auto timer = std::make_shared<boost::asio::steady_timer>(m_context, m_settings.serviceTime);
    timer->async_wait([this, timer, exchange, lost, result = std::move(result)](const auto & /*error*/) {
        --m_running;
        if (lost) {
            exchange->abort();
            return;
        }
        replyJson(exchange, HttpStatus::Ok, boost::json::value{{"result", result}});
    });
}

void ServiceHost::replyLoad(const ExchangePointer &exchange)
{
    pomeloport::LoadReport report;
    report.engine = m_settings.name;
    report.sequence = ++m_reportSequence;
    report.epoch = m_epoch;
    report.runningStreams = static_cast<std::uint32_t>(m_running);
    report.leaving = m_settings.leaving;
    replyJson(exchange, HttpStatus::Ok, encode(report));
}

void ServiceHost::setFaults(const ExchangePointer &exchange)
{
    pomeloport::detail::JsonReader reader(exchange->request().body);
    auto settings = m_settings;
    settings.refusing = reader.find("refusing") ? reader.boolean("refusing") : settings.refusing;
    settings.leaving = reader.find("leaving") ? reader.boolean("leaving") : settings.leaving;
    settings.loseAnswers = reader.find("lose_answers") ? reader.real("lose_answers") : settings.loseAnswers;
    if (reader.find("delay_ms")) {
        settings.serviceTime = std::chrono::milliseconds(reader.number("delay_ms"));
    }
    if (!reader.ok()) {
        replyError(exchange, HttpStatus::BadRequest, pomeloport::lastReason());
        return;
    }
    m_settings = std::move(settings);
    replyDone(exchange);
}

} // namespace fakeservice
