#pragma once

#include "core/time.h"

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Jujubekeel {

/// One HTTP request and its timeouts.
struct HttpQuery
{
    std::string address; ///< "ip:port"
    std::string method = "GET";
    std::string path; ///< percent-encoded
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    Duration connectTimeout = std::chrono::milliseconds(500);
    Duration responseTimeout = std::chrono::seconds(2);
};

struct HttpQueryResponse
{
    int status = 0;
    std::string body;
};

/// Sends one HTTP request on a new connection, so that the HTTP library cannot resend it silently. Blocks at most for
/// the two timeouts. Empty if there was no complete response; \a error is then the reason. Any thread.
[[nodiscard]] std::optional<HttpQueryResponse> performHttpQuery(const HttpQuery &query, std::string &error);

/// Percent-encodes one segment of a path.
[[nodiscard]] std::string encodePathSegment(const std::string &text);

} // namespace Jujubekeel
