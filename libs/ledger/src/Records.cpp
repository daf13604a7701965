// Encodes records as JSON with Boost.JSON. Items and results are arrays without field names, because an object holds many of them.
#include "ledger/Records.h"

#include "objects/ObjectApi.h"

#include <algorithm>
#include <boost/beast/core/detail/base64.hpp>
#include <boost/json.hpp>
#include <set>

namespace jj {

namespace {

    namespace json = boost::json;

    constexpr std::size_t storeFieldsBytes = 1024; // the object's own fields

    class LedgerCategory : public std::error_category {
    public:
        const char* name() const noexcept override { return "ledger"; }
        std::string message(int value) const override
        {
            switch (static_cast<LedgerError>(value)) {
            case LedgerError::BadRecord:
                return "the record can't be read";
            case LedgerError::BadJobName:
                return "a job's id is made of letters, digits, '.', '_' and '-'";
            case LedgerError::NoItems:
                return "a job needs an item";
            case LedgerError::DuplicateItem:
                return "two items have the same id";
            case LedgerError::ItemTooLarge:
                return "an item is over the store's limit";
            }
            return "unknown error";
        }
    };

    std::string_view viewOf(const json::value& value)
    {
        const json::string& text = value.as_string();
        return { text.data(), text.size() };
    }

    json::string_view toJson(std::string_view text) { return { text.data(), text.size() }; }

    // Parses the text and reads it with `read`. The accessors of Boost.JSON throw if the value has an unexpected type; this returns
    // BadRecord instead.
    template <class Read>
    auto parseRecord(std::string_view text, Read read) -> Result<decltype(read(std::declval<const json::value&>()))>
    {
        json::error_code error;
        const json::value value = json::parse(toJson(text), error);
        if (error)
            return LedgerError::BadRecord;
        try {
            return read(value);
        } catch (const std::exception&) {
            return LedgerError::BadRecord;
        }
    }

