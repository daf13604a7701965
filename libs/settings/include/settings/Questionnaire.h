// The questionnaire of a new team, and the configuration that is generated from its answers.
//
// questions() lists what is asked, in order; a program that asks a person walks it. The answers are INI text, so that they can be
// kept, reviewed and given again:
//
//     [organisation]                 name
//     [region NAME]                  failure-domains
//     [link]                         bandwidth-mbps, one-way-ms
//     [workload NAME]                what people ask and how long they wait, what batches there are, engines, model
//     [plain-service NAME]           upstreams, calls that may not be repeated
//
// Upstreams are listed as `IP:PORT@failure-domain`. Answers speak of outcomes (a person waits 3 s, tails count more than
// throughput); the numbers of the configuration are worked out from them, and can be edited afterwards.
#pragma once

#include "settings/FleetConfig.h"

#include <string>
#include <string_view>
#include <vector>

namespace jj {

struct Question {
    std::string_view section_; // kind of section; one that `repeats_` is asked once a named section
    std::string_view key_;
    std::string_view text_;
    std::string_view fallback_; // empty: an answer is needed
};

// Kinds of sections that carry a name and may stand several times.
bool sectionRepeats(std::string_view kind);

const std::vector<Question>& questions();

// The configuration for the answers, or all that is wrong with them.
Audited<FleetConfig> configurationFromAnswers(std::string_view ini);

} // namespace jj
