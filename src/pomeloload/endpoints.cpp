#include "endpoints.h"

#include "pomelofake/program.h"
#include "pomeloport/protocol/jsonfields.h"

namespace pomeloload
{

namespace
{

constexpr auto AskTimeout = std::chrono::milliseconds(500);
constexpr auto AskRetryDelay = std::chrono::milliseconds(50);
constexpr unsigned HttpOk = 200;

} // namespace

Endpoints::Endpoints(boost::asio::io_context &context, std::vector<std::string> entries, std::uint64_t seed)
    : m_client(context)
    , m_retryTimer(context)
    , m_entries(std::move(entries))
    , m_random(seed)
{
}

void Endpoints::choose(std::set<std::string> avoid, Chosen chosen)
{
    if (!m_endpoints.empty() && pomelofake::steadyNow() < m_validUntil) {
        chosen(chooseNow(avoid));
        return;
    }
    m_waiters.push_back({std::move(avoid), std::move(chosen)});
    if (m_waiters.size() == 1) {
        ask();
    }
}

void Endpoints::forget(const std::string &address)
{
    std::erase_if(m_endpoints, [&address](const Endpoint &endpoint) { return endpoint.address == address; });
}

void Endpoints::ask()
{
    std::vector<std::string> known;
    for (const auto &endpoint : m_endpoints) {
        known.push_back(endpoint.address);
    }
    known.insert(known.end(), m_entries.begin(), m_entries.end());
    const auto &address = known[m_nextAsked++ % known.size()];
    m_client.send({address, "GET", "/v1/endpoints", {}, {}, AskTimeout},
                  [this](const std::optional<pomeloport::HttpReply> &reply, bool /*sent*/) {
                      if (reply && reply->status == HttpOk && take(reply->body)) {
                          answerWaiters();
                          return;
                      }
                      m_retryTimer.expires_after(AskRetryDelay);
                      m_retryTimer.async_wait([this](const boost::system::error_code &error) {
                          if (!error) {
                              ask();
                          }
                      });
                  });
}

bool Endpoints::take(const std::string &body)
{
    pomeloport::detail::JsonReader reader{std::string_view(body)};
    std::vector<Endpoint> endpoints;
    for (const auto &entry : reader.array("endpoints")) {
        pomeloport::detail::JsonReader fields(entry);
        endpoints.push_back({fields.text("address", true), fields.real("weight")});
        if (!fields.ok()) {
            return false;
        }
    }
    const auto lifetime = std::chrono::seconds(reader.number("lifetime_seconds", true));
    if (!reader.ok() || endpoints.empty()) {
        return false;
    }
    m_endpoints = std::move(endpoints);
    m_validUntil = pomelofake::steadyNow() + lifetime;
    return true;
}

void Endpoints::answerWaiters()
{
    for (const auto &waiter : std::exchange(m_waiters, {})) {
        waiter.chosen(chooseNow(waiter.avoid));
    }
}

std::string Endpoints::chooseNow(const std::set<std::string> &avoid)
{
    std::vector<double> weights;
    bool other = false;
    for (const auto &endpoint : m_endpoints) {
        const bool avoided = avoid.contains(endpoint.address);
        other = other || !avoided;
        weights.push_back(avoided ? 0 : std::max(1.0, endpoint.weight));
    }
    if (m_endpoints.empty()) {
        return {};
    }
    if (!other) {
        return m_endpoints[m_random() % m_endpoints.size()].address;
    }
    return m_endpoints[std::discrete_distribution<std::size_t>(weights.begin(), weights.end())(m_random)].address;
}

} // namespace pomeloload
