// Parses and validates the INI file section by section.
#include "serving/ServingSettings.h"

#include "settings/SettingsError.h"

#include <algorithm>
#include <set>

namespace jj {

namespace {

    constexpr std::int64_t megabyte = 1024 * 1024;
    constexpr std::size_t defaultBufferBytes = 64 * megabyte;
    // A host too small for this couldn't buffer an ordinary request body.
    constexpr std::size_t minBufferBytes = 4 * megabyte;

    std::optional<Endpoint> readEndpoint(SectionReader& reader, std::string_view key, bool mayBeAbsent)
    {
        const std::string text = reader.text(key, mayBeAbsent ? std::optional<std::string>("") : std::nullopt);
        if (text.empty())
            return std::nullopt;
        const auto endpoint = parseEndpoint(text);
        if (endpoint)
            return endpoint.value();
        reader.fail(SettingsError::BadValue, key, text, "IP:PORT");
        return std::nullopt;
    }

    void readRegions(SectionReader& reader, ServingSettings& settings)
    {
        for (const std::string& pair : reader.list("regions")) {
            const std::size_t colon = pair.find(':');
            if (colon == std::string::npos)
                reader.fail(SettingsError::BadValue, "regions", pair, "domain:region pairs");
            else
                settings.regionOfDomain_[pair.substr(0, colon)] = pair.substr(colon + 1);
        }
        settings.regionOfDomain_[settings.domain_] = settings.region_;
    }

    void readNode(const IniText& text, ServingSettings& settings, Failures& failures)
    {
        SectionReader reader(text, "node", failures);
        settings.name_ = reader.text("name");
        settings.domain_ = reader.text("failure-domain");
        settings.region_ = reader.text("region");
        readRegions(reader, settings);
        settings.callers_ = readEndpoint(reader, "callers", true);
        settings.ready_ = readEndpoint(reader, "ready", true);
        settings.metrics_ = readEndpoint(reader, "metrics", true);
        settings.peers_ = readEndpoint(reader, "peers", false).value_or(Endpoint {});
        for (const std::string& seed : reader.list("seeds")) {
            const std::string host = seed.substr(0, seed.rfind(':'));
            if (parseEndpoint(host + ":1"))
                settings.seeds_.push_back(host);
            else
                reader.fail(SettingsError::BadValue, "seeds", seed, "IP or IP:PORT");
        }
        settings.runsJobs_ = reader.flag("runs-jobs", false);
        settings.isFirstStart_ = reader.flag("first-start", false);
        settings.keyFile_ = reader.text("key-file", "");
        reader.finish();
    }

    void readPlatform(const IniText& text, ServingSettings& settings, Failures& failures)
    {
        SectionReader reader(text, "platform", failures);
        settings.store_ = readEndpoint(reader, "store", false).value_or(Endpoint {});
        settings.storeValueBytes_ = static_cast<std::size_t>(reader.integer("value-bytes", { 4096, 1'000'000'000 }, static_cast<std::int64_t>(settings.storeValueBytes_)));
        settings.storeReadsPerSecond_ = reader.real("reads-per-second", { 1, 1e6 }, settings.storeReadsPerSecond_);
        settings.storeWritesPerSecond_ = reader.real("writes-per-second", { 1, 1e6 }, settings.storeWritesPerSecond_);
        reader.finish();
    }

    void readBounds(const IniText& text, ServingSettings& settings, Failures& failures)
    {
        SectionReader reader(text, "bounds", failures);
        settings.shutdownGrace_ = reader.milliseconds("grace-ms", { 100, 3'600'000 }, settings.shutdownGrace_ / 1ms);
        settings.engineGrace_ = reader.milliseconds("engine-grace-ms", { 0, 60'000 }, settings.engineGrace_ / 1ms);
        settings.acceptTimeout_ = reader.milliseconds("accept-ms", { 10, 60'000 }, settings.acceptTimeout_ / 1ms);
        settings.tolerableHostLosses_ = static_cast<std::uint32_t>(reader.integer("lost-hosts", { 0, 100 }, settings.tolerableHostLosses_));
        settings.tolerableDomainLosses_ = static_cast<std::uint32_t>(reader.integer("lost-domains", { 0, 100 }, settings.tolerableDomainLosses_));
        settings.tolerableRegionLosses_ = static_cast<std::uint32_t>(reader.integer("lost-regions", { 0, 100 }, settings.tolerableRegionLosses_));
        reader.finish();
    }

    void readQuotas(const IniText& text, ServingSettings& settings, Failures& failures)
    {
        SectionReader reader(text, "quotas", failures);
        QuotaBound& bound = settings.quotaBound_;
        bound.window_ = fromSeconds(reader.real("window-s", { 0.1, 3600 }, toSeconds(bound.window_)));
        bound.over_ = reader.real("over", { 0, 10 }, bound.over_);
        bound.slack_ = reader.real("slack", { 0, 1e6 }, bound.slack_);
        reader.finish();
    }

    void readDisk(const IniText& text, ServingSettings& settings, Failures& failures)
    {
        SectionReader reader(text, "disk", failures);
        settings.diskFolder_ = reader.text("folder", "");
        settings.diskBytes_ = static_cast<std::size_t>(megabyte * reader.integer("size-mb", { 0, 1'000'000'000 }, static_cast<std::int64_t>(settings.diskBytes_) / megabyte));
        reader.finish();
    }

    void readLimits(const IniText& text, ServingSettings& settings, Failures& failures)
    {
        SectionReader limits(text, "limits", failures);
        settings.descriptors_ = static_cast<std::size_t>(limits.integer("descriptors", { 64, 10'000'000 }, static_cast<std::int64_t>(settings.descriptors_)));
        settings.memoryBytes_ = static_cast<std::size_t>(megabyte * limits.integer("memory-mb", { 0, 1'000'000'000 }, 0));
        settings.buffersPercent_ = static_cast<std::uint32_t>(limits.integer("buffers-percent", { 5, 50 }, settings.buffersPercent_));
        limits.finish();
        SectionReader log(text, "log", failures);
        settings.logLinesPerSecond_ = static_cast<std::uint32_t>(log.integer("lines-per-second", { 1, 1'000'000 }, settings.logLinesPerSecond_));
        log.finish();
    }

    void refuseUnknownSections(const IniText& text, Failures& failures)
    {
        static const std::set<std::string, std::less<>> known { "node", "platform", "bounds", "quotas", "disk", "limits", "log" };
        for (const IniSection& section : text.sections()) {
            if (!known.contains(section.name_))
                failures.push_back({ SettingsError::UnknownSection, "[" + section.name_ + "]" });
        }
    }

} // namespace

std::size_t ServingSettings::bufferBytes() const
{
    if (memoryBytes_ == 0)
        return defaultBufferBytes;
    constexpr std::size_t hundredPercent = 100;
    return std::max(minBufferBytes, memoryBytes_ / hundredPercent * buffersPercent_);
}

Audited<ServingSettings> parseServingSettings(std::string_view ini)
{
    const Checked<IniText> text = IniText::parse(ini);
    if (!text)
        return Failures { text.error() };
    Failures failures;
    ServingSettings settings;
    readNode(text.value(), settings, failures);
    readPlatform(text.value(), settings, failures);
    readBounds(text.value(), settings, failures);
    readQuotas(text.value(), settings, failures);
    readDisk(text.value(), settings, failures);
    readLimits(text.value(), settings, failures);
    refuseUnknownSections(text.value(), failures);
    if (!failures.empty())
        return failures;
    return settings;
}

} // namespace jj
