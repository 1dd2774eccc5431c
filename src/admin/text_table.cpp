#include "admin/text_table.hpp"

#include <algorithm>
#include <ctime>

#include <fmt/chrono.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace bamboochute::admin {

namespace {

using Json = nlohmann::json;

/// Parses a response; returns an empty object when it is not a JSON object.
Json parseObject(std::string_view text)
{
    Json json = Json::parse(text, nullptr, false);
    return json.is_object() ? json : Json::object();
}

/// Formats a member; "-" when it is missing.
std::string formatMember(const Json &json, const char *member)
{
    if (!json.is_object() || !json.contains(member) || json[member].is_null())
        return "-";
    const Json &value = json[member];
    if (value.is_boolean())
        return value.get<bool>() ? "yes" : "no";
    if (value.is_number_float())
        return fmt::format("{:.2f}", value.get<double>());
    return value.is_string() ? value.get<std::string>() : value.dump();
}

const Json &listMember(const Json &json, const char *member)
{
    static const Json empty = Json::array();
    const auto found = json.find(member);
    return found != json.end() && found->is_array() ? *found : empty;
}

bool flagMember(const Json &json, const char *member)
{
    const auto found = json.find(member);
    return found != json.end() && found->is_boolean() && found->get<bool>();
}

Json objectMember(const Json &json, const char *member)
{
    const auto found = json.find(member);
    return found != json.end() && found->is_object() ? *found : Json::object();
}

std::string formatTime(const Json &json)
{
    if (!json.contains("timeMs") || !json["timeMs"].is_number_unsigned())
        return "-";
    const auto seconds = static_cast<std::time_t>(json["timeMs"].get<std::uint64_t>() / 1000);
    return fmt::format("{:%Y-%m-%dT%H:%M:%SZ}", fmt::gmtime(seconds));
}

/// A column of a table: its title and the JSON member that it shows.
struct Column
{
    const char *title;
    const char *member;
};

std::string formatNamedTable(const char *name, const Json &list, const std::vector<Column> &columns)
{
    if (list.empty())
        return fmt::format("{}: none\n\n", name);
    std::vector<std::string> heading;
    heading.reserve(columns.size());
    for (const Column &column : columns)
        heading.emplace_back(column.title);
    std::vector<std::vector<std::string>> rows;
    for (const Json &entry : list) {
        std::vector<std::string> row;
        row.reserve(columns.size());
        for (const Column &column : columns)
            row.push_back(formatMember(entry, column.member));
        rows.push_back(std::move(row));
    }
    return fmt::format("{}\n{}\n", name, textTable(heading, rows));
}

std::string differenceText(const Json &json)
{
    std::string text;
    const Json &lines = listMember(json, "difference");
    for (const Json &line : lines) {
        const std::string kind = formatMember(line, "kind");
        if (kind == "changed")
            text += fmt::format("  ~ {}: {} -> {}\n", formatMember(line, "what"),
                                formatMember(line, "before"), formatMember(line, "after"));
        else
            text += fmt::format("  {} {}\n", kind == "added" ? "+" : "-",
                                formatMember(line, "what"));
    }
    const auto counted = json.find("differenceLines");
    const std::uint64_t all = counted != json.end() && counted->is_number_unsigned()
                                      ? counted->get<std::uint64_t>()
                                      : lines.size();
    if (all > lines.size())
        text += fmt::format("  and {} more\n", all - lines.size());
    return text.empty() ? "  nothing changes\n" : text;
}

} // namespace

std::string textTable(const std::vector<std::string> &heading,
                      const std::vector<std::vector<std::string>> &rows)
{
    std::vector<std::size_t> widths;
    for (std::size_t i = 0; i < heading.size(); ++i) {
        widths.push_back(heading[i].size());
        for (const auto &row : rows)
            widths[i] = std::max(widths[i], row[i].size());
    }
    const auto formatRow = [&](const std::vector<std::string> &row) {
        std::string line = " ";
        for (std::size_t i = 0; i < row.size(); ++i)
            line += fmt::format(" {:<{}}", row[i], widths[i]);
        line.erase(line.find_last_not_of(' ') + 1);
        return line + "\n";
    };
    std::string text = formatRow(heading);
    for (const auto &row : rows)
        text += formatRow(row);
    return text;
}

