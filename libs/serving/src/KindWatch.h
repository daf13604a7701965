// Follows a kind of objects of which there are few: each that is there or comes is handed on.
//
// Passive: read now and then, from data that may be some seconds old. Active: read, then followed by calls that are held open, since each call
// is priced. After a failure all are read again, so an object may be handed on more than once.
#pragma once

#include "StoreLink.h"

#include <functional>
#include <string>

namespace jj {

class KindWatch {
public:
    // `kind`: as in keys, with its slash.
    KindWatch(StoreLink& store, std::string kind, std::function<void(const std::string& key)> found)
        : store_(store)
        , kind_(std::move(kind))
        , found_(std::move(found))
    {
    }

    // Passive at first.
    void setPassive(bool passive);
    void tick(TimePoint now);

private:
    void read(bool stale);
    void watch();
    void again();

    StoreLink& store_;
    std::string kind_;
    std::function<void(const std::string&)> found_;
    ObjectVersion seen_;
    bool passive_ = true;
    bool busy_ = false;
    TimePoint nextAt_ {};
};

} // namespace jj
