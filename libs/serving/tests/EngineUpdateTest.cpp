// Tests the updates of engines as they cross the network.
#include "PeerMessages.h"

#include "base/Hash.h"

#include <doctest/doctest.h>
#include <string>

using namespace jj;

namespace {

const WireKey& key()
{
    static const WireKey zero = WireKey::fromHex(std::string(64, '0')).value();
    return zero;
}

EngineRecord record(std::size_t number)
{
    EngineRecord record;
    // As long as the names on the users' platform: ten characters.
    const std::string name = "i-" + std::to_string(10'000'000 + number);
    record.key_ = "engines/" + name;
    record.version_ = ObjectVersion(number + 1);
    record.engine_.id_ = UpstreamId(mixHash(1, number));
    record.engine_.name_ = name;
    record.engine_.service_ = number % 3 == 0 ? "chat" : "letters";
    record.engine_.at_ = { "10.128." + std::to_string(number % 250) + ".17", 8080 };
    record.engine_.region_ = RegionId(2);
    record.engine_.domain_ = FailureDomainId(5);
    record.engine_.softwareVersion_ = SoftwareVersion(number % 2 == 0 ? "v1" : "v1.1");
    record.engine_.slots_ = 8;
    record.engine_.draining_ = number % 5 == 0;
    return record;
}

EngineUpdate update(std::size_t engines)
{
    EngineUpdate update;
    update.version_ = engines;
    update.isFullState_ = true;
    for (std::size_t number = 0; number < engines; ++number)
        update.entries_.push_back(record(number));
    return update;
}

std::string encoded(const EngineUpdate& engines)
{
    UpdateReply reply;
    reply.engines_ = engines;
    return encode(key(), PeerReply(reply));
}

EngineUpdate decoded(const std::string& bytes)
{
    auto reply = decodeReply(key(), bytes);
    REQUIRE(reply);
    return std::get<UpdateReply>(reply.value()).engines_;
}

} // namespace

TEST_CASE("engine update: engines arrive as they were sent, whatever they are named")
{
    EngineUpdate sent = update(20);
    sent.entries_[3].engine_.name_ = "other";
    sent.entries_[4].engine_.name_.clear();
    sent.removed_ = { "engines/i-1" };
    sent.missing_ = { { "engines/i-2", ObjectVersion(9), 1500ms } };
    sent.gaps_ = { { 3, 8 } };
    const EngineUpdate received = decoded(encoded(sent));
    REQUIRE(received.entries_.size() == sent.entries_.size());
    for (const EngineRecord& one : sent.entries_) {
        const auto same = std::find_if(received.entries_.begin(), received.entries_.end(), [&one](const EngineRecord& other) { return other.key_ == one.key_; });
        REQUIRE(same != received.entries_.end());
        CHECK(same->version_ == one.version_);
        CHECK(same->engine_ == one.engine_);
    }
    CHECK(received.removed_ == sent.removed_);
    CHECK(received.missing_.front().key_ == "engines/i-2");
    CHECK(received.gaps_.front().to_ == 8);
}

// Guards against updates that fill the links of all hosts when a fleet starts: each host receives every engine once.
TEST_CASE("engine update: a full state takes less than 80 bytes an engine, and bytes() says so")
{
    constexpr std::size_t engines = 2000;
    const EngineUpdate full = update(engines);
    const std::size_t size = encoded(full).size();
    MESSAGE("bytes an engine: ", static_cast<double>(size) / engines);
    CHECK(size < 80 * engines);
    CHECK(full.bytes() > 9 * size / 10);
    CHECK(full.bytes() < 11 * size / 10);
}

TEST_CASE("engine update: a truncated reply is rejected")
{
    const std::string bytes = encoded(update(3));
    for (std::size_t size = 0; size < bytes.size(); ++size)
        CHECK_FALSE(decodeReply(key(), std::string_view(bytes).substr(0, size)));
}
