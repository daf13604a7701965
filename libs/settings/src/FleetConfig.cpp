// The configuration's INI form: sections [deployment], [region NAME], [link], [service NAME], [upstream SERVICE/N].
#include "settings/FleetConfig.h"

#include "base/Hash.h"
#include "settings/SettingsError.h"

#include <algorithm>
#include <boost/algorithm/string/join.hpp>
#include <map>
#include <set>
#include <sstream>

namespace jj {

namespace {

    constexpr std::int64_t dayMs = 86'400'000;
    constexpr std::int64_t maxInt32 = 2'147'483'647;

    RegionConfig readRegion(const IniSection& section, Failures& failures)
    {
        RegionConfig region;
        region.name_ = nameOfSection(section);
        SectionReader reader(section, failures);
        region.failureDomains_ = reader.list("failure-domains", false);
        reader.finish();
        return region;
    }

    LinkConfig readLink(const IniText& text, Failures& failures)
    {
        LinkConfig link;
        SectionReader reader(text, "link", failures);
        link.bitsPerSecond_ = reader.integer("bandwidth-bps", { 1000, 400'000'000'000 }, link.bitsPerSecond_);
        link.oneWay_ = reader.milliseconds("one-way-ms", { 0, 10'000 }, 12);
        reader.finish();
        return link;
    }

    CallPattern readCallPattern(const std::string& text, SectionReader& reader)
    {
        const auto space = text.find(' ');
        if (space == std::string::npos || space + 1 >= text.size() || text[space + 1] != '/') {
            reader.fail(SettingsError::BadValue, "not-repeatable", text, "METHOD /path, separated by commas");
            return {};
        }
        return { text.substr(0, space), text.substr(space + 1) };
    }

    void readOnline(SectionReader& reader, ServiceConfig& service)
    {
        service.firstTokenWithin_ = reader.milliseconds("first-token-ms", { 1, 600'000 }, 780);
        service.tokenGapWithin_ = reader.milliseconds("token-gap-ms", { 1, 60'000 }, 46);
        service.onlineDeadline_ = reader.milliseconds("online-deadline-ms", { 1, 3'600'000 }, 10'000);
        service.queueItems_ = reader.integer("queue-items", { 1, 1'000'000 }, service.queueItems_);
        service.queueBytes_ = reader.integer("queue-bytes", { 1024, 1LL << 32 }, service.queueBytes_);
    }

    void readBatch(SectionReader& reader, ServiceConfig& service)
    {
        service.latencyWeight_ = reader.real("latency-weight", { 0, 1 }, service.latencyWeight_);
        service.maxJobItems_ = reader.integer("max-job-items", { 1, 10'000'000 }, service.maxJobItems_);
        service.itemAttempts_ = reader.integer("item-attempts", { 1, 100 }, service.itemAttempts_);
        service.resultRetention_ = reader.milliseconds("result-retention-ms", { 1000, 365 * dayMs }, 7 * dayMs);
    }

    void readRetries(SectionReader& reader, ServiceConfig& service)
    {
        service.retryBudget_ = reader.real("retry-budget", { 0, 1 }, service.retryBudget_);
        service.noProgressWithin_ = reader.milliseconds("no-progress-ms", { 10, 600'000 }, 5000);
    }

    void readDesiredState(SectionReader& reader, ServiceConfig& service)
    {
        service.model_ = reader.text("model", "");
        service.modelVersion_ = reader.text("model-version", "");
        service.adapters_ = reader.list("adapters");
        service.checksFencing_ = reader.flag("checks-fencing", false);
        service.changingShare_ = reader.real("changing-share", { 0.001, 1 }, service.changingShare_);
        service.loadsPerMinute_ = reader.real("loads-per-minute", { 0.01, 100'000 }, service.loadsPerMinute_);
    }

    ServiceConfig readService(const IniSection& section, Failures& failures)
    {
        ServiceConfig service;
        service.name_ = nameOfSection(section);
        SectionReader reader(section, failures);
        service.kind_ = reader.choice("kind", { "engines", "plain" }) == 0 ? ServiceKind::Engines : ServiceKind::Plain;
        readOnline(reader, service);
        readRetries(reader, service);
        if (service.kind_ == ServiceKind::Engines) {
            readBatch(reader, service);
            readDesiredState(reader, service);
        } else {
            for (const std::string& pattern : reader.list("not-repeatable"))
                service.notRepeatable_.push_back(readCallPattern(pattern, reader));
            service.keepsOutcomes_ = reader.flag("keeps-outcomes", false);
        }
        reader.finish();
        return service;
    }

    // Checks that names refer to each other and that nothing stands twice.
    class CrossCheck {
    public:
        CrossCheck(const FleetConfig& config, Failures& failures)
            : config_(config)
            , failures_(failures)
        {
        }

        void run()
        {
            std::set<std::string> names;
            for (const RegionConfig& region : config_.regions_) {
                for (const std::string& domain : region.failureDomains_)
                    once(names, "failure domain " + domain);
            }
            std::set<std::string> addresses;
            for (const ServiceConfig& service : config_.services_) {
                if (service.upstreams_.empty())
                    failures_.push_back({ SettingsError::MissingKey, "[service " + service.name_ + "] has no upstream" });
                for (const UpstreamConfig& upstream : service.upstreams_) {
                    once(addresses, "address " + upstream.address_.toString());
                    if (!config_.regionOf(upstream.failureDomain_))
                        failures_.push_back({ SettingsError::UnknownName, "failure domain '" + upstream.failureDomain_ + "' of upstream " + upstream.address_.toString() });
                }
            }
        }

    private:
        void once(std::set<std::string>& seen, const std::string& name)
        {
            if (!seen.insert(name).second)
                failures_.push_back({ SettingsError::Duplicate, name });
        }

        const FleetConfig& config_;
        Failures& failures_;
    };

    void readUpstream(const IniSection& section, FleetConfig& config, Failures& failures)
    {
        SectionReader reader(section, failures);
        UpstreamConfig upstream;
        upstream.address_ = reader.address("address");
        upstream.failureDomain_ = reader.text("failure-domain");
        upstream.leaving_ = reader.flag("leaving", false);
        upstream.slots_ = static_cast<int>(reader.integer("slots", { 1, 65'536 }, upstream.slots_));
        upstream.kvTokens_ = reader.integer("kv-tokens", { 1, maxInt32 }, upstream.kvTokens_);
        upstream.prefixTokens_ = reader.integer("prefix-tokens", { 0, maxInt32 }, upstream.prefixTokens_);
        reader.finish();
        const std::string_view name = nameOfSection(section);
        const std::string_view serviceName = name.substr(0, name.find('/'));
        const auto service = std::find_if(config.services_.begin(), config.services_.end(), [&](const ServiceConfig& candidate) { return candidate.name_ == serviceName; });
        if (service == config.services_.end())
            failures.push_back({ SettingsError::UnknownName, "service of section [" + section.name_ + "]" });
        else
            service->upstreams_.push_back(std::move(upstream));
    }

    bool isKnownSection(const std::string& name)
    {
        if (name == "deployment" || name == "link")
            return true;
        return name.starts_with("region ") || name.starts_with("service ") || name.starts_with("upstream ");
    }

    void writeService(std::ostream& out, const ServiceConfig& service)
    {
        const auto ms = [](Duration duration) { return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count(); };
        const bool engines = service.kind_ == ServiceKind::Engines;
        out << "\n[service " << service.name_ << "]\nkind = " << (engines ? "engines" : "plain") << '\n';
        out << "first-token-ms = " << ms(service.firstTokenWithin_) << "\ntoken-gap-ms = " << ms(service.tokenGapWithin_) << '\n';
        out << "online-deadline-ms = " << ms(service.onlineDeadline_) << '\n';
        out << "queue-items = " << service.queueItems_ << "\nqueue-bytes = " << service.queueBytes_ << '\n';
        out << "retry-budget = " << service.retryBudget_ << "\nno-progress-ms = " << ms(service.noProgressWithin_) << '\n';
        if (!engines) {
            std::vector<std::string> patterns;
            for (const CallPattern& pattern : service.notRepeatable_)
                patterns.push_back(pattern.method_ + " " + pattern.pathPrefix_);
            out << "not-repeatable = " << boost::join(patterns, ", ") << '\n';
            out << "keeps-outcomes = " << (service.keepsOutcomes_ ? "yes" : "no") << '\n';
            return;
        }
        out << "latency-weight = " << service.latencyWeight_ << "\nmax-job-items = " << service.maxJobItems_ << '\n';
        out << "item-attempts = " << service.itemAttempts_ << "\nresult-retention-ms = " << ms(service.resultRetention_) << '\n';
        if (!service.model_.empty())
            out << "model = " << service.model_ << '\n';
        if (!service.modelVersion_.empty())
            out << "model-version = " << service.modelVersion_ << '\n';
        if (!service.adapters_.empty())
            out << "adapters = " << boost::join(service.adapters_, ", ") << '\n';
        out << "checks-fencing = " << (service.checksFencing_ ? "yes" : "no") << '\n';
        out << "changing-share = " << service.changingShare_ << "\nloads-per-minute = " << service.loadsPerMinute_ << '\n';
    }

    void writeUpstream(std::ostream& out, const ServiceConfig& service, std::size_t place)
    {
        const UpstreamConfig& upstream = service.upstreams_[place];
        out << "\n[upstream " << service.name_ << '/' << place << "]\naddress = " << upstream.address_.toString() << '\n';
        out << "failure-domain = " << upstream.failureDomain_ << '\n';
        if (upstream.leaving_)
            out << "leaving = yes\n";
        if (service.kind_ == ServiceKind::Engines) {
            out << "slots = " << upstream.slots_ << "\nkv-tokens = " << upstream.kvTokens_ << '\n';
            out << "prefix-tokens = " << upstream.prefixTokens_ << '\n';
        }
    }

} // namespace

RegionId RegionConfig::id() const { return idFromName<RegionId>(name_); }
UpstreamId UpstreamConfig::id() const { return idFromName<UpstreamId>(address_.toString()); }
ServiceId ServiceConfig::id() const { return idFromName<ServiceId>(name_); }

bool ServiceConfig::mayRepeat(std::string_view method, std::string_view path) const
{
    return std::none_of(notRepeatable_.begin(), notRepeatable_.end(), [&](const CallPattern& pattern) { return pattern.method_ == method && path.starts_with(pattern.pathPrefix_); });
}

const ServiceConfig* FleetConfig::service(std::string_view name) const
{
    const auto found = std::find_if(services_.begin(), services_.end(), [&](const ServiceConfig& candidate) { return candidate.name_ == name; });
    return found == services_.end() ? nullptr : &*found;
}

const RegionConfig* FleetConfig::regionOf(std::string_view failureDomain) const
{
    for (const RegionConfig& region : regions_) {
        const auto& domains = region.failureDomains_;
        if (std::find(domains.begin(), domains.end(), failureDomain) != domains.end())
            return &region;
    }
    return nullptr;
}

Audited<FleetConfig> parseFleetConfig(std::string_view ini)
{
    const Checked<IniText> text = IniText::parse(ini);
    if (!text)
        return Failures { text.error() };
    Failures failures;
    FleetConfig config;
    SectionReader deployment(text.value(), "deployment", failures);
    config.deployment_ = deployment.text("name");
    deployment.finish();
    for (const IniSection* section : text.value().ofKind("region"))
        config.regions_.push_back(readRegion(*section, failures));
    config.link_ = readLink(text.value(), failures);
    for (const IniSection* section : text.value().ofKind("service"))
        config.services_.push_back(readService(*section, failures));
    for (const IniSection* section : text.value().ofKind("upstream"))
        readUpstream(*section, config, failures);
    for (const IniSection& section : text.value().sections()) {
        if (!isKnownSection(section.name_))
            failures.push_back({ SettingsError::UnknownSection, "[" + section.name_ + "]" });
    }
    CrossCheck(config, failures).run();
    if (!failures.empty())
        return failures;
    return config;
}

std::string toIni(const FleetConfig& config)
{
    std::ostringstream out;
    out << "[deployment]\nname = " << config.deployment_ << '\n';
    for (const RegionConfig& region : config.regions_)
        out << "\n[region " << region.name_ << "]\nfailure-domains = " << boost::join(region.failureDomains_, ", ") << '\n';
    out << "\n[link]\nbandwidth-bps = " << config.link_.bitsPerSecond_ << '\n';
    out << "one-way-ms = " << std::chrono::duration_cast<std::chrono::milliseconds>(config.link_.oneWay_).count() << '\n';
    for (const ServiceConfig& service : config.services_) {
        writeService(out, service);
        for (std::size_t place = 0; place < service.upstreams_.size(); ++place)
            writeUpstream(out, service, place);
    }
    return out.str();
}

} // namespace jj
