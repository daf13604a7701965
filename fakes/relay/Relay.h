// Links of the relay: what comes to a listening port goes on to the link's target, unless a switch says otherwise. One thread.
#pragma once

#include "base/Endpoint.h"
#include "base/Result.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace jj {

struct LinkFaults {
    bool refuse_ = false; // new TCP connections are closed at once
    bool blackhole_ = false; // nothing passes, on old and new connections, until it is turned back; bytes are lost
    std::chrono::milliseconds delay_ { 0 }; // each way, for each piece
    double udpLoss_ = 0; // share of datagrams that is lost
};

class TcpConnection;

// One listening TCP port and its target.
class TcpLink {
public:
    static Result<std::unique_ptr<TcpLink>> create(boost::asio::io_context& io, const Endpoint& listen, const Endpoint& target);

    Endpoint local() const;
    const Endpoint& target() const { return target_; }
    LinkFaults& faults() { return *faults_; }
    // Open connections break off.
    void cut();
    // Open connections stay open and never pass another byte; later ones work.
    void silenceOpen();
    std::size_t openConnections();

private:
    TcpLink(boost::asio::io_context& io, boost::asio::ip::tcp::acceptor acceptor, Endpoint target);
    void accept();

    boost::asio::io_context& io_;
    boost::asio::ip::tcp::acceptor acceptor_;
    Endpoint target_;
    std::shared_ptr<LinkFaults> faults_; // connections outlive the link
    std::vector<std::weak_ptr<TcpConnection>> connections_;
};

// One listening UDP port and its target. Each source gets a socket of its own towards the target, so that answers find back.
class UdpLink {
public:
    static Result<std::unique_ptr<UdpLink>> create(boost::asio::io_context& io, const Endpoint& listen, const Endpoint& target, std::uint64_t seed);

    Endpoint local() const;
    const Endpoint& target() const { return target_; }
    LinkFaults& faults() { return faults_; }

private:
    using Address = boost::asio::ip::udp::endpoint;
    static constexpr std::size_t largestDatagram = 65'536;

    // Answers of the target to one source.
    struct Session {
        Session(boost::asio::io_context& io, Address source)
            : socket_(io)
            , source_(std::move(source))
            , buffer_(largestDatagram)
        {
        }
        boost::asio::ip::udp::socket socket_;
        Address source_;
        std::vector<char> buffer_;
    };

    UdpLink(boost::asio::io_context& io, boost::asio::ip::udp::socket socket, const Endpoint& target, std::uint64_t seed);
    void receive();
    void receiveAnswer(const std::shared_ptr<Session>& session);
    // Sends the datagram through `socket`, after the delay, unless it is lost.
    void pass(boost::asio::ip::udp::socket& socket, const Address& to, std::string datagram);

    boost::asio::io_context& io_;
    boost::asio::ip::udp::socket socket_;
    Endpoint target_;
    Address targetAddress_;
    LinkFaults faults_;
    std::mt19937_64 random_;
    std::vector<char> buffer_;
    Address from_;
    std::map<Address, std::shared_ptr<Session>> sessions_;
};

} // namespace jj
