#pragma once

#include "core/time.h"
#include "pool/feedhistory.h"
#include "pool/feedrequest.h"
#include "pool/poolids.h"

#include <string_view>
#include <vector>

namespace Jujubekeel {

class RegistrationSystem;
struct PoolWorld;

/// Member side of the change feed: passes the configuration and the list of members on to instances that relay through
/// this one, so that they need not read the store. A request is held until there is news, for PoolOptions::feedHold at
/// most. Each answer says how old this instance's view of the store is. Owned by PoolCore.
class FeedPublisher final
{
public:
    FeedPublisher(PoolWorld &poolWorld, const RegistrationSystem &registrationSystem)
        : world(poolWorld), registration(registrationSystem), history(poolWorld)
    {
    }

    /// Takes the request of a relayed session. Invalid requests, and those to an instance that is not a registered
    /// member, are refused at once.
    void subscribe(SessionId session, std::string_view requestText);
    /// Answers the requests for which there is news, or whose hold time has passed.
    void publish();

private:
    struct Subscription
    {
        SessionId session;
        FeedRequest request;
        TimePoint since{0}; ///< arrival of the request
    };

    /// Returns false if the request has to be held.
    bool answer(const Subscription &subscription);
    void refuse(SessionId session, std::string_view reason);
    /// Longest answer, in bytes.
    [[nodiscard]] std::size_t textLimit() const;

    PoolWorld &world;
    const RegistrationSystem &registration;
    FeedHistory history;
    std::vector<Subscription> held;
};

} // namespace Jujubekeel
