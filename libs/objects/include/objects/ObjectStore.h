// What a client of the object API offers. The HTTP client and the in-memory store under virtual time both meet it.
//
// call() completes once, later, on the thread that owns the client; a call without an answer within the client's bound completes
// with OutcomeUnknown (writes) or Unavailable (reads). watch() delivers the changes after `from`, in order and without gaps,
// until unwatch(), or ends once with Expired or Unavailable: then list and watch again.
#pragma once

#include "objects/ObjectApi.h"

#include <concepts>
#include <functional>

namespace jj {

using WatchId = Id<struct WatchTag>;

using ObjectCompletion = std::function<void(ObjectAnswer)>;

struct WatchHandler {
    std::function<void(const ObjectChange&)> onChange_;
    std::function<void(std::error_code)> onEnd_;
};

template <class T>
concept ObjectStore = requires(T& store, ObjectCall call, ObjectCompletion done, WatchHandler handler, WatchId watch)
{
    store.call(std::move(call), std::move(done));
    {
        store.watch(std::string(), ObjectVersion(), std::move(handler))
        } -> std::same_as<WatchId>;
    store.unwatch(watch);
};

} // namespace jj
