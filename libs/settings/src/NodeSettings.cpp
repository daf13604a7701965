// Reads and checks the daemon's INI file, section by section.
#include "settings/NodeSettings.h"

#include "settings/SettingsError.h"

#include <set>

namespace jj {

namespace {

    constexpr std::int64_t kibi = 1024;
    constexpr std::int64_t gibi = kibi * kibi * kibi;

    const std::vector<std::string> levelWords { "trace", "debug", "info", "warn", "error", "off" };

    void readNode(const IniText& text, NodeSettings& settings, Failures& failures)
    {
        SectionReader reader(text, "node", failures);
        settings.failureDomain_ = reader.text("failure-domain");
        settings.region_ = reader.text("region");
        settings.callers_ = reader.address("callers");
        settings.operators_ = reader.address("operators");
        settings.peersListen_ = reader.address("peers-listen");
        settings.peers_ = reader.addresses("peers");
        settings.dataFolder_ = reader.text("data-folder", "");
        settings.keyFile_ = reader.text("key-file");
        settings.tokenFile_ = reader.text("token-file", "");
        settings.eventsFile_ = reader.text("events-file", "");
        // Operators' calls must not be reachable where callers are.
        if (settings.callers_ == settings.operators_ && settings.callers_.port_ != 0)
            reader.fail(SettingsError::Duplicate, "operators", settings.operators_.toString(), "an address other than callers");
        reader.finish();
    }

    void readLimits(const IniText& text, NodeSettings& settings, Failures& failures)
    {
        SectionReader reader(text, "limits", failures);
        InputLimits& limits = settings.limits_;
        limits.headerBytes_ = reader.integer("header-bytes", { kibi, kibi * kibi }, limits.headerBytes_);
        limits.bodyBytes_ = reader.integer("body-bytes", { kibi, gibi }, limits.bodyBytes_);
        limits.lineBytes_ = reader.integer("line-bytes", { 64, 900 * kibi }, limits.lineBytes_);
        limits.jobBytes_ = reader.integer("job-bytes", { kibi, 1024 * gibi }, limits.jobBytes_);
        limits.connections_ = reader.integer("connections", { 1, 1'000'000 }, limits.connections_);
        limits.idle_ = reader.milliseconds("idle-ms", { 10, 3'600'000 }, 30'000);
        settings.times_.drain_ = reader.milliseconds("drain-ms", { 0, 3'600'000 }, 30'000);
        reader.finish();
    }

    void readTimes(const IniText& text, NodeSettings& settings, Failures& failures)
    {
        SectionReader reader(text, "times", failures);
        NodeTimes& times = settings.times_;
        times.tick_ = reader.milliseconds("tick-ms", { 1, 1000 }, 10);
        times.probe_ = reader.milliseconds("probe-ms", { 10, 60'000 }, 250);
        times.suspect_ = reader.milliseconds("suspect-ms", { 10, 600'000 }, 800);
        times.heartbeat_ = reader.milliseconds("heartbeat-ms", { 10, 60'000 }, 250);
        times.peerSilent_ = reader.milliseconds("peer-silent-ms", { 20, 600'000 }, 1000);
        times.lease_ = reader.milliseconds("lease-ms", { 8000, 600'000 }, 10'000);
        times.loadReport_ = reader.milliseconds("load-report-ms", { 10, 60'000 }, 250);
        // With one heartbeat or less inside the bound, one late datagram would cut a healthy link.
        if (times.peerSilent_ < 2 * times.heartbeat_)
            reader.fail(SettingsError::OutOfRange, "peer-silent-ms", std::to_string(times.peerSilent_ / 1ms), "at least twice heartbeat-ms");
        reader.finish();
    }

    void readThreads(const IniText& text, NodeSettings& settings, Failures& failures)
    {
        SectionReader reader(text, "threads", failures);
        settings.ioThreads_ = static_cast<int>(reader.integer("io", { 1, 64 }, 2));
        settings.actorThreads_ = static_cast<int>(reader.integer("actors", { 1, 64 }, 2));
        reader.finish();
    }

    void readLog(const IniText& text, LogSettings& log, Failures& failures)
    {
        SectionReader reader(text, "log", failures);
        log.file_ = reader.text("file", "");
        log.level_ = static_cast<LogLevel>(reader.choice("level", levelWords, static_cast<std::size_t>(LogLevel::Info)));
        for (const std::string_view part : logParts)
            log.parts_.emplace(part, static_cast<LogLevel>(reader.choice(part, levelWords, static_cast<std::size_t>(log.level_))));
        reader.finish();
    }

    void refuseUnknownSections(const IniText& text, Failures& failures)
    {
        static const std::set<std::string, std::less<>> known { "node", "platform", "limits", "times", "threads", "log" };
        for (const IniSection& section : text.sections()) {
            if (!known.contains(section.name_))
                failures.push_back({ SettingsError::UnknownSection, "[" + section.name_ + "]" });
        }
    }

} // namespace

LogLevel LogSettings::levelOf(std::string_view part) const
{
    const auto found = parts_.find(part);
    return found == parts_.end() ? level_ : found->second;
}

Audited<NodeSettings> parseNodeSettings(std::string_view ini)
{
    const Checked<IniText> text = IniText::parse(ini);
    if (!text)
        return Failures { text.error() };
    Failures failures;
    NodeSettings settings;
    readNode(text.value(), settings, failures);
    SectionReader platform(text.value(), "platform", failures);
    settings.store_ = platform.address("store");
    platform.finish();
    readLimits(text.value(), settings, failures);
    readTimes(text.value(), settings, failures);
    readThreads(text.value(), settings, failures);
    readLog(text.value(), settings.log_, failures);
    refuseUnknownSections(text.value(), failures);
    if (!failures.empty())
        return failures;
    return settings;
}

} // namespace jj
