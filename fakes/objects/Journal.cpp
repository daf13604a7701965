// Lines of the journal, both ways.
#include "Journal.h"

#include <filesystem>
#include <optional>
#include <sodium.h>

namespace jj {

namespace {

    constexpr int base64Variant = sodium_base64_VARIANT_ORIGINAL;

    std::optional<std::string> fromBase64(std::string_view text)
    {
        std::string bytes(text.size(), '\0');
        std::size_t size = 0;
        if (sodium_base642bin(reinterpret_cast<unsigned char*>(bytes.data()), bytes.size(), text.data(), text.size(), nullptr, &size, nullptr, base64Variant) != 0)
            return std::nullopt;
        bytes.resize(size);
        return bytes;
    }

    std::optional<ObjectCall> readLine(std::string_view line)
    {
        const std::size_t keyEnd = line.find(' ', 2);
        if (line.starts_with("D "))
            return ObjectCall::remove(std::string(line.substr(2)));
        if (!line.starts_with("P ") || keyEnd == std::string_view::npos)
            return std::nullopt;
        auto value = fromBase64(line.substr(keyEnd + 1));
        if (!value)
            return std::nullopt;
        return ObjectCall::put(std::string(line.substr(2, keyEnd - 2)), std::move(*value));
    }

} // namespace

std::string toBase64(std::string_view bytes)
{
    std::string text(sodium_base64_encoded_len(bytes.size(), base64Variant), '\0');
    sodium_bin2base64(text.data(), text.size(), reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(), base64Variant);
    text.pop_back(); // the terminating zero
    return text;
}

Result<Journal> Journal::open(const std::string& path, MemoryStore& store)
{
    Journal journal;
    if (path.empty())
        return journal;
    std::uintmax_t whole = 0;
    std::ifstream in(path, std::ios::binary);
    for (std::string line; std::getline(in, line) && !in.eof();) {
        if (const auto call = readLine(line))
            store.apply(*call, {});
        whole += line.size() + 1;
    }
    in.close();
    std::error_code error;
    if (std::filesystem::exists(path, error))
        std::filesystem::resize_file(path, whole, error);
    journal.file_.open(path, std::ios::app | std::ios::binary);
    if (!journal.file_ || error)
        return std::make_error_code(std::errc::io_error);
    return journal;
}

void Journal::append(const ObjectCall& call)
{
    if (!file_.is_open())
        return;
    if (call.verb_ == ObjectVerb::Remove)
        file_ << "D " << call.key_ << '\n';
    else
        file_ << "P " << call.key_ << ' ' << toBase64(call.value_) << '\n';
    file_.flush();
}

} // namespace jj
