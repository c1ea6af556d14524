#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace Jujubekeel {

struct PreparedStatement;

/// Names under which statements are prepared on one link. Sessions that share the link share the statements. A name is a
/// short word that does not depend on the statement's text, and no name is given out twice on a link: a statement whose
/// preparation was refused is unknown to the server, and never another one. Part of LinkRow.
class PreparedNames final
{
public:
    /// Empty if the statement is not prepared on the link.
    [[nodiscard]] std::string find(const PreparedStatement &statement) const;
    /// A new name for the statement.
    std::string add(const PreparedStatement &statement);
    /// The server has forgotten all prepared statements.
    void clear();
    /// Bytes of the statements' texts.
    [[nodiscard]] std::size_t textBytes() const { return this->bytes; }

private:
    std::map<std::pair<bool, std::string>, std::string> names; ///< by kind (writes) and text
    std::uint64_t lastNumber = 0;
    std::size_t bytes = 0;
};

} // namespace Jujubekeel
