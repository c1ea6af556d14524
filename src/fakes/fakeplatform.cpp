#include "fakes/fakeplatform.h"

#include <algorithm>
#include <utility>

namespace Jujubekeel {

FakePlatform::FakePlatform(FakePlatformOptions newOptions) : options(newOptions)
{
}

void FakePlatform::call(TimePoint now, std::uint64_t client, const PlatformCall &call)
{
    this->advance(now);
    if (this->down)
        return;
    if (call.operation == PlatformOperation::Put)
        ++this->writeCount;
    else
        ++this->readCount;
    this->pending.push_back({.client = client, .call = call, .due = now + this->options.latency});
    // With a latency of 0 the call is performed at once.
    this->advance(now);
}

void FakePlatform::advance(TimePoint now)
{
    while (true) {
        const auto next = std::ranges::min_element(this->pending, {}, &PendingCall::due);
        if (next == this->pending.end() || next->due > now)
            break;
        PendingCall due = std::move(*next);
        this->pending.erase(next);
        this->perform(std::move(due));
    }
    this->showListChanges(now);
}

TimePoint FakePlatform::nextEvent() const
{
    const auto next = std::ranges::min_element(this->pending, {}, &PendingCall::due);
    return next == this->pending.end() ? TimePoint::max() : next->due;
}

std::vector<FakePlatformOutput> FakePlatform::takeOutputs()
{
    return std::exchange(this->outputs, {});
}

void FakePlatform::setInstance(TimePoint now, const std::string &name, bool leaving)
{
    this->listChanges.push_back({.visibleAt = now + this->options.listLag, .name = name, .leaving = leaving});
}

void FakePlatform::removeInstance(TimePoint now, const std::string &name)
{
    this->listChanges.push_back({.visibleAt = now + this->options.listLag, .name = name, .present = false});
}

void FakePlatform::setDown(bool newDown)
{
    this->down = newDown;
    // Calls in progress are lost in the outage; their callers time out.
    if (newDown)
        this->pending.clear();
}

void FakePlatform::setLatency(Duration latency)
{
    this->options.latency = latency;
}

void FakePlatform::loseAnswers(std::uint32_t count)
{
    this->answersToLose = count;
}

std::uint64_t FakePlatform::waitingWatches() const
{
    return static_cast<std::uint64_t>(std::ranges::count(this->pending, true, &PendingCall::watching));
}

std::uint64_t FakePlatform::version(const std::string &key) const
{
    const auto found = this->objects.find(key);
    return found == this->objects.end() ? 0 : found->second.version;
}

std::string FakePlatform::value(const std::string &key) const
{
    const auto found = this->objects.find(key);
    return found == this->objects.end() ? std::string{} : found->second.value;
}

void FakePlatform::perform(PendingCall due)
{
    PlatformAnswer answer{.call = due.call.call, .code = PlatformStatusCode::Ok};
    answer.version = this->version(due.call.key);
    answer.value = this->value(due.call.key);

    switch (due.call.operation) {
    case PlatformOperation::Get:
        if (answer.version == 0)
            answer.code = PlatformStatusCode::NotFound;
        break;
    case PlatformOperation::Put:
        if (answer.version != due.call.expectedVersion) {
            answer.code = PlatformStatusCode::Conflict;
        } else {
            ++answer.version;
            answer.value = due.call.value;
            this->objects.insert_or_assign(due.call.key, Object{.version = answer.version, .value = due.call.value});
            this->answerWatches(due.call.key);
            if (this->answersToLose > 0) {
                --this->answersToLose;
                return;
            }
        }
        break;
    case PlatformOperation::Watch:
        if (answer.version <= due.call.expectedVersion) {
            if (!due.watching) {
                due.watching = true;
                due.due += due.call.wait;
                this->pending.push_back(std::move(due));
                return;
            }
            answer.code = PlatformStatusCode::Unchanged;
            answer.value.clear();
        }
        break;
    case PlatformOperation::ListInstances:
        this->showListChanges(due.due);
        for (const auto &[name, leaving] : this->instances)
            answer.instances.push_back({.name = name, .leaving = leaving});
        break;
    }
    this->outputs.push_back({.client = due.client, .answer = std::move(answer)});
}

void FakePlatform::answerWatches(const std::string &key)
{
    const Object &object = this->objects.at(key);
    std::erase_if(this->pending, [&](const PendingCall &waiting) {
        if (!waiting.watching || waiting.call.key != key || object.version <= waiting.call.expectedVersion)
            return false;
        this->outputs.push_back({.client = waiting.client,
                                 .answer = {.call = waiting.call.call,
                                            .code = PlatformStatusCode::Ok,
                                            .version = object.version,
                                            .value = object.value,
                                            .instances = {}}});
        return true;
    });
}

void FakePlatform::showListChanges(TimePoint now)
{
    std::erase_if(this->listChanges, [&](const ListChange &change) {
        if (change.visibleAt > now)
            return false;
        if (change.present)
            this->instances.insert_or_assign(change.name, change.leaving);
        else
            this->instances.erase(change.name);
        return true;
    });
}

} // namespace Jujubekeel
