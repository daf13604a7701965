// Asio's UDP socket; receiving goes on until the socket is destroyed.
#include "DatagramSocket.h"

#include "base/Error.h"

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>

namespace jj {

namespace {

    using Udp = boost::asio::ip::udp;

    constexpr std::size_t bufferBytes = 2048;

    Udp::endpoint nativeOf(const PeerAddress& address) { return { boost::asio::ip::address_v4(address.ip_), address.port_ }; }

} // namespace

struct DatagramSocket::State : std::enable_shared_from_this<DatagramSocket::State> {
    State(boost::asio::io_context& io, Handler handler)
        : strand_(boost::asio::make_strand(io))
        , socket_(strand_)
        , handler_(std::move(handler))
    {
    }

    void receive()
    {
        socket_.async_receive_from(boost::asio::buffer(buffer_), from_, [self = shared_from_this()](const boost::system::error_code& error, std::size_t size) {
            if (error == boost::asio::error::operation_aborted || !self->socket_.is_open())
                return;
            // Receiving goes on after a datagram whose handler fails.
            const std::shared_ptr<void> next(nullptr, [&self](void*) { self->receive(); });
            // Other errors are a peer's "port unreachable": the socket itself is well.
            if (!error)
                self->handler_(std::string_view(self->buffer_.data(), size));
        });
    }

    boost::asio::strand<boost::asio::io_context::executor_type> strand_;
    Udp::socket socket_;
    Handler handler_;
    std::array<char, bufferBytes> buffer_ {};
    Udp::endpoint from_;
};

DatagramSocket::DatagramSocket(std::shared_ptr<State> state)
    : state_(std::move(state))
{
}

Result<std::unique_ptr<DatagramSocket>> DatagramSocket::create(boost::asio::io_context& io, const PeerAddress& address, Handler handler)
{
    auto state = std::make_shared<State>(io, std::move(handler));
    boost::system::error_code error;
    state->socket_.open(Udp::v4(), error);
    if (!error)
        state->socket_.bind(nativeOf(address), error);
    if (error)
        return error;
    state->socket_.non_blocking(true, error);
    state->receive();
    return std::unique_ptr<DatagramSocket>(new DatagramSocket(std::move(state)));
}

DatagramSocket::~DatagramSocket()
{
    boost::asio::post(state_->strand_, [state = state_] {
        boost::system::error_code ignored;
        state->socket_.close(ignored);
    });
}

void DatagramSocket::send(const PeerAddress& to, std::string bytes)
{
    boost::asio::post(state_->strand_, [state = state_, to, bytes = std::move(bytes)] {
        boost::system::error_code ignored;
        state->socket_.send_to(boost::asio::buffer(bytes), nativeOf(to), 0, ignored);
    });
}

} // namespace jj
