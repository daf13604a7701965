// Lines of an encoded job: checksum of the other lines, rank, job name, head, items. Head and items are JSON without line feeds.
#include "ledger/SpooledJob.h"

#include "base/Hash.h"
#include "base/Number.h"

namespace jj {

namespace {

    constexpr char separator = '\n';

    // Returns the text up to the next separator, and removes it and the separator from `text`.
    std::string_view takeLine(std::string_view& text)
    {
        const std::size_t end = std::min(text.find(separator), text.size());
        const std::string_view part = text.substr(0, end);
        text.remove_prefix(std::min(end + 1, text.size()));
        return part;
    }

} // namespace

std::string encode(const SpooledJob& job)
{
    std::string content = std::to_string(job.rank_);
    content.append(1, separator).append(job.submission_.job_);
    content.append(1, separator).append(encode(job.submission_.head_));
    content.append(1, separator).append(encode(job.submission_.items_));
    return std::to_string(hash64(content)).append(1, separator).append(content);
}

Result<SpooledJob> decodeSpooledJob(std::string_view text)
{
    const auto checksum = parseNumber<std::uint64_t>(takeLine(text));
    if (!checksum || *checksum != hash64(text))
        return LedgerError::BadRecord;
    SpooledJob job;
    const auto rank = parseNumber<decltype(job.rank_)>(takeLine(text));
    if (!rank)
        return LedgerError::BadRecord;
    job.rank_ = *rank;
    job.submission_.job_ = takeLine(text);
    if (!isValidJobName(job.submission_.job_))
        return LedgerError::BadRecord;
    BOOST_OUTCOME_TRY(job.submission_.head_, decodeHead(takeLine(text)));
    BOOST_OUTCOME_TRY(job.submission_.items_, decodeItems(takeLine(text)));
    return job;
}

} // namespace jj
