#include "virtualpool/fleetstore.h"

#include <utility>

namespace Jujubekeel {

FleetStore::Answer FleetStore::list(std::string_view prefix) const
{
    Answer answer{.revision = this->revision, .era = this->era};
    for (const auto &[name, object] : this->objects) {
        if (name.starts_with(prefix))
            answer.objects.push_back(object);
    }
    return answer;
}

FleetStore::Answer FleetStore::listPage(std::string_view prefix, const std::string &after, std::size_t pageBytes) const
{
    Answer answer{.revision = this->revision, .era = this->era};
    std::size_t bytes = 0;
    for (auto entry = this->objects.upper_bound(after); entry != this->objects.end(); ++entry) {
        if (!entry->first.starts_with(prefix))
            continue;
        answer.more = bytes > pageBytes;
        if (answer.more)
            break;
        bytes += entry->second.content.size();
        answer.objects.push_back(entry->second);
    }
    return answer;
}

FleetStore::Answer FleetStore::since(std::uint64_t from, std::string_view prefix) const
{
    Answer answer{.revision = this->revision,
                  .era = this->era,
                  .historyCompacted = from < this->oldestRevision || from > this->revision};
    for (const FleetObject &object : this->history) {
        if (object.revision > from && object.name.starts_with(prefix))
            answer.objects.push_back(object);
    }
    return answer;
}

void FleetStore::watch(std::uint64_t from, Duration wait, std::function<void(Answer answer)> done)
{
    this->calls += 1;
    Answer answer = this->since(from);
    if (answer.historyCompacted || !answer.objects.empty()) {
        done(std::move(answer));
        return;
    }
    const std::uint64_t id = this->nextWatch++;
    this->watches.emplace(id, Watch{.revision = from, .done = std::move(done)});
    this->events.add(this->events.now() + wait, [this, id] {
        const auto found = this->watches.find(id);
        if (found == this->watches.end())
            return;
        const Watch watch = std::move(found->second);
        this->watches.erase(found);
        watch.done(this->since(watch.revision));
    });
}

void FleetStore::notifyWatches(FleetObject object)
{
    this->history.push_back(std::move(object));
    std::map<std::uint64_t, Watch> waiting;
    waiting.swap(this->watches);
    for (auto &[id, watch] : waiting)
        watch.done(this->since(watch.revision));
}

WriteOutcome FleetStore::write(const WriteFleetObject &write)
{
    this->calls += 1;
    const auto found = this->objects.find(write.name);
    const std::uint64_t current = found == this->objects.end() ? 0 : found->second.revision;
    if (current != write.expectedRevision)
        return WriteOutcome{.call = write.call, .result = WriteResult::Conflict};
    this->revision += 1;
    const FleetObject object{.name = write.name, .revision = this->revision, .content = write.content};
    this->objects[write.name] = object;
    this->notifyWatches(object);
    return WriteOutcome{.call = write.call, .result = WriteResult::Ok, .revision = object.revision, .era = this->era};
}

WriteOutcome FleetStore::remove(const DeleteFleetObject &removal)
{
    this->calls += 1;
    const auto found = this->objects.find(removal.name);
    if (found == this->objects.end() || found->second.revision != removal.expectedRevision)
        return WriteOutcome{.call = removal.call, .result = WriteResult::Conflict};
    this->revision += 1;
    FleetObject object = found->second;
    object.revision = this->revision;
    object.deleted = true;
    this->objects.erase(found);
    this->notifyWatches(object);
    return WriteOutcome{.call = removal.call, .result = WriteResult::Ok, .revision = this->revision, .era = this->era};
}

void FleetStore::compact()
{
    this->history.clear();
    this->oldestRevision = this->revision;
}

void FleetStore::takeCopy()
{
    this->copy = Copy{.objects = this->objects,
                      .history = this->history,
                      .revision = this->revision,
                      .oldestRevision = this->oldestRevision};
}

void FleetStore::restore()
{
    if (!this->copy)
        return;
    this->objects = this->copy->objects;
    this->history = this->copy->history;
    this->revision = this->copy->revision;
    this->oldestRevision = this->copy->oldestRevision;
    this->era += 1;
    this->watches.clear();
}

} // namespace Jujubekeel
