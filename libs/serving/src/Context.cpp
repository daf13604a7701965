// Engine failure handling and HTTP helpers shared by the components of a serving node.
#include "Context.h"

#include "CrashWatch.h"
#include "Statuses.h"

#include <algorithm>
#include <array>
#include <boost/beast/core/string.hpp>
#include <cstdio>

namespace jj {

namespace {

    // Between two ticks of the loop, which are 20 ms apart. A process that was stopped for longer reads late what engines sent in time; on
    // hosts with a tenth of a core, gaps of some 90 ms are usual.
    constexpr Duration maxLoopGap = 150ms;
    // Events that came while the process was stopped are read within this time after the first tick.
    constexpr Duration stallMemory = 20ms;
    // A live engine answers within 1 ms, or within about 30 ms from another region.
    constexpr Duration probeBound = 250ms;
    // Only the status of a probe's answer is used. Many engines may be probed at a time.
    constexpr std::size_t maxProbeBytes = 64U * 1024;

    bool isHopByHopHeader(std::string_view name)
    {
        static constexpr std::string_view names[] = { "connection", "keep-alive", "transfer-encoding", "content-length", "upgrade", "te", "trailer", "expect", "proxy-connection" };
        return std::any_of(std::begin(names), std::end(names), [name](std::string_view one) { return boost::beast::iequals(name, one); });
    }

    constexpr std::size_t maxLoggedPartsBytes = 256;

    void appendIfNamed(std::string& values, std::string_view headerName, std::string_view value, std::string_view name)
    {
        if (!boost::beast::iequals(headerName, name))
            return;
        if (!values.empty())
            values.push_back(',');
        values.append(value);
    }

