// Text and HTML output of the commands.
#include "cli/cli.h"

#include <algorithm>
#include <cstdio>

namespace vanillanotch
{

namespace
{
std::string formatFixed(double value, int digits)
{
    std::array<char, 64> text{};
    std::snprintf(text.data(), text.size(), "%.*f", digits, value);
    return text.data();
}

// Returns the member as text: a string without its quotes, "-" for an absent or null member.
std::string memberText(const Json &json, const char *name)
{
    const auto found = json.find(name);
    if (found == json.end() || found->is_null()) {
        return "-";
    }
    return found->is_string() ? found->get<std::string>() : found->dump();
}

std::string escapeHtml(const std::string &raw)
{
    std::string out;
    for (const char c : raw) {
        switch (c) {
        case '<':
            out += "&lt;";
            break;
        case '>':
            out += "&gt;";
            break;
        case '&':
            out += "&amp;";
            break;
        case '"':
            out += "&quot;";
            break;
        default:
            out += c;
        }
    }
    return out;
}
} // namespace

std::string renderTable(const std::vector<std::vector<std::string>> &rows)
{
    std::vector<std::size_t> widths;
    for (const auto &row : rows) {
        widths.resize(std::max(widths.size(), row.size()));
        for (std::size_t i = 0; i < row.size(); ++i) {
            widths[i] = std::max(widths[i], row[i].size());
        }
    }
    std::string out;
    for (const auto &row : rows) {
        for (std::size_t i = 0; i < row.size(); ++i) {
            const bool last = i + 1 == row.size();
            out += row[i];
            out += last ? "\n" : std::string(widths[i] - row[i].size() + 2, ' ');
        }
    }
    return out;
}

std::string renderStatus(const std::vector<Json> &nodes)
{
    std::vector<std::vector<std::string>> rows{{"NODE", "DATA CENTRE", "STATE", "READY", "REVISION", "PRESET", "RUNNING"}};
    for (const Json &node : nodes) {
        if (node.contains("unreachable")) {
            rows.push_back({memberText(node, "name"), memberText(node, "data_centre"), "unreachable", "-", "-", "-", "-"});
            continue;
        }
        rows.push_back({memberText(node, "name"), memberText(node, "data_centre"), memberText(node, "state"), memberText(node, "ready"),
                        memberText(node, "revision"), memberText(node, "preset"), memberText(node, "running")});
    }
    return renderTable(rows);
}

std::string renderAudit(const Json &audit)
{
    std::vector<std::vector<std::string>> rows{{"REVISION", "FROM", "ACCEPTED", "BY", "SUMMARY", "ENTRIES"}};
    for (const Json &change : audit.at("changes")) {
        rows.push_back({memberText(change, "revision"), memberText(change, "from"), memberText(change, "accepted_at"), memberText(change, "author"),
                        memberText(change, "summary"), std::to_string(change.at("entries").size())});
    }
    return renderTable(rows);
}

std::string renderReport(const Json &report)
{
    std::vector<std::vector<std::string>> pipelines{{"PIPELINE", "FINISHED", "LATE", "REFUSED", "ATTAINMENT"}};
    for (const Json &row : report.at("pipelines")) {
        pipelines.push_back({memberText(row, "pipeline"), memberText(row, "finished"), memberText(row, "late"), memberText(row, "refused"),
                             formatFixed(100 * row.at("attainment").get<double>(), 2) + " %"});
    }
    std::vector<std::vector<std::string>> stages{{"PIPELINE", "STAGE", "CALLS", "COST", "MEAN MS"}};
    for (const Json &row : report.at("stages")) {
        const double calls = std::max(1.0, row.at("calls").get<double>());
        stages.push_back({memberText(row, "pipeline"), memberText(row, "stage"), memberText(row, "calls"), formatFixed(row.at("cost").get<double>(), 4),
                          formatFixed(row.at("time_ms").get<double>() / calls, 1)});
    }
    return renderTable(pipelines) + "\n" + renderTable(stages);
}

std::string renderReportHtml(const Json &report)
{
    constexpr double BarWidth = 400; // pixels; length of the longest bar possible: all requests of a pipeline, or the highest cost of a stage
    double highestCost = 0;
    for (const Json &row : report.at("stages")) {
        highestCost = std::max(highestCost, row.at("cost").get<double>());
    }
    std::string out = "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>vanillanotch report</title>"
                      "<style>body{font:14px sans-serif;margin:2em}td,th{padding:4px 10px;text-align:left}rect{fill:#3a7}</style>"
                      "<h1>Attainment</h1><table><tr><th>Pipeline<th>Finished<th>Late<th>Refused<th>Attainment";
    const auto bar = [](double share) {
        return "<svg width=\"" + formatFixed(BarWidth, 0) + "\" height=\"14\"><rect height=\"14\" width=\"" + formatFixed(BarWidth * share, 1) + "\"/></svg>";
    };
    for (const Json &row : report.at("pipelines")) {
        const double attainment = row.at("attainment").get<double>();
        out += "<tr><td>" + escapeHtml(memberText(row, "pipeline")) + "<td>" + memberText(row, "finished") + "<td>" + memberText(row, "late") + "<td>"
            + memberText(row, "refused") + "<td>" + bar(attainment) + " " + formatFixed(100 * attainment, 2) + " %";
    }
    out += "</table><h1>Cost by stage</h1><table><tr><th>Pipeline<th>Stage<th>Calls<th>Cost";
    for (const Json &row : report.at("stages")) {
        const double cost = row.at("cost").get<double>();
        out += "<tr><td>" + escapeHtml(memberText(row, "pipeline")) + "<td>" + escapeHtml(memberText(row, "stage")) + "<td>" + memberText(row, "calls") + "<td>"
            + bar(highestCost > 0 ? cost / highestCost : 0) + " " + formatFixed(cost, 4);
    }
    return out + "</table></html>\n";
}

std::string renderRequest(const Json &request)
{
    std::string out = "request " + memberText(request, "id") + ": " + memberText(request, "state") + ", pipeline " + memberText(request, "pipeline")
        + ", revision " + memberText(request, "revision") + ", preset " + memberText(request, "preset");
    if (const std::string error = memberText(request, "error"); !error.empty()) {
        out += ", refused with " + error;
    }
    out += "\n";
    std::vector<std::vector<std::string>> rows{{"ATTEMPT", "STAGE", "SERVER", "AFTER MS", "TOOK MS", "VERDICT"}};
    for (const Json &attempt : request.at("attempts")) {
        rows.push_back({memberText(attempt, "id"), memberText(attempt, "stage"), memberText(attempt, "server"),
                        formatFixed(attempt.at("started_after_ms").get<double>(), 1), formatFixed(attempt.at("time_ms").get<double>(), 1),
                        memberText(attempt, "verdict")});
    }
    return out + renderTable(rows);
}

std::string renderTop(const Json &servers, const Json &report)
{
    std::vector<std::vector<std::string>> rows{{"SERVER", "DATA CENTRE", "IN FLIGHT", "PLACES", "LOAD", "MEAN MS", "CALLS", "FAILURES", "STATE"}};
    for (const Json &server : servers.at("servers")) {
        std::string state = "ok";
        if (server.at("leaving").get<bool>()) {
            state = "leaving";
        } else if (server.at("quarantined").get<bool>()) {
            state = "quarantined";
        }
        rows.push_back({memberText(server, "name"), memberText(server, "data_centre"), memberText(server, "in_flight"), memberText(server, "concurrency"),
                        formatFixed(server.at("reported_load").get<double>(), 2), formatFixed(server.at("average_ms").get<double>(), 1),
                        memberText(server, "calls"), memberText(server, "failures"), state});
    }
    return renderTable(rows) + "\n" + renderReport(report);
}

std::string renderAnswer(const Json &answer)
{
    std::string out = answer.at("answer").at("text").get<std::string>() + "\n\n";
    std::vector<std::vector<std::string>> rows{{"STAGE", "SERVER", "ATTEMPTS", "MS", "COST"}};
    for (const Json &stage : answer.at("stages")) {
        rows.push_back({memberText(stage, "stage"), memberText(stage, "server"), memberText(stage, "attempts"),
                        formatFixed(stage.at("time_ms").get<double>(), 1), formatFixed(stage.at("cost").get<double>(), 4)});
    }
    rows.push_back({"whole", "-", "-", formatFixed(answer.at("time_ms").get<double>(), 1), formatFixed(answer.at("cost").get<double>(), 4)});
    return out + renderTable(rows);
}

} // namespace vanillanotch
