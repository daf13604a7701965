// One worker a thread, each with a client, a clock and results of its own.
#include "Load.h"

#include "http/Client.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cmath>
#include <memory>
#include <random>
#include <thread>

namespace jj {

namespace {

    using SteadyClock = std::chrono::steady_clock;

    constexpr int statusOk = 200;
    constexpr std::string_view streamEnd = "data: [DONE]";
    constexpr auto silenceBound = std::chrono::seconds(20);

    class Worker {
    public:
        Worker(const LoadOptions& options, std::size_t index)
            : options_(options)
            , index_(index)
            , client_(io_, { .pooledPerEndpoint_ = 4096 })
            , timer_(io_)
            , random_(options.seed_ + index)
            , quota_(shareOf(options.requests_))
            , results_(options.targets_.size())
        {
        }

        void run()
        {
            due_ = SteadyClock::now();
            if (options_.rate_ > 0) {
                scheduleNext();
            } else {
                for (std::uint64_t i = 0; i < std::max<std::uint64_t>(1, shareOf(options_.concurrency_)); ++i)
                    start(SteadyClock::now());
            }
            while (finished_ < quota_)
                io_.run_one();
        }

        const std::vector<LoadResult>& results() const { return results_; }

    private:
        // One question under way.
        struct Question {
            std::size_t target_ = 0;
            bool counted_ = true;
            int status_ = 0;
            bool sawToken_ = false;
            double firstToken_ = 0;
            std::string tail_;
            SteadyClock::time_point due_;
        };

        std::uint64_t shareOf(std::uint64_t total) const { return total / options_.threads_ + (index_ < total % options_.threads_ ? 1 : 0); }

        void scheduleNext()
        {
            if (started_ >= quota_)
                return;
            std::exponential_distribution<double> gap(options_.rate_ / static_cast<double>(options_.threads_));
            due_ += std::chrono::duration_cast<SteadyClock::duration>(std::chrono::duration<double>(gap(random_)));
            timer_.expires_at(due_);
            timer_.async_wait([this](const auto&) {
                start(due_);
                scheduleNext();
            });
        }

        void start(SteadyClock::time_point due)
        {
            if (started_ >= quota_)
                return;
            const std::uint64_t number = started_++;
            auto question = std::make_shared<Question>();
            question->target_ = number % options_.targets_.size();
            question->counted_ = number >= shareOf(options_.warmup_);
            question->due_ = due;
            http::CallHandlers handlers;
            handlers.onHead_ = [question](const http::ResponseHead& head) { question->status_ = head.status_; };
            handlers.onData_ = [question](std::string_view data) { onData(*question, data); };
            handlers.onEnd_ = [this, question](http::AnswerEnd) { finish(*question, false); };
            handlers.onError_ = [this, question](const http::CallFailure&) { finish(*question, true); };
            client_.send(options_.targets_[question->target_].endpoint_, request(number), { silenceBound, false }, std::move(handlers));
        }

        http::Request request(std::uint64_t number) const
        {
            std::string prompt = "question " + std::to_string(index_) + " " + std::to_string(number) + " ";
            prompt.resize(std::max(prompt.size(), options_.promptBytes_), 'x');
            const std::string body = R"({"model":")" + options_.model_ + R"(","messages":[{"role":"user","content":")" + prompt
                + R"("}],"stream":true,"max_tokens":)" + std::to_string(options_.maxTokens_) + "}";
            return { "POST", "/v1/chat/completions", { { "Content-Type", "application/json" } }, body };
        }

        static double sinceDue(const Question& question) { return toMilliseconds(SteadyClock::now() - question.due_); }

        static void onData(Question& question, std::string_view data)
        {
            if (question.status_ == statusOk && !question.sawToken_ && data.find("data:") != std::string_view::npos) {
                question.sawToken_ = true;
                question.firstToken_ = sinceDue(question);
            }
            question.tail_.append(data);
            constexpr std::size_t kept = 64;
            if (question.tail_.size() > kept)
                question.tail_.erase(0, question.tail_.size() - kept);
        }

        void finish(const Question& question, bool failed)
        {
            ++finished_;
            LoadResult& result = results_[question.target_];
            if (!question.counted_) {
                // Warms connections and caches up.
            } else if (!failed && question.status_ != statusOk) {
                ++result.refused_;
            } else if (failed || question.tail_.find(streamEnd) == std::string::npos) {
                ++result.broken_;
            } else {
                ++result.answered_;
                result.firstToken_.push_back(question.firstToken_);
                result.whole_.push_back(sinceDue(question));
            }
            if (options_.rate_ <= 0)
                start(SteadyClock::now());
        }

        const LoadOptions& options_;
        std::size_t index_;
        boost::asio::io_context io_ { 1 };
        http::Client client_;
        boost::asio::steady_timer timer_;
        std::mt19937_64 random_;
        std::uint64_t quota_;
        std::uint64_t started_ = 0;
        std::uint64_t finished_ = 0;
        SteadyClock::time_point due_;
        std::vector<LoadResult> results_;
    };

    void merge(LoadResult& into, const LoadResult& from)
    {
        into.answered_ += from.answered_;
        into.refused_ += from.refused_;
        into.broken_ += from.broken_;
        into.firstToken_.insert(into.firstToken_.end(), from.firstToken_.begin(), from.firstToken_.end());
        into.whole_.insert(into.whole_.end(), from.whole_.begin(), from.whole_.end());
    }

} // namespace

LoadReport runLoad(const LoadOptions& options)
{
    std::vector<std::unique_ptr<Worker>> workers;
    for (std::size_t i = 0; i < options.threads_; ++i)
        workers.push_back(std::make_unique<Worker>(options, i));
    const auto begin = SteadyClock::now();
    std::vector<std::thread> threads;
    threads.reserve(workers.size());
    for (auto& worker : workers)
        threads.emplace_back([&worker] { worker->run(); });
    for (std::thread& thread : threads)
        thread.join();
    LoadReport report;
    report.seconds_ = toSeconds(SteadyClock::now() - begin);
    for (std::size_t target = 0; target < options.targets_.size(); ++target) {
        LoadResult result;
        result.name_ = options.targets_[target].name_;
        for (const auto& worker : workers)
            merge(result, worker->results()[target]);
        report.targets_.push_back(std::move(result));
    }
    return report;
}

double quantile(std::vector<double>& samples, double share)
{
    if (samples.empty())
        return 0;
    std::sort(samples.begin(), samples.end());
    const auto rank = static_cast<std::size_t>(std::ceil(share * static_cast<double>(samples.size())));
    return samples[std::min(samples.size() - 1, rank == 0 ? 0 : rank - 1)];
}

} // namespace jj
