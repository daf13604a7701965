// Validates the workspaces when the table is created, so that later lookups can't meet an invalid one.
#include "workspaces/WorkspaceTable.h"

#include <algorithm>
#include <cmath>

namespace jj {

namespace {

    constexpr std::size_t maxNameLength = 128;

    class WorkspaceErrorCategory : public std::error_category {
    public:
        const char* name() const noexcept override { return "workspaces"; }
        std::string message(int value) const override
        {
            switch (static_cast<WorkspaceError>(value)) {
            case WorkspaceError::BadName:
                return "the name of a workspace must be 1 to 128 visible ASCII characters";
            case WorkspaceError::DuplicateWorkspace:
                return "two workspaces have the same name";
            case WorkspaceError::DuplicateKey:
                return "two workspaces have the same key";
            case WorkspaceError::BadQuota:
                return "the rate and the burst of a quota must be numbers of 0 or more";
            }
            return "unknown error";
        }
    };

    bool isValidName(std::string_view name)
    {
        const auto isVisible = [](char character) { return character > ' ' && character <= '~'; };
        return !name.empty() && name.size() <= maxNameLength && std::all_of(name.begin(), name.end(), isVisible);
    }

    bool isValidNumber(double number) { return std::isfinite(number) && number >= 0; }

} // namespace

std::error_code make_error_code(WorkspaceError error)
{
    static const WorkspaceErrorCategory category;
    return { static_cast<int>(error), category };
}

Checked<WorkspaceTable> WorkspaceTable::create(std::vector<Workspace> workspaces)
{
    WorkspaceTable table;
    table.rows_ = std::move(workspaces);
    for (std::size_t row = 0; row < table.rows_.size(); ++row) {
        const Workspace& workspace = table.rows_[row];
        const std::string place = "workspace " + std::to_string(row);
        if (!isValidName(workspace.name_))
            return Failure { WorkspaceError::BadName, place };
        if (!table.byId_.emplace(workspace.id(), row).second)
            return Failure { WorkspaceError::DuplicateWorkspace, place };
        if (!isValidNumber(workspace.quota_.perSecond_) || !isValidNumber(workspace.quota_.burst_))
            return Failure { WorkspaceError::BadQuota, place };
        for (const KeyFingerprint& key : workspace.keys_) {
            const auto [known, isNew] = table.byKey_.emplace(key, row);
            if (!isNew && known->second != row)
                return Failure { WorkspaceError::DuplicateKey, place };
        }
    }
    return table;
}

const Workspace* WorkspaceTable::findByKey(const KeyFingerprint& key) const
{
    const auto found = byKey_.find(key);
    return found == byKey_.end() ? nullptr : &rows_[found->second];
}

const Workspace* WorkspaceTable::find(WorkspaceId id) const
{
    const auto found = byId_.find(id);
    return found == byId_.end() ? nullptr : &rows_[found->second];
}

} // namespace jj
