// The UDP socket of a node: whole datagrams in and out.
#pragma once

#include "base/Result.h"
#include "wire/PeerAddress.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace boost::asio {
class io_context;
}

namespace jj {

class DatagramSocket {
public:
    using Handler = std::function<void(std::string_view)>;

    // Errors: the system's when the address can't be bound. The handler runs on the io_context, one call at a time.
    static Result<std::unique_ptr<DatagramSocket>> create(boost::asio::io_context& io, const PeerAddress& address, Handler handler);
    ~DatagramSocket();

    // Lost when the system has no room: datagrams may be lost anyhow. Any thread.
    void send(const PeerAddress& to, std::string bytes);

private:
    struct State;
    explicit DatagramSocket(std::shared_ptr<State> state);

    std::shared_ptr<State> state_;
};

} // namespace jj
