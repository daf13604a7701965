// Relaying of UDP datagrams.
#include "Relay.h"

#include <boost/asio/steady_timer.hpp>

namespace jj {

using boost::asio::ip::udp;
using boost::system::error_code;

Result<std::unique_ptr<UdpLink>> UdpLink::create(boost::asio::io_context& io, const Endpoint& listen, const Endpoint& target, std::uint64_t seed)
{
    error_code error;
    const udp::endpoint address(boost::asio::ip::make_address(listen.address_, error), listen.port_);
    udp::socket socket(io);
    if (!error)
        socket.open(address.protocol(), error);
    if (!error)
        socket.bind(address, error);
    if (error)
        return static_cast<std::error_code>(error);
    return std::unique_ptr<UdpLink>(new UdpLink(io, std::move(socket), target, seed));
}

UdpLink::UdpLink(boost::asio::io_context& io, udp::socket socket, const Endpoint& target, std::uint64_t seed)
    : io_(io)
    , socket_(std::move(socket))
    , target_(target)
    , targetAddress_(boost::asio::ip::make_address(target.address_), target.port_)
    , random_(seed)
    , buffer_(largestDatagram)
{
    receive();
}

Endpoint UdpLink::local() const
{
    const auto address = socket_.local_endpoint();
    return { address.address().to_string(), address.port() };
}

void UdpLink::receive()
{
    socket_.async_receive_from(boost::asio::buffer(buffer_), from_, [this](error_code error, std::size_t size) {
        if (error == boost::asio::error::operation_aborted)
            return;
        if (!error) {
            auto& session = sessions_[from_];
            if (!session) {
                session = std::make_shared<Session>(io_, from_);
                error_code ignored;
                session->socket_.open(targetAddress_.protocol(), ignored);
                session->socket_.connect(targetAddress_, ignored);
                receiveAnswer(session);
            }
            pass(session->socket_, targetAddress_, std::string(buffer_.data(), size));
        }
        receive();
    });
}

void UdpLink::receiveAnswer(const std::shared_ptr<Session>& session)
{
    session->socket_.async_receive(boost::asio::buffer(session->buffer_), [this, session](error_code error, std::size_t size) {
        if (error == boost::asio::error::operation_aborted)
            return;
        // Other errors tell that the target's port is closed now; it may open again.
        if (!error)
            pass(socket_, session->source_, std::string(session->buffer_.data(), size));
        receiveAnswer(session);
    });
}

void UdpLink::pass(udp::socket& socket, const Address& to, std::string datagram)
{
    const bool isLost = faults_.blackhole_ || (faults_.udpLoss_ > 0 && std::bernoulli_distribution(faults_.udpLoss_)(random_));
    if (isLost)
        return;
    const bool isConnected = &socket != &socket_;
    const auto send = [&socket, to, isConnected](const std::string& bytes) {
        error_code lost;
        if (isConnected)
            socket.send(boost::asio::buffer(bytes), 0, lost);
        else
            socket.send_to(boost::asio::buffer(bytes), to, 0, lost);
    };
    if (faults_.delay_.count() == 0)
        return send(datagram);
    auto timer = std::make_shared<boost::asio::steady_timer>(io_, faults_.delay_);
    timer->async_wait([timer, send, datagram = std::move(datagram)](error_code) { send(datagram); });
}

} // namespace jj
