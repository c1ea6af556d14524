#pragma once

#include "virtualpool/poolchecker.h"
#include "virtualpool/poolworkload.h"
#include "virtualpool/virtualpool.h"

#include <gtest/gtest.h>

#include <string>

namespace Jujubekeel {

/// Sends one statement and waits for its reply, for up to 8 s of virtual time.
inline CallerReply runStatement(VirtualPool &pool, VirtualPool::CallerId caller, StatementKind kind,
                                const std::string &id, const std::string &text, const std::string &name = {},
                                const std::string &argument = {})
{
    const std::size_t before = pool.caller(caller).replies.size();
    pool.send(caller, Statement{.kind = kind, .id = id, .text = text, .name = name, .argument = argument});
    for (int step = 0; step < 8000 && pool.caller(caller).replies.size() == before; ++step)
        pool.run(std::chrono::milliseconds(1));
    EXPECT_GT(pool.caller(caller).replies.size(), before) << "no answer to " << id;
    return pool.caller(caller).replies.size() > before ? pool.caller(caller).replies.back() : CallerReply{};
}

inline std::string joined(const std::vector<std::string> &lines)
{
    std::string text;
    for (const std::string &line : lines)
        text += line + "\n";
    return text;
}

} // namespace Jujubekeel
