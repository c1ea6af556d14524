#pragma once

#include "core/time.h"
#include "programs/fake-shared/fakehttpserver.h"

#include <cstdint>
#include <string>

namespace Jujubekeel {

class BackendDriver;

/// HTTP interface of the fake backend server; docs/fakes.md describes it. One connection is one session. Stateless; owned
/// by main, called from the threads of the HTTP server.
class BackendService final
{
public:
    /// \a connectTime is the time that opening a session takes.
    BackendService(BackendDriver &driver, std::string name, Duration connectTime);

    FakeHttpReply handle(const FakeHttpCall &call);

private:
    FakeHttpReply open(const FakeHttpCall &call);
    FakeHttpReply request(const FakeHttpCall &call);
    FakeHttpReply replicate(const FakeHttpCall &call);
    FakeHttpReply fault(const FakeHttpCall &call);
    FakeHttpReply group(const FakeHttpCall &call);
    FakeHttpReply status();
    FakeHttpReply log();

    BackendDriver &driver;
    std::string name;
    Duration connectTime;
};

} // namespace Jujubekeel
