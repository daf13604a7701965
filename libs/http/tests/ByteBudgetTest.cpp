// What a process holds for slow peers, and when connections count as full.
#include "http/ByteBudget.h"

#include "http/Message.h"

#include <doctest/doctest.h>
#include <vector>

using namespace jj::http;

namespace {

constexpr std::size_t kib = 1024;

std::shared_ptr<ByteBudget> budgetOf(std::size_t limit) { return ByteBudget::create({ limit, 16 * kib, 64 * kib }).value(); }

} // namespace

TEST_CASE("byte budget: held bytes are those of all holds, and end with them")
{
    const auto budget = budgetOf(256 * kib);
    {
        ByteHold answer = budget->hold(ByteUse::Answers);
        ByteHold upload = budget->hold(ByteUse::Uploads);
        answer.resize(100);
        upload.resize(7);
        answer.resize(40);
        CHECK(budget->held(ByteUse::Answers) == 40);
        CHECK(budget->held(ByteUse::Uploads) == 7);
        ByteHold moved = std::move(answer);
        CHECK(moved.bytes() == 40);
        upload = budget->hold(ByteUse::Uploads);
        CHECK(budget->held(ByteUse::Uploads) == 0);
    }
    CHECK(budget->held(ByteUse::Answers) == 0);
}

// Guards against uploads that fill the budget, so that no answer can leave.
TEST_CASE("byte budget: uploads get at most half")
{
    const auto budget = budgetOf(256 * kib);
    CHECK(budget->hasRoom(ByteUse::Uploads, 128 * kib));
    CHECK_FALSE(budget->hasRoom(ByteUse::Uploads, 128 * kib + 1));
    ByteHold answers = budget->hold(ByteUse::Answers);
    answers.resize(200 * kib);
    CHECK(budget->hasRoom(ByteUse::Answers, 56 * kib));
    CHECK_FALSE(budget->hasRoom(ByteUse::Answers, 57 * kib));
    CHECK_FALSE(budget->hasRoom(ByteUse::Uploads, 57 * kib));
}

TEST_CASE("byte budget: the share of a connection falls with the number of holders, within bounds")
{
    const auto budget = budgetOf(256 * kib);
    CHECK(budget->share() == 64 * kib);
    std::vector<ByteHold> holds;
    for (int count = 0; count < 8; ++count) {
        holds.push_back(budget->hold(ByteUse::Answers));
        holds.back().resize(1);
    }
    CHECK(budget->share() == 32 * kib);
    for (int count = 0; count < 92; ++count) {
        holds.push_back(budget->hold(ByteUse::Answers));
        holds.back().resize(1);
    }
    CHECK(budget->share() == 16 * kib);
    holds.clear();
    CHECK(budget->share() == 64 * kib);
}

TEST_CASE("byte budget: settings that fit no share are refused")
{
    CHECK(ByteBudget::create({ 0, 0, 0 }).error() == Error::BadBudget);
    CHECK(ByteBudget::create({ 8 * kib, 16 * kib, 64 * kib }).error() == Error::BadBudget);
}
