#pragma once

#include "pomeloport/clock.h"
#include "pomeloport/transport/httpclient.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <random>
#include <set>
#include <string>
#include <vector>

/// Discovery as a caller does it.
namespace pomeloload
{

/// Asks entry instances for the addresses to use and keeps the answer for its lifetime. Runs on one thread.
class Endpoints
{
public:
    /// Receives an address, or an empty text when none is known.
    using Chosen = std::function<void(const std::string &address)>;

    /// The first question goes to the given entry addresses.
    Endpoints(boost::asio::io_context &context, std::vector<std::string> entries, std::uint64_t seed);

    /// Chooses an address by weight, outside the given set while there is another one. Asks again first when the kept
    /// answer has run out.
    void choose(std::set<std::string> avoid, Chosen chosen);

    /// Takes an address that did not answer out of the kept answer.
    void forget(const std::string &address);

private:
    struct Endpoint
    {
        std::string address;
        double weight = 1;
    };

    struct Waiter
    {
        std::set<std::string> avoid;
        Chosen chosen;
    };

    void ask();
    bool take(const std::string &body);
    void answerWaiters();
    std::string chooseNow(const std::set<std::string> &avoid);

    pomeloport::HttpClient m_client;
    boost::asio::steady_timer m_retryTimer;
    std::vector<std::string> m_entries;
    std::vector<Endpoint> m_endpoints;
    std::vector<Waiter> m_waiters;
    pomeloport::Instant m_validUntil{};
    std::size_t m_nextAsked = 0;
    std::mt19937_64 m_random;
};

} // namespace pomeloload
