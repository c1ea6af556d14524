#include "httpserver.h"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <chrono>
#include <cstdlib>
#include <optional>
#include <stdexcept>
#include <utility>

namespace Review {

namespace {

constexpr std::chrono::milliseconds answerTime(4);
constexpr int getTimeoutMs = 1000;

std::string decodeName(const std::string &text)
{
    std::string decoded;
    for (std::size_t at = 0; at < text.size(); ++at) {
        if (text[at] == '%' && at + 2 < text.size()) {
            decoded += static_cast<char>(std::strtol(text.substr(at + 1, 2).c_str(), nullptr, 16));
            at += 2;
        } else {
            decoded += text[at];
        }
    }
    return decoded;
}

void parseTarget(const std::string &target, HttpCall &call)
{
    const std::size_t mark = target.find('?');
    call.path = decodeName(target.substr(0, mark));
    std::string rest = mark == std::string::npos ? std::string() : target.substr(mark + 1);
    while (!rest.empty()) {
        const std::size_t end = std::min(rest.find('&'), rest.size());
        const std::string pair = rest.substr(0, end);
        const std::size_t sign = std::min(pair.find('='), pair.size());
        call.query[pair.substr(0, sign)] = sign < pair.size() ? decodeName(pair.substr(sign + 1)) : std::string();
        rest.erase(0, end + 1);
    }
}

std::optional<HttpCall> readCall(SocketReader &reader)
{
    const auto first = reader.line();
    if (!first)
        return std::nullopt;
    HttpCall call;
    const std::size_t blank = first->find(' ');
    const std::size_t second = first->find(' ', blank + 1);
    if (blank == std::string::npos || second == std::string::npos)
        return std::nullopt;
    call.method = first->substr(0, blank);
    parseTarget(first->substr(blank + 1, second - blank - 1), call);
    while (auto field = reader.line()) {
        if (field->empty())
            break;
        const std::size_t colon = field->find(':');
        if (colon == std::string::npos)
            continue;
        std::string name = field->substr(0, colon);
        std::transform(name.begin(), name.end(), name.begin(),
                       [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
        call.headers[name] = field->substr(std::min(field->find_first_not_of(' ', colon + 1), field->size()));
    }
    const auto length = call.headers.find("content-length");
    if (length != call.headers.end()) {
        auto body = reader.bytes(std::strtoull(length->second.c_str(), nullptr, 10));
        if (!body)
            return std::nullopt;
        call.body = std::move(*body);
    }
    return call;
}

} // namespace

HttpServer::HttpServer(const Endpoint &endpoint, Handler callHandler)
    : handler(std::move(callHandler)), listener(listenAt(endpoint))
{
    if (this->listener < 0)
        throw std::runtime_error("cannot listen at " + endpoint.text());
    this->acceptor = std::thread([this] { this->accept(); });
}

HttpServer::~HttpServer()
{
    this->stopping = true;
    ::shutdown(this->listener, SHUT_RDWR);
    this->acceptor.join();
    ::close(this->listener);
    std::unique_lock lock(this->mutex);
    for (const int descriptor : this->connections)
        ::shutdown(descriptor, SHUT_RDWR);
    while (!this->connections.empty()) {
        lock.unlock();
        std::this_thread::sleep_for(answerTime);
        lock.lock();
    }
}

void HttpServer::accept()
{
    while (!this->stopping) {
        const int descriptor = ::accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (descriptor < 0)
            continue;
        const std::scoped_lock lock(this->mutex);
        this->connections.insert(descriptor);
        std::thread([this, descriptor] { this->serve(descriptor); }).detach();
    }
}

void HttpServer::serve(int descriptor)
{
    SocketReader reader(descriptor);
    while (auto call = readCall(reader)) {
        std::this_thread::sleep_for(answerTime);
        const HttpAnswer answer = this->handler(*call);
        const std::string body = answer.body.dump();
        const std::string era = answer.era == 0 ? "" : "Store-Era: " + std::to_string(answer.era) + "\r\n";
        const std::string text = "HTTP/1.1 " + std::to_string(answer.status)
                                 + " -\r\nContent-Type: application/json\r\n" + era
                                 + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        if (this->stopping || !sendAll(descriptor, text))
            break;
    }
    const std::scoped_lock lock(this->mutex);
    this->connections.erase(descriptor);
    ::close(descriptor);
}

int getStatus(const Endpoint &endpoint, const std::string &path)
{
    const int descriptor = connectTo(endpoint, getTimeoutMs);
    if (descriptor < 0)
        return 0;
    SocketReader reader(descriptor);
    int status = 0;
    if (sendAll(descriptor, "GET " + path + " HTTP/1.1\r\nHost: " + endpoint.text() + "\r\n\r\n")) {
        const auto line = reader.line(getTimeoutMs);
        status = line && line->size() > 9 ? std::atoi(line->c_str() + 9) : 0;
    }
    ::close(descriptor);
    return status;
}

} // namespace Review
