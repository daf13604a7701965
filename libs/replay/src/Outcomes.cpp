// Reading and judging of stated outcomes.
#include "replay/Outcomes.h"

#include <boost/property_tree/ini_parser.hpp>
#include <cstdio>
#include <istream>
#include <sstream>

namespace jj {

namespace {

    class OutcomeCategory : public std::error_category {
    public:
        const char* name() const noexcept override { return "jj.replay.outcomes"; }
        std::string message(int code) const override
        {
            switch (static_cast<OutcomeError>(code)) {
            case OutcomeError::Syntax:
                return "no INI file with a section [outcomes]";
            case OutcomeError::Bound:
                return "a bound is <=, >= or = and a number";
            case OutcomeError::Unknown:
                return "no figure of this name";
            }
            return "unknown";
        }
    };

    const char* signOf(Comparison comparison)
    {
        switch (comparison) {
        case Comparison::AtMost:
            return "<=";
        case Comparison::AtLeast:
            return ">=";
        case Comparison::Equal:
            return "=";
        }
        return "?";
    }

    bool parseBound(const std::string& text, Outcome& outcome)
    {
        std::istringstream words(text);
        std::string sign;
        if (!(words >> sign >> outcome.bound_) || !(words >> std::ws).eof())
            return false;
        for (const Comparison each : { Comparison::AtMost, Comparison::AtLeast, Comparison::Equal }) {
            if (sign == signOf(each)) {
                outcome.comparison_ = each;
                return true;
            }
        }
        return false;
    }

    bool holds(const Outcome& outcome, double value)
    {
        switch (outcome.comparison_) {
        case Comparison::AtMost:
            return value <= outcome.bound_;
        case Comparison::AtLeast:
            return value >= outcome.bound_;
        case Comparison::Equal:
            return value == outcome.bound_;
        }
        return false;
    }

} // namespace

std::error_code make_error_code(OutcomeError error)
{
    static const OutcomeCategory category;
    return { static_cast<int>(error), category };
}

Checked<std::vector<Outcome>> readOutcomes(std::istream& in)
{
    boost::property_tree::ptree tree;
    try {
        boost::property_tree::read_ini(in, tree);
    } catch (const boost::property_tree::ini_parser_error& error) {
        return Failure { OutcomeError::Syntax, "line " + std::to_string(error.line()) };
    }
    const auto section = tree.get_child_optional("outcomes");
    if (!section)
        return Failure { OutcomeError::Syntax, {} };
    std::vector<Outcome> outcomes;
    for (const auto& [name, value] : *section) {
        Outcome outcome;
        outcome.figure_ = name;
        if (!parseBound(value.data(), outcome))
            return Failure { OutcomeError::Bound, name };
        outcomes.push_back(outcome);
    }
    return outcomes;
}

Checked<std::vector<Verdict>> judge(const std::vector<Outcome>& outcomes, const std::map<std::string, double>& figures)
{
    std::vector<Verdict> verdicts;
    for (const Outcome& outcome : outcomes) {
        const auto figure = figures.find(outcome.figure_);
        if (figure == figures.end())
            return Failure { OutcomeError::Unknown, outcome.figure_ };
        verdicts.push_back({ outcome, figure->second, holds(outcome, figure->second) });
    }
    return verdicts;
}

std::string toString(const Verdict& verdict)
{
    char text[160];
    std::snprintf(text, sizeof text, "%-6s %-26s %12.4f  (stated: %s %g)", verdict.holds_ ? "holds" : "FAILS", verdict.outcome_.figure_.c_str(), verdict.value_,
        signOf(verdict.outcome_.comparison_), verdict.outcome_.bound_);
    return text;
}

} // namespace jj
