// Feeds a core as the gateway does: pieces of 64 KB, and none while the upload is paused.
#include "AcceptBench.h"

#include "jobs/JobCore.h"

#include <algorithm>
#include <ctime>
#include <deque>
#include <fstream>
#include <random>
#include <unistd.h>

namespace jj {

namespace {

    constexpr std::size_t pieceBytes = 65'536;
    constexpr std::size_t answersInFlight = 4; // the store's answers lag this many calls behind

    double residentMb()
    {
        std::ifstream file("/proc/self/statm");
        std::uint64_t total = 0;
        std::uint64_t resident = 0;
        file >> total >> resident;
        return static_cast<double>(resident) * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e6;
    }

    std::string lineOf(std::uint32_t item, std::size_t bytes, std::mt19937_64& random)
    {
        std::string line = "{\"custom_id\":\"letter-" + std::to_string(item) + "\",\"body\":{\"model\":\"bookhelp\",\"messages\":[{\"role\":\"user\",\"content\":\"";
        while (line.size() + 8 < bytes)
            line += "shelter " + std::to_string(random() % 100'000) + " ";
        return line + "\"}]}}\n";
    }

    class Feeder {
    public:
        explicit Feeder(AcceptFigures& figures)
            : figures_(figures)
            , core_(std::move(JobCore::create(options()).value()))
            , start_(residentMb())
        {
        }

        void run(std::uint32_t items, std::size_t lineBytes)
        {
            core_->handle(UploadBegun { UploadId(1), "clerks", "letters", "", wall_ + 24h, false }, now_, wall_);
            std::string piece;
            for (std::uint32_t item = 0; item < items; ++item) {
                piece += lineOf(item, lineBytes, random_);
                if (piece.size() < pieceBytes)
                    continue;
                feed(UploadBytes { UploadId(1), std::move(piece) });
                piece = {};
                while (paused_)
                    answerOne();
            }
            feed(UploadBytes { UploadId(1), std::move(piece) });
            feed(UploadEnded { UploadId(1) });
            while (!answers_.empty())
                answerOne();
        }

    private:
        static JobCoreOptions options()
        {
            JobSettings settings;
            settings.calls_.budget_.writesPerSecond_ = 1e6;
            settings.calls_.budget_.readsPerSecond_ = 1e6;
            return { settings, NodeId(1), Incarnation(1), 1 };
        }

        void feed(JobEvent event)
        {
            now_ += 1ms;
            core_->handle(std::move(event), now_, wall_);
            obey();
        }

        void obey()
        {
            for (JobCommand& command : core_->take()) {
                if (auto* call = std::get_if<StoreCall>(&command)) {
                    figures_.storeWrites_ += call->request_.isWrite() ? 1 : 0;
                    figures_.storedBytes_ += call->request_.value_.size();
                    answers_.push_back(call->call_);
                }
                paused_ = std::holds_alternative<PauseUpload>(command) || (paused_ && !std::holds_alternative<ResumeUpload>(command));
                figures_.accepted_ = figures_.accepted_ || std::holds_alternative<Acknowledge>(command);
            }
            while (answers_.size() > answersInFlight)
                answerOne();
            figures_.residentGrowthMb_ = std::max(figures_.residentGrowthMb_, residentMb() - start_);
        }

        void answerOne()
        {
            ObjectAnswer answer;
            answer.version_ = ObjectVersion(++version_);
            const CallId call = answers_.front();
            answers_.pop_front();
            feed(StoreAnswered { call, std::move(answer) });
        }

        AcceptFigures& figures_;
        std::unique_ptr<JobCore> core_;
        double start_;
        TimePoint now_ {};
        WallTime wall_ { std::chrono::milliseconds(1'767'225'600'000) };
        std::deque<CallId> answers_;
        std::uint64_t version_ = 0;
        bool paused_ = false;
        std::mt19937_64 random_ { 1 };
    };

} // namespace

AcceptFigures measureAccept(std::uint32_t items, std::size_t lineBytes)
{
    AcceptFigures figures;
    Feeder feeder(figures);
    const std::clock_t before = std::clock();
    feeder.run(items, lineBytes);
    figures.itemsPerSecond_ = items / (static_cast<double>(std::clock() - before) / CLOCKS_PER_SEC);
    return figures;
}

} // namespace jj
