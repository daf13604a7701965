// jj-fake-relay: options, switches and start.
#include "Relay.h"
#include "standin/StandIn.h"

#include <CLI/CLI.hpp>
#include <boost/asio/post.hpp>
#include <iostream>

namespace {

namespace json = boost::json;
using namespace jj::standin;

constexpr const char* footer = R"(A link is LISTEN=TARGET, both IP:PORT; port 0 of LISTEN is chosen by the system. After the first line, "listening IP:PORT" of the
control port, one line a link follows: "tcp IP:PORT IP:PORT" or "udp IP:PORT IP:PORT", listening port and target.
Fault switches, at run time: POST /fakes/faults with any of
  {"link": N}           which link, from 0 in the order of the lines; without it all links
  {"cut": true}         open connections break off once
  {"silence": true}     open connections stay open and pass nothing for good; new ones work
  {"refuse": true}      new connections are closed at once
  {"blackhole": true}   nothing passes at all until false
  {"delayMs": N}        each way
  {"udpLoss": P}        share of datagrams lost
SIGTERM ends the process.)";

class Links {
public:
    // Opens the link of one LISTEN=TARGET text; says on standard error what is wrong with it.
    bool open(boost::asio::io_context& io, const std::string& text, bool isTcp, std::uint64_t seed)
    {
        const std::size_t middle = text.find('=');
        const auto listen = jj::parseEndpoint(text.substr(0, middle));
        const auto target = middle == std::string::npos ? listen : jj::parseEndpoint(text.substr(middle + 1));
        if (middle == std::string::npos || !listen || !target) {
            std::cerr << "'" << text << "' isn't LISTEN=TARGET\n";
            return false;
        }
        std::error_code error;
        if (isTcp) {
            auto link = jj::TcpLink::create(io, listen.value(), target.value());
            if (link)
                tcp_.push_back(std::move(link.value()));
            else
                error = link.error();
        } else {
            auto link = jj::UdpLink::create(io, listen.value(), target.value(), seed);
            if (link)
                udp_.push_back(std::move(link.value()));
            else
                error = link.error();
        }
        if (error)
            std::cerr << "'" << text << "': " << error.message() << '\n';
        return !error;
    }

    void print() const
    {
        for (const auto& link : tcp_)
            std::cout << "tcp " << toString(link->local()) << ' ' << toString(link->target()) << '\n';
        for (const auto& link : udp_)
            std::cout << "udp " << toString(link->local()) << ' ' << toString(link->target()) << '\n';
        std::cout.flush();
    }

    json::array apply(const json::object& switches)
    {
        const std::int64_t only = integerOr(switches, "link", -1);
        std::int64_t index = 0;
        json::array states;
        for (const auto& link : tcp_) {
            if (only < 0 || only == index) {
                setFaults(link->faults(), switches);
                if (flagOr(switches, "cut", false))
                    link->cut();
                if (flagOr(switches, "silence", false))
                    link->silenceOpen();
            }
            ++index;
            states.push_back(state(link->faults(), link->openConnections()));
        }
        for (const auto& link : udp_) {
            if (only < 0 || only == index)
                setFaults(link->faults(), switches);
            ++index;
            states.push_back(state(link->faults(), 0));
        }
        return states;
    }

private:
    static void setFaults(jj::LinkFaults& faults, const json::object& switches)
    {
        faults.refuse_ = flagOr(switches, "refuse", faults.refuse_);
        faults.blackhole_ = flagOr(switches, "blackhole", faults.blackhole_);
        faults.delay_ = std::chrono::milliseconds(integerOr(switches, "delayMs", faults.delay_.count()));
        faults.udpLoss_ = std::clamp(numberOr(switches, "udpLoss", faults.udpLoss_), 0.0, 1.0);
    }

    static json::object state(const jj::LinkFaults& faults, std::size_t connections)
    {
        return { { "refuse", faults.refuse_ }, { "blackhole", faults.blackhole_ }, { "delayMs", faults.delay_.count() }, { "udpLoss", faults.udpLoss_ }, { "connections", connections } };
    }

    std::vector<std::unique_ptr<jj::TcpLink>> tcp_;
    std::vector<std::unique_ptr<jj::UdpLink>> udp_;
};

} // namespace

int main(int argc, char** argv)
{
    Options options;
    std::vector<std::string> tcp;
    std::vector<std::string> udp;
    CLI::App app("Relay between two processes, for failure runs");
    app.footer(footer);
    app.add_option("--address", options.address_, "IP number of the control port")->capture_default_str();
    app.add_option("--port", options.port_, "control port, 0: chosen by the system")->capture_default_str();
    app.add_option("--seed", options.seed_, "seed of lost datagrams")->capture_default_str();
    app.add_option("--tcp", tcp, "a TCP link, LISTEN=TARGET");
    app.add_option("--udp", udp, "a UDP link, LISTEN=TARGET");
    CLI11_PARSE(app, argc, argv);

    boost::asio::io_context io(1);
    Links links;
    bool allOpen = true;
    for (const std::string& link : tcp)
        allOpen = links.open(io, link, true, options.seed_) && allOpen;
    for (const std::string& link : udp)
        allOpen = links.open(io, link, false, options.seed_) && allOpen;
    if (!allOpen)
        return 1;
    // The control port's line comes first.
    boost::asio::post(io, [&links] { links.print(); });
    return serve(
        io, options, [&links](const std::shared_ptr<jj::http::Exchange>& exchange) {
        const auto switches = parseObject(exchange->request().body_);
        if (exchange->request().path() != "/fakes/faults" || !switches)
            return exchange->respond({ 400, {}, "POST a JSON object to /fakes/faults\n" });
        exchange->respond(jsonResponse(200, links.apply(*switches))); }, 64 * 1024);
}