    // Returns whether the Connection header lists `name` as another hop-by-hop header.
    bool isListed(std::string_view connection, std::string_view name)
    {
        while (!connection.empty()) {
            const std::size_t comma = connection.find(',');
            std::string_view word = connection.substr(0, comma);
            while (word.starts_with(' '))
                word.remove_prefix(1);
            while (word.ends_with(' '))
                word.remove_suffix(1);
            if (boost::beast::iequals(word, name))
                return true;
            connection.remove_prefix(comma == std::string_view::npos ? connection.size() : comma + 1);
        }
        return false;
    }

} // namespace

ServingMetrics::ServingMetrics(Metrics& metrics)
    : metrics_(metrics)
    , answered_(metrics.counter("jj_requests_answered_total", "requests whose answer was passed on whole"))
    , unauthorized_(metrics.counter("jj_requests_unauthorized_total", "requests refused for a missing, unknown or removed key"))
    , overQuota_(metrics.counter("jj_requests_over_quota_total", "requests refused because their workspace was over its quota"))
    , refused_(metrics.counter("jj_requests_refused_total", "requests refused, not run"))
    , failed_(metrics.counter("jj_requests_failed_total", "requests answered with a failure after they may have run"))
    , aborted_(metrics.counter("jj_requests_broken_total", "answers cut after they had begun"))
    , disconnected_(metrics.counter("jj_requests_left_total", "requests whose caller went away"))
    , resent_(metrics.counter("jj_requests_resent_total", "requests sent to another engine"))
    , silences_(metrics.counter("jj_engine_silences_total", "streams on which an engine sent nothing for longer than a busy engine's longest step"))
    , versionGone_(metrics.counter("jj_streams_version_gone_total", "streams that couldn't go on because no engine of their software version serves"))
    , streamsResumed_(metrics.counter("jj_streams_resumed_total", "streams that callers resumed and whose software version was found"))
    , streamsUnknown_(metrics.counter("jj_streams_unknown_total", "streams that callers resumed and whose software version couldn't be found"))
    , crashBlocked_(metrics.counter("jj_requests_crash_blocked_total", "requests refused because requests with the same content or part of a prompt crash engines"))
    , itemsWithheld_(metrics.counter("jj_items_withheld_total", "runs of batch items put off because requests with the same content or part of a prompt crash engines"))
    , preemptions_(metrics.counter("jj_questions_displacing_total", "questions that took a batch item's slot"))
    , queued_(metrics.counter("jj_questions_queued_total", "questions that waited in an engine's queue"))
    , itemRuns_(metrics.counter("jj_item_runs_total", "runs of batch items"))
    , itemsPreempted_(metrics.counter("jj_items_given_way_total", "batch items stopped for a question"))
    , answersOverLimit_(metrics.counter("jj_engine_answers_over_limit_total", "answers of engines of which an element exceeded its limit"))
    , enginesPaused_(metrics.counter("jj_engines_paused_total", "times that an engine wasn't read because its caller's queue was full"))
    , loadHeadersIgnored_(metrics.counter("jj_load_headers_ignored_total", "load headers of engines that couldn't be read"))
    , handlersFailed_(metrics.counter("jj_handlers_failed_total", "handlers of the loop that an exception left"))
    , jobsSpooled_(metrics.counter("jj_jobs_kept_total", "jobs acknowledged on disks while the store gave no answer"))
    , requestsQueued_(metrics.counter("jj_requests_waited_total", "requests that waited for a slot"))
    , requestsWaiting_(metrics.gauge("jj_requests_waiting", "requests that wait for a slot at this host"))
    , workspacesCompeting_(metrics.gauge("jj_workspaces_competing", "workspaces that have used slots recently, over all hosts"))
    , lowestShareRatio_(metrics.gauge("jj_lowest_share_ratio", "the lowest use, relative to its share, of a workspace whose requests wait at this host; 1: none is below"))
    , bytesForReaders_(metrics.gauge("jj_buffered_bytes", "bytes held for slow peers", { { "use", "answers" } }))
    , bytesOfUploads_(metrics.gauge("jj_buffered_bytes", "bytes held for slow peers", { { "use", "uploads" } }))
    , bytesLimit_(metrics.gauge("jj_buffered_bytes_limit", "limit of the bytes held for slow peers"))
    , enginesSlow_(metrics.gauge("jj_engines_slow", "engines whose events take longer than the median of their service"))
    , readersCutOff_(metrics.gauge("jj_readers_cut_off", "callers cut off since the start because they took no byte while the byte budget was exhausted"))
    , bytesOfHeads_(metrics.gauge("jj_buffered_bytes", "bytes held for slow peers", { { "use", "heads" } }))
    , headsRefused_(metrics.gauge("jj_heads_refused", "requests refused since the start because their header didn't fit into the byte budget"))
    , logLinesDropped_(metrics.gauge("jj_log_lines_dropped", "lines that the log didn't take, since the start"))
    , logWritesFailed_(metrics.gauge("jj_log_writes_failed", "writes to the log that failed for another reason than a full pipe, since the start"))
    , connectionsEvicted_(metrics.gauge("jj_connections_evicted", "connections of callers closed since the start to make room, because they waited for a whole request for longest"))
    , uploadsRefused_(metrics.gauge("jj_uploads_refused", "requests refused since the start because their body didn't fit into the byte budget"))
    , firstEvent_(metrics.distribution("jj_first_event_ms", "from a request's arrival to its answer's first bytes"))
    , accept_(metrics.distribution("jj_job_accept_ms", "from a submission's arrival to its acknowledgement"))
{
}

bool isTimeout(std::error_code error) { return error == http::Error::ConnectTimedOut || error == http::Error::NoProgress; }

bool isOverLimit(std::error_code error)
{
    static const std::array<http::Error, 6> limits { http::Error::HeaderTooLarge, http::Error::ChunkLineTooLong, http::Error::TrailerTooLarge, http::Error::TooManyInterimAnswers, http::Error::AnswerTooLarge, http::Error::EventTooLarge };
    return std::any_of(limits.begin(), limits.end(), [error](http::Error limit) { return error == limit; });
}

void Context::failed(UpstreamId engine, EngineFault fault, std::error_code error)
{
    const EngineEntry* entry = board_.find(engine);
    if (!entry)
        return;
    static constexpr std::string_view faults[] = { "notConnected", "lost", "failure", "badAnswer" };
    const Duration backoff = board_.failed(engine, fault, now());
    log_.line("engineFailed").with("engine", entry->name_).with("fault", faults[static_cast<std::size_t>(fault)]).with("error", error ? error.message() : "").with("leftAloneMs", backoff);
    if (fault == EngineFault::NotConnected && !isTimeout(error))
        crashes_->engineDown(engine);
    if (backoff > Duration::zero())
        fleet_->publishReport();
}

void Context::recordOverLimit(UpstreamId engine, std::error_code error)
{
    metrics_.metrics_.add(metrics_.answersOverLimit_);
    failed(engine, EngineFault::BadAnswer, error);
}

void Context::engineGoesOn(UpstreamId engine)
{
    crashes_->engineAlive(engine);
    board_.silenceEnded(engine);
    fleet_->publishReport();
}

void Context::observe(UpstreamId engine, const http::Headers& headers)
{
    const std::string_view text = headers.find(translation_.headers_.load_);
    if (text.empty())
        return;
    const auto load = translation_.parseLoad_(text);
    if (!load)
        return metrics_.metrics_.add(metrics_.loadHeadersIgnored_);
    board_.applyEngineLoad(engine, load->running_, load->waiting_, now());
    if (load->slowdownPercent_)
        board_.recordStatedSlowdown(engine, *load->slowdownPercent_, now());
}

void Context::recordTick()
{
    if (tickAt_ != TimePoint() && now() - tickAt_ > maxLoopGap)
        stalledAt_ = now();
    tickAt_ = now();
}

void Context::recordEvents(UpstreamId engine, EventClock& clock, std::size_t events)
{
    if (events == 0)
        return;
    const auto isWithin = [this](TimePoint at, Duration age) { return at != TimePoint() && now() - at < age; };
    const bool isAfterStall = (tickAt_ != TimePoint() && !isWithin(tickAt_, maxLoopGap)) || isWithin(stalledAt_, stallMemory);
    if (isAfterStall)
        clock.restart();
    if (const auto gap = clock.record(events, now()))
        board_.recordEventGap(engine, *gap, now());
}

void Context::probe(UpstreamId engine)
{
    const EngineEntry* entry = board_.find(engine);
    if (!entry)
        return;
    http::CallOptions options;
    options.idle_ = probeBound;
    options.total_ = probeBound;
    options.bodyBytes_ = maxProbeBytes;
    options.fresh_ = true;
    engines_.fetch(entry->at_, { "GET", translation_.engineHealthPath_, {}, {} }, options, [this, engine](const Result<http::Response>& response, RunState) {
        const EngineEntry* known = board_.find(engine);
        if (!known)
            return;
        if (!response)
            return failed(engine, EngineFault::NotConnected, response.error());
        board_.recordProbeSuccess(engine);
        crashes_->engineAlive(engine);
        log_.line("engineProbed").with("engine", known->name_).with("status", response.value().status_);
    });
}

http::Response refusalResponse(const Translation& translation, int status, std::string_view code, std::string_view message, RunState run, Duration retryAfter)
{
    http::Response response = http::errorResponse(status, code, message, run);
    if (retryAfter > Duration::zero()) {
        std::array<char, 32> text {};
        std::snprintf(text.data(), text.size(), "%.3f", toSeconds(retryAfter));
        response.headers_.add(translation.headers_.retryAfter_, text.data());
    }
    return response;
}

http::Response unauthorizedResponse(const Translation& translation)
{
    return refusalResponse(translation, 401, "caller.Unknown", "the request has no key that the configuration knows; it has not run", RunState::NotRun, {});
}

http::Headers endToEndHeaders(const http::Headers& headers)
{
    const std::string_view connection = headers.find("Connection");
    http::Headers passed;
    for (const http::HeaderView header : headers) {
        if (!isHopByHopHeader(header.name_) && !isListed(connection, header.name_))
            passed.add(header.name_, header.value_);
    }
    return passed;
}

bool isUnsealedSuccess(const HeaderNames& names, const http::ResponseHead& head)
{
    return head.status_ < firstNonSuccess && !head.headers_.has(names.notExecuted_) && head.headers_.find(names.seal_).empty();
}

std::string joinedValues(const http::Headers& headers, std::string_view name)
{
    std::string values;
    for (const http::HeaderView header : headers)
        appendIfNamed(values, header.name_, header.value_, name);
    return values;
}

std::string joinedValues(const ItemHeaders& headers, std::string_view name)
{
    std::string values;
    for (const auto& [headerName, value] : headers)
        appendIfNamed(values, headerName, value, name);
    return values;
}

std::string_view partsForLog(std::string_view parts) { return parts.substr(0, maxLoggedPartsBytes); }

bool isWithheldHeader(const HeaderNames& names, const RouteTable* table, std::string_view name)
{
    for (const std::string* own : { &names.workspace_, &names.expectInstance_, &names.expectVersion_ }) {
        if (boost::beast::iequals(name, *own))
            return true;
    }
    return table && table->workspaces() && boost::beast::iequals(name, names.credentials_);
}

} // namespace jj
