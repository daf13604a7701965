// zstd and Boost.JSON behind the stored forms.
#include "jobs/ChunkCodec.h"

#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <zstd.h>

namespace jj {

namespace {

    namespace json = boost::json;

    constexpr int compressionLevel = 3;
    // Text of one result part: fits a value even when zstd can't make it smaller.
    constexpr std::size_t resultPartBytes = 900'000;
    constexpr std::size_t resultTextLimit = 8U << 20U;
    constexpr char moreFollows = 'M';
    constexpr char lastPart = 'L';

    constexpr std::array allEnds { ItemEnd::Done, ItemEnd::Refused, ItemEnd::CrashesUpstream, ItemEnd::TooLarge, ItemEnd::TimedOut, ItemEnd::UpstreamFailed, ItemEnd::OutcomeUnknown };

    // Parsing one line takes its memory from the stack where that is enough.
    struct LineMemory {
        std::array<unsigned char, 8192> buffer_ {};
        json::monotonic_resource resource_ { buffer_.data(), buffer_.size() };
    };

} // namespace

std::string compressText(std::string_view text)
{
    std::string bytes(ZSTD_compressBound(text.size()), '\0');
    const std::size_t size = ZSTD_compress(bytes.data(), bytes.size(), text.data(), text.size(), compressionLevel);
    bytes.resize(ZSTD_isError(size) != 0U ? 0 : size);
    bytes.shrink_to_fit();
    return bytes;
}

Result<std::string> decompressText(std::string_view bytes, std::size_t limit)
{
    const unsigned long long size = ZSTD_getFrameContentSize(bytes.data(), bytes.size());
    if (size == ZSTD_CONTENTSIZE_ERROR || size == ZSTD_CONTENTSIZE_UNKNOWN || size > limit)
        return JobError::BadRecord;
    std::string text(size, '\0');
    const std::size_t got = ZSTD_decompress(text.data(), text.size(), bytes.data(), bytes.size());
    if (ZSTD_isError(got) != 0U || got != size)
        return JobError::BadRecord;
    return text;
}

Result<JobItem> parseItem(std::string_view line)
{
    LineMemory memory;
    json::error_code error;
    const json::value value = json::parse({ line.data(), line.size() }, error, &memory.resource_);
    if (error.failed() || !value.is_object())
        return JobError::BadLine;
    const json::value* customId = value.get_object().if_contains("custom_id");
    const json::value* body = value.get_object().if_contains("body");
    if (!customId || !customId->is_string() || customId->get_string().empty() || !body || !body->is_object())
        return JobError::BadLine;
    return JobItem { std::string(customId->get_string()), json::serialize(*body) };
}

std::vector<std::string_view> splitLines(std::string_view text)
{
    std::vector<std::string_view> lines;
    while (!text.empty()) {
        const std::size_t end = std::min(text.find('\n'), text.size());
        if (end > 0)
            lines.push_back(text.substr(0, end));
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return lines;
}

std::string resultLine(const ItemResult& result)
{
    json::error_code error;
    json::value body = result.body_.empty() ? json::value(nullptr) : json::parse(result.body_, error);
    if (error.failed())
        body = json::string(result.body_);
    return json::serialize(json::object { { "custom_id", result.customId_ }, { "status", result.end_ == ItemEnd::Done ? "done" : "failed" },
        { "class", std::string(toString(result.end_)) }, { "attempts", result.attempts_ }, { "body", std::move(body) } });
}

Result<ItemResult> parseResultLine(std::string_view line)
{
    json::error_code error;
    const json::value value = json::parse({ line.data(), line.size() }, error);
    if (error.failed() || !value.is_object())
        return JobError::BadRecord;
    const json::object& object = value.get_object();
    const json::value* customId = object.if_contains("custom_id");
    const json::value* end = object.if_contains("class");
    const json::value* attempts = object.if_contains("attempts");
    const json::value* body = object.if_contains("body");
    if (!customId || !customId->is_string() || !end || !end->is_string() || !attempts || !attempts->is_int64() || !body)
        return JobError::BadRecord;
    const auto found = std::find_if(allEnds.begin(), allEnds.end(), [end](ItemEnd candidate) { return toString(candidate) == std::string_view(end->get_string().data(), end->get_string().size()); });
    if (found == allEnds.end())
        return JobError::BadRecord;
    return ItemResult { std::string(customId->get_string()), *found, static_cast<std::uint32_t>(attempts->get_int64()), json::serialize(*body) };
}

std::vector<std::string> encodeResultParts(const std::vector<std::string>& lines)
{
    std::vector<std::string> texts(1);
    for (const std::string& line : lines) {
        if (!texts.back().empty() && texts.back().size() + line.size() + 1 > resultPartBytes)
            texts.emplace_back();
        texts.back() += line;
        texts.back() += '\n';
    }
    std::vector<std::string> parts;
    for (std::size_t i = 0; i < texts.size(); ++i)
        parts.push_back((i + 1 < texts.size() ? moreFollows : lastPart) + compressText(texts[i]));
    return parts;
}

Result<ResultPart> decodeResultPart(std::string_view value)
{
    if (value.empty() || (value[0] != moreFollows && value[0] != lastPart))
        return JobError::BadRecord;
    BOOST_OUTCOME_TRY(std::string text, decompressText(value.substr(1), resultTextLimit));
    return ResultPart { std::move(text), value[0] == lastPart };
}

} // namespace jj
