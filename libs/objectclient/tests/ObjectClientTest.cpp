// The client against a server of the http library that answers as scripted: each status becomes its typed error, and silence the truth
// about the call.
#include "objectclient/ObjectClient.h"
#include "http/Server.h"

#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>
#include <optional>

using namespace jj;

namespace {

// A server and a client on one io_context, run by the test.
struct Pair {
    explicit Pair(http::Server::Handler handler)
        : server_(std::move(http::Server::create(io_, { .listen_ = { "127.0.0.1", 0 }, .limits_ = {} }, std::move(handler)).value()))
        , client_(io_, { server_->local(), 300ms, 300ms }, [](const std::function<void()>& task) { task(); })
    {
    }

    ObjectAnswer call(ObjectCall call)
    {
        std::optional<ObjectAnswer> seen;
        client_.call(std::move(call), [&seen](ObjectAnswer answer) { seen = std::move(answer); });
        while (!seen)
            io_.run_one();
        return *seen;
    }

    boost::asio::io_context io_;
    std::unique_ptr<http::Server> server_;
    ObjectClient client_;
};

} // namespace

TEST_CASE("requests carry conditions, and answers their versions")
{
    std::vector<http::Request> seen;
    Pair pair([&seen](const std::shared_ptr<http::Exchange>& exchange) {
        seen.push_back(exchange->request());
        http::Response response { 200, {}, "value" };
        response.headers_.add("ETag", "\"17\"");
        exchange->respond(response);
    });
    CHECK(pair.call(ObjectCall::get("a/b")).value_ == "value");
    CHECK(pair.call(ObjectCall::create("a/b", "x")).version_ == ObjectVersion(17));
    CHECK(pair.call(ObjectCall::update("a/b", "y", ObjectVersion(16))).ok());
    CHECK(pair.call(ObjectCall::remove("a/b")).ok());
    REQUIRE(seen.size() == 4);
    CHECK(seen[0].target_ == "/v1/objects/a/b");
    CHECK(seen[1].headers_.find("If-None-Match") == "*");
    CHECK(seen[1].body_ == "x");
    CHECK(seen[2].headers_.find("If-Match") == "\"16\"");
    CHECK(seen[3].method_ == "DELETE");
    CHECK_FALSE(seen[3].headers_.has("If-Match"));
}

TEST_CASE("each status becomes its typed error")
{
    int status = 0;
    Pair pair([&status](const std::shared_ptr<http::Exchange>& exchange) {
        http::Response response { status, {}, "" };
        if (status == 412)
            response.headers_.add("ETag", "\"9\"");
        if (status == 429)
            response.headers_.add("Retry-After", "3");
        exchange->respond(response);
    });
    const auto answer = [&](int wanted) {
        status = wanted;
        return pair.call(ObjectCall::update("k", "v", ObjectVersion(1)));
    };
    CHECK(answer(404).error_ == ObjectError::NotFound);
    CHECK(answer(412).error_ == ObjectError::Conflict);
    CHECK(answer(412).version_ == ObjectVersion(9));
    CHECK(answer(413).error_ == ObjectError::TooLarge);
    CHECK(answer(429).error_ == ObjectError::RateLimited);
    CHECK(answer(429).retryAfter_ == 3s);
    CHECK(answer(503).error_ == ObjectError::Unavailable);
    CHECK(answer(502).error_ == ObjectError::OutcomeUnknown);
    CHECK(answer(200).error_ == ObjectError::OutcomeUnknown);
}

TEST_CASE("silence makes a write's outcome unknown and a read unavailable")
{
    std::vector<std::shared_ptr<http::Exchange>> kept;
    Pair pair([&kept](std::shared_ptr<http::Exchange> exchange) { kept.push_back(std::move(exchange)); });
    CHECK(pair.call(ObjectCall::create("k", "v")).error_ == ObjectError::OutcomeUnknown);
    CHECK(pair.call(ObjectCall::get("k")).error_ == ObjectError::Unavailable);
    kept.clear();
}

TEST_CASE("a call that cannot connect is known not to have run")
{
    auto pair = std::make_unique<Pair>([](const std::shared_ptr<http::Exchange>&) {});
    pair->server_.reset();
    CHECK(pair->call(ObjectCall::create("k", "v")).error_ == ObjectError::Unavailable);
}

TEST_CASE("lists and watch lines carry keys, versions and values")
{
    Pair pair([](const std::shared_ptr<http::Exchange>& exchange) {
        if (exchange->request().path() == "/v1/objects") {
            exchange->respond({ 200, {}, R"({"version":8,"items":[{"key":"p/a","version":3,"size":2,"value":"aGk="}],"next":"p/a"})" });
            return;
        }
        exchange->start(200, {});
        exchange->write("{\"version\":9,\"type\":\"put\",\"key\":\"p/b\",\"value\":\"aGk=\"}\n{\"version\":10,\"ty");
        exchange->write("pe\":\"delete\",\"key\":\"p/b\"}\n");
        exchange->end();
    });
    const ObjectAnswer list = pair.call(ObjectCall::list("p/", true));
    REQUIRE(list.entries_.size() == 1);
    CHECK(list.entries_[0].value_ == "hi");
    CHECK(list.next_ == "p/a");
    std::vector<ObjectChange> changes;
    std::error_code ended;
    pair.client_.watch("p/", ObjectVersion(8), { [&](const ObjectChange& change) { changes.push_back(change); }, [&](std::error_code error) { ended = error; } });
    while (!ended)
        pair.io_.run_one();
    REQUIRE(changes.size() == 2);
    CHECK(changes[0].value_ == "hi");
    CHECK((changes[1].kind_ == ChangeKind::Remove));
    CHECK(ended == ObjectError::Unavailable);
}

TEST_CASE("a watch on changes that are no longer kept ends as expired")
{
    Pair pair([](const std::shared_ptr<http::Exchange>& exchange) { exchange->respond({ 410, {}, "" }); });
    std::error_code ended;
    pair.client_.watch("p/", ObjectVersion(1), { [](const ObjectChange&) {}, [&](std::error_code error) { ended = error; } });
    while (!ended)
        pair.io_.run_one();
    CHECK(ended == ObjectError::Expired);
}
