// Tests what the owner of an accepted job learns about it.
#include "AcceptanceSender.h"

#include <doctest/doctest.h>
#include <vector>

using namespace jj;

namespace {

struct Sent {
    NodeId to_;
    JobTransfer job_;
    std::function<void(std::error_code)> done_;
};

// The nodes that an AcceptanceSender reaches. The messages wait for their answers.
struct Owners {
    std::vector<Sent> sent_;
    std::vector<JobTransfer> adopted_;
    std::vector<int> unanswered_;
    AcceptanceSender sender_ { { NodeId(1),
        [this](JobTransfer job) { adopted_.push_back(std::move(job)); },
        [this](NodeId to, JobTransfer job, std::function<void(std::error_code)> done) { sent_.push_back({ to, std::move(job), std::move(done) }); },
        [this](const JobName&, int tries, std::error_code) { unanswered_.push_back(tries); } } };

    void answer(std::error_code error)
    {
        const auto done = sent_.back().done_;
        done(error);
    }
};

Acceptance acceptanceFor(NodeId owner, bool isNew)
{
    Acceptance acceptance;
    acceptance.outcome_ = AcceptOutcome::Accepted;
    acceptance.isNew_ = isNew;
    acceptance.head_.owner_ = owner;
    acceptance.head_.total_ = 1;
    acceptance.headVersion_ = ObjectVersion(7);
    acceptance.items_ = { JobItem {} };
    return acceptance;
}

const std::error_code lost = std::make_error_code(std::errc::timed_out);

} // namespace

// Guards against an owner that reads the store for each new job before it runs it.
TEST_CASE("serving: the first message about a new job says that the job has no results")
{
    Owners owners;
    owners.sender_.send("job", acceptanceFor(NodeId(2), true));
    REQUIRE(owners.sent_.size() == 1);
    CHECK(owners.sent_[0].to_ == NodeId(2));
    CHECK(owners.sent_[0].job_.job_ == "job");
    CHECK(owners.sent_[0].job_.headVersion_ == ObjectVersion(7));
    CHECK(owners.sent_[0].job_.items_.size() == 1);
    CHECK(!owners.sent_[0].job_.mayHaveResults_);
    owners.answer({});
    CHECK(owners.sent_.size() == 1);
    CHECK(owners.adopted_.empty());
}

// Guards against an owner that hides results which it listed after the first message and before its restart.
TEST_CASE("serving: a message that is sent again says that the job may have results")
{
    Owners owners;
    owners.sender_.send("job", acceptanceFor(NodeId(2), true));
    owners.answer(lost);
    REQUIRE(owners.sent_.size() == 2);
    CHECK(owners.sent_[1].to_ == NodeId(2));
    CHECK(owners.sent_[1].job_.mayHaveResults_);
    owners.answer(lost);
    REQUIRE(owners.sent_.size() == 3);
    CHECK(owners.sent_[2].job_.mayHaveResults_);
    owners.answer(lost);
    CHECK(owners.sent_.size() == 3);
    CHECK(owners.unanswered_ == std::vector<int> { 1, 2, 3 });
}

// Guards against an owner that hides the results of a job whose spooled copy came back and was uploaded again.
TEST_CASE("serving: an acceptance that may not be the job's first one says that the job may have results")
{
    Owners owners;
    owners.sender_.send("job", acceptanceFor(NodeId(2), false));
    REQUIRE(owners.sent_.size() == 1);
    CHECK(owners.sent_[0].job_.mayHaveResults_);
    owners.sender_.send("job", acceptanceFor(NodeId(1), false));
    REQUIRE(owners.adopted_.size() == 1);
    CHECK(owners.adopted_[0].mayHaveResults_);
    owners.sender_.send("job", acceptanceFor(NodeId(1), true));
    REQUIRE(owners.adopted_.size() == 2);
    CHECK(!owners.adopted_[1].mayHaveResults_);
    CHECK(owners.sent_.size() == 1);
}
