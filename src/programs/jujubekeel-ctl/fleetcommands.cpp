#include "programs/jujubekeel-ctl/fleetcommands.h"

#include "programs/jujubekeel-ctl/httpquery.h"
#include "programs/jujubekeel-ctl/tracetree.h"

#include <algorithm>
#include <map>
#include <optional>
#include <utility>

namespace Jujubekeel {

namespace {

using Json = nlohmann::ordered_json;

std::optional<double> numberField(const Json &json, const char *field)
{
    if (!json.is_object() || !json.contains(field) || !json.at(field).is_number())
        return std::nullopt;
    return json.at(field).get<double>();
}

std::string ageText(const Json &json, const char *field)
{
    const auto age = numberField(json, field);
    return age ? durationText(*age) : "-";
}

std::string positionText(const Json &json, const char *field)
{
    if (!json.is_object() || !json.contains(field) || !json.at(field).is_object())
        return "-";
    return cellText(json.at(field), "term") + "/" + cellText(json.at(field), "position");
}

/// Collects the rows of an array field of all responses, each with the name of the instance that sent it.
std::vector<std::pair<std::string, Json>> collectRows(const std::vector<InstanceResponse> &responses, const char *field)
{
    std::vector<std::pair<std::string, Json>> rows;
    for (const InstanceResponse &response : responses) {
        if (response.code != ResultCode::Ok || !response.json.contains(field) || !response.json.at(field).is_array())
            continue;
        for (const Json &row : response.json.at(field)) {
            if (row.is_object() && row.contains("name") && row.at("name").is_string())
                rows.emplace_back(response.instance, row);
        }
    }
    return rows;
}

/// One row for each backend server: that of its owner, otherwise the one with the most recent status.
std::map<std::string, Json> mergeBackends(const std::vector<InstanceResponse> &responses)
{
    std::map<std::string, Json> merged;
    const auto rank = [](const Json &row) {
        const bool owned = cellText(row, "ownership") == "owned" || cellText(row, "ownership") == "closing";
        return std::pair(owned ? 0 : 1, numberField(row, "status_age_ms").value_or(1e18));
    };
    for (auto &[instance, row] : collectRows(responses, "backend_servers")) {
        row["reported_by"] = instance;
        const std::string name = cellText(row, "name");
        const auto found = merged.find(name);
        if (found == merged.end())
            merged.emplace(name, std::move(row));
        else if (rank(row) < rank(found->second))
            found->second = std::move(row);
    }
    return merged;
}

/// One row for each database: that of the highest term.
std::map<std::string, Json> mergeDatabases(const std::vector<InstanceResponse> &responses)
{
    std::map<std::string, Json> merged;
    const auto term = [](const Json &row) { return numberField(row, "term").value_or(0.0); };
    for (auto &[instance, row] : collectRows(responses, "databases")) {
        const std::string name = cellText(row, "name");
        const auto found = merged.find(name);
        if (found == merged.end())
            merged.emplace(name, std::move(row));
        else if (term(row) > term(found->second))
            found->second = std::move(row);
    }
    return merged;
}

std::string usageText(const Json &row, const char *used, const char *limit)
{
    return cellText(row, used) + "/" + cellText(row, limit);
}

} // namespace

FleetCommands::FleetCommands(const ProxySettings &proxySettings, const CommandOutput &commandOutput)
    : settings(proxySettings), output(commandOutput), client(proxySettings)
{
}

std::size_t FleetCommands::reportFailures(const std::vector<InstanceResponse> &responses) const
{
    std::size_t answered = 0;
    for (const InstanceResponse &response : responses) {
        if (response.code == ResultCode::Ok || response.code == ResultCode::NotFound)
            answered += 1;
        else
            this->output.writeError({.code = response.code, .text = response.text});
    }
    return answered;
}

int FleetCommands::status() const
{
    const std::vector<InstanceResponse> responses = this->client.callAllInstances("/v1/status");
    const bool answered = this->reportFailures(responses) > 0;
    const auto databases = mergeDatabases(responses);
    const auto backends = mergeBackends(responses);

    if (this->output.isJson()) {
        Json instances = Json::array();
        for (const InstanceResponse &response : responses) {
            Json row{{"name", response.instance}, {"answers", response.code == ResultCode::Ok}};
            if (response.code == ResultCode::Ok)
                row["status"] = response.json;
            instances.push_back(std::move(row));
        }
        Json databaseRows = Json::array();
        for (const auto &[name, row] : databases)
            databaseRows.push_back(row);
        Json backendRows = Json::array();
        for (const auto &[name, row] : backends)
            backendRows.push_back(row);
        this->output.writeJson(
            {{"instances", instances}, {"databases", databaseRows}, {"backend_servers", backendRows}});
        return answered ? exitOk : exitFailed;
    }

    std::vector<std::vector<std::string>> table;
    for (std::size_t index = 0; index < responses.size(); ++index) {
        const Json &json = responses[index].json;
        const bool ok = responses[index].code == ResultCode::Ok;
        const std::string state = cellText(json, "stopping") == "yes" ? "stopping" : "serving";
        table.push_back({responses[index].instance, this->settings.layout.instances[index].failureDomain,
                         ok ? state : "no answer", cellText(json, "rules_version"),
                         cellText(json, "requests_in_flight"), cellText(json, "transactions")});
    }
    this->output.writeTable({"INSTANCE", "FAILURE DOMAIN", "STATE", "RULES", "REQUESTS", "TRANSACTIONS"}, table);
    if (!answered)
        return exitFailed;

    table.clear();
    for (const auto &[name, row] : databases) {
        std::string state = cellText(row, "promotion_under_way") == "yes" ? "promotion under way" : "-";
        if (cellText(row, "writes_paused") == "yes")
            state = state == "-" ? "writes paused" : "promotion under way, writes paused";
        table.push_back({name, cellText(row, "primary"), cellText(row, "term"), state});
    }
    this->output.writeLine("");
    this->output.writeTable({"DATABASE", "PRIMARY", "TERM", "STATE"}, table);

    table.clear();
    for (const auto &[name, row] : backends) {
        table.push_back({name, cellText(row, "database"), cellText(row, "failure_domain"), cellText(row, "owner"),
                         cellText(row, "role"), positionText(row, "applied"), positionText(row, "received"),
                         ageText(row, "status_age_ms"), usageText(row, "slots_in_use", "slots"),
                         usageText(row, "connections", "connection_limit"), cellText(row, "queue"),
                         cellText(row, "leaving")});
    }
    this->output.writeLine("");
    this->output.writeTable({"BACKEND SERVER", "DATABASE", "FAILURE DOMAIN", "OWNER", "ROLE", "APPLIED", "RECEIVED",
                             "AGE", "SLOTS", "CONNECTIONS", "QUEUE", "LEAVING"},
                            table);
    return exitOk;
}

void FleetCommands::writeRecord(const InstanceResponse &response) const
{
    this->output.writeLine("instance: " + response.instance);
    for (const auto &[name, value] : response.json.items()) {
        if (!value.is_object()) {
            this->output.writeLine(name + ": " + cellText(response.json, name.c_str()));
            continue;
        }
        this->output.writeLine(name + ":");
        for (const auto &[part, partValue] : value.items())
            this->output.writeLine("  " + part + ": " + cellText(value, part.c_str()));
    }
}

int FleetCommands::explain(const std::string &requestId) const
{
    return this->showRecords("/v1/explain/" + encodePathSegment(requestId),
                             "no instance that answered has a record of request " + requestId);
}

int FleetCommands::preview(const std::string &database, const std::string &kind, const std::string &operation) const
{
    return this->showRecords("/v1/preview/" + encodePathSegment(database) + '/' + encodePathSegment(kind) + '/'
                                 + encodePathSegment(operation),
                             "no instance that answered can preview such a request now");
}

int FleetCommands::showRecords(const std::string &path, const std::string &notFoundText) const
{
    const std::vector<InstanceResponse> responses = this->client.callAllInstances(path);
    const bool answered = this->reportFailures(responses) > 0;
    Json records = Json::array();
    for (const InstanceResponse &response : responses) {
        if (response.code != ResultCode::Ok)
            continue;
        if (!this->output.isJson())
            this->writeRecord(response);
        records.push_back({{"instance", response.instance}, {"record", response.json}});
    }
    if (records.empty()) {
        if (answered) {
            this->output.writeError({.code = ResultCode::NotFound, .text = notFoundText});
        }
        return exitFailed;
    }
    if (this->output.isJson())
        this->output.writeJson({{"records", records}});
    return exitOk;
}

int FleetCommands::trace(const std::string &traceId) const
{
    const std::vector<InstanceResponse> responses =
        this->client.callAllInstances("/v1/trace/" + encodePathSegment(traceId));
    const bool answered = this->reportFailures(responses) > 0;
    std::vector<TraceHop> hops;
    for (const InstanceResponse &response : responses) {
        if (response.code == ResultCode::Ok)
            std::ranges::move(hopsFromJson(response.instance, response.json), std::back_inserter(hops));
    }
    if (hops.empty()) {
        if (answered) {
            this->output.writeError(
                {.code = ResultCode::NotFound, .text = "no instance that answered has hops of trace " + traceId});
        }
        return exitFailed;
    }

    const std::vector<TraceLine> lines = arrangeHops(std::move(hops));
    if (this->output.isJson()) {
        Json list = Json::array();
        for (const TraceLine &line : lines) {
            Json attributes = Json::object();
            for (const auto &[name, value] : line.hop.attributes)
                attributes[name] = value;
            list.push_back({{"depth", line.depth},
                            {"name", line.hop.name},
                            {"instance", line.hop.instance},
                            {"span", line.hop.span},
                            {"parent", line.hop.parent},
                            {"duration_us", line.hop.durationUs},
                            {"own_us", line.ownUs},
                            {"attributes", attributes}});
        }
        this->output.writeJson({{"trace", traceId}, {"hops", list}});
        return exitOk;
    }
    std::vector<std::vector<std::string>> table;
    for (const TraceLine &line : lines) {
        std::string attributes;
        for (const auto &[name, value] : line.hop.attributes) {
            // The instance has a column of its own.
            if (name == "instance")
                continue;
            attributes.append(attributes.empty() ? "" : " ").append(name).append("=").append(value);
        }
        std::string name(2UL * line.depth, ' ');
        name += line.hop.name;
        table.push_back({name, line.hop.instance, durationText(static_cast<double>(line.hop.durationUs) / 1000.0),
                         durationText(static_cast<double>(line.ownUs) / 1000.0), attributes});
    }
    this->output.writeTable({"HOP", "INSTANCE", "TIME", "OWN TIME", "ATTRIBUTES"}, table);
    return exitOk;
}

int FleetCommands::drain(const std::string &instance) const
{
    const InstanceId id = this->settings.layout.findInstance(instance);
    if (!id.isValid()) {
        std::string names;
        for (const InstanceSettings &row : this->settings.layout.instances)
            names += (names.empty() ? "" : ", ") + row.name;
        this->output.writeError(
            {.code = ResultCode::UsageError,
             .text = "instance \"" + instance + "\" is not in the settings; expected one of " + names});
        return exitUsage;
    }
    const InstanceResponse response = this->client.callInstance(id, "POST", "/v1/drain");
    if (response.code != ResultCode::Ok) {
        this->output.writeError({.code = response.code, .text = response.text});
        return exitFailed;
    }
    if (this->output.isJson())
        this->output.writeJson({{"instance", instance}, {"status", "stopping"}});
    else
        this->output.writeLine("instance " + instance + " finishes its requests in flight and then stops");
    return exitOk;
}

} // namespace Jujubekeel
