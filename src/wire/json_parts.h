// Helpers that several JSON encoders share; private to the wire library.
#pragma once

#include "wire/wire.h"

#include <nlohmann/json.hpp>

namespace vanillanotch
{

using Json = nlohmann::json;

// Returns the value as JSON text on one line. Invalid UTF-8, which a backend server may have sent, is replaced by U+FFFD; with the default
// error handler of dump() it would cause an exception.
inline std::string dumpJson(const Json &json)
{
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

inline double millisecondCount(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

inline Json stagesToJson(const std::vector<StageReport> &stages)
{
    Json list = Json::array();
    for (const StageReport &stage : stages) {
        list.push_back(Json{
            {"stage", stage.stage}, {"server", stage.server}, {"attempts", stage.attempts}, {"time_ms", millisecondCount(stage.time)}, {"cost", stage.cost}});
    }
    return list;
}

} // namespace vanillanotch
