#pragma once

#include "httpserver.h"

#include <asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Review {

/// The platform's metadata store: objects by kind and name, conditional writes, lists and watches. It keeps all its
/// history and loses nothing. The text of a `spec` is stored and returned byte for byte.
class ObjectStore final
{
public:
    explicit ObjectStore(asio::io_context &eventLoop) : loop(eventLoop) {}

    /// Takes a call whose path starts with "/api/objects/".
    void handle(const HttpCall &call, const HttpServer::Respond &respond);
    /// Writes an object as the operator or a backend does. \a spec is JSON text.
    void put(const std::string &kind, const std::string &name, const std::string &spec);
    void erase(const std::string &kind, const std::string &name);

private:
    struct Object
    {
        std::string name;
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        std::string spec;
        bool deleted = false;
    };
    struct Change
    {
        std::string kind;
        Object object;
    };
    struct Watch
    {
        std::string kind;
        std::uint64_t from = 0;
        HttpServer::Respond respond;
    };

    void list(const std::string &kind, const HttpServer::Respond &respond) const;
    void watch(const std::string &kind, const HttpCall &call, const HttpServer::Respond &respond);
    void write(const std::string &kind, const HttpCall &call, const HttpServer::Respond &respond);
    void remove(const std::string &kind, const std::string &name, const HttpCall &call,
                const HttpServer::Respond &respond);
    const Object &store(const std::string &kind, const std::string &name, const std::string &spec);
    void changed(const std::string &kind, const Object &object);
    [[nodiscard]] std::string events(const std::string &kind, std::uint64_t from) const;
    [[nodiscard]] static std::string toJson(const Object &object);

    asio::io_context &loop;
    std::uint64_t revision = 1;
    std::map<std::string, std::map<std::string, Object>> objects;
    std::vector<Change> history;
    std::list<std::shared_ptr<Watch>> watches;
};

} // namespace Review
