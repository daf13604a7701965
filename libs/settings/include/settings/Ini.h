// Checked reading of INI text.
//
// IniText holds the sections of one text, in order. SectionReader takes one section apart: each call names a key, its type, its
// allowed range and its default; what is wrong is collected, not thrown, so that a person sees all faults at once. A key that no
// call has named is an error too: a misspelt key must not silently leave a default in force.
//
//     auto text = IniText::parse(bytes);
//     if (!text) return text.error();
//     Failures failures;
//     SectionReader node(text.value(), "node", failures);
//     const int port = node.integer("port", { 0, 65535 }, 7400);
//     node.finish();
//     if (!failures.empty()) ...
//
// A section's name may hold a kind and a name, as in `[service bookhelp]`. Comments begin with `;` or `#`.
#pragma once

#include "base/Result.h"
#include "base/Time.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace jj {

using Failures = std::vector<Failure>;

// All faults of a text at once, or the value.
template <class T>
using Audited = boost::outcome_v2::std_unchecked<T, Failures>;

// Each failure's message on its own line.
std::string describe(const Failures& failures);

// An IP address and a port. Names are not resolved: the brief has hosts talk by IP numbers.
struct Address {
    std::string ip_;
    std::uint16_t port_ = 0;

    static std::optional<Address> parse(std::string_view text); // "127.0.0.1:80" or "[::1]:80"
    std::string toString() const;
    friend bool operator==(const Address&, const Address&) = default;
    friend auto operator<=>(const Address&, const Address&) = default;
};

struct IniSection {
    std::string name_;
    std::vector<std::pair<std::string, std::string>> values_;

    const std::string* find(std::string_view key) const;
};

class IniText {
public:
    static Checked<IniText> parse(std::string_view text);

    const std::vector<IniSection>& sections() const { return sections_; }
    const IniSection* find(std::string_view name) const;
    // The sections `[kind name]` of one kind, in order.
    std::vector<const IniSection*> ofKind(std::string_view kind) const;

private:
    std::vector<IniSection> sections_;
};

// The part after the kind in `[kind name]`.
std::string_view nameOfSection(const IniSection& section);

template <class T>
struct Range {
    T least_;
    T most_;
};

class SectionReader {
public:
    // A section that is absent reads as an empty one.
    SectionReader(const IniText& text, std::string_view section, Failures& failures);
    SectionReader(const IniSection& section, Failures& failures);

    std::int64_t integer(std::string_view key, Range<std::int64_t> allowed, std::optional<std::int64_t> fallback = {});
    double real(std::string_view key, Range<double> allowed, std::optional<double> fallback = {});
    bool flag(std::string_view key, std::optional<bool> fallback = {}); // yes, no, true, false, 1, 0
    std::string text(std::string_view key, const std::optional<std::string>& fallback = {});
    // One of the words given; the answer is its place in the list.
    std::size_t choice(std::string_view key, const std::vector<std::string>& words, std::optional<std::size_t> fallback = {});
    std::vector<std::string> list(std::string_view key, bool mayBeAbsent = true); // comma-separated
    // A whole number of milliseconds.
    Duration milliseconds(std::string_view key, Range<std::int64_t> allowed, std::optional<std::int64_t> fallback = {});
    Address address(std::string_view key, const std::optional<Address>& fallback = {});
    std::vector<Address> addresses(std::string_view key);

    // Reports a fault of a key that the caller found itself.
    void fail(std::error_code code, std::string_view key, std::string_view value, std::string_view allowed);
    // Reports each key that no call has named. Call it last.
    void finish();

private:
    const std::string* raw(std::string_view key);
    void missing(std::string_view key);

    const IniSection* section_;
    std::string name_;
    Failures* failures_;
    // Every key that a call has named, present or not: what finish() compares with.
    std::set<std::string, std::less<>> known_;
};

} // namespace jj