    // Returns the bytes of one entry of a page as the store counts them.
    template <class Entry>
    std::size_t storedBytes(const Entry& entry)
    {
        return json::serialize(json::string(toJson(encode(std::vector { entry })))).size();
    }

} // namespace

std::error_code make_error_code(LedgerError error)
{
    static const LedgerCategory category;
    return { static_cast<int>(error), category };
}

bool isValidJobName(std::string_view name)
{
    return name.size() <= maxJobNameLength && isValidKey(name) && name.find('/') == std::string_view::npos;
}

std::string headKey(std::string_view job) { return std::string(headKind).append(job); }

std::string cancelMarkKey(std::string_view job) { return std::string(cancelMarkKind).append(job); }

std::string_view jobOfCancelMark(std::string_view key) { return key.starts_with(cancelMarkKind) ? key.substr(cancelMarkKind.size()) : std::string_view(); }

std::string itemPageKey(std::string_view job, std::uint32_t page) { return std::string("job-items/").append(job).append(".").append(std::to_string(page)); }

std::string resultPageKey(std::string_view job, std::uint32_t page) { return std::string("job-results/").append(job).append(".").append(std::to_string(page)); }

std::string_view jobOfHeadKey(std::string_view key) { return key.starts_with(headKind) ? key.substr(headKind.size()) : std::string_view(); }

std::string_view toString(JobState state)
{
    static constexpr std::string_view names[] = { "open", "ended", "done", "void" };
    return names[static_cast<std::size_t>(state)];
}

std::string encode(const JobHead& head)
{
    json::object object;
    object["host"] = head.host_;
    if (!head.workspace_.empty())
        object["workspace"] = head.workspace_;
    object["owner"] = head.owner_.value();
    object["total"] = head.total_;
    object["pages"] = head.itemPages_;
    object["term"] = head.term_;
    object["at"] = head.acceptedAt_.time_since_epoch().count();
    object["target"] = head.runTarget_ / 1ms;
    object["abandon"] = head.abandonAfter_ / 1ms;
    object["attempts"] = head.maxAttempts_;
    object["state"] = static_cast<int>(head.state_);
    return json::serialize(object);
}

std::string encode(const std::vector<JobItem>& page)
{
    json::array items;
    for (const JobItem& item : page) {
        json::array headers;
        for (const auto& [name, value] : item.headers_)
            headers.push_back(json::array { toJson(name), toJson(value) });
        items.push_back(json::array { toJson(item.id_), toJson(item.path_), toJson(item.body_), std::move(headers) });
    }
    return json::serialize(items);
}

std::string encode(const std::vector<JobResult>& page)
{
    json::array results;
    for (const JobResult& result : page)
        results.push_back(json::array { toJson(result.item_), static_cast<int>(result.state_), toJson(result.text_) });
    return json::serialize(results);
}

std::size_t countFitting(const std::vector<JobResult>& results, std::size_t valueBytes)
{
    std::size_t bytes = storeFieldsBytes;
    std::size_t count = 0;
    for (const JobResult& result : results) {
        bytes += storedBytes(result);
        if (bytes > valueBytes)
            break;
        ++count;
    }
    return count;
}

Result<JobHead> decodeHead(std::string_view text)
{
    return parseRecord(text, [](const json::value& value) {
        const json::object& object = value.as_object();
        JobHead head;
        head.host_ = viewOf(object.at("host"));
        // Heads written by earlier versions have no workspace.
        if (const json::value* workspace = object.if_contains("workspace"))
            head.workspace_ = viewOf(*workspace);
        head.owner_ = NodeId(object.at("owner").to_number<std::uint64_t>());
        head.total_ = object.at("total").to_number<std::uint32_t>();
        head.itemPages_ = object.at("pages").to_number<std::uint32_t>();
        // Heads written by earlier versions have no term.
        if (const json::value* term = object.if_contains("term"))
            head.term_ = term->to_number<std::uint32_t>();
        head.acceptedAt_ = WallTime(std::chrono::milliseconds(object.at("at").to_number<std::int64_t>()));
        head.runTarget_ = std::chrono::milliseconds(object.at("target").to_number<std::int64_t>());
        head.abandonAfter_ = std::chrono::milliseconds(object.at("abandon").to_number<std::int64_t>());
        head.maxAttempts_ = object.at("attempts").to_number<std::uint32_t>();
        const int state = object.at("state").to_number<int>();
        if (state < 0 || state > static_cast<int>(JobState::Void))
            throw std::out_of_range("state");
        head.state_ = static_cast<JobState>(state);
        return head;
    });
}

Result<std::vector<JobItem>> decodeItems(std::string_view text)
{
    return parseRecord(text, [](const json::value& value) {
        std::vector<JobItem> items;
        for (const json::value& one : value.as_array()) {
            const json::array& fields = one.as_array();
            JobItem item { std::string(viewOf(fields.at(0))), std::string(viewOf(fields.at(1))), {}, std::string(viewOf(fields.at(2))) };
            for (const json::value& header : fields.at(3).as_array())
                item.headers_.push_back({ std::string(viewOf(header.as_array().at(0))), std::string(viewOf(header.as_array().at(1))) });
            items.push_back(std::move(item));
        }
        return items;
    });
}

Result<std::vector<JobResult>> decodeResults(std::string_view text)
{
    return parseRecord(text, [](const json::value& value) {
        std::vector<JobResult> results;
        for (const json::value& one : value.as_array()) {
            const json::array& fields = one.as_array();
            const bool completed = fields.at(1).to_number<int>() == static_cast<int>(ResultState::Completed);
            results.push_back({ std::string(viewOf(fields.at(0))), completed ? ResultState::Completed : ResultState::Errored, std::string(viewOf(fields.at(2))) });
        }
        return results;
    });
}

Checked<std::vector<std::vector<JobItem>>> splitIntoPages(std::vector<JobItem> items, std::size_t valueBytes)
{
    if (items.empty())
        return Failure { LedgerError::NoItems, {} };
    std::set<std::string> ids;
    std::vector<std::vector<JobItem>> pages(1);
    std::size_t bytes = storeFieldsBytes;
    for (JobItem& item : items) {
        if (!ids.insert(item.id_).second)
            return Failure { LedgerError::DuplicateItem, item.id_ };
        const std::size_t size = storedBytes(item);
        if (storeFieldsBytes + size > valueBytes)
            return Failure { LedgerError::ItemTooLarge, item.id_ };
        if (bytes + size > valueBytes) {
            pages.emplace_back();
            bytes = storeFieldsBytes;
        }
        bytes += size;
        pages.back().push_back(std::move(item));
    }
    return pages;
}

Result<std::string> fromBase64(std::string_view text)
{
    namespace base64 = boost::beast::detail::base64;
    constexpr std::size_t group = 4;
    if (text.size() % group != 0)
        return LedgerError::BadRecord;
    std::string bytes(base64::decoded_size(text.size()), '\0');
    const auto [written, read] = base64::decode(bytes.data(), text.data(), text.size());
    const std::size_t padding = text.size() - std::min(text.size(), text.find_last_not_of('=') + 1);
    constexpr std::size_t maxPadding = 2;
    if (padding > maxPadding || read + padding != text.size())
        return LedgerError::BadRecord;
    bytes.resize(written);
    return bytes;
}

} // namespace jj
