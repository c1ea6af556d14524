#include "ratelimit/ratespender.h"

#include "core/seconds.h"
#include "organisations/organisationtable.h"

#include <algorithm>
#include <cmath>

namespace Jujubekeel {

RateDecision RateSpender::tryTake(std::string_view organisation, TimePoint now)
{
    auto found = this->rows.find(organisation);
    if (found == this->rows.end())
        found = this->rows.emplace(std::string(organisation), Row{}).first;
    Row &row = found->second;
    this->countOperation(row, now);
    if (row.waiting == 0 && takeFromStock(row, now)) {
        this->countAdmitted(row, now);
        this->planRequest(found->first, row, now);
        return RateDecision{.verdict = RateVerdict::Taken};
    }
    if (row.waiting == 0 && this->takeFromReserve(row, now)) {
        this->planRequest(found->first, row, now);
        return RateDecision{.verdict = RateVerdict::Taken};
    }
    if (!row.asked && !placeToAsk(row, now))
        return this->refusal(row, now);
    row.waiting += 1;
    this->planRequest(found->first, row, now);
    return RateDecision{.verdict = RateVerdict::Wait};
}

RateDecision RateSpender::takeWaiting(std::string_view organisation, TimePoint now)
{
    Row &row = this->rows.find(organisation)->second;
    if (takeFromStock(row, now)) {
        this->countAdmitted(row, now);
        workTaken(row);
        return RateDecision{.verdict = RateVerdict::Taken};
    }
    if (this->takeFromReserve(row, now)) {
        workTaken(row);
        return RateDecision{.verdict = RateVerdict::Taken};
    }
    if (row.asked || placeToAsk(row, now))
        return RateDecision{.verdict = RateVerdict::Wait};
    workTaken(row);
    return this->refusal(row, now);
}

void RateSpender::removeWaiting(std::string_view organisation)
{
    workTaken(this->rows.find(organisation)->second);
}

void RateSpender::workTaken(Row &row)
{
    row.waiting -= 1;
    if (row.waiting == 0)
        row.nextPlace = 0;
}

Duration RateSpender::retryAfter(std::string_view organisation, TimePoint now) const
{
    const auto found = this->rows.find(organisation);
    return found == this->rows.end() ? this->options.minRetry : this->refusal(found->second, now).retryAfter;
}

RateDecision RateSpender::refusal(const Row &row, TimePoint now) const
{
    const TimePoint earliest = *std::min_element(row.pausedUntil.begin(), row.pausedUntil.end());
    return RateDecision{.verdict = RateVerdict::Refused,
                        .retryAfter = std::max(earliest - now, this->options.minRetry)};
}

std::optional<RateRequest> RateSpender::nextRequest(TimePoint now)
{
    while (!this->queued.empty()) {
        const std::string organisation = std::move(this->queued.front());
        this->queued.pop_front();
        const auto found = this->rows.find(organisation);
        if (found == this->rows.end())
            continue;
        Row &row = found->second;
        row.isQueued = false;
        const auto place = placeToAsk(row, now);
        const std::uint32_t needed = row.waiting + this->expected(row, now);
        const std::uint32_t available = stock(row, now);
        if (row.asked || !place || needed <= available)
            continue;
        row.asked = ++this->lastSerial;
        return RateRequest{.serial = this->lastSerial,
                           .organisation = organisation,
                           .place = *place,
                           .wanted = needed - available,
                           .sentAt = now};
    }
    return std::nullopt;
}

void RateSpender::granted(const RateRequest &request, const RateGrant &grant, TimePoint now)
{
    const auto found = this->rows.find(request.organisation);
    if (found == this->rows.end())
        return;
    Row &row = found->second;
    const bool isShort = grant.granted < request.wanted;
    row.pausedUntil[request.place] = isShort ? now + grant.retryAfter : TimePoint{0};
    row.silentUntil[request.place] = TimePoint{0};
    if (isShort)
        row.deniedAt = now;
    const TimePoint expiresAt = request.sentAt + this->options.hold;
    if (grant.granted > 0 && now < expiresAt) {
        // A member is not trusted to keep to the number that was requested.
        addLot(row, Lot{.expiresAt = expiresAt, .count = std::min(grant.granted, request.wanted)});
    }
    this->finishRequest(request, row, now);
}

void RateSpender::giveBack(std::string_view organisation, TimePoint now)
{
    const auto found = this->rows.find(organisation);
    if (found != this->rows.end())
        addLot(found->second, Lot{.expiresAt = now + this->options.givenBackHold, .count = 1});
}

void RateSpender::addLot(Row &row, Lot lot)
{
    const auto place = std::upper_bound(row.lots.begin(), row.lots.end(), lot, [](const Lot &left, const Lot &right) {
        return left.expiresAt < right.expiresAt;
    });
    row.lots.insert(place, lot);
}

void RateSpender::unanswered(const RateRequest &request, TimePoint now)
{
    const auto found = this->rows.find(request.organisation);
    if (found == this->rows.end())
        return;
    found->second.pausedUntil[request.place] = now + this->options.silentPause;
    found->second.silentUntil[request.place] = now + this->options.silentPause;
    this->finishRequest(request, found->second, now);
}

void RateSpender::finishRequest(const RateRequest &request, Row &row, TimePoint now)
{
    if (row.asked != request.serial)
        return;
    row.asked.reset();
    if (row.waiting == 0)
        return;
    row.nextPlace = request.place + 1;
    if (stock(row, now) < row.waiting)
        this->planRequest(request.organisation, row, now);
}

void RateSpender::membersChanged()
{
    for (auto &[name, row] : this->rows)
        row.pausedUntil.fill(TimePoint{0});
}

void RateSpender::setTable(const OrganisationTable &table)
{
    std::erase_if(this->rows, [&](const auto &entry) {
        const auto organisation = table.findByName(entry.first);
        return !organisation || !organisation->limit;
    });
}

bool RateSpender::takeFromReserve(Row &row, TimePoint now) const
{
    const bool isAnySilent =
        std::any_of(row.silentUntil.begin(), row.silentUntil.end(), [&](TimePoint until) { return until > now; });
    if (!isAnySilent)
        return false;
    if (row.deniedAt.count() != 0 && now - row.deniedAt < this->options.deniedMemory)
        return false;
    const double sinceAdmitted = toSeconds(now - row.admittedAt) / toSeconds(this->options.admittedAveragingTime);
    const double rate = row.admittedRate * std::exp(-sinceAdmitted) * this->options.reserveFactor;
    const double capacity = std::max(1.0, rate * toSeconds(this->options.foresight));
    // The time before the members became silent counts up to the capacity.
    row.reserve = std::min(row.reserve + rate * toSeconds(now - row.reserveAt), capacity);
    row.reserveAt = now;
    if (row.reserve < 1)
        return false;
    row.reserve -= 1;
    return true;
}

void RateSpender::countAdmitted(Row &row, TimePoint now) const
{
    const double average = toSeconds(this->options.admittedAveragingTime);
    row.admittedRate = row.admittedRate * std::exp(-toSeconds(now - row.admittedAt) / average) + 1 / average;
    row.admittedAt = now;
}

bool RateSpender::takeFromStock(Row &row, TimePoint now)
{
    if (stock(row, now) == 0)
        return false;
    row.lots.front().count -= 1;
    if (row.lots.front().count == 0)
        row.lots.pop_front();
    return true;
}

std::uint32_t RateSpender::stock(Row &row, TimePoint now)
{
    while (!row.lots.empty() && row.lots.front().expiresAt <= now)
        row.lots.pop_front();
    std::uint32_t total = 0;
    for (const Lot &lot : row.lots)
        total += lot.count;
    return total;
}

std::uint32_t RateSpender::expected(const Row &row, TimePoint now) const
{
    const double decay = std::exp(-toSeconds(now - row.ratedAt) / toSeconds(this->options.averagingTime));
    return static_cast<std::uint32_t>(std::lround(row.rate * decay * toSeconds(this->options.foresight)));
}

void RateSpender::countOperation(Row &row, TimePoint now) const
{
    const double average = toSeconds(this->options.averagingTime);
    row.rate = row.rate * std::exp(-toSeconds(now - row.ratedAt) / average) + 1 / average;
    row.ratedAt = now;
}

std::optional<std::size_t> RateSpender::placeToAsk(const Row &row, TimePoint now)
{
    for (std::size_t place = row.nextPlace; place < RateRanks::count; ++place) {
        if (row.pausedUntil[place] <= now)
            return place;
    }
    return std::nullopt;
}

void RateSpender::planRequest(std::string_view organisation, Row &row, TimePoint now)
{
    if (row.asked || row.isQueued || !placeToAsk(row, now))
        return;
    if (row.waiting == 0 && stock(row, now) * 2 >= this->expected(row, now))
        return;
    row.isQueued = true;
    this->queued.emplace_back(organisation);
}

} // namespace Jujubekeel
