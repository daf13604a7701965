// One process that does membership and nothing else, for measuring it with real sockets and schedulers. It prints JSON lines: each
// state that it learns of another, and its own usage after --seconds.
#include "DatagramSocket.h"
#include "Runtime.h"
#include "membership/MembershipCore.h"
#include "wire/DatagramCodec.h"

#include <CLI/CLI.hpp>
#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>
#include <iostream>
#include <memory>
#include <mutex>
#include <string>
#include <sys/resource.h>
#include <thread>
#include <vector>

using namespace jj;

namespace {

struct Options {
    std::uint16_t port_ = 0;
    std::vector<std::uint16_t> ports_;
    double seconds_ = 30;
};

const char* nameOf(MemberState state)
{
    switch (state) {
    case MemberState::Alive:
        return "alive";
    case MemberState::Suspect:
        return "suspect";
    case MemberState::Dead:
        return "dead";
    case MemberState::Left:
        return "left";
    }
    return "unknown";
}

std::int64_t wallMs() { return SystemClock().wallNow().time_since_epoch().count(); }

void print(const boost::json::object& line)
{
    static std::mutex mutex;
    const std::lock_guard lock(mutex);
    std::cout << boost::json::serialize(line) << std::endl;
}

PeerAddress loopback(std::uint16_t port) { return { 0x7f000001, port }; }

double cpuSeconds()
{
    rusage usage {};
    getrusage(RUSAGE_SELF, &usage);
    const auto seconds = [](const timeval& time) { return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) / 1e6; };
    return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

// Half of the ports stand in each of two regions.
RegionId regionOf(const Options& options, std::uint16_t port)
{
    const auto place = std::find(options.ports_.begin(), options.ports_.end(), port) - options.ports_.begin();
    return RegionId(static_cast<std::uint32_t>(place % 2));
}

// Membership in an actor over a UDP socket, as in the daemon but without its other parts.
class Member {
public:
    explicit Member(const Options& options)
        : options_(options)
        , self_ { loopback(options.port_), regionOf(options, options.port_), FailureDomainId(0) }
        , codec_(WireKey::fromHex(std::string(2 * keyBytes, 'c')).value(), nodeIdOf(self_.endpoint_))
        , core_(self_, {}, runtime_.now(), SystemClock().wallNow(), options.port_)
        , work_(boost::asio::make_work_guard(io_))
    {
    }

    ~Member()
    {
        runtime_.stop();
        work_.reset();
        io_.stop();
        if (thread_.joinable())
            thread_.join();
    }
    Member(const Member&) = delete;
    Member& operator=(const Member&) = delete;

    bool start()
    {
        auto socket = DatagramSocket::create(io_, self_.endpoint_, [this](std::string_view bytes) {
            actor_.post([this, copy = std::string(bytes)](TimePoint now) { onDatagram(copy, now); });
        });
        if (!socket)
            return false;
        socket_ = std::move(socket.value());
        actor_ = runtime_.spawn(20ms, [this](TimePoint now) {
            core_.tick(now, SystemClock().wallNow());
            carryOut();
        });
        actor_.post([this](TimePoint now) { core_.handle(listAll(), now, SystemClock().wallNow()); });
        thread_ = std::thread([this] { io_.run(); });
        return true;
    }

    std::uint64_t bytes() const { return bytes_; }
    std::uint64_t datagrams() const { return datagrams_; }

private:
    HostsListed listAll() const
    {
        HostsListed list;
        for (std::uint16_t port : options_.ports_)
            list.hosts_.push_back({ loopback(port), FailureDomainId(0), regionOf(options_, port), false });
        return list;
    }

    void onDatagram(const std::string& bytes, TimePoint now)
    {
        Result<Datagram> datagram = codec_.decode(bytes);
        if (datagram)
            core_.handle(DatagramReceived { datagram.value().sender_, datagram.value().incarnation_, std::move(datagram.value().message_) }, now, SystemClock().wallNow());
        else if (datagram.error() == WireError::StaleIncarnation)
            core_.handle(StaleDatagram { codec_.staleSender() }, now, SystemClock().wallNow());
        carryOut();
    }

    void carryOut()
    {
        for (const MembershipCommand& command : core_.takeCommands()) {
            if (const auto* send = std::get_if<SendDatagram>(&command))
                transmit(*send);
            else if (const auto* changed = std::get_if<MemberChanged>(&command))
                print({ { "at", wallMs() }, { "port", changed->member_.endpoint_.port_ }, { "state", nameOf(changed->member_.state_) } });
        }
    }

    void transmit(const SendDatagram& send)
    {
        Result<std::string> bytes = codec_.encode(send.target_, send.selfIncarnation_, send.message_);
        if (!bytes)
            return;
        ++datagrams_;
        bytes_ += bytes.value().size();
        socket_->send(send.endpoint_, std::move(bytes.value()));
    }

    Options options_;
    MembershipCore::Self self_;
    Runtime runtime_ { 1 };
    // Owned by the actor's turns.
    DatagramCodec codec_;
    MembershipCore core_;
    std::atomic<std::uint64_t> bytes_ { 0 };
    std::atomic<std::uint64_t> datagrams_ { 0 };

    boost::asio::io_context io_;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
    std::unique_ptr<DatagramSocket> socket_;
    CoreActor actor_;
    std::thread thread_;
};

void run(const Options& options)
{
    Member member(options);
    if (!member.start()) {
        print({ { "error", "the port is in use" } });
        return;
    }
    const auto half = std::chrono::duration<double>(options.seconds_ / 2);
    std::this_thread::sleep_for(half);
    const double cpu = cpuSeconds();
    const std::uint64_t bytes = member.bytes();
    const std::uint64_t datagrams = member.datagrams();
    std::this_thread::sleep_for(half);
    rusage usage {};
    getrusage(RUSAGE_SELF, &usage);
    print({ { "seconds", half.count() }, { "cpu", cpuSeconds() - cpu }, { "bytes", member.bytes() - bytes },
        { "datagrams", member.datagrams() - datagrams }, { "maxRssKb", usage.ru_maxrss } });
}

} // namespace

int main(int argc, char** argv)
{
    Options options;
    CLI::App app("Membership alone in one process, for measurements");
    app.add_option("--port", options.port_, "UDP port on 127.0.0.1")->required();
    app.add_option("--ports", options.ports_, "ports of all processes")->required();
    app.add_option("--seconds", options.seconds_, "how long to run; usage is that of the second half")->check(CLI::Range(1.0, 600.0));
    CLI11_PARSE(app, argc, argv);

    run(options);
    return 0;
}
