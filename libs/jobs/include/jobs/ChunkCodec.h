// Items and results in their stored form: JSON lines, compressed with zstd.
#pragma once

#include "jobs/JobTypes.h"

namespace jj {

std::string compressText(std::string_view text);
// Fails with BadRecord when the bytes aren't a compressed text of at most `limit` bytes.
Result<std::string> decompressText(std::string_view bytes, std::size_t limit);

struct JobItem {
    std::string customId_;
    std::string body_; // JSON
};

// Fails with BadLine.
Result<JobItem> parseItem(std::string_view line);

// The lines of a text; the last needs no line end.
std::vector<std::string_view> splitLines(std::string_view text);

struct ItemResult {
    std::string customId_;
    ItemEnd end_ = ItemEnd::Done;
    std::uint32_t attempts_ = 0;
    std::string body_; // JSON; kept as text when it isn't
};

std::string resultLine(const ItemResult& result);
Result<ItemResult> parseResultLine(std::string_view line);

// Result lines of one chunk as the values of its objects, each under the store's limit. The first byte tells whether another part
// follows.
std::vector<std::string> encodeResultParts(const std::vector<std::string>& lines);
struct ResultPart {
    std::string lines_;
    bool last_ = true;
};
Result<ResultPart> decodeResultPart(std::string_view value);

} // namespace jj
