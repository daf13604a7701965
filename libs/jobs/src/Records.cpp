// JSON forms of the stored records. Text from the store is checked: a record that can't be read is BadRecord, never a crash.
#include "jobs/Records.h"

#include "base/Hash.h"
#include "base/Number.h"

#include <algorithm>
#include <boost/json.hpp>

namespace jj {

namespace {

    namespace json = boost::json;

    template <class IdType>
    json::value number(IdType id)
    {
        return static_cast<std::uint64_t>(id.value());
    }

    json::value number(WallTime time) { return time.time_since_epoch().count(); }

    // Reads members of one object; after any miss, failed() stays true.
    class Reader {
    public:
        explicit Reader(std::string_view text)
        {
            json::error_code parseError;
            value_ = json::parse({ text.data(), text.size() }, parseError);
            failed_ = parseError.failed() || !value_.is_object();
        }

        bool failed() const { return failed_; }

        const json::value* member(std::string_view name)
        {
            const json::value* found = failed_ ? nullptr : value_.get_object().if_contains({ name.data(), name.size() });
            failed_ = failed_ || found == nullptr;
            return found;
        }

        template <class Number>
        Number numeric(std::string_view name)
        {
            const json::value* found = member(name);
            return found ? toNumber<Number>(*found) : Number {};
        }

        template <class Number>
        Number toNumber(const json::value& value)
        {
            json::error_code error;
            const Number result = value.to_number<Number>(error);
            failed_ = failed_ || error.failed();
            return result;
        }

        template <class IdType>
        IdType id(std::string_view name)
        {
            return IdType(numeric<typename IdType::Value>(name));
        }

        WallTime time(std::string_view name) { return WallTime(std::chrono::milliseconds(numeric<std::int64_t>(name))); }

        std::string text(std::string_view name)
        {
            const json::value* found = member(name);
            return found ? toText(*found) : std::string();
        }

        std::string toText(const json::value& value)
        {
            failed_ = failed_ || !value.is_string();
            return failed_ ? std::string() : std::string(value.get_string());
        }

        bool flag(std::string_view name)
        {
            const json::value* found = member(name);
            failed_ = failed_ || !found->is_bool();
            return !failed_ && found->get_bool();
        }

        // The member's elements, each an array of `width` values.
        std::vector<const json::array*> rows(std::string_view name, std::size_t width)
        {
            std::vector<const json::array*> found;
            const json::value* list = member(name);
            failed_ = failed_ || !list->is_array();
            if (failed_)
                return found;
            for (const json::value& row : list->get_array()) {
                failed_ = failed_ || !row.is_array() || row.get_array().size() != width;
                if (failed_)
                    return found;
                found.push_back(&row.get_array());
            }
            return found;
        }

        const json::object* object(std::string_view name)
        {
            const json::value* found = member(name);
            failed_ = failed_ || !found->is_object();
            return failed_ ? nullptr : &found->get_object();
        }

    private:
        json::value value_;
        bool failed_ = false;
    };

    template <class Record>
    Result<Record> checked(const Reader& reader, Record record)
    {
        if (reader.failed())
            return JobError::BadRecord;
        return record;
    }

    std::string partitionName(PartitionId partition)
    {
        std::string name = std::to_string(partition.value());
        return std::string(name.size() < 3 ? 3 - name.size() : 0, '0') + name;
    }

