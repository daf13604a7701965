// A table of entities, stored as a structure of arrays.
//
// Each entity is a row, named by a strong id. Each column is one plain struct type; systems walk just the columns they need.
// Rows are dense: erasing a row moves the last row into its place, so a Row is valid only until the next insert or erase.
// Keep ids, never rows, across calls.
//
//     Table<RequestId, Arrival, QueuePlace> requests;
//     requests.insert(id, Arrival { now }, QueuePlace {});
//     if (auto row = requests.find(id)) requests.get<QueuePlace>(*row).position_ = 3;
//     for (Arrival& arrival : requests.column<Arrival>()) ...
#pragma once

#include <boost/unordered/unordered_flat_map.hpp>
#include <cassert>
#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <tuple>
#include <utility>
#include <vector>

namespace jj {

// Index of a row; valid until the table's next insert or erase.
enum class Row : std::uint32_t {};

template <class IdType, class... Columns>
class Table {
public:
    std::size_t size() const { return ids_.size(); }
    bool empty() const { return ids_.empty(); }
    bool contains(IdType id) const { return rows_.contains(id); }

    std::optional<Row> find(IdType id) const
    {
        const auto found = rows_.find(id);
        if (found == rows_.end())
            return std::nullopt;
        return Row(found->second);
    }

    // Adds a row. Returns false, and changes nothing, when the id is there already.
    bool insert(IdType id, Columns... values)
    {
        const auto [place, added] = rows_.try_emplace(id, static_cast<std::uint32_t>(ids_.size()));
        if (!added)
            return false;
        ids_.push_back(id);
        (std::get<std::vector<Columns>>(columns_).push_back(std::move(values)), ...);
        return true;
    }

    // Removes a row, moving the last one into its place. Returns false when the id isn't there.
    bool erase(IdType id)
    {
        const auto found = rows_.find(id);
        if (found == rows_.end())
            return false;
        const std::uint32_t hole = found->second;
        const std::uint32_t last = static_cast<std::uint32_t>(ids_.size()) - 1;
        rows_.erase(found);
        if (hole != last) {
            ids_[hole] = ids_[last];
            rows_[ids_[hole]] = hole;
            ((std::get<std::vector<Columns>>(columns_)[hole] = std::move(std::get<std::vector<Columns>>(columns_)[last])), ...);
        }
        ids_.pop_back();
        (std::get<std::vector<Columns>>(columns_).pop_back(), ...);
        return true;
    }

    void clear()
    {
        ids_.clear();
        rows_.clear();
        (std::get<std::vector<Columns>>(columns_).clear(), ...);
    }

    IdType idAt(Row row) const { return ids_[index(row)]; }

    template <class Column>
    Column& get(Row row)
    {
        return std::get<std::vector<Column>>(columns_)[index(row)];
    }

    template <class Column>
    const Column& get(Row row) const
    {
        return std::get<std::vector<Column>>(columns_)[index(row)];
    }

    // The column's cell of an entity, or nullptr when the entity isn't there. Valid until the next insert or erase.
    template <class Column>
    Column* cell(IdType id)
    {
        const auto row = find(id);
        return row ? &get<Column>(*row) : nullptr;
    }

    template <class Column>
    const Column* cell(IdType id) const
    {
        const auto row = find(id);
        return row ? &get<Column>(*row) : nullptr;
    }

    std::span<const IdType> ids() const { return ids_; }

    template <class Column>
    std::span<Column> column()
    {
        return std::get<std::vector<Column>>(columns_);
    }

    template <class Column>
    std::span<const Column> column() const
    {
        return std::get<std::vector<Column>>(columns_);
    }

private:
    static std::size_t index(Row row) { return static_cast<std::size_t>(row); }

    // Invariant: ids_ and all columns have the same length, and rows_[ids_[i]] == i for each i.
    std::vector<IdType> ids_;
    std::tuple<std::vector<Columns>...> columns_;
    boost::unordered_flat_map<IdType, std::uint32_t, std::hash<IdType>> rows_;
};

} // namespace jj
