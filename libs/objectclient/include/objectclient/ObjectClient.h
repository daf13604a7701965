// The platform's object API over HTTP. Meets ObjectStore.
//
//     ObjectClient client(io, { endpoint }, [&](std::function<void()> task) { actorOf(task); });
//     client.call(ObjectCall::get("a/b"), [](ObjectAnswer answer) { ... });
//
// Each call is sent once. One without an answer within answerBound_, or with an answer that isn't the store's own, ends as
// OutcomeUnknown (writes) or Unavailable (reads); one of which no byte left this host ends as Unavailable.
#pragma once

#include "base/Endpoint.h"
#include "http/Client.h"
#include "objects/ObjectStore.h"

#include <memory>

namespace jj {

struct ObjectClientSettings {
    Endpoint store_;
    Duration answerBound_ = 2s; // without a byte from the store
    Duration watchBound_ = 5s; // without a line: the store sends a bookmark each second
};

class ObjectClient {
public:
    // Runs a completion where the owner wants it; the http library's threads call it.
    using Deliver = std::function<void(std::function<void()>)>;

    ObjectClient(boost::asio::io_context& io, ObjectClientSettings settings, Deliver deliver);
    ~ObjectClient();
    ObjectClient(const ObjectClient&) = delete;
    ObjectClient& operator=(const ObjectClient&) = delete;

    void call(ObjectCall call, ObjectCompletion done);
    WatchId watch(const std::string& prefix, ObjectVersion from, WatchHandler handler);
    void unwatch(WatchId watch);

private:
    struct State;
    std::shared_ptr<State> state_;
};

static_assert(ObjectStore<ObjectClient>);

} // namespace jj
