#include "forwarding/forwarding.h"

#include <utility>

namespace vanillanotch
{

EventScan scanEvents(std::string_view part)
{
    constexpr std::string_view IdField = "id:";
    EventScan scan;
    std::optional<std::string> id; // of the event that is being scanned
    for (std::size_t begin = 0; begin < part.size();) {
        const std::size_t end = part.find('\n', begin);
        if (end == std::string_view::npos) {
            break;
        }
        std::string_view line = part.substr(begin, end - begin);
        begin = end + 1;
        if (!line.empty() && line.back() == '\r') {
            line.remove_suffix(1);
        }
        if (line.empty()) {
            scan.completeBytes = begin;
            if (id) {
                scan.lastId = std::exchange(id, std::nullopt);
            }
        } else if (line.substr(0, IdField.size()) == IdField) {
            line.remove_prefix(IdField.size());
            line.remove_prefix(!line.empty() && line.front() == ' ' ? 1 : 0);
            id = line.substr(0, line.find('\r')); // a CR ends a line too; the id is sent in a header, where it must not end one
        }
    }
    return scan;
}

} // namespace vanillanotch
