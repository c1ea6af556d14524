#include "pool/linksystem.h"

#include "membership/rendezvous.h"
#include "pool/poolworld.h"
#include "sharing/linksharing.h"

#include <algorithm>
#include <cassert>
#include <string_view>
#include <vector>

namespace Jujubekeel {

namespace {

/// One organisation gets this part of an instance's links to a server. All links together carry several times what the
/// server's slots can run, so that with more of them the organisation would only fill the queue of the server, in which
/// the others then wait.
constexpr std::uint32_t organisationLinksDivisor = 2;

std::string_view describe(LinkEnd end)
{
    switch (end) {
    case LinkEnd::Refused:
        return "refused";
    case LinkEnd::Rejected:
        return "rejected";
    case LinkEnd::Broken:
        return "broken";
    case LinkEnd::Silent:
        return "silent";
    case LinkEnd::Closed:
        return "closed";
    }
    return "unknown";
}

} // namespace

bool LinkSystem::mayConnect(const ServerRow &server) const
{
    if (server.isMember)
        return (this->world.isRelaying() || this->world.hasLapsed() || this->world.usesOrganisations()
                || this->mayServersHoldEarlierLinks())
               && !server.entry.draining;
    return this->world.role == FleetRole::Member;
}

std::uint32_t LinkSystem::linkLimit(const ServerRow &server) const
{
    const PoolOptions &options = this->world.options;
    if (!this->mayConnect(server))
        return 0;
    if (server.isMember)
        return options.relayLinks;
    const std::uint32_t limit = this->world.routes ? this->world.routes->maxConnections(server.entry.service) : 0;
    const std::uint32_t shared = limit > options.spareConnections ? limit - options.spareConnections : 1;
    const std::uint32_t instances = std::max(this->world.instances, options.expectedInstances);
    const std::uint32_t share = std::clamp<std::uint32_t>(shared / instances, 1, options.linksPerServer);
    if (!this->mayServersHoldEarlierLinks())
        return share;
    // What the limit leaves beside the earlier connections of all instances, which may have lost power together.
    const std::uint32_t held = share * instances;
    const std::uint32_t left = limit > held ? limit - held : 0;
    if (left >= instances)
        return std::min(left / instances, share);
    // Too few for all: those members open one that rank first, the others pass work for this server on.
    return this->rankForServer(server) < std::max<std::uint32_t>(left, 1) ? 1 : 0;
}

std::uint32_t LinkSystem::rankForServer(const ServerRow &server) const
{
    const std::uint64_t key = rendezvousKey(server.entry.id);
    const auto score = [&](std::string_view instance) { return rendezvousScore(key, rendezvousKey(instance)); };
    const std::uint64_t own = score(this->world.options.instance);
    return static_cast<std::uint32_t>(std::count_if(this->world.memberById.begin(), this->world.memberById.end(),
                                                    [&](const auto &member) { return score(member.first) > own; }));
}

bool LinkSystem::lacksLink(ServerId server) const
{
    const ServerRow &row = this->world.servers.at(server);
    return this->mayServersHoldEarlierLinks() && row.links.empty() && this->linkLimit(row) == 0;
}

bool LinkSystem::mayServersHoldEarlierLinks() const
{
    return !this->world.options.firstStart
           && this->world.now - this->world.startedAt < this->world.options.connectionLinger;
}

LinkId LinkSystem::findFree(ServerId server, SessionId session) const
{
    const SessionRow *user = this->world.sessions.find(session);
    const bool isMember = this->world.servers.at(server).isMember;
    LinkId best;
    for (const LinkId id : this->world.servers.at(server).links) {
        const LinkRow &link = this->world.links.at(id);
        if (!link.isFree())
            continue;
        // Work runs only on connections that were opened in the name of its organisation.
        if (user != nullptr && !isMember && link.organisation != user->organisationName())
            continue;
        if (user != nullptr && link.values == user->values)
            return id;
        best = id;
    }
    return best;
}

bool LinkSystem::ensureOpening(ServerId server, LinkPurpose purpose, std::string_view organisation)
{
    ServerRow &row = this->world.servers.at(server);
    if (this->isOpening(row, organisation))
        return true;
    if (this->world.now < row.retryAt)
        return false;
    // Control commands may use one of the spare connections, which work leaves free.
    const std::uint32_t limit = this->linkLimit(row);
    const std::uint32_t extra = purpose == LinkPurpose::Control ? 1 : 0;
    if (!this->mayConnect(row) || limit + extra == 0)
        return false;
    if (purpose == LinkPurpose::Work && this->hasItsShare(row, organisation, limit))
        return false;
    if (row.links.size() >= limit + extra && !this->giveUpLink(row, organisation))
        return false;

    this->open(server, organisation, false);
    return true;
}

LinkId LinkSystem::openForRequests(ServerId member)
{
    const ServerRow &row = this->world.servers.at(member);
    if (this->world.now < row.retryAt || row.links.size() >= this->linkLimit(row))
        return LinkId{};
    return this->open(member, {}, true);
}

LinkId LinkSystem::open(ServerId server, std::string_view organisation, bool forRequests)
{
    ServerRow &row = this->world.servers.at(server);
    const LinkId link = this->world.links.insert(LinkRow{.server = server,
                                                         .organisation = std::string(organisation),
                                                         .forRequests = forRequests,
                                                         .openedAt = this->world.now});
    row.links.push_back(link);
    // Work does not wait for a link that it may not use.
    row.opening += forRequests ? 0 : 1;
    this->world.counters.add("jujubekeel_pool_links_opened_total");
    this->world.emit(OpenLink{.link = link, .address = row.entry.address});
    this->send(link, ExchangeKind::Open,
               ServerCommand{.kind = CommandKind::Open,
                             .name = row.isMember ? std::string(relayDatabase) : row.entry.service,
                             .argument = row.entry.id,
                             .organisation = std::string(organisation)});
    this->setDeadline(link, this->world.now + this->world.options.openTimeout);
    return link;
}

bool LinkSystem::isOpening(const ServerRow &row, std::string_view organisation) const
{
    if (row.opening == 0)
        return false;
    // Each handshake takes a slot of the server, so an organisation waits for the one that it has started.
    if (!this->world.usesOrganisations() || row.isMember || row.opening >= this->world.options.handshakesPerServer)
        return true;
    return std::any_of(row.links.begin(), row.links.end(), [&](LinkId id) {
        const LinkRow &link = this->world.links.at(id);
        return !link.open && link.organisation == organisation;
    });
}

bool LinkSystem::hasOpen(ServerId server, std::string_view organisation) const
{
    const std::vector<LinkId> &ofServer = this->world.servers.at(server).links;
    return std::any_of(ofServer.begin(), ofServer.end(), [&](LinkId id) {
        const LinkRow &link = this->world.links.at(id);
        return link.open && link.organisation == organisation;
    });
}

bool LinkSystem::hasItsShare(const ServerRow &row, std::string_view organisation, std::uint32_t limit) const
{
    // Links in the proxy's own name read log positions.
    if (organisation.empty() || row.isMember)
        return false;
    const auto held = std::count_if(row.links.begin(), row.links.end(),
                                    [&](LinkId id) { return this->world.links.at(id).organisation == organisation; });
    return static_cast<std::uint32_t>(held) >= (limit + organisationLinksDivisor - 1) / organisationLinksDivisor;
}

bool LinkSystem::giveUpLink(const ServerRow &row, std::string_view organisation)
{
    if (!this->world.usesOrganisations() || row.isMember)
        return false;
    std::vector<LinkSharing::Candidate> candidates;
    std::vector<LinkId> ids;
    const ServiceRow &service = this->world.services.at(row.service);
    for (const LinkId id : row.links) {
        const LinkRow &link = this->world.links.at(id);
        const bool isPrimary = link.server == service.primary;
        candidates.push_back({.organisation = link.organisation,
                              .isFree = link.isFree(),
                              .hasWaitingWork = service.queue.hasWork(link.organisation, isPrimary),
                              .greetedAt = link.greetedAt,
                              .usedAt = link.usedAt});
        ids.push_back(id);
    }
    const auto chosen =
        LinkSharing({.hold = this->world.options.linkHold}).chooseToClose(candidates, organisation, this->world.now);
    if (!chosen)
        return false;
    this->world.counters.add("jujubekeel_pool_links_given_up_total");
    this->close(ids[*chosen], LinkEnd::Closed);
    return true;
}

void LinkSystem::closeFree(ServerId server)
{
    const std::vector<LinkId> open = this->world.servers.at(server).links;
    for (const LinkId link : open) {
        if (this->world.links.at(link).isFree())
            this->close(link, LinkEnd::Closed);
    }
}

void LinkSystem::closeSurplus()
{
    // The limit is lower than usual only for new connections.
    if (this->mayServersHoldEarlierLinks())
        return;
    std::vector<LinkId> surplus;
    this->world.servers.forEach([&](ServerId, const ServerRow &row) {
        // The replacement of a primary may use one link more for its control commands.
        if (this->world.services.at(row.service).changing)
            return;
        const std::uint32_t limit = this->linkLimit(row);
        std::size_t count = row.links.size();
        for (const LinkId link : row.links) {
            if (count > limit && this->world.links.at(link).isFree()) {
                surplus.push_back(link);
                count -= 1;
            }
        }
    });
    for (const LinkId link : surplus)
        this->close(link, LinkEnd::Closed);
}

void LinkSystem::send(LinkId link, ExchangeKind kind, ServerCommand command)
{
    LinkRow &row = this->world.links.at(link);
    ServerRow &server = this->world.servers.at(row.server);
    row.exchanges.push_back(Exchange{.kind = kind, .sentAt = this->world.now});
    // A member holds a subscription until there is news, so that its silence means nothing.
    if (kind != ExchangeKind::Subscribe && server.awaitingAnswerSince.count() == 0)
        server.awaitingAnswerSince = this->world.now;
    this->world.emit(SendCommand{.link = link, .command = std::move(command)});
}

void LinkSystem::setDeadline(LinkId link, TimePoint deadline)
{
    this->world.links.at(link).deadline = deadline;
    this->world.timers.add(deadline, TimerKind::LinkDeadline, link.packed());
}

std::optional<CompletedExchange> LinkSystem::receive(LinkId link, ServerMessage message, bool &broken)
{
    LinkRow &row = this->world.links.at(link);
    ServerRow &server = this->world.servers.at(row.server);
    if (row.exchanges.empty()) {
        broken = true;
        return std::nullopt;
    }
    server.lastAnswerAt = this->world.now;
    server.unreachableSince = TimePoint{0};
    Exchange &exchange = row.exchanges.front();
    switch (message.kind) {
    case ServerMessageKind::Row:
        exchange.bytes += message.text.size();
        broken = exchange.bytes > this->world.options.resultLimit;
        if (exchange.kind == ExchangeKind::Status)
            exchange.status = message.status;
        else
            exchange.rows.push_back(std::move(message.text));
        return std::nullopt;
    case ServerMessageKind::Done:
        exchange.digest = std::move(message.text);
        exchange.done = true;
        return std::nullopt;
    case ServerMessageKind::Error:
        exchange.error = std::move(message.error);
        return std::nullopt;
    case ServerMessageKind::Ready:
        break;
    }

    // Ready ends the exchange. Only Open is complete without Done or Error before it.
    if (!exchange.done && !exchange.error && exchange.kind != ExchangeKind::Open) {
        broken = true;
        return std::nullopt;
    }
    CompletedExchange completed{.exchange = std::move(exchange), .state = message.state, .position = message.position};
    row.exchanges.pop_front();
    if (message.position)
        server.applied = std::max(server.applied, *message.position);
    this->restartSilence(row.server);
    if (row.exchanges.empty())
        row.deadline = TimePoint{0};
    return completed;
}

void LinkSystem::greeted(LinkId link)
{
    LinkRow &row = this->world.links.at(link);
    ServerRow &server = this->world.servers.at(row.server);
    assert(!row.open && (row.forRequests || server.opening > 0));
    row.open = true;
    row.greetedAt = this->world.now;
    server.opening -= row.forRequests ? 0 : 1;
    // Requests may have been sent before the greeting was answered; RateLimitSystem limits their time.
    if (row.forRequests)
        row.deadline = TimePoint{0};
    server.retryAt = TimePoint{0};
    server.retryDelay = Duration{0};
}

void LinkSystem::close(LinkId link, LinkEnd end)
{
    const LinkRow &row = this->world.links.at(link);
    const ServerId serverId = row.server;
    ServerRow &server = this->world.servers.at(serverId);
    const bool wasOpen = row.open;
    if (!wasOpen && !row.forRequests)
        server.opening -= 1;
    std::erase(server.links, link);
    this->world.links.erase(link);
    this->world.emit(CloseLink{.link = link});
    if (end != LinkEnd::Closed) {
        this->recordFailure(serverId, end, wasOpen);
        this->world.counters.add("jujubekeel_pool_links_lost_total{end=\"" + std::string(describe(end)) + "\"}");
        this->world.log(LogLevel::Warning, "link-lost",
                        {{"server", server.entry.id},
                         {"service", server.entry.service},
                         {"end", std::string(describe(end))},
                         {"greeted", wasOpen ? "true" : "false"},
                         {"links", std::to_string(server.links.size())}});
    }
}

void LinkSystem::restartSilence(ServerId id)
{
    ServerRow &server = this->world.servers.at(id);
    const bool outstanding = std::any_of(server.links.begin(), server.links.end(), [this](LinkId link) {
        const auto &exchanges = this->world.links.at(link).exchanges;
        return std::any_of(exchanges.begin(), exchanges.end(),
                           [](const Exchange &exchange) { return exchange.kind != ExchangeKind::Subscribe; });
    });
    server.awaitingAnswerSince = outstanding ? this->world.now : TimePoint{0};
}

void LinkSystem::recordFailure(ServerId server, LinkEnd end, bool wasGreeted)
{
    ServerRow &row = this->world.servers.at(server);
    const PoolOptions &options = this->world.options;
    if (wasGreeted && end == LinkEnd::Broken) {
        // The server may have dropped only this connection; a new one shows whether it is reachable.
        row.retryAt = this->world.now + options.reconnectDelay;
    } else {
        // A server that rejects or drops a greeting is reachable, but may have too many connections.
        const bool unreachable = !wasGreeted && (end == LinkEnd::Refused || end == LinkEnd::Silent);
        if (row.unreachableSince.count() == 0 && unreachable)
            row.unreachableSince = this->world.now;
        row.retryDelay = std::clamp(row.retryDelay * 2, options.initialRetryDelay, options.maxRetryDelay);
        row.retryAt = this->world.now + row.retryDelay;
    }
    row.connectionLostAt = this->world.now;
    // A server that resets or rejects a connection is reachable.
    if (end == LinkEnd::Broken || end == LinkEnd::Rejected)
        this->restartSilence(server);
    this->world.timers.add(row.retryAt, TimerKind::ServerRetry, server.packed());
}

} // namespace Jujubekeel
