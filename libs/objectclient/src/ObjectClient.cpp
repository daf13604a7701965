// Calls and watches over the http library's client.
#include "objectclient/ObjectClient.h"

#include "ObjectForms.h"

#include <map>
#include <mutex>

namespace jj {

namespace {

    // Of a watch line: the value in base64 and its key.
    constexpr std::size_t longestLine = 2 * maxObjectBytes;

    struct Watch {
        WatchHandler handler_;
        std::shared_ptr<http::Call> call_;
        std::string partial_;
        int status_ = 0;
        bool over_ = false;
    };

} // namespace

struct ObjectClient::State {
    State(boost::asio::io_context& io, ObjectClientSettings settings, Deliver deliver)
        : settings_(std::move(settings))
        , deliver_(std::move(deliver))
        , client_(io, {})
    {
    }

    // Handlers run only for watches that are still entered, on the owner's thread.
    std::shared_ptr<Watch> find(WatchId id)
    {
        const std::lock_guard lock(mutex_);
        const auto found = watches_.find(id);
        return found == watches_.end() ? nullptr : found->second;
    }

    std::shared_ptr<Watch> remove(WatchId id)
    {
        const std::lock_guard lock(mutex_);
        const auto found = watches_.find(id);
        if (found == watches_.end())
            return nullptr;
        std::shared_ptr<Watch> watch = found->second;
        watches_.erase(found);
        return watch;
    }

    const ObjectClientSettings settings_;
    const Deliver deliver_;
    http::Client client_;
    std::mutex mutex_; // guards watches_ and nextWatch_
    std::map<WatchId, std::shared_ptr<Watch>> watches_;
    std::uint64_t nextWatch_ = 0;
};

ObjectClient::ObjectClient(boost::asio::io_context& io, ObjectClientSettings settings, Deliver deliver)
    : state_(std::make_shared<State>(io, std::move(settings), std::move(deliver)))
{
}

ObjectClient::~ObjectClient()
{
    const std::lock_guard lock(state_->mutex_);
    for (auto& [id, watch] : state_->watches_)
        watch->call_->cancel();
    state_->watches_.clear();
}

void ObjectClient::call(ObjectCall call, ObjectCompletion done)
{
    const http::Request request = toRequest(call);
    call.value_.clear();
    const std::weak_ptr<State> state = state_;
    state_->client_.fetch(state_->settings_.store_, request, { state_->settings_.answerBound_, false }, [state, call = std::move(call), done = std::move(done)](Result<http::Response> response, RunState ran) {
        const std::shared_ptr<State> alive = state.lock();
        if (!alive)
            return;
        // A silent connection may be half dead, and so may the others of its pool.
        if (!response && response.error() == http::Error::NoProgress)
            alive->client_.dropPooled(alive->settings_.store_);
        ObjectAnswer answer = response ? toAnswer(call, response.value()) : withoutAnswer(call, ran);
        alive->deliver_([done, answer = std::move(answer)]() mutable { done(std::move(answer)); });
    });
}

WatchId ObjectClient::watch(const std::string& prefix, ObjectVersion from, WatchHandler handler)
{
    const std::weak_ptr<State> weak = state_;
    auto watch = std::make_shared<Watch>();
    watch->handler_ = std::move(handler);
    const std::lock_guard lock(state_->mutex_);
    const WatchId id(state_->nextWatch_++);
    state_->watches_[id] = watch;

    const auto end = [weak, id](std::error_code error) {
        if (const std::shared_ptr<State> state = weak.lock()) {
            state->deliver_([state, id, error] {
                if (const std::shared_ptr<Watch> gone = state->remove(id))
                    gone->handler_.onEnd_(error);
            });
        }
    };
    const auto onData = [weak, id, watch, end](std::string_view data) {
        const std::shared_ptr<State> state = weak.lock();
        if (!state || watch->status_ != 200)
            return;
        watch->partial_ += data;
        if (watch->partial_.size() > longestLine)
            return end(ObjectError::Unavailable);
        std::size_t start = 0;
        for (std::size_t stop = watch->partial_.find('\n'); stop != std::string::npos; stop = watch->partial_.find('\n', start)) {
            const Result<ObjectChange> change = toChange(std::string_view(watch->partial_).substr(start, stop - start));
            start = stop + 1;
            if (!change)
                continue;
            state->deliver_([state, id, change = change.value()] {
                if (const std::shared_ptr<Watch> found = state->find(id))
                    found->handler_.onChange_(change);
            });
        }
        watch->partial_.erase(0, start);
    };
    const auto onEnd = [watch, end](http::AnswerEnd) { end(watch->status_ == 410 ? ObjectError::Expired : ObjectError::Unavailable); };
    watch->call_ = state_->client_.send(state_->settings_.store_, toWatchRequest(prefix, from), { state_->settings_.watchBound_, false },
        { [watch](const http::ResponseHead& head) { watch->status_ = head.status_; }, onData, onEnd, [end](const http::CallFailure&) { end(ObjectError::Unavailable); } });
    return id;
}

void ObjectClient::unwatch(WatchId id)
{
    if (const std::shared_ptr<Watch> watch = state_->remove(id))
        watch->call_->cancel();
}

} // namespace jj
