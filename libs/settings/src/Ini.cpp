// Boost.PropertyTree reads the text; the checks are ours.
#include "settings/Ini.h"

#include "base/Number.h"
#include "settings/SettingsError.h"

#include <boost/algorithm/string.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/property_tree/ini_parser.hpp>
#include <boost/property_tree/ptree.hpp>
#include <sstream>

namespace jj {

namespace {

    // PropertyTree knows only `;` comments; a line that begins with `#` is blanked, so that line numbers stay.
    std::string withoutHashComments(std::string_view text)
    {
        std::string result;
        std::istringstream lines { std::string(text) };
        for (std::string line; std::getline(lines, line);) {
            const auto first = line.find_first_not_of(" \t\r");
            if (first == std::string::npos || line[first] != '#')
                result += line;
            result += '\n';
        }
        return result;
    }

    std::vector<std::string> splitList(const std::string& text)
    {
        std::vector<std::string> parts;
        boost::split(parts, text, boost::is_any_of(","));
        std::vector<std::string> result;
        for (std::string& part : parts) {
            boost::trim(part);
            if (!part.empty())
                result.push_back(std::move(part));
        }
        return result;
    }

    template <class T>
    std::string describeRange(Range<T> range)
    {
        std::ostringstream out;
        out << "from " << range.least_ << " to " << range.most_;
        return out.str();
    }

} // namespace

std::string describe(const Failures& failures)
{
    std::string text;
    for (const Failure& failure : failures)
        text += failure.message() + '\n';
    return text;
}

std::optional<Address> Address::parse(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    std::string ip(text.substr(0, colon));
    if (ip.size() > 2 && ip.front() == '[' && ip.back() == ']')
        ip = ip.substr(1, ip.size() - 2);
    boost::system::error_code error;
    boost::asio::ip::make_address(ip, error);
    const auto port = parseNumber<std::uint16_t>(text.substr(colon + 1));
    if (error || !port)
        return std::nullopt;
    return Address { ip, *port };
}

std::string Address::toString() const
{
    const bool v6 = ip_.find(':') != std::string::npos;
    return (v6 ? "[" + ip_ + "]" : ip_) + ":" + std::to_string(port_);
}

const std::string* IniSection::find(std::string_view key) const
{
    for (const auto& [name, value] : values_) {
        if (name == key)
            return &value;
    }
    return nullptr;
}

Checked<IniText> IniText::parse(std::string_view text)
{
    namespace pt = boost::property_tree;
    pt::ptree tree;
    std::istringstream in(withoutHashComments(text));
    try {
        pt::read_ini(in, tree);
    } catch (const pt::ini_parser_error& error) {
        return Failure { SettingsError::BadSyntax, "line " + std::to_string(error.line()) + ": " + error.message() };
    }
    IniText result;
    for (const auto& [name, node] : tree) {
        if (node.empty() && !node.data().empty())
            return Failure { SettingsError::BadSyntax, "key '" + name + "' stands before the first section" };
        IniSection section { name, {} };
        for (const auto& [key, value] : node)
            section.values_.emplace_back(key, value.data());
        result.sections_.push_back(std::move(section));
    }
    return result;
}

const IniSection* IniText::find(std::string_view name) const
{
    for (const IniSection& section : sections_) {
        if (section.name_ == name)
            return &section;
    }
    return nullptr;
}

std::vector<const IniSection*> IniText::ofKind(std::string_view kind) const
{
    std::vector<const IniSection*> found;
    for (const IniSection& section : sections_) {
        if (section.name_.size() > kind.size() && section.name_.starts_with(kind) && section.name_[kind.size()] == ' ')
            found.push_back(&section);
    }
    return found;
}

std::string_view nameOfSection(const IniSection& section)
{
    const auto space = section.name_.find(' ');
    return space == std::string::npos ? std::string_view() : std::string_view(section.name_).substr(space + 1);
}

SectionReader::SectionReader(const IniText& text, std::string_view section, Failures& failures)
    : section_(text.find(section))
    , name_(section)
    , failures_(&failures)
{
}

SectionReader::SectionReader(const IniSection& section, Failures& failures)
    : section_(&section)
    , name_(section.name_)
    , failures_(&failures)
{
}

const std::string* SectionReader::raw(std::string_view key)
{
    known_.emplace(key);
    return section_ ? section_->find(key) : nullptr;
}

void SectionReader::fail(std::error_code code, std::string_view key, std::string_view value, std::string_view allowed)
{
    std::string detail = "[" + name_ + "] " + std::string(key) + " = '" + std::string(value) + "'";
    if (!allowed.empty())
        detail += ", allowed: " + std::string(allowed);
    failures_->push_back({ code, std::move(detail) });
}

void SectionReader::missing(std::string_view key)
{
    failures_->push_back({ SettingsError::MissingKey, "[" + name_ + "] " + std::string(key) });
}

std::int64_t SectionReader::integer(std::string_view key, Range<std::int64_t> allowed, std::optional<std::int64_t> fallback)
{
    const std::string* value = raw(key);
    if (!value) {
        if (!fallback)
            missing(key);
        return fallback.value_or(allowed.least_);
    }
    const auto number = parseNumber<std::int64_t>(*value);
    if (!number)
        fail(SettingsError::BadValue, key, *value, "a whole number " + describeRange(allowed));
    else if (*number < allowed.least_ || *number > allowed.most_)
        fail(SettingsError::OutOfRange, key, *value, describeRange(allowed));
    else
        return *number;
    return allowed.least_;
}

double SectionReader::real(std::string_view key, Range<double> allowed, std::optional<double> fallback)
{
    const std::string* value = raw(key);
    if (!value) {
        if (!fallback)
            missing(key);
        return fallback.value_or(allowed.least_);
    }
    const auto number = parseNumber<double>(*value);
    if (!number)
        fail(SettingsError::BadValue, key, *value, "a number " + describeRange(allowed));
    else if (!(*number >= allowed.least_ && *number <= allowed.most_))
        fail(SettingsError::OutOfRange, key, *value, describeRange(allowed));
    else
        return *number;
    return allowed.least_;
}

bool SectionReader::flag(std::string_view key, std::optional<bool> fallback)
{
    static const std::vector<std::string> words { "no", "yes", "false", "true", "0", "1" };
    std::optional<std::size_t> place;
    if (fallback)
        place = *fallback ? 1 : 0;
    return choice(key, words, place) % 2 == 1;
}

std::string SectionReader::text(std::string_view key, const std::optional<std::string>& fallback)
{
    const std::string* value = raw(key);
    if (value && !value->empty())
        return *value;
    if (!fallback)
        missing(key);
    return fallback.value_or("");
}

std::size_t SectionReader::choice(std::string_view key, const std::vector<std::string>& words, std::optional<std::size_t> fallback)
{
    const std::string* value = raw(key);
    if (!value) {
        if (!fallback)
            missing(key);
        return fallback.value_or(0);
    }
    for (std::size_t place = 0; place < words.size(); ++place) {
        if (words[place] == *value)
            return place;
    }
    fail(SettingsError::BadValue, key, *value, boost::join(words, ", "));
    return 0;
}

std::vector<std::string> SectionReader::list(std::string_view key, bool mayBeAbsent)
{
    const std::string* value = raw(key);
    if (!value) {
        if (!mayBeAbsent)
            missing(key);
        return {};
    }
    return splitList(*value);
}

Duration SectionReader::milliseconds(std::string_view key, Range<std::int64_t> allowed, std::optional<std::int64_t> fallback)
{
    return std::chrono::milliseconds(integer(key, allowed, fallback));
}

Address SectionReader::address(std::string_view key, const std::optional<Address>& fallback)
{
    const std::string* value = raw(key);
    if (!value) {
        if (!fallback)
            missing(key);
        return fallback.value_or(Address {});
    }
    const auto address = Address::parse(*value);
    if (!address)
        fail(SettingsError::BadValue, key, *value, "an IP number and a port, such as 10.0.0.1:7400");
    return address.value_or(Address {});
}

std::vector<Address> SectionReader::addresses(std::string_view key)
{
    std::vector<Address> result;
    for (const std::string& part : list(key)) {
        if (const auto address = Address::parse(part))
            result.push_back(*address);
        else
            fail(SettingsError::BadValue, key, part, "IP numbers with ports, separated by commas");
    }
    return result;
}

void SectionReader::finish()
{
    if (!section_)
        return;
    for (const auto& [key, value] : section_->values_) {
        if (!known_.contains(key))
            fail(SettingsError::UnknownKey, key, value, boost::join(known_, ", "));
    }
}

} // namespace jj
