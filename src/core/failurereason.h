#pragma once

#include "core/resultcode.h"

#include <string>
#include <utility>

namespace Jujubekeel {

/// Result code and text of a failed call. The caller owns it and passes it by reference to functions that report a
/// failure by their return value, such as an empty std::optional. They leave it unchanged on success.
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
