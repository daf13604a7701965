// Words out of a hash of prompt and position.
#include "enginemodel/Answer.h"

#include "base/Hash.h"

namespace jj {

std::uint64_t promptKey(std::string_view prompt) { return hash64(prompt); }

AnswerWord answerWord(std::uint64_t key, int position)
{
    constexpr std::string_view consonants = "bdfgklmnprstvwyz";
    constexpr std::string_view vowels = "aeio";
    std::uint64_t bits = mixHash(key, static_cast<std::uint64_t>(position));
    AnswerWord word;
    for (std::size_t letter = 0; letter + 1 < word.size(); letter += 2) {
        word[letter] = consonants[bits % consonants.size()];
        bits /= consonants.size();
        word[letter + 1] = vowels[bits % vowels.size()];
        bits /= vowels.size();
    }
    word.back() = ' ';
    return word;
}

std::string answerText(std::string_view prompt, int from, int to)
{
    const std::uint64_t key = promptKey(prompt);
    std::string text;
    text.reserve(static_cast<std::size_t>(to > from ? to - from : 0) * std::tuple_size_v<AnswerWord>);
    for (int position = from; position < to; ++position) {
        const AnswerWord word = answerWord(key, position);
        text.append(word.data(), word.size());
    }
    return text;
}

PrefixId prefixIdOf(std::string_view prefix)
{
    return prefix.empty() ? PrefixId::none() : idFromName<PrefixId>(prefix);
}

} // namespace jj
