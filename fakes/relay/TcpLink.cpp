// Relaying of TCP connections.
#include "Relay.h"

#include <array>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

namespace jj {

using boost::asio::ip::tcp;
using boost::system::error_code;

// One accepted connection and its other half towards the target.
class TcpConnection : public std::enable_shared_from_this<TcpConnection> {
public:
    TcpConnection(boost::asio::io_context& io, tcp::socket near, std::shared_ptr<LinkFaults> faults)
        : near_(std::move(near), io)
        , far_(tcp::socket(io), io)
        , faults_(std::move(faults))
    {
    }

    void start(const tcp::endpoint& target)
    {
        far_.socket_.async_connect(target, [self = shared_from_this()](error_code error) {
            if (error)
                return self->close();
            self->read(self->near_, self->far_);
            self->read(self->far_, self->near_);
        });
    }

    void close()
    {
        error_code ignored;
        near_.socket_.close(ignored);
        far_.socket_.close(ignored);
    }

    void silence() { isSilent_ = true; }

private:
    static constexpr std::size_t pieceBytes = 64 * 1024;

    struct Half {
        Half(tcp::socket socket, boost::asio::io_context& io)
            : socket_(std::move(socket))
            , timer_(io)
        {
        }
        tcp::socket socket_;
        boost::asio::steady_timer timer_; // delays what was read from this half
        std::array<char, pieceBytes> buffer_ {};
    };

    void read(Half& from, Half& to)
    {
        from.socket_.async_read_some(boost::asio::buffer(from.buffer_), [self = shared_from_this(), &from, &to](error_code error, std::size_t size) {
            if (error)
                return self->ended(from, to);
            // Reading on keeps the sender's socket healthy: to it the connection looks alive.
            if (self->isSilent_ || self->faults_->blackhole_)
                return self->read(from, to);
            self->delay(from, to, size);
        });
    }

    void delay(Half& from, Half& to, std::size_t size)
    {
        if (faults_->delay_.count() == 0)
            return write(from, to, size);
        from.timer_.expires_after(faults_->delay_);
        from.timer_.async_wait([self = shared_from_this(), &from, &to, size](error_code error) {
            if (!error)
                self->write(from, to, size);
        });
    }

    void write(Half& from, Half& to, std::size_t size)
    {
        boost::asio::async_write(to.socket_, boost::asio::buffer(from.buffer_, size), [self = shared_from_this(), &from, &to](error_code error, std::size_t) {
            if (error)
                return self->close();
            self->read(from, to);
        });
    }

    // The end of one half ends the other, unless the connection is silent: then its other end never learns of it.
    void ended(Half& from, Half& to)
    {
        error_code ignored;
        if (isSilent_ || faults_->blackhole_)
            return;
        to.socket_.shutdown(tcp::socket::shutdown_send, ignored);
        from.socket_.shutdown(tcp::socket::shutdown_receive, ignored);
        if (++endedHalves_ == 2)
            close();
    }

    Half near_;
    Half far_;
    std::shared_ptr<LinkFaults> faults_;
    bool isSilent_ = false;
    int endedHalves_ = 0;
};

Result<std::unique_ptr<TcpLink>> TcpLink::create(boost::asio::io_context& io, const Endpoint& listen, const Endpoint& target)
{
    error_code error;
    const tcp::endpoint address(boost::asio::ip::make_address(listen.address_, error), listen.port_);
    tcp::acceptor acceptor(io);
    if (!error)
        acceptor.open(address.protocol(), error);
    if (!error)
        acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    if (!error)
        acceptor.bind(address, error);
    if (!error)
        acceptor.listen(boost::asio::socket_base::max_listen_connections, error);
    if (error)
        return static_cast<std::error_code>(error);
    return std::unique_ptr<TcpLink>(new TcpLink(io, std::move(acceptor), target));
}

TcpLink::TcpLink(boost::asio::io_context& io, tcp::acceptor acceptor, Endpoint target)
    : io_(io)
    , acceptor_(std::move(acceptor))
    , target_(std::move(target))
    , faults_(std::make_shared<LinkFaults>())
{
    accept();
}

Endpoint TcpLink::local() const
{
    const auto address = acceptor_.local_endpoint();
    return { address.address().to_string(), address.port() };
}

void TcpLink::accept()
{
    acceptor_.async_accept([this](error_code error, tcp::socket socket) {
        if (error)
            return;
        if (!faults_->refuse_) {
            const auto connection = std::make_shared<TcpConnection>(io_, std::move(socket), faults_);
            connections_.push_back(connection);
            connection->start({ boost::asio::ip::make_address(target_.address_), target_.port_ });
        }
        accept();
    });
}

void TcpLink::cut()
{
    for (const auto& each : connections_) {
        if (const auto connection = each.lock())
            connection->close();
    }
    connections_.clear();
}

void TcpLink::silenceOpen()
{
    for (const auto& each : connections_) {
        if (const auto connection = each.lock())
            connection->silence();
    }
}

std::size_t TcpLink::openConnections()
{
    std::erase_if(connections_, [](const auto& each) { return each.expired(); });
    return connections_.size();
}

} // namespace jj
