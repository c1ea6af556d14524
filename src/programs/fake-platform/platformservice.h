#pragma once

#include "programs/fake-shared/fakehttpserver.h"

namespace Jujubekeel {

class PlatformDriver;

/// HTTP interface of the fake platform; docs/fakes.md describes it. Owned by main; thread-safe, called from the threads
/// of the HTTP server.
class PlatformService final
{
public:
    explicit PlatformService(PlatformDriver &driver);

    FakeHttpResponse handle(const FakeHttpRequest &httpRequest);

private:
    FakeHttpResponse object(const FakeHttpRequest &httpRequest, const std::string &key);
    FakeHttpResponse instance(const FakeHttpRequest &httpRequest, const std::string &name);
    FakeHttpResponse fault(const FakeHttpRequest &httpRequest);
    FakeHttpResponse counters();

    PlatformDriver &driver;
};

} // namespace Jujubekeel