    constexpr std::int64_t hourMs = 3'600'000;

} // namespace

std::string hexName(std::uint64_t value)
{
    static const char* digits = "0123456789abcdef";
    std::string name(16, '0');
    for (std::size_t i = 16; i-- > 0; value >>= 4)
        name[i] = digits[value & 15];
    return name;
}

std::string leasePrefix() { return "jobs/lease/"; }
std::string leaseKey(PartitionId partition) { return leasePrefix() + partitionName(partition); }
std::string openPrefix(PartitionId partition) { return "jobs/open/" + partitionName(partition) + "/"; }
std::string openKey(PartitionId partition, JobId job) { return openPrefix(partition) + hexName(job.value()); }
std::string manifestKey(PartitionId partition, JobId job) { return "jobs/m/" + partitionName(partition) + "/" + hexName(job.value()); }
std::string ledgerKey(PartitionId partition, JobId job) { return "jobs/s/" + partitionName(partition) + "/" + hexName(job.value()); }
std::string chunkPrefix(std::string_view upload) { return "jobs/c/" + std::string(upload) + "/"; }
std::string chunkKey(std::string_view upload, std::uint32_t chunk) { return chunkPrefix(upload) + std::to_string(chunk); }
std::string resultPrefix(JobId job) { return "jobs/r/" + hexName(job.value()) + "/"; }
std::string resultKey(JobId job, std::uint32_t chunk, Epoch epoch, std::uint32_t part)
{
    return resultPrefix(job) + std::to_string(chunk) + "-" + std::to_string(epoch.value()) + "-" + std::to_string(part);
}
std::string intentPrefix(JobId job) { return "jobs/i/" + hexName(job.value()) + "/"; }
std::string intentKey(JobId job, std::uint32_t chunk, std::uint32_t group) { return intentPrefix(job) + std::to_string(chunk) + "-" + std::to_string(group); }
std::string uploadPrefix() { return "jobs/u/"; }
std::string uploadKey(std::string_view upload) { return uploadPrefix() + std::string(upload); }
std::string expiryPrefix() { return "jobs/x/"; }

std::string expiryKey(WallTime at, JobId job)
{
    return expiryPrefix() + hexName(static_cast<std::uint64_t>(at.time_since_epoch().count() / hourMs)) + "/" + hexName(job.value());
}

std::string callPrefix() { return "calls/i/"; }
std::string outcomePrefix() { return "calls/o/"; }

std::string callKey(std::string_view workspace, std::string_view service, std::string_view key)
{
    // The separator can't stand in a workspace or service name, so no two triples give one text.
    std::string text = std::string(workspace) + '\n' + std::string(service) + '\n' + std::string(key);
    const Digest digest = hash128(text);
    return callPrefix() + hexName(digest.high_) + hexName(digest.low_);
}

std::string outcomeKey(NodeId node, Incarnation incarnation, std::uint64_t group)
{
    return outcomePrefix() + hexName(node.value()) + "/" + hexName(incarnation.value()) + "-" + std::to_string(group);
}

Result<std::uint64_t> lastHexOf(std::string_view key)
{
    const std::string_view name = key.substr(key.rfind('/') + 1);
    const auto value = parseHex(name);
    if (!value)
        return JobError::BadRecord;
    return *value;
}

Result<WallTime> expiryOf(std::string_view key)
{
    const std::size_t slash = key.rfind('/');
    if (slash == std::string_view::npos)
        return JobError::BadRecord;
    BOOST_OUTCOME_TRY(const std::uint64_t hour, lastHexOf(key.substr(0, slash)));
    return WallTime(std::chrono::milliseconds(static_cast<std::int64_t>(hour) * hourMs));
}

std::string Lease::encode() const
{
    return json::serialize(json::object { { "holder", number(holder_) }, { "incarnation", number(incarnation_) }, { "epoch", number(epoch_) }, { "mark", mark_ } });
}

Result<Lease> Lease::decode(std::string_view text)
{
    Reader reader(text);
    Lease lease;
    lease.holder_ = reader.id<NodeId>("holder");
    lease.incarnation_ = reader.id<Incarnation>("incarnation");
    lease.epoch_ = reader.id<Epoch>("epoch");
    lease.mark_ = reader.text("mark");
    return checked(reader, std::move(lease));
}

void Manifest::addChunk(std::uint32_t items)
{
    items_ += items;
    if (!chunks_.empty() && chunks_.back().items_ == items)
        ++chunks_.back().chunks_;
    else
        chunks_.push_back({ items, 1 });
}

std::uint32_t Manifest::chunkCount() const
{
    std::uint32_t count = 0;
    for (const ChunkRun& run : chunks_)
        count += run.chunks_;
    return count;
}

std::uint32_t Manifest::itemsIn(std::uint32_t chunk) const
{
    for (const ChunkRun& run : chunks_) {
        if (chunk < run.chunks_)
            return run.items_;
        chunk -= run.chunks_;
    }
    return 0;
}

std::uint32_t Manifest::firstItem(std::uint32_t chunk) const
{
    std::uint32_t first = 0;
    for (const ChunkRun& run : chunks_) {
        const std::uint32_t before = std::min(chunk, run.chunks_);
        first += before * run.items_;
        chunk -= before;
    }
    return first;
}

std::string Manifest::encode() const
{
    json::array chunks;
    for (const ChunkRun& run : chunks_)
        chunks.push_back(json::array { run.items_, run.chunks_ });
    return json::serialize(json::object { { "job", number(job_) }, { "workspace", workspace_ }, { "service", service_ }, { "key", key_ },
        { "digest", digest_ }, { "upload", upload_ }, { "items", items_ }, { "chunks", std::move(chunks) }, { "acceptedAt", number(acceptedAt_) },
        { "deadline", number(deadline_) }, { "atMostOnce", atMostOnce_ }, { "mark", mark_ } });
}

Result<Manifest> Manifest::decode(std::string_view text)
{
    Reader reader(text);
    Manifest manifest;
    manifest.job_ = reader.id<JobId>("job");
    manifest.workspace_ = reader.text("workspace");
    manifest.service_ = reader.text("service");
    manifest.key_ = reader.text("key");
    manifest.digest_ = reader.text("digest");
    manifest.upload_ = reader.text("upload");
    manifest.items_ = reader.numeric<std::uint32_t>("items");
    for (const json::array* row : reader.rows("chunks", 2))
        manifest.chunks_.push_back({ reader.toNumber<std::uint32_t>((*row)[0]), reader.toNumber<std::uint32_t>((*row)[1]) });
    manifest.acceptedAt_ = reader.time("acceptedAt");
    manifest.deadline_ = reader.time("deadline");
    manifest.atMostOnce_ = reader.flag("atMostOnce");
    manifest.mark_ = reader.text("mark");
    return checked(reader, std::move(manifest));
}

Epoch Ledger::epochOf(std::uint32_t chunk) const
{
    const auto after = std::upper_bound(committed_.begin(), committed_.end(), chunk, [](std::uint32_t value, const CommittedRange& range) { return value < range.first_; });
    if (after == committed_.begin() || std::prev(after)->last_ < chunk)
        return Epoch::none();
    return std::prev(after)->epoch_;
}

bool Ledger::commit(std::uint32_t chunk, Epoch epoch)
{
    if (!epochOf(chunk).isNone())
        return false;
    const auto after = std::upper_bound(committed_.begin(), committed_.end(), chunk, [](std::uint32_t value, const CommittedRange& range) { return value < range.first_; });
    auto place = committed_.insert(after, { chunk, chunk, epoch });
    if (place != committed_.begin() && std::prev(place)->epoch_ == epoch && std::prev(place)->last_ + 1 == chunk) {
        std::prev(place)->last_ = chunk;
        place = std::prev(committed_.erase(place));
    }
    const auto next = std::next(place);
    if (next != committed_.end() && next->epoch_ == place->epoch_ && place->last_ + 1 == next->first_) {
        place->last_ = next->last_;
        committed_.erase(next);
    }
    return true;
}

std::uint32_t Ledger::committedChunks() const
{
    std::uint32_t count = 0;
    for (const CommittedRange& range : committed_)
        count += range.last_ - range.first_ + 1;
    return count;
}

std::string Ledger::encode() const
{
    json::array committed;
    for (const CommittedRange& range : committed_)
        committed.push_back(json::array { range.first_, range.last_, range.epoch_.value() });
    return json::serialize(json::object { { "upload", upload_ }, { "epoch", number(epoch_) }, { "holder", number(holder_) }, { "state", std::string(toString(state_)) },
        { "committed", std::move(committed) }, { "done", done_ }, { "failed", failed_ }, { "stopped", number(stopped_) }, { "endedAt", number(endedAt_) }, { "mark", mark_ } });
}

Result<Ledger> Ledger::decode(std::string_view text)
{
    Reader reader(text);
    Ledger ledger;
    ledger.upload_ = reader.text("upload");
    ledger.epoch_ = reader.id<Epoch>("epoch");
    ledger.holder_ = reader.id<NodeId>("holder");
    const std::string state = reader.text("state");
    bool known = false;
    for (const JobState candidate : { JobState::Waiting, JobState::Running, JobState::Cancelled, JobState::Done }) {
        if (toString(candidate) == state) {
            ledger.state_ = candidate;
            known = true;
        }
    }
    for (const json::array* row : reader.rows("committed", 3)) {
        const CommittedRange range { reader.toNumber<std::uint32_t>((*row)[0]), reader.toNumber<std::uint32_t>((*row)[1]), Epoch(reader.toNumber<std::uint64_t>((*row)[2])) };
        known = known && range.first_ <= range.last_ && (ledger.committed_.empty() || ledger.committed_.back().last_ < range.first_);
        ledger.committed_.push_back(range);
    }
    ledger.done_ = reader.numeric<std::uint32_t>("done");
    ledger.failed_ = reader.numeric<std::uint32_t>("failed");
    ledger.stopped_ = reader.id<Epoch>("stopped");
    ledger.endedAt_ = reader.time("endedAt");
    ledger.mark_ = reader.text("mark");
    if (!known)
        return JobError::BadRecord;
    return checked(reader, std::move(ledger));
}

std::string UploadRecord::encode() const
{
    return json::serialize(json::object { { "begunAt", number(begunAt_) }, { "job", number(job_) }, { "mark", mark_ } });
}

Result<UploadRecord> UploadRecord::decode(std::string_view text)
{
    Reader reader(text);
    UploadRecord record;
    record.begunAt_ = reader.time("begunAt");
    record.job_ = reader.id<JobId>("job");
    record.mark_ = reader.text("mark");
    return checked(reader, std::move(record));
}

std::string CallIntent::encode() const
{
    return json::serialize(json::object { { "node", number(node_) }, { "incarnation", number(incarnation_) }, { "group", group_ }, { "fingerprint", number(fingerprint_) }, { "at", number(at_) }, { "mark", mark_ } });
}

Result<CallIntent> CallIntent::decode(std::string_view text)
{
    Reader reader(text);
    CallIntent intent;
    intent.node_ = reader.id<NodeId>("node");
    intent.incarnation_ = reader.id<Incarnation>("incarnation");
    intent.group_ = reader.numeric<std::uint64_t>("group");
    intent.fingerprint_ = reader.id<Fingerprint>("fingerprint");
    intent.at_ = reader.time("at");
    intent.mark_ = reader.text("mark");
    return checked(reader, std::move(intent));
}

std::string OutcomeGroup::encode() const
{
    json::object outcomes;
    for (const auto& [key, outcome] : outcomes_)
        outcomes[key] = json::array { static_cast<int>(outcome.ran_), outcome.status_, outcome.body_, outcome.bodyKept_ };
    return json::serialize(json::object { { "outcomes", std::move(outcomes) }, { "at", number(at_) }, { "mark", mark_ } });
}

Result<OutcomeGroup> OutcomeGroup::decode(std::string_view text)
{
    Reader reader(text);
    OutcomeGroup group;
    group.at_ = reader.time("at");
    group.mark_ = reader.text("mark");
    const json::object* outcomes = reader.object("outcomes");
    if (reader.failed())
        return JobError::BadRecord;
    for (const auto& member : *outcomes) {
        const json::array* row = member.value().if_array();
        if (!row || row->size() != 4 || !(*row)[3].is_bool())
            return JobError::BadRecord;
        CallOutcome outcome;
        outcome.ran_ = static_cast<RunState>(reader.toNumber<int>((*row)[0]));
        outcome.status_ = reader.toNumber<int>((*row)[1]);
        outcome.body_ = reader.toText((*row)[2]);
        outcome.bodyKept_ = (*row)[3].get_bool();
        group.outcomes_[std::string(member.key())] = std::move(outcome);
    }
    return checked(reader, std::move(group));
}

} // namespace jj
