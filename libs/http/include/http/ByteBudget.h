// Bounds the bytes that a process holds for slow peers, over all connections.
//
//     auto budget = ByteBudget::create({ .limitBytes_ = 32 * 1024 * 1024 }).value();
//     ByteHold hold = budget->hold(ByteUse::Answers);
//     hold.resize(queue.size());                                // whenever the queue grows or shrinks
//     if (hold.bytes() >= budget->share()) ...                  // the connection counts as full
//
// The budget only counts: connections stop reading from the other side, refuse requests or are closed according to its counts. Without
// it, each connection had a limit of its own, and a thousand of them together exceeded the memory of a small host.
#pragma once

#include "base/Result.h"

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <utility>

namespace jj::http {

enum class ByteUse : std::uint8_t {
    Answers, // queued for readers that haven't taken them yet
    Uploads, // bodies of requests that haven't ended
    Heads, // of requests that haven't ended, and what has been read of the next ones; apart from the limit of the others
};

struct ByteBudgetSettings {
    std::size_t limitBytes_ = 64U * 1024 * 1024;
    // A connection that holds fewer bytes than this never counts as full; short answers fit into it as a whole.
    std::size_t minShareBytes_ = 16U * 1024;
    std::size_t maxShareBytes_ = 1024U * 1024;
};

class ByteBudget;

// The bytes that one connection holds. They are released when the hold is destroyed. A default-constructed hold counts nothing.
class ByteHold {
public:
    ByteHold() = default;
    ByteHold(ByteHold&& other) noexcept;
    ByteHold& operator=(ByteHold&& other) noexcept;
    ~ByteHold() { resize(0); }

    void resize(std::size_t bytes);
    std::size_t bytes() const { return bytes_; }

private:
    friend class ByteBudget;
    ByteHold(std::shared_ptr<ByteBudget> budget, ByteUse use)
        : budget_(std::move(budget))
        , use_(use)
    {
    }

    std::shared_ptr<ByteBudget> budget_;
    ByteUse use_ = ByteUse::Answers;
    std::size_t bytes_ = 0;
};

// Thread-safe.
class ByteBudget : public std::enable_shared_from_this<ByteBudget> {
public:
    // Errors: Error::BadBudget if the limit is zero or the shares exceed it.
    static Result<std::shared_ptr<ByteBudget>> create(ByteBudgetSettings settings);

    ByteHold hold(ByteUse use) { return { shared_from_this(), use }; }
    // Returns whether this many more bytes fit. Uploads get at most half of the budget, so that answers can always leave. Heads have
    // headLimit() to themselves.
    bool hasRoom(ByteUse use, std::size_t bytes) const;
    std::size_t held(ByteUse use) const { return held_[static_cast<std::size_t>(use)]; }
    std::size_t limit() const { return settings_.limitBytes_; }
    std::size_t headLimit() const { return settings_.limitBytes_ / 2; }
    // Returns the number of bytes from which a connection counts as full: an equal part of the budget for each connection that holds
    // answers, within the bounds of the settings.
    std::size_t share() const;

private:
    friend class ByteHold;
    explicit ByteBudget(ByteBudgetSettings settings)
        : settings_(settings)
    {
    }

    void change(ByteUse use, std::size_t before, std::size_t after);

    ByteBudgetSettings settings_;
    std::array<std::atomic<std::size_t>, 3> held_ {}; // by ByteUse
    std::atomic<std::size_t> answerHolders_ = 0; // holds of answers with at least one byte
};

} // namespace jj::http
