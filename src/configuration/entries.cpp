#include "configuration/configuration.h"

namespace vanillanotch
{

namespace
{
constexpr std::array<std::string_view, 5> StageKindNames{"encoding", "retrieval", "reranking", "generation", "service"};
constexpr std::array<std::string_view, 6> EntryKindNames{"data_centre", "backend_server", "pipeline", "client_account", "preset", "preset_in_force"};

template<typename Enum, std::size_t Count>
std::optional<Enum> enumFromName(const std::array<std::string_view, Count> &names, std::string_view name)
{
    for (std::size_t i = 0; i < Count; ++i) {
        if (names[i] == name) {
            return static_cast<Enum>(i);
        }
    }
    return std::nullopt;
}

const std::string &nameOf(const PresetInForce & /*body*/)
{
    static const std::string name = "in_force";
    return name;
}

template<typename T>
const std::string &nameOf(const T &body)
{
    return body.name;
}
} // namespace

std::string_view stageKindName(StageKind kind)
{
    return StageKindNames.at(static_cast<std::size_t>(kind));
}

std::optional<StageKind> stageKindFromName(std::string_view name)
{
    return enumFromName<StageKind>(StageKindNames, name);
}

std::string_view entryKindName(EntryKind kind)
{
    return EntryKindNames.at(static_cast<std::size_t>(kind));
}

std::optional<EntryKind> entryKindFromName(std::string_view name)
{
    return enumFromName<EntryKind>(EntryKindNames, name);
}

EntryKey Entry::key() const
{
    const auto kind = static_cast<EntryKind>(body.index());
    return std::visit(
        [kind](const auto &spec) {
            return EntryKey{kind, nameOf(spec)};
        },
        body);
}

const StageSpec *PipelineSpec::nonIdempotentStage() const
{
    for (const StageSpec &stage : stages) {
        if (!stage.idempotent) {
            return &stage;
        }
    }
    return nullptr;
}

bool PipelineSpec::needsIdempotencyKey() const
{
    if (recordAnswer || nonIdempotentStage() != nullptr) {
        return true;
    }
    for (const StageSpec &stage : stages) {
        if (stage.keepResult) {
            return true;
        }
    }
    return false;
}

std::string describe(const std::vector<Violation> &violations)
{
    std::string text;
    for (const Violation &violation : violations) {
        if (!text.empty()) {
            text += "; ";
        }
        text += violation.entry;
        if (!violation.member.empty()) {
            text += " " + violation.member;
        }
        text += ": " + violation.problem;
    }
    return text;
}

} // namespace vanillanotch
