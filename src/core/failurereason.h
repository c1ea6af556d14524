#pragma once

#include "core/resultcode.h"

#include <string>
#include <utility>

namespace Jujubekeel {

/// Holds why the last call that returned an empty std::optional failed. Owned by the caller of such a function and
/// passed in by reference; unchanged on success.
class FailureReason final
{
public:
    void set(ResultCode newCode, std::string newText)
    {
        this->resultCode = newCode;
        this->reasonText = std::move(newText);
    }
    [[nodiscard]] ResultCode code() const { return this->resultCode; }
    [[nodiscard]] const std::string &text() const { return this->reasonText; }

private:
    ResultCode resultCode = ResultCode::Ok;
    std::string reasonText;
};

} // namespace Jujubekeel
