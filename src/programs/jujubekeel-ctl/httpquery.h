#pragma once

#include "core/time.h"

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Jujubekeel {

struct HttpQuery
{
    std::string address; ///< "ip:port"
    std::string method = "GET";
    std::string path; ///< percent-encoded
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    Duration connectTimeout = std::chrono::milliseconds(500);
    Duration answerTimeout = std::chrono::seconds(2);
};

struct HttpAnswer
{
    int status = 0;
    std::string body;
};

/// Makes one HTTP call on a connection of its own, so that nothing repeats it silently. Blocks at most for the two
/// timeouts. Empty if there was no complete answer; \a error then tells why. Any thread.
[[nodiscard]] std::optional<HttpAnswer> performHttpQuery(const HttpQuery &query, std::string &error);

/// Percent-encodes one segment of a path.
[[nodiscard]] std::string encodePathSegment(const std::string &text);

} // namespace Jujubekeel
