// Texts of the settings errors.
#include "settings/SettingsError.h"

#include <string>

namespace jj {

namespace {

    class SettingsCategory final : public std::error_category {
    public:
        const char* name() const noexcept override { return "settings"; }
        std::string message(int value) const override
        {
            switch (static_cast<SettingsError>(value)) {
            case SettingsError::BadSyntax:
                return "not valid INI";
            case SettingsError::UnknownSection:
                return "unknown section";
            case SettingsError::UnknownKey:
                return "unknown key";
            case SettingsError::MissingKey:
                return "missing key";
            case SettingsError::BadValue:
                return "bad value";
            case SettingsError::OutOfRange:
                return "value out of range";
            case SettingsError::UnknownName:
                return "unknown name";
            case SettingsError::Duplicate:
                return "stands twice";
            }
            return "unknown settings error";
        }
    };

} // namespace

std::error_code make_error_code(SettingsError error)
{
    static const SettingsCategory category;
    return { static_cast<int>(error), category };
}

} // namespace jj
