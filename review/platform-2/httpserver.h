#pragma once

#include "objectstore.h"
#include "tcp.h"

#include <atomic>
#include <functional>
#include <mutex>
#include <set>
#include <thread>

namespace Review {

/// Serves HTTP/1.1 calls over persistent connections, a thread for each of them.
class HttpServer final
{
public:
    using Handler = std::function<HttpAnswer(const HttpCall &)>;

    HttpServer(const Endpoint &endpoint, Handler callHandler);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

private:
    void accept();
    void serve(int descriptor);

    Handler handler;
    int listener;
    std::atomic<bool> stopping{false};
    std::mutex mutex;
    std::set<int> connections; ///< guarded by the mutex
    std::thread acceptor;
};

/// Status of a GET without a body; 0 if there was no answer.
int getStatus(const Endpoint &endpoint, const std::string &path);

} // namespace Review
