#include "http/ByteBudget.h"

#include "http/Message.h"

#include <algorithm>

namespace jj::http {

ByteHold::ByteHold(ByteHold&& other) noexcept
    : budget_(std::move(other.budget_))
    , use_(other.use_)
    , bytes_(std::exchange(other.bytes_, 0))
{
}

ByteHold& ByteHold::operator=(ByteHold&& other) noexcept
{
    if (this == &other)
        return *this;
    resize(0);
    budget_ = std::move(other.budget_);
    use_ = other.use_;
    bytes_ = std::exchange(other.bytes_, 0);
    return *this;
}

void ByteHold::resize(std::size_t bytes)
{
    if (budget_ && bytes != bytes_)
        budget_->change(use_, bytes_, bytes);
    bytes_ = bytes;
}

Result<std::shared_ptr<ByteBudget>> ByteBudget::create(ByteBudgetSettings settings)
{
    const bool areSharesValid = settings.minShareBytes_ > 0 && settings.minShareBytes_ <= settings.maxShareBytes_ && settings.maxShareBytes_ <= settings.limitBytes_;
    if (!areSharesValid)
        return Error::BadBudget;
    return std::shared_ptr<ByteBudget>(new ByteBudget(settings));
}

bool ByteBudget::hasRoom(ByteUse use, std::size_t bytes) const
{
    if (use == ByteUse::Heads)
        return held(ByteUse::Heads) + bytes <= headLimit();
    const std::size_t all = held(ByteUse::Answers) + held(ByteUse::Uploads);
    const bool fitsUploads = use != ByteUse::Uploads || held(ByteUse::Uploads) + bytes <= settings_.limitBytes_ / 2;
    return fitsUploads && all + bytes <= settings_.limitBytes_;
}

std::size_t ByteBudget::share() const
{
    const std::size_t holders = std::max<std::size_t>(1, answerHolders_);
    return std::clamp(settings_.limitBytes_ / holders, settings_.minShareBytes_, settings_.maxShareBytes_);
}

void ByteBudget::change(ByteUse use, std::size_t before, std::size_t after)
{
    auto& held = held_[static_cast<std::size_t>(use)];
    held += after;
    held -= before;
    if (use != ByteUse::Answers)
        return;
    if (before == 0)
        ++answerHolders_;
    if (after == 0)
        --answerHolders_;
}

} // namespace jj::http
