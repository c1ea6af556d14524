#include "delayproxy.h"

#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <stdexcept>
#include <utility>

namespace Review {

namespace {

constexpr std::size_t readBytes = 4096;
constexpr int connectTimeoutMs = 1000;

} // namespace

DelayProxy::DelayProxy(const std::string &host, Endpoint targetEndpoint, std::chrono::microseconds oneWay)
    : own{.host = host, .port = findFreePort(host)}, target(std::move(targetEndpoint)), delay(oneWay),
      listener(listenAt(this->own))
{
    if (this->listener < 0)
        throw std::runtime_error("cannot listen at " + this->own.text());
    this->acceptor = std::thread([this] { this->accept(); });
}

DelayProxy::~DelayProxy()
{
    ::shutdown(this->listener, SHUT_RDWR);
    this->acceptor.join();
    ::close(this->listener);
    {
        const std::scoped_lock lock(this->mutex);
        for (const int descriptor : this->connections)
            ::shutdown(descriptor, SHUT_RDWR);
    }
    while (this->threads > 0)
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
}

void DelayProxy::accept()
{
    while (true) {
        const int descriptor = ::accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (descriptor < 0)
            return;
        this->threads += 1;
        std::thread([this, descriptor] {
            this->serve(descriptor);
            this->threads -= 1;
        }).detach();
    }
}

void DelayProxy::serve(int descriptor)
{
    const int onward = connectTo(this->target, connectTimeoutMs);
    if (onward < 0) {
        resetSocket(descriptor);
        return;
    }
    {
        const std::scoped_lock lock(this->mutex);
        this->connections.insert(descriptor);
        this->connections.insert(onward);
    }
    std::thread back([this, descriptor, onward] { this->pass(onward, descriptor); });
    this->pass(descriptor, onward);
    back.join();
    const std::scoped_lock lock(this->mutex);
    this->connections.erase(descriptor);
    this->connections.erase(onward);
    ::close(descriptor);
    ::close(onward);
}

void DelayProxy::pass(int from, int to) const
{
    std::array<char, readBytes> input{};
    while (true) {
        const ssize_t count = ::recv(from, input.data(), input.size(), 0);
        std::this_thread::sleep_for(this->delay);
        if (count <= 0 || !sendAll(to, std::string(input.data(), static_cast<std::size_t>(count))))
            break;
    }
    ::shutdown(to, SHUT_WR);
}

} // namespace Review
