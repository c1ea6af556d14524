#include "programs/crowd-client/crowd.h"

#include <asio/buffer.hpp>
#include <asio/error.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace Jujubekeel {

struct Crowd::Member
{
    explicit Member(asio::io_context &loop) : socket(loop), writePause(loop), readPause(loop) {}

    asio::ip::tcp::socket socket;
    asio::steady_timer writePause;
    asio::steady_timer readPause;
    std::size_t sent = 0; ///< bytes of the payload
    std::array<char, 16384> input{};
    bool ended = false;
};

Crowd::Crowd(CrowdOptions crowdOptions) : options(std::move(crowdOptions)), loop(1), limit(this->loop)
{
}

Crowd::~Crowd() = default;

CrowdTotals Crowd::run()
{
    for (std::uint32_t index = 0; index < this->options.connections; ++index)
        this->connect(*this->members.emplace_back(std::make_unique<Member>(this->loop)));
    this->limit.expires_after(this->options.limit);
    this->limit.async_wait([this](const asio::error_code &) { this->loop.stop(); });
    this->loop.run();
    return this->totals;
}

void Crowd::connect(Member &member)
{
    member.socket.async_connect(this->options.address, [this, &member](const asio::error_code &failure) {
        if (failure) {
            this->end(member);
            return;
        }
        this->totals.connected += 1;
        this->write(member);
        if (this->options.reads)
            this->read(member);
    });
}

void Crowd::write(Member &member)
{
    std::size_t size = this->options.payload.size() - member.sent;
    if (member.ended || size == 0)
        return;
    if (this->options.pieceBytes > 0)
        size = std::min(size, this->options.pieceBytes);
    member.socket.async_write_some(asio::buffer(this->options.payload.data() + member.sent, size),
                                   [this, &member](const asio::error_code &failure, std::size_t written) {
                                       if (failure) {
                                           this->end(member);
                                           return;
                                       }
                                       member.sent += written;
                                       this->totals.sentBytes += written;
                                       if (this->options.pieceBytes == 0) {
                                           this->write(member);
                                           return;
                                       }
                                       member.writePause.expires_after(this->options.interval);
                                       member.writePause.async_wait([this, &member](const asio::error_code &cancelled) {
                                           if (!cancelled)
                                               this->write(member);
                                       });
                                   });
}

void Crowd::read(Member &member)
{
    const std::size_t size =
        this->options.readBytes > 0 ? std::min(this->options.readBytes, member.input.size()) : member.input.size();
    member.socket.async_read_some(asio::buffer(member.input.data(), size),
                                  [this, &member](const asio::error_code &failure, std::size_t received) {
                                      if (failure) {
                                          this->end(member);
                                          return;
                                      }
                                      this->totals.receivedBytes += received;
                                      if (this->options.readBytes == 0) {
                                          this->read(member);
                                          return;
                                      }
                                      member.readPause.expires_after(this->options.interval);
                                      member.readPause.async_wait([this, &member](const asio::error_code &cancelled) {
                                          if (!cancelled)
                                              this->read(member);
                                      });
                                  });
}

void Crowd::end(Member &member)
{
    if (member.ended)
        return;
    member.ended = true;
    this->totals.ended += 1;
    asio::error_code ignored;
    member.socket.close(ignored);
    member.writePause.cancel();
    member.readPause.cancel();
}

} // namespace Jujubekeel
