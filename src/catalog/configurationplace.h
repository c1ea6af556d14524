#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

namespace Jujubekeel {

/// Part of a configuration. The names that the platform uses for them are in platform/configurationnames.h.
enum class ConfigurationPart : std::uint8_t { Whole, Version, Routes, Services, Limits, Organisations };

/// Field of an entry in a part of a configuration.
enum class ConfigurationField : std::uint8_t {
    None, ///< the entry as a whole
    Name,
    Database,
    Service,
    Consistency,
    MaxStaleness,
    StatementTimeout,
    LatencyObjective,
    Priority,
    Public,
    Keys,
    Rate,
    Burst,
    MaxConnections,
    SyncReplicas,
    TransactionIdleLimit,
};

/// Place of a value in a configuration, independent of the platform's field names.
struct ConfigurationPlace
{
    ConfigurationPart part = ConfigurationPart::Whole;
    std::optional<std::size_t> index; ///< of the entry in the part, from 0; empty: the part as a whole
    ConfigurationField field = ConfigurationField::None;
    std::optional<std::size_t> element; ///< of the list in the field, from 0
    std::optional<std::size_t> offset;  ///< byte in the text where it cannot be parsed; empty: follows from the others
    bool operator==(const ConfigurationPlace &) const = default;
};

} // namespace Jujubekeel
