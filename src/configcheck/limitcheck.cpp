#include "configcheck/limitcheck.h"

#include "configcheck/figures.h"

#include <algorithm>
#include <utility>

namespace Jujubekeel {

namespace {

/// Window for which the rate limits hold (docs/design/rate-limits.md).
constexpr double windowSeconds = 5;

constexpr ConfigurationPlace organisationsPlace{.part = ConfigurationPart::Organisations};

} // namespace

std::vector<Finding> LimitCheck::check(const ConfigurationReading &reading)
{
    this->findings.clear();
    this->checkRoutes(reading);
    this->checkRates(reading);
    this->checkRateSum(reading);
    this->checkConnections(reading);
    return std::move(this->findings);
}

void LimitCheck::checkRoutes(const ConfigurationReading &reading)
{
    for (const auto &entry : reading.routes) {
        const Route &route = entry.route;
        const ConfigurationPlace place{
            .part = ConfigurationPart::Routes, .index = entry.index, .field = ConfigurationField::StatementTimeout};
        if (route.statementTimeout == Duration{0}) {
            this->add(FindingSeverity::Warning, "timeout-zero", place, "is 0 ms: every statement times out");
        } else if (route.statementTimeout < route.latencyObjective) {
            this->add(FindingSeverity::Warning, "timeout-below-objective", place,
                      "statements time out after " + millisecondsText(route.statementTimeout)
                          + ", before the latency objective of " + millisecondsText(route.latencyObjective));
        }
    }
}

void LimitCheck::checkRates(const ConfigurationReading &reading)
{
    for (const auto &entry : reading.organisations) {
        const auto &limit = entry.organisation.limit;
        if (!limit)
            continue;
        ConfigurationPlace place = organisationsPlace;
        place.index = entry.index;
        place.field = ConfigurationField::Rate;
        if (limit->operationsPerSecond * windowSeconds < 1) {
            this->add(FindingSeverity::Warning, "rate-below-window", place,
                      "is " + numberText(limit->operationsPerSecond)
                          + " per second, less than 1 operation in a window of " + numberText(windowSeconds) + " s");
        }
        place.field = ConfigurationField::Burst;
        if (entry.hasBurst && limit->burst < 1) {
            this->add(FindingSeverity::Warning, "burst-below-one", place,
                      "is " + numberText(limit->burst) + ", less than 1 operation: it allows no burst");
        }
    }
}

void LimitCheck::checkRateSum(const ConfigurationReading &reading)
{
    double sum = 0;
    std::size_t unlimited = 0;
    for (const auto &entry : reading.organisations) {
        sum += entry.organisation.limit ? entry.organisation.limit->operationsPerSecond : 0;
        unlimited += entry.organisation.limit ? 0 : 1;
    }
    if (unlimited > 0) {
        this->add(FindingSeverity::Note, "unlimited-organisations", organisationsPlace,
                  "organisations without a rate limit: " + std::to_string(unlimited) + " of "
                      + std::to_string(reading.organisations.size()));
    }
    if (!this->options.servers || !this->options.slots || sum <= 0)
        return;
    const double slots = static_cast<double>(*this->options.servers) * *this->options.slots;
    const double seconds = std::chrono::duration<double>(this->options.statementTime).count();
    const double capacity = slots / seconds;
    const std::string sumText = "rates add up to " + numberText(sum) + " operations per second; ";
    if (sum > capacity) {
        this->add(FindingSeverity::Warning, "rates-above-capacity", organisationsPlace,
                  sumText + numberText(slots) + " slots carry " + numberText(capacity) + " at "
                      + millisecondsText(this->options.statementTime) + " for each statement");
    } else {
        this->add(FindingSeverity::Note, "rates", organisationsPlace,
                  sumText + numberText(slots) + " slots carry them if a statement takes at most "
                      + numberText(slots / sum * 1000) + " ms on average");
    }
}

void LimitCheck::checkConnections(const ConfigurationReading &reading)
{
    const auto &connections = this->options.connections;
    const auto &slots = this->options.slots;
    if (connections && slots && *connections < *slots) {
        this->add(FindingSeverity::Warning, "connections-below-slots", {.part = ConfigurationPart::Services},
                  "a server accepts " + std::to_string(*connections) + " connections and runs " + std::to_string(*slots)
                      + " statements; a connection runs one at a time");
    }
    for (const auto &entry : reading.services)
        this->checkConnectionsOf(entry, reading.organisations.size());
}

void LimitCheck::checkConnectionsOf(const ConfigurationReading::ServiceEntry &entry, std::size_t organisations)
{
    const ConfigurationPlace place{
        .part = ConfigurationPart::Services, .index = entry.index, .field = ConfigurationField::MaxConnections};
    const std::uint32_t limit = entry.limits.maxConnections;
    const std::string limitText = "service " + this->mask.quoted(entry.name) + ": " + std::to_string(limit)
                                  + (limit == 1 ? " connection" : " connections") + " for each server";
    if (limit == 0)
        this->add(FindingSeverity::Warning, "connections-zero", place,
                  limitText + "; each member opens one all the same");
    if (this->options.connections && limit > *this->options.connections) {
        this->add(FindingSeverity::Warning, "connections-above-server", place,
                  limitText + ", but a server accepts " + std::to_string(*this->options.connections));
    }
    if (this->options.slots && limit > 0 && limit < *this->options.slots) {
        this->add(FindingSeverity::Warning, "connections-below-slots", place,
                  limitText + ", but a server runs " + std::to_string(*this->options.slots)
                      + " statements; a connection runs one at a time");
    }
    const std::uint32_t usable = std::min(limit, this->options.connections.value_or(limit));
    if (this->options.members && limit > 0 && *this->options.members > usable) {
        this->add(FindingSeverity::Warning, "connections-below-members", place,
                  limitText + ", but " + std::to_string(*this->options.members) + " members open at least one each");
    }
    if (usable > 0 && organisations > usable) {
        this->add(FindingSeverity::Note, "connections-below-organisations", place,
                  limitText + " and " + std::to_string(organisations)
                      + " organisations: connections are closed and opened again when others take their turn");
    }
}

void LimitCheck::add(FindingSeverity severity, const char *code, const ConfigurationPlace &place, std::string text)
{
    this->findings.push_back({.severity = severity, .code = code, .place = place, .text = std::move(text)});
}

} // namespace Jujubekeel
