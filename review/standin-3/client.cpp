// Clients of the cases of review 3. Each session sends one statement after another and prints one line for each: time in
// ms, event, session, statement, details. Ends when its sessions have ended or after the time limit.
#include "stream.h"

#include <atomic>
#include <chrono>
#include <cstdint>
#include <iostream>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace {

using Review::nowMs;
using Review::Stream;

constexpr int maxSessions = 100;
constexpr std::int64_t maxSeconds = 100;
/// A link with small windows.
constexpr int slowReceiveBuffer = 32 * 1024;

struct Options
{
    std::string address;
    std::string database;
    std::string key;
    std::string kind; ///< "write": a new write each time; "fill": one large write; "read": reads of the large item
    int sessions = 1;
    std::int64_t seconds = 10;
    std::int64_t bytes = 0; ///< of the large item
    std::int64_t rate = 0;  ///< bytes a second at which answers are read; 0: no limit
};

void record(const std::string &line)
{
    static std::mutex mutex;
    const std::scoped_lock lock(mutex);
    std::cout << nowMs() << ' ' << line << std::endl;
}

enum class Answer { Done, Error, Broken };

/// Reads up to READY.
Answer readAnswer(Stream &stream, std::string &detail)
{
    Answer result = Answer::Done;
    while (const auto line = stream.readLine()) {
        if (line->starts_with("READY"))
            return result;
        if (line->starts_with("ERROR")) {
            result = Answer::Error;
            detail = line->substr(6);
        } else if (line->starts_with("DONE")) {
            detail = line->substr(5);
        }
    }
    return Answer::Broken;
}

std::string statementText(const Options &options, std::int64_t number)
{
    if (options.kind == "read")
        return "READ large";
    if (options.kind == "fill")
        return "WRITE large " + std::string(static_cast<std::size_t>(options.bytes), 'x');
    return "WRITE item" + std::to_string(number % 50) + " value" + std::to_string(number);
}

/// One connection; returns when it has ended. \a number counts the statements of the session.
void runConnection(const Options &options, const std::string &session, std::int64_t &number, std::int64_t endMs,
                   std::atomic<bool> &filled)
{
    const int opened = Stream::connectTo(options.address, options.rate > 0 ? slowReceiveBuffer : 0);
    if (opened < 0)
        return;
    Stream stream(opened);
    std::string detail;
    stream.write("CONNECT " + options.database + ' ' + options.key + "\r\n");
    const auto greeting = stream.readLine();
    if (!greeting || !greeting->starts_with("READY"))
        return;
    stream.limitRate(options.rate);
    while (nowMs() < endMs && !stream.isEnded()) {
        number += 1;
        const std::string id = session + '-' + std::to_string(number);
        record("sent " + session + ' ' + id);
        const std::uint64_t before = stream.received();
        if (!stream.write("QUERY " + id + ' ' + statementText(options, number) + "\r\n")) {
            record("unsent " + session + ' ' + id);
            return;
        }
        const Answer answer = readAnswer(stream, detail);
        const std::string bytes = std::to_string(stream.received() - before);
        if (answer == Answer::Broken) {
            record("broken " + session + ' ' + id + ' ' + bytes);
            return;
        }
        record((answer == Answer::Done ? "done " : "error ") + session + ' ' + id + ' ' + bytes + ' ' + detail);
        if (options.kind == "fill" && answer == Answer::Done) {
            filled = true;
            return;
        }
        if (answer == Answer::Error)
            std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
}

void runSession(const Options &options, const std::string &session)
{
    const std::int64_t endMs = nowMs() + options.seconds * 1000;
    std::int64_t number = 0;
    std::atomic<bool> filled{false};
    while (nowMs() < endMs && !filled) {
        runConnection(options, session, number, endMs, filled);
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
}

} // namespace

int main(int argumentCount, char **arguments)
{
    if (argumentCount < 8) {
        std::cerr
            << "usage: review3-client ADDRESS DATABASE KEY write|fill|read NAME SESSIONS SECONDS [BYTES [RATE]]\n";
        return 2;
    }
    const std::vector<std::string> words(arguments + 1, arguments + argumentCount);
    const Options options{.address = words[0],
                          .database = words[1],
                          .key = words[2],
                          .kind = words[3],
                          .sessions = std::min(std::stoi(words[5]), maxSessions),
                          .seconds = std::min<std::int64_t>(std::stoll(words[6]), maxSeconds),
                          .bytes = words.size() > 7 ? std::stoll(words[7]) : 0,
                          .rate = words.size() > 8 ? std::stoll(words[8]) : 0};
    std::vector<std::thread> threads;
    for (int session = 1; session <= options.sessions; ++session)
        threads.emplace_back([&options, name = words[4] + std::to_string(session)] { runSession(options, name); });
    for (std::thread &thread : threads)
        thread.join();
    return 0;
}
