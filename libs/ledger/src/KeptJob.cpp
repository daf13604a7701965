// Lines of an encoded job: checksum of the other lines, rank, job name, head, items. Head and items are JSON without line feeds.
#include "ledger/KeptJob.h"

#include "base/Hash.h"

#include <charconv>

namespace jj {

namespace {

    constexpr char separator = '\n';
    constexpr int decimal = 10;

    // Returns the text up to the next separator, and removes it and the separator from `text`.
    std::string_view takePart(std::string_view& text)
    {
        const std::size_t end = std::min(text.find(separator), text.size());
        const std::string_view part = text.substr(0, end);
        text.remove_prefix(std::min(end + 1, text.size()));
        return part;
    }

    template <class Number>
    bool readNumber(std::string_view text, Number& number)
    {
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number, decimal);
        return error == std::errc() && end == text.data() + text.size();
    }

} // namespace

std::string encode(const KeptJob& job)
{
    std::string rest = std::to_string(job.rank_);
    rest.append(1, separator).append(job.submission_.job_);
    rest.append(1, separator).append(encode(job.submission_.head_));
    rest.append(1, separator).append(encode(job.submission_.items_));
    return std::to_string(hash64(rest)).append(1, separator).append(rest);
}

Result<KeptJob> decodeKept(std::string_view text)
{
    std::uint64_t checksum = 0;
    if (!readNumber(takePart(text), checksum) || checksum != hash64(text))
        return LedgerError::BadRecord;
    KeptJob job;
    if (!readNumber(takePart(text), job.rank_))
        return LedgerError::BadRecord;
    job.submission_.job_ = takePart(text);
    if (!isValidJobName(job.submission_.job_))
        return LedgerError::BadRecord;
    BOOST_OUTCOME_TRY(job.submission_.head_, decodeHead(takePart(text)));
    BOOST_OUTCOME_TRY(job.submission_.items_, decodeItems(takePart(text)));
    return job;
}

} // namespace jj
