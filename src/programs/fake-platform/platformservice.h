#pragma once

#include "programs/fake-shared/fakehttpserver.h"

namespace Jujubekeel {

class PlatformDriver;

/// HTTP interface of the fake platform; docs/fakes.md describes it. Stateless; owned by main, called from the threads of
/// the HTTP server.
class PlatformService final
{
public:
    explicit PlatformService(PlatformDriver &driver);

    FakeHttpReply handle(const FakeHttpCall &call);

private:
    FakeHttpReply object(const FakeHttpCall &call, const std::string &key);
    FakeHttpReply instance(const FakeHttpCall &call, const std::string &name);
    FakeHttpReply fault(const FakeHttpCall &call);
    FakeHttpReply counters();

    PlatformDriver &driver;
};

} // namespace Jujubekeel
