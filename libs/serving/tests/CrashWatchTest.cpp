// What speaks for a crash: engines that refuse connections, beside engines that give no sign within a time-out.
#include "CrashWatch.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <doctest/doctest.h>
#include <fcntl.h>
#include <unistd.h>

using namespace jj;

namespace {

using boost::asio::ip::tcp;
using boost::asio::ip::udp;

const Fingerprint firstPart { 11 };
const Fingerprint secondPart { 12 };
constexpr std::size_t engineCount = 3; // as many crashes as block a part

enum class EngineState : std::uint8_t {
    Refuses, // its process is gone
    Silent, // its process stands still; the kernel accepts connections
    CutOff, // connecting to it takes for ever
};

class FakeEngine {
public:
    FakeEngine(boost::asio::io_context& io, EngineState state)
        : acceptor_(io, { boost::asio::ip::address_v4::loopback(), 0 }, false)
        , at_(parseEndpoint("127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port())).value())
    {
        if (state == EngineState::Refuses)
            acceptor_.close();
        else if (state == EngineState::CutOff)
            fillBacklog(io);
    }

    const Endpoint& at() const { return at_; }

private:
    // The kernel drops what would open a connection while as many as these wait to be accepted.
    void fillBacklog(boost::asio::io_context& io)
    {
        constexpr int waiting = 4;
        acceptor_.listen(1);
        for (int count = 0; count < waiting; ++count) {
            waiting_.emplace_back(io);
            waiting_.back().async_connect(acceptor_.local_endpoint(), [](const boost::system::error_code&) {});
        }
    }

    tcp::acceptor acceptor_;
    Endpoint at_;
    std::vector<tcp::socket> waiting_;
};

// One host before engines that are all in the same state.
class Host {
public:
    explicit Host(EngineState state)
        : log_("host", 1000, ::open("/dev/null", O_WRONLY))
        , servingMetrics_(metrics_)
        , board_(CapacitySettings(), NodeId(1), {}, 1)
        , engines_(io_, { .connectTime_ = 100ms })
        , context_ { io_, settings_, translation_, log_, servingMetrics_, board_, engines_ }
        , crashes_(context_, 1, [](const ObjectCall&, CallClass, TimePoint, const SettledCompletion&) {}) // a store that never answers
    {
        translation_.engineHealthPath_ = "/health";
        openFleet();
        context_.fleet_ = fleet_.get();
        context_.crashes_ = &crashes_;
        fakes_.reserve(engineCount);
        for (std::size_t place = 0; place < engineCount; ++place)
            addEngine(state);
        runFor(50ms);
    }

    void runFor(Duration time)
    {
        io_.restart();
        io_.run_for(time);
    }

    // Each engine loses a request with the same parts and a content of its own.
    void loseRequests()
    {
        for (std::uint64_t engine = 1; engine <= engineCount; ++engine)
            crashes_.recordLoss(request(engine), UpstreamId(engine), LossPoint::BeforeAnswer);
    }

    void probeEngines()
    {
        for (std::uint64_t engine = 1; engine <= engineCount; ++engine)
            context_.probe(UpstreamId(engine));
    }

    bool blocksNextRequest() { return crashes_.judge(request(engineCount + 1)).blocked_.has_value(); }

private:
    static RequestFingerprints request(std::uint64_t number) { return { { firstPart, secondPart }, Fingerprint(100 + number) }; }

    void addEngine(EngineState state)
    {
        fakes_.emplace_back(io_, state);
        EngineEntry entry;
        entry.id_ = UpstreamId(fakes_.size());
        entry.name_ = "engine";
        entry.service_ = "service";
        entry.at_ = fakes_.back().at();
        board_.upsert(entry);
    }

    // The fleet needs two ports in a row.
    void openFleet()
    {
        FleetHandlers handlers;
        handlers.ownReport_ = [] { return NodeReport(); };
        handlers.ownVersions_ = [] { return KnownVersions(); };
        handlers.ownCell_ = [] { return CellUse(); };
        handlers.onCellsChanged_ = [] {};
        for (int tries = 0; !fleet_ && tries < 20; ++tries) {
            const std::uint16_t port = udp::socket(io_, { boost::asio::ip::address_v4::loopback(), 0 }).local_endpoint().port();
            FleetOptions options;
            options.at_ = PeerAddress::parse("127.0.0.1:" + std::to_string(port)).value();
            options.region_ = RegionId(1);
            options.domain_ = FailureDomainId(1);
            options.incarnation_ = Incarnation(1);
            if (auto fleet = Fleet::create(io_, options, log_, handlers))
                fleet_ = std::move(fleet.value());
        }
        REQUIRE(fleet_);
    }

    boost::asio::io_context io_;
    ServingSettings settings_;
    Translation translation_;
    DecisionLog log_;
    Metrics metrics_;
    ServingMetrics servingMetrics_;
    CapacityBoard board_;
    http::Client engines_;
    Context context_;
    CrashWatch crashes_;
    std::unique_ptr<Fleet> fleet_;
    std::vector<FakeEngine> fakes_;
};

} // namespace

TEST_CASE("crashes: engines that refuse connections speak against the parts of what they ran")
{
    Host host(EngineState::Refuses);
    host.loseRequests();
    host.runFor(400ms);
    CHECK(host.blocksNextRequest());
}

// Guards against sound requests that are refused because engines were cut off from this host for a second.
TEST_CASE("crashes: a connection that isn't made within its time is no sign of a crash")
{
    Host host(EngineState::CutOff);
    host.loseRequests();
    host.runFor(400ms);
    CHECK_FALSE(host.blocksNextRequest());
    host.probeEngines();
    host.runFor(400ms);
    CHECK_FALSE(host.blocksNextRequest());
}

// Guards against sound requests that are refused because engines stood still for a second.
TEST_CASE("crashes: a health check without an answer is no sign of a crash")
{
    Host host(EngineState::Silent);
    host.loseRequests();
    host.runFor(400ms);
    CHECK_FALSE(host.blocksNextRequest());
    host.probeEngines();
    host.runFor(400ms);
    CHECK_FALSE(host.blocksNextRequest());
}
