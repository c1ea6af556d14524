#pragma once

#include "core/time.h"
#include "programs/fake-shared/fakehttpserver.h"

#include <cstdint>
#include <string>

namespace Jujubekeel {

class BackendDriver;

/// HTTP interface of the fake backend server; docs/fakes.md describes it. A connection carries at most one session.
/// Owned by main; thread-safe, called from the threads of the HTTP server.
class BackendService final
{
public:
    /// \a connectTime: simulated duration of opening a session.
    BackendService(BackendDriver &driver, std::string name, Duration connectTime);

    FakeHttpResponse handle(const FakeHttpRequest &httpRequest);

private:
    FakeHttpResponse open(const FakeHttpRequest &httpRequest);
    FakeHttpResponse request(const FakeHttpRequest &httpRequest);
    FakeHttpResponse replicate(const FakeHttpRequest &httpRequest);
    FakeHttpResponse fault(const FakeHttpRequest &httpRequest);
    FakeHttpResponse group(const FakeHttpRequest &httpRequest);
    FakeHttpResponse status();
    FakeHttpResponse log();

    BackendDriver &driver;
    std::string name;
    Duration connectTime;
};

} // namespace Jujubekeel
