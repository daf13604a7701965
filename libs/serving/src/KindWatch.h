// Follows all objects of one kind, of which there are few, and calls a function for each existing and each new object.
//
// While passive, it lists the objects periodically and accepts data that is some seconds old. While active, it lists them once and
// then uses long-poll calls, which the store holds open until there is a change, because the store charges for each call. After a
// failure it lists all objects again, so the function may be called more than once for an object.
#pragma once

#include "StoreLink.h"

#include <functional>
#include <string>

namespace jj {

class KindWatch {
public:
    // `kind` is the key prefix of the objects, including its slash.
    KindWatch(StoreLink& store, std::string kind, std::function<void(const std::string& key)> onFound)
        : store_(store)
        , kind_(std::move(kind))
        , onFound_(std::move(onFound))
    {
    }

    // Sets whether the watch is passive, which it is initially.
    void setPassive(bool isPassive);
    void tick(TimePoint now);

private:
    void read(bool stale);
    void watch();
    void scheduleRetry();

    StoreLink& store_;
    std::string kind_;
    std::function<void(const std::string&)> onFound_;
    ObjectVersion followedVersion_;
    bool isPassive_ = true;
    bool isCallInFlight_ = false;
    TimePoint nextCallAt_ {};
};

} // namespace jj
