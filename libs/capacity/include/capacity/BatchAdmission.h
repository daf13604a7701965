// Can a job's items be done until they are due? Judged at each entry alike, from what all hosts report.
//
//     admission.observe(load, now);                               // a few times a second
//     const AdmissionAnswer answer = admission.judge(items, runTarget);
//     if (!answer.fits_) ...                                      // refuse; room for it is expected after answer.comeBackIn_
//
// Pattern answered: jobs that ask for more than the slots do, for long. Each is accepted, their items take turns on slots, and most end late: of 1,600
// items of a day with three times the work 500 were in time and 950 never done, and callers learned of it by silence. A job that can't fit is
// refused at once instead.
//
// What questions take swings by a factor of four within seconds; over the time until a job is due it is the mean that counts, and the mean's own
// error, which grows smaller the later a job is due.
#pragma once

#include "base/Time.h"

#include <cstdint>
#include <deque>
#include <utility>

namespace jj {

// Of one service, of all hosts that are heard.
struct BatchLoad {
    std::uint32_t slots_ = 0; // of engines that can be sent to
    std::uint32_t questions_ = 0; // that run
    std::uint32_t running_ = 0; // batch items
    std::uint32_t waiting_ = 0; // batch items that can still be in time
    Duration slotTime_ {}; // that an item takes from its first run to its end, of slots; zero: not known
};

struct AdmissionAnswer {
    bool fits_ = true;
    Duration comeBackIn_ {}; // until as much would fit; zero when it does
};

struct AdmissionSettings {
    // Means follow changes of demand within it; bursts are shorter.
    Duration memory_ = 8s;
    // Before it nothing is refused: the mean says nothing yet.
    Duration learnTime_ = 4s;
    // Errors of the mean by which questions may take more without a promise being broken.
    double errors_ = 0.5;
    // What was accepted here is in the reports by then.
    Duration reportedAfter_ = 300ms;
};

class BatchAdmission {
public:
    explicit BatchAdmission(AdmissionSettings settings = {})
        : settings_(settings)
    {
    }

    void observe(const BatchLoad& load, TimePoint now);
    // `items` of a job that are due after `until`.
    AdmissionAnswer judge(std::uint32_t items, Duration until) const;
    // A job was accepted here; the reports that come next don't have it yet.
    void accepted(std::uint32_t items, TimePoint now);
    // Slots that questions take on the mean, and the error of that mean over `time`.
    double questionSlots() const { return meanQuestions_; }
    double questionError(Duration time) const;

private:
    AdmissionSettings settings_;
    BatchLoad load_;
    TimePoint firstAt_ {}; // none: nothing was observed
    TimePoint lastAt_ {};
    double meanQuestions_ = 0;
    double varianceOfQuestions_ = 0;
    std::deque<std::pair<TimePoint, std::uint32_t>> unreported_; // items accepted here lately
};

} // namespace jj