std::string submissionText(std::string_view json)
{
    const Json answer = parseObject(json);
    const Json root = objectMember(answer, "root");
    const std::string revision = formatMember(root, "revision");
    if (flagMember(answer, "recordedBefore"))
        return fmt::format("submission \"{}\" was recorded before, as revision {}\n",
                           formatMember(root, "submissionId"), revision);
    const char *verb = flagMember(answer, "dryRun") ? "would be recorded" : "recorded";
    return fmt::format("revision {} {}\n{}", revision, verb, differenceText(answer));
}

std::string historyText(std::string_view json)
{
    std::vector<std::vector<std::string>> rows;
    const Json answer = parseObject(json);
    for (const Json &root : listMember(answer, "revisions"))
        rows.push_back({formatMember(root, "revision"), formatTime(root),
                        formatMember(root, "author"), formatMember(root, "submissionId"),
                        formatMember(root, "rolledBackTo")});
    return textTable({"REVISION", "TIME", "OPERATOR", "SUBMISSION", "ROLLED BACK TO"}, rows);
}

std::string statusText(std::string_view json)
{
    const Json answer = parseObject(json);
    const Json keyValue = objectMember(answer, "keyValue");
    std::string text = fmt::format(
            "answered by {}, newest revision {}, key-value service available: {} (last answer {} "
            "ms ago)\n\n",
            formatMember(answer, "answeredBy"), formatMember(answer, "newestRevision"),
            formatMember(keyValue, "available"), formatMember(keyValue, "sinceLastAnswerMs"));
    text += formatNamedTable("Instances", listMember(answer, "instances"),
                             {{"ID", "id"},
                              {"DATA CENTRE", "dataCentre"},
                              {"REVISION", "revision"},
                              {"READY", "ready"},
                              {"LEAVING", "leaving"}});
    text += formatNamedTable("Owners", listMember(answer, "owners"),
                             {{"POOL", "pool"}, {"OWNER", "owner"}, {"FENCE", "fence"}});
    text += formatNamedTable("Upstreams", listMember(answer, "upstreams"),
                             {{"ID", "id"},
                              {"POOL", "pool"},
                              {"LEAVING", "leaving"},
                              {"LOAD", "load"},
                              {"MEMORY USED", "memoryUsedBytes"},
                              {"MEMORY", "memoryBytes"}});
    text += formatNamedTable("Replicas", listMember(answer, "replicas"),
                             {{"POOL", "pool"},
                              {"MODEL", "model"},
                              {"ADAPTER", "adapter"},
                              {"LOADED", "loaded"},
                              {"LOADING", "loading"},
                              {"UNLOADING", "unloading"},
                              {"MOST", "maxReplicas"}});
    text += formatNamedTable("Queues", listMember(answer, "queues"),
                             {{"DEPLOYMENT", "deployment"},
                              {"CLASS", "callerClass"},
                              {"WAITING", "waiting"},
                              {"MOST", "maxQueued"}});
    text += formatNamedTable("Budgets", listMember(answer, "budgets"),
                             {{"NAME", "name"}, {"USED", "used"}, {"LIMIT", "limit"}});
    return text;
}

std::string explanationText(std::string_view json)
{
    const Json answer = parseObject(json);
    std::string text = formatMember(answer, "subject") + "\n";
    for (const Json &step : listMember(answer, "steps"))
        text += fmt::format("  {:<12} {}\n", formatMember(step, "step"),
                            formatMember(step, "text"));
    return text;
}

std::string drainText(std::string_view json)
{
    const Json answer = parseObject(json);
    return fmt::format("{} is draining; {} requests are still running there\n",
                       formatMember(answer, "subject"), formatMember(answer, "running"));
}

std::string errorText(std::string_view json)
{
    const Json answer = parseObject(json);
    const Json error = objectMember(answer, "error");
    std::string text = fmt::format("{} {}: {}\n", formatMember(error, "id"),
                                   formatMember(error, "code"), formatMember(error, "message"));
    if (answer.contains("winner"))
        text += "from the winning revision to yours:\n" + differenceText(answer);
    return text;
}

} // namespace bamboochute::admin
