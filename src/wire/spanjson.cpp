#include "wire/spanjson.h"

namespace Jujubekeel {

nlohmann::ordered_json spanToJson(const Span &span)
{
    nlohmann::ordered_json json;
    json["trace"] = span.traceId;
    json["span"] = span.spanId;
    json["parent"] = span.parentSpan;
    json["name"] = span.name;
    json["start_us"] = span.start.count();
    json["duration_us"] = (span.end - span.start).count();
    json["attributes"] = nlohmann::ordered_json::object();
    for (const auto &[name, value] : span.attributes)
        json["attributes"][name] = value;
    return json;
}

} // namespace Jujubekeel
