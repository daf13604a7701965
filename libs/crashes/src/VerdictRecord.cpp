// Encodes verdicts as JSON with Boost.JSON.
#include "crashes/VerdictRecord.h"

#include "crashes/CrashSuspects.h"

#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <charconv>
#include <cstdio>

namespace jj {

namespace {

    namespace json = boost::json;

    constexpr int hexBase = 16;
    // Older times are taken for this old, so that no stored number makes an age that overflows.
    constexpr Duration longestAge = std::chrono::hours(24 * 365);

    class CrashCategory final : public std::error_category {
    public:
        const char* name() const noexcept override { return "crashes"; }
        std::string message(int /*value*/) const override { return "the object is no verdict"; }
    };

    std::int64_t timeOf(Duration age, WallTime wall) { return wall.time_since_epoch().count() - age / 1ms; }

    Duration ageOf(std::int64_t time, WallTime wall)
    {
        const std::int64_t now = wall.time_since_epoch().count();
        const std::int64_t oldest = now - longestAge / 1ms;
        return std::chrono::milliseconds(now - std::clamp(time, oldest, now));
    }

    template <class Number>
    Number numberIn(const json::value& value, std::string_view name)
    {
        return value.as_object().at(json::string_view(name.data(), name.size())).to_number<Number>();
    }

    // Throws if a member is missing or of another type, as the accessors of Boost.JSON do.
    VerdictRecord readVerdict(const json::value& value, WallTime wall)
    {
        VerdictRecord verdict;
        verdict.suspect_.depth_ = numberIn<std::uint8_t>(value, "depth");
        verdict.suspect_.trials_ = numberIn<std::uint8_t>(value, "trials");
        verdict.blockedAge_ = ageOf(numberIn<std::int64_t>(value, "blocked"), wall);
        verdict.writeId_ = numberIn<std::uint64_t>(value, "write");
        for (const json::value& crash : value.at("crashes").as_array()) {
            const UpstreamId engine(crash.as_array().at(0).to_number<std::uint64_t>());
            verdict.suspect_.crashes_.push_back({ engine, ageOf(crash.as_array().at(1).to_number<std::int64_t>(), wall) });
        }
        return verdict;
    }

    std::optional<Fingerprint> suspectOf(std::string_view key)
    {
        if (!key.starts_with(verdictKind))
            return std::nullopt;
        key.remove_prefix(verdictKind.size());
        std::uint64_t value = 0;
        const auto [end, error] = std::from_chars(key.data(), key.data() + key.size(), value, hexBase);
        if (error != std::errc() || end != key.data() + key.size())
            return std::nullopt;
        return Fingerprint(value);
    }

} // namespace

std::error_code make_error_code(CrashError error)
{
    static const CrashCategory category;
    return { static_cast<int>(error), category };
}

std::string verdictKey(Fingerprint suspect)
{
    std::array<char, 17> text {};
    std::snprintf(text.data(), text.size(), "%llx", static_cast<unsigned long long>(suspect.value()));
    return std::string(verdictKind).append(text.data());
}

std::string encode(const VerdictRecord& verdict, WallTime wall)
{
    json::array crashes;
    for (const CrashObservation& crash : verdict.suspect_.crashes_)
        crashes.push_back(json::array { crash.engine_.value(), timeOf(crash.age_, wall) });
    json::object object;
    object["depth"] = verdict.suspect_.depth_;
    object["trials"] = verdict.suspect_.trials_;
    object["blocked"] = timeOf(verdict.blockedAge_, wall);
    object["write"] = verdict.writeId_;
    object["crashes"] = std::move(crashes);
    return json::serialize(object);
}

Result<VerdictRecord> decodeVerdict(std::string_view key, std::string_view text, WallTime wall)
{
    const auto suspect = suspectOf(key);
    json::error_code error;
    const json::value value = json::parse(json::string_view(text.data(), text.size()), error);
    if (!suspect || error)
        return CrashError::BadVerdict;
    try {
        VerdictRecord verdict = readVerdict(value, wall);
        verdict.suspect_.suspect_ = *suspect;
        if (verdict.suspect_.crashes_.size() > maxCrashesPerSuspect)
            return CrashError::BadVerdict;
        return verdict;
    } catch (const std::exception&) {
        return CrashError::BadVerdict;
    }
}

} // namespace jj
