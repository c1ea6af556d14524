#pragma once

#include "core/id.h"

#include <cassert>
#include <cstdint>
#include <utility>
#include <vector>

namespace Jujubekeel {

/// Flat table of rows with stable ids. The slot of an erased row is reused with a new generation, so an old id never
/// refers to the new row. Iteration is in slot order and therefore deterministic.
template <typename IdType, typename Row>
class Table final
{
public:
    /// Adds a row and returns its id.
    IdType insert(Row row)
    {
        if (this->freeSlots.empty()) {
            this->slots.push_back(Slot{.row = std::move(row), .generation = 0, .used = true});
            this->liveCount += 1;
            return IdType{.index = static_cast<std::uint32_t>(this->slots.size() - 1), .generation = 0};
        }
        const std::uint32_t index = this->freeSlots.back();
        this->freeSlots.pop_back();
        Slot &slot = this->slots[index];
        slot.row = std::move(row);
        slot.used = true;
        this->liveCount += 1;
        return IdType{.index = index, .generation = slot.generation};
    }

    /// Removes a row. The id must not be stale.
    void erase(IdType id)
    {
        assert(this->contains(id));
        Slot &slot = this->slots[id.index];
        slot.row = Row{};
        slot.used = false;
        slot.generation += 1;
        this->freeSlots.push_back(id.index);
        this->liveCount -= 1;
    }

    [[nodiscard]] bool contains(IdType id) const
    {
        return id.index < this->slots.size() && this->slots[id.index].used
               && this->slots[id.index].generation == id.generation;
    }

    /// Returns the row or nullptr if the id is stale.
    [[nodiscard]] Row *find(IdType id) { return this->contains(id) ? &this->slots[id.index].row : nullptr; }
    [[nodiscard]] const Row *find(IdType id) const { return this->contains(id) ? &this->slots[id.index].row : nullptr; }

    [[nodiscard]] Row &at(IdType id)
    {
        assert(this->contains(id));
        return this->slots[id.index].row;
    }
    [[nodiscard]] const Row &at(IdType id) const
    {
        assert(this->contains(id));
        return this->slots[id.index].row;
    }

    /// Number of rows.
    [[nodiscard]] std::size_t size() const { return this->liveCount; }

    /// Calls function(id, row) for each row. The function may change rows and erase the row it was given, but may
    /// not insert.
    template <typename Function>
    void forEach(Function &&function)
    {
        for (std::uint32_t index = 0; index < this->slots.size(); ++index) {
            if (this->slots[index].used)
                function(IdType{.index = index, .generation = this->slots[index].generation}, this->slots[index].row);
        }
    }
    template <typename Function>
    void forEach(Function &&function) const
    {
        for (std::uint32_t index = 0; index < this->slots.size(); ++index) {
            if (this->slots[index].used)
                function(IdType{.index = index, .generation = this->slots[index].generation}, this->slots[index].row);
        }
    }

private:
    struct Slot
    {
        Row row;
        std::uint32_t generation = 0;
        bool used = false;
    };

    std::vector<Slot> slots;
    std::vector<std::uint32_t> freeSlots;
    std::size_t liveCount = 0;
};

} // namespace Jujubekeel
