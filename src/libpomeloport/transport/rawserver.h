#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>

#include <sys/socket.h>

#include <atomic>
#include <functional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

/// A server on a loopback address for tests of what broken responses lead to.
namespace pomeloport::detail
{

/// Reads the head of a request on each connection and leaves everything that is sent to a script, which runs on a
/// thread of the connection. The connection is closed at the end of the script.
class RawServer
{
public:
    class Connection
    {
    public:
        explicit Connection(boost::asio::ip::tcp::socket socket)
            : m_socket(std::move(socket))
        {
        }

        /// Reads up to the end of a head. Returns it, or an empty string once the caller has closed.
        std::string readHead()
        {
            const auto size = boost::asio::read_until(m_socket, m_buffer, "\r\n\r\n", m_error);
            std::string head(static_cast<const char *>(m_buffer.data().data()), m_error ? 0 : size);
            m_buffer.consume(size);
            return head;
        }

        /// Returns whether the caller took the bytes.
        bool write(std::string_view bytes)
        {
            boost::asio::write(m_socket, boost::asio::buffer(bytes), m_error);
            return !m_error;
        }

        /// Sends the filler until the caller closes, at most MaximumFloodBytes. Returns the number of bytes that it
        /// took.
        std::size_t flood(std::string_view filler)
        {
            std::size_t total = 0;
            while (total < MaximumFloodBytes && write(filler)) {
                total += filler.size();
            }
            return total;
        }

        /// Closes the connection so that the caller receives a reset.
        void reset()
        {
            m_socket.set_option(boost::asio::socket_base::linger(true, 0), m_error);
            m_socket.close(m_error);
        }

        /// Closes the connection for writing, which ends a response without length, and reads on.
        void endResponse()
        {
            m_socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, m_error);
        }

        /// Reads until the caller closes or sends nothing for a while. Returns the number of bytes.
        std::size_t readToEnd()
        {
            constexpr timeval Silence{1, 0};
            setsockopt(m_socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &Silence, sizeof(Silence));
            auto total = m_buffer.size();
            std::vector<char> bytes(BlockBytes);
            ssize_t received = 0;
            while ((received = recv(m_socket.native_handle(), bytes.data(), bytes.size(), 0)) > 0) {
                total += static_cast<std::size_t>(received);
            }
            return total;
        }

    private:
        static constexpr std::size_t BlockBytes = 64 * 1024;
        static constexpr std::size_t MaximumFloodBytes = 64 << 20;

        boost::asio::ip::tcp::socket m_socket;
        boost::asio::streambuf m_buffer;
        boost::system::error_code m_error;
    };

    using Script = std::function<void(Connection &connection)>;

    /// With a size of the receive buffer, a long request waits in the caller until the script reads it.
    explicit RawServer(Script script, int receiveBytes = 0)
        : m_acceptor(m_context)
        , m_script(std::move(script))
    {
        using boost::asio::ip::tcp;
        const tcp::endpoint endpoint(boost::asio::ip::make_address(Address), 0);
        m_acceptor.open(endpoint.protocol());
        if (receiveBytes > 0) {
            m_acceptor.set_option(boost::asio::socket_base::receive_buffer_size(receiveBytes));
        }
        m_acceptor.bind(endpoint);
        m_acceptor.listen();
        m_thread = std::thread([this] { accept(); });
    }
    ~RawServer()
    {
        // Ends the accept that waits for another caller.
        shutdown(m_acceptor.native_handle(), SHUT_RDWR);
        m_thread.join();
    }
    RawServer(const RawServer &) = delete;
    RawServer &operator=(const RawServer &) = delete;

    std::string address() const
    {
        return std::string(Address) + ":" + std::to_string(m_acceptor.local_endpoint().port());
    }

    /// Number of connections so far.
    int connections() const
    {
        return m_connections;
    }

private:
    static constexpr const char *Address = "127.42.0.8";

    void accept()
    {
        std::vector<std::jthread> threads;
        boost::system::error_code error;
        while (true) {
            boost::asio::ip::tcp::socket socket(m_context);
            m_acceptor.accept(socket, error);
            if (error) {
                return;
            }
            ++m_connections;
            threads.emplace_back([this, connection = std::make_shared<Connection>(std::move(socket))] {
                if (!connection->readHead().empty()) {
                    m_script(*connection);
                }
            });
        }
    }

    boost::asio::io_context m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    Script m_script;
    std::atomic<int> m_connections{0};
    std::thread m_thread;
};

} // namespace pomeloport::detail
