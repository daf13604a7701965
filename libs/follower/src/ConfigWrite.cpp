// The conditional write of a configuration.
#include "follower/ConfigWrite.h"

namespace jj {

namespace {

    class ConfigWriteCategory final : public std::error_category {
    public:
        const char* name() const noexcept override { return "configWrite"; }
        std::string message(int value) const override
        {
            switch (static_cast<ConfigWriteError>(value)) {
            case ConfigWriteError::Conflict:
                return "another configuration was accepted first";
            case ConfigWriteError::Refused:
                return "the store refused the configuration";
            case ConfigWriteError::NotReached:
                return "the store is out of reach; nothing was accepted";
            case ConfigWriteError::OutcomeUnknown:
                return "no answer came; the configuration may have been accepted";
            }
            return "unknown configuration write error";
        }
    };

    ConfigWriteError errorOf(const std::error_code& error)
    {
        if (error == ObjectError::Conflict || error == ObjectError::NotFound)
            return ConfigWriteError::Conflict;
        if (error == ObjectError::OutcomeUnknown)
            return ConfigWriteError::OutcomeUnknown;
        if (error == ObjectError::Unavailable || error == ObjectError::RateLimited)
            return ConfigWriteError::NotReached;
        return ConfigWriteError::Refused;
    }

    // Object versions and configuration versions are the same numbers.
    ConfigVersion toConfig(ObjectVersion version) { return version.isNone() ? ConfigVersion::none() : ConfigVersion(version.value()); }

} // namespace

std::error_code make_error_code(ConfigWriteError error)
{
    static const ConfigWriteCategory category;
    return { static_cast<int>(error), category };
}

ObjectCall configWriteCall(std::string_view key, std::string_view ini, std::string_view mark, ConfigVersion basedOn)
{
    std::string value = "# written by ";
    value.append(mark).append("\n").append(ini);
    if (basedOn.isNone())
        return ObjectCall::create(std::string(key), std::move(value));
    return ObjectCall::update(std::string(key), std::move(value), ObjectVersion(basedOn.value()));
}

ConfigWriteOutcome configWriteOutcome(const ObjectAnswer& answer, ConfigVersion basedOn)
{
    ConfigWriteOutcome outcome;
    outcome.basedOn_ = basedOn;
    outcome.standing_ = toConfig(answer.version_);
    if (!answer.ok())
        outcome.error_ = errorOf(answer.error_);
    return outcome;
}

} // namespace jj
