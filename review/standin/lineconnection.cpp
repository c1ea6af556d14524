#include "lineconnection.h"

#include <asio/buffer.hpp>
#include <asio/write.hpp>

#include <utility>

namespace Review {

void LineConnection::start(Callbacks lineCallbacks)
{
    this->callbacks = std::move(lineCallbacks);
    asio::error_code ignored;
    this->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    this->read();
}

void LineConnection::connect(const asio::ip::tcp::endpoint &address, std::function<void()> connected,
                             Callbacks lineCallbacks)
{
    this->socket.async_connect(address, [self = this->shared_from_this(), done = std::move(connected),
                                         made = std::move(lineCallbacks)](const asio::error_code &failure) mutable {
        if (self->isClosed)
            return;
        self->callbacks = std::move(made);
        if (failure) {
            self->end();
            return;
        }
        self->start(std::move(self->callbacks));
        done();
    });
}

void LineConnection::send(std::string_view line)
{
    if (this->isClosed || this->isCutOff)
        return;
    this->pending.append(line).append("\r\n");
    if (this->writing.empty())
        this->write();
}

void LineConnection::write()
{
    this->writing.swap(this->pending);
    asio::async_write(this->socket, asio::buffer(this->writing),
                      [self = this->shared_from_this()](const asio::error_code &failure, std::size_t) {
                          self->writing.clear();
                          if (failure)
                              self->end();
                          else if (!self->pending.empty())
                              self->write();
                      });
}

void LineConnection::read()
{
    this->socket.async_read_some(asio::buffer(this->input), [self = this->shared_from_this()](
                                                                const asio::error_code &failure, std::size_t size) {
        if (failure) {
            self->end();
            return;
        }
        self->received.append(self->input.data(), size);
        std::size_t from = 0;
        for (std::size_t at = self->received.find("\r\n"); at != std::string::npos && !self->isClosed;
             at = self->received.find("\r\n", from)) {
            const std::string line = self->received.substr(from, at - from);
            from = at + 2;
            if (!self->isCutOff)
                self->callbacks.line(line);
        }
        self->received.erase(0, from);
        if (!self->isClosed)
            self->read();
    });
}

void LineConnection::end()
{
    if (this->isClosed)
        return;
    this->close();
    if (this->callbacks.closed)
        this->callbacks.closed();
}

void LineConnection::close()
{
    this->isClosed = true;
    asio::error_code ignored;
    this->socket.close(ignored);
}

} // namespace Review
