// From a team's answers to a configuration. Where a number follows from an answer, the comment beside it says why.
#include "settings/Questionnaire.h"

#include "settings/SettingsError.h"

#include <algorithm>

namespace jj {

namespace {

    // A person's wait is split: half for the first token, the rest for the words that follow. The brief's "95 in 100" bounds cap it.
    constexpr std::int64_t firstTokenCapMs = 780;

    const std::vector<std::string> weightWords { "latency", "balanced", "throughput" };
    constexpr double weightOfWord[] = { 0.9, 0.6, 0.3 };

    void readUpstreams(SectionReader& reader, std::string_view key, ServiceConfig& service)
    {
        for (const std::string& part : reader.list(key, false)) {
            const auto at = part.find('@');
            const auto address = Address::parse(std::string_view(part).substr(0, at));
            if (at == std::string::npos || !address) {
                reader.fail(SettingsError::BadValue, key, part, "IP:PORT@failure-domain, separated by commas");
                continue;
            }
            UpstreamConfig upstream;
            upstream.address_ = *address;
            upstream.failureDomain_ = part.substr(at + 1);
            service.upstreams_.push_back(std::move(upstream));
        }
    }

    ServiceConfig readWorkload(const IniSection& section, Failures& failures)
    {
        ServiceConfig service;
        service.name_ = nameOfSection(section);
        SectionReader reader(section, failures);
        const std::int64_t waitMs = reader.integer("person-waits-ms", { 100, 600'000 });
        service.firstTokenWithin_ = std::chrono::milliseconds(std::min(waitMs / 2, firstTokenCapMs));
        service.onlineDeadline_ = std::chrono::milliseconds(waitMs);
        service.tokenGapWithin_ = reader.milliseconds("token-gap-ms", { 1, 10'000 }, 46);
        service.latencyWeight_ = weightOfWord[reader.choice("counts-most", weightWords)];
        service.maxJobItems_ = reader.integer("largest-batch-items", { 1, 10'000'000 }, service.maxJobItems_);
        service.resultRetention_ = std::chrono::hours(24 * reader.integer("results-kept-days", { 1, 365 }, 7));
        service.model_ = reader.text("model", "");
        service.modelVersion_ = reader.text("model-version", "");
        service.adapters_ = reader.list("adapters");
        service.checksFencing_ = reader.flag("engines-check-orders", false);
        const int slots = static_cast<int>(reader.integer("engine-slots", { 1, 65'536 }, 64));
        const std::int64_t kvTokens = reader.integer("engine-kv-tokens", { 1000, 2'000'000'000 }, 400'000);
        readUpstreams(reader, "engines", service);
        for (UpstreamConfig& upstream : service.upstreams_) {
            upstream.slots_ = slots;
            upstream.kvTokens_ = kvTokens;
            // A quarter for prefixes: running streams come first when memory is short.
            upstream.prefixTokens_ = kvTokens / 4;
        }
        reader.finish();
        return service;
    }

    ServiceConfig readPlainService(const IniSection& section, Failures& failures)
    {
        ServiceConfig service;
        service.name_ = nameOfSection(section);
        service.kind_ = ServiceKind::Plain;
        SectionReader reader(section, failures);
        service.onlineDeadline_ = reader.milliseconds("person-waits-ms", { 100, 600'000 }, 10'000);
        for (const std::string& call : reader.list("may-not-be-repeated")) {
            const auto space = call.find(' ');
            if (space == std::string::npos || space + 1 >= call.size() || call[space + 1] != '/')
                reader.fail(SettingsError::BadValue, "may-not-be-repeated", call, "METHOD /path, separated by commas");
            else
                service.notRepeatable_.push_back({ call.substr(0, space), call.substr(space + 1) });
        }
        service.keepsOutcomes_ = reader.flag("answers-for-outcomes", false);
        readUpstreams(reader, "upstreams", service);
        reader.finish();
        return service;
    }

    LinkConfig readAnsweredLink(const IniText& text, Failures& failures)
    {
        LinkConfig link;
        SectionReader reader(text, "link", failures);
        link.bitsPerSecond_ = static_cast<std::int64_t>(reader.real("bandwidth-mbps", { 0.001, 400'000 }, 30) * 1e6);
        link.oneWay_ = reader.milliseconds("one-way-ms", { 0, 10'000 }, 12);
        reader.finish();
        return link;
    }

    bool isAnswerSection(const std::string& name)
    {
        if (name == "organisation" || name == "link")
            return true;
        return name.starts_with("region ") || name.starts_with("workload ") || name.starts_with("plain-service ");
    }

} // namespace

bool sectionRepeats(std::string_view kind)
{
    return kind != "organisation" && kind != "link";
}

const std::vector<Question>& questions()
{
    static const std::vector<Question> list {
        { "organisation", "name", "Short name of your organisation (letters, digits, '-')", "" },
        { "region", "failure-domains", "Failure domains of this region, separated by commas", "" },
        { "link", "bandwidth-mbps", "Megabits a second between the regions, each way", "30" },
        { "link", "one-way-ms", "Milliseconds one way between the regions", "12" },
        { "workload", "person-waits-ms", "How long does a person wait for the whole answer, in milliseconds?", "" },
        { "workload", "token-gap-ms", "Longest usual time between two words of an answer, in milliseconds", "46" },
        { "workload", "counts-most", "What counts most: latency, balanced or throughput?", "" },
        { "workload", "largest-batch-items", "Items in the largest batch", "620000" },
        { "workload", "results-kept-days", "Days that results stay readable", "7" },
        { "workload", "model", "Model that the engines run", "" },
        { "workload", "model-version", "Its version", "" },
        { "workload", "adapters", "Adapters as name@version, separated by commas", "none" },
        { "workload", "engines-check-orders", "Do these engines refuse an order with an old fencing number?", "no" },
        { "workload", "engine-slots", "Streams that one engine runs at once", "64" },
        { "workload", "engine-kv-tokens", "Tokens that one engine's memory holds", "400000" },
        { "workload", "engines", "Engines as IP:PORT@failure-domain, separated by commas", "" },
        { "plain-service", "person-waits-ms", "How long does a person wait for an answer, in milliseconds?", "10000" },
        { "plain-service", "may-not-be-repeated", "Calls that may not be repeated, as METHOD /path", "none" },
        { "plain-service", "answers-for-outcomes", "Can this service be asked for the outcome of a key?", "no" },
        { "plain-service", "upstreams", "Its upstreams as IP:PORT@failure-domain, separated by commas", "" },
    };
    return list;
}

Audited<FleetConfig> configurationFromAnswers(std::string_view ini)
{
    const Checked<IniText> text = IniText::parse(ini);
    if (!text)
        return Failures { text.error() };
    Failures failures;
    FleetConfig config;
    SectionReader organisation(text.value(), "organisation", failures);
    config.deployment_ = organisation.text("name");
    organisation.finish();
    for (const IniSection* section : text.value().ofKind("region")) {
        SectionReader reader(*section, failures);
        config.regions_.push_back({ std::string(nameOfSection(*section)), reader.list("failure-domains", false) });
        reader.finish();
    }
    config.link_ = readAnsweredLink(text.value(), failures);
    for (const IniSection* section : text.value().ofKind("workload"))
        config.services_.push_back(readWorkload(*section, failures));
    for (const IniSection* section : text.value().ofKind("plain-service"))
        config.services_.push_back(readPlainService(*section, failures));
    for (const IniSection& section : text.value().sections()) {
        if (!isAnswerSection(section.name_))
            failures.push_back({ SettingsError::UnknownSection, "[" + section.name_ + "]" });
    }
    if (!failures.empty())
        return failures;
    // The generated configuration passes the same checks as one written by hand.
    return parseFleetConfig(toIni(config));
}

} // namespace jj
