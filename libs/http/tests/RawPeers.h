// Peers over loopback that send raw text, and the outcome of calls to them. For tests.
#pragma once

#include "http/Client.h"

#include <array>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <functional>
#include <optional>
#include <string>
#include <sys/socket.h>
#include <thread>

namespace jj::http::testing {

using boost::asio::ip::tcp;

constexpr auto testTime = std::chrono::seconds(20); // a test that waits for longer has failed

// What a scripted engine answers to one request: a text, then a piece again and again.
struct Script {
    std::string text_;
    std::string endless_ {}; // empty: nothing follows
    std::size_t mostBytes_ = 32 * 1024 * 1024; // far more than the kernel's buffers hold; the connection is closed after them
    Duration openFor_ {}; // how long the connection stays open after the text
    std::size_t pieceBytes_ = std::size_t { 64 } * 1024; // sent at once of what is repeated, at least
    Duration pause_ {}; // after each of these
};

// Answers one connection after the other by its script.
class ScriptedEngine {
public:
    explicit ScriptedEngine(std::function<Script()> next)
        : acceptor_(io_, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0))
        , next_(std::move(next))
        , thread_([this] { serve(); })
    {
    }
    explicit ScriptedEngine(Script script)
        : ScriptedEngine([script = std::move(script)] { return script; })
    {
    }
    ~ScriptedEngine()
    {
        stopped_ = true;
        ::shutdown(acceptor_.native_handle(), SHUT_RDWR);
        thread_.join();
    }
    ScriptedEngine(const ScriptedEngine&) = delete;
    ScriptedEngine& operator=(const ScriptedEngine&) = delete;

    Endpoint at() const { return { "127.0.0.1", acceptor_.local_endpoint().port() }; }
    // Returns whether the client closed before all bytes were sent. Waits until the connection has ended.
    bool wasClosedByClient() const
    {
        while (!hasEnded_)
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        return wasClosed_;
    }

private:
    void serve()
    {
        while (!stopped_) {
            tcp::socket socket(io_);
            boost::system::error_code error;
            acceptor_.accept(socket, error);
            if (error)
                return;
            const timeval bound { 10, 0 };
            ::setsockopt(socket.native_handle(), SOL_SOCKET, SO_SNDTIMEO, &bound, sizeof(bound));
            std::string request;
            boost::asio::read_until(socket, boost::asio::dynamic_buffer(request), "\r\n\r\n", error);
            answer(socket, next_());
            hasEnded_ = true;
        }
    }

    void answer(tcp::socket& socket, const Script& script)
    {
        std::size_t sent = script.text_.size();
        wasClosed_ = !sendAll(socket, script.text_);
        std::string piece;
        while (!script.endless_.empty() && piece.size() < script.pieceBytes_)
            piece += script.endless_;
        while (!piece.empty() && !wasClosed_ && sent < script.mostBytes_) {
            std::this_thread::sleep_for(script.pause_);
            wasClosed_ = !sendAll(socket, piece);
            sent += piece.size();
        }
        const auto until = std::chrono::steady_clock::now() + script.openFor_;
        while (std::chrono::steady_clock::now() < until && !stopped_)
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }

    static bool sendAll(tcp::socket& socket, const std::string& text)
    {
        std::size_t sent = 0;
        while (sent < text.size()) {
            const auto bytes = ::send(socket.native_handle(), text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
            if (bytes <= 0)
                return false;
            sent += static_cast<std::size_t>(bytes);
        }
        return true;
    }

    boost::asio::io_context io_;
    tcp::acceptor acceptor_;
    std::function<Script()> next_;
    std::atomic<bool> stopped_ = false;
    std::atomic<bool> hasEnded_ = false;
    std::atomic<bool> wasClosed_ = false;
    std::thread thread_;
};

struct Outcome {
    bool hasEnded_ = false;
    std::optional<Response> response_ {};
    std::error_code error_ {};
    RunState run_ = RunState::NotRun;
};

// Fetches a whole answer on an event loop of its own.
inline Outcome fetchFrom(const Endpoint& at, const ClientSettings& settings = {}, const Request& request = {}, Duration idle = std::chrono::seconds(10))
{
    boost::asio::io_context io;
    Client client(io, settings);
    Outcome outcome;
    CallOptions options;
    options.idle_ = idle;
    const auto call = client.fetch(at, request, options, [&](Result<Response> response, RunState run) {
        outcome.hasEnded_ = true;
        outcome.run_ = run;
        if (response)
            outcome.response_ = std::move(response.value());
        else
            outcome.error_ = response.error();
    });
    const auto until = std::chrono::steady_clock::now() + testTime;
    while (!outcome.hasEnded_ && std::chrono::steady_clock::now() < until)
        io.run_one_until(until);
    return outcome;
}

} // namespace jj::http::testing
