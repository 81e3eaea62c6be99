#include "wire/yaml_reader.h"

#include <sstream>

namespace vanillanotch
{

YamlMapping::YamlMapping(const YAML::Node &node, std::string path, YamlProblems &problems)
    : m_node(node)
    , m_path(std::move(path))
    , m_problems(problems)
{
    if (!node.IsMap()) {
        m_problems.add(node.Mark(), m_path, "must be a mapping");
        m_node = YAML::Node(YAML::NodeType::Map);
    }
}

std::string YamlMapping::pathOf(const std::string &name) const
{
    return m_path.empty() ? name : m_path + "." + name;
}

YAML::Mark YamlMapping::markOf(const std::string &name) const
{
    const YAML::Node member = m_node[name];
    return member.IsDefined() ? member.Mark() : m_node.Mark();
}

bool YamlMapping::has(const std::string &name) const
{
    const YAML::Node member = m_node[name];
    return member.IsDefined() && !member.IsNull();
}

YAML::Node YamlMapping::lookUp(const std::string &name, bool required)
{
    m_known.insert(name);
    const YAML::Node member = m_node[name];
    const bool absent = !member.IsDefined() || member.IsNull();
    if (absent && required) {
        m_problems.add(m_node.Mark(), pathOf(name), "is missing");
    }
    return absent ? YAML::Node(YAML::NodeType::Undefined) : member;
}

void YamlMapping::read(const std::string &name, std::string &value, bool required)
{
    const YAML::Node member = lookUp(name, required);
    if (!member.IsDefined()) {
        return;
    }
    if (!member.IsScalar()) {
        m_problems.add(member.Mark(), pathOf(name), "must be a string");
        return;
    }
    value = member.Scalar();
    if (required && value.empty()) {
        m_problems.add(member.Mark(), pathOf(name), "must not be empty");
    }
}

void YamlMapping::read(const std::string &name, bool &value)
{
    const YAML::Node member = lookUp(name, false);
    if (member.IsDefined() && !YAML::convert<bool>::decode(member, value)) {
        m_problems.add(member.Mark(), pathOf(name), "must be true or false");
    }
}

template<typename T>
void YamlMapping::readNumber(const std::string &name, T &value, T minimum, T maximum, const char *unit)
{
    const YAML::Node member = lookUp(name, false);
    if (!member.IsDefined()) {
        return;
    }
    T parsed{};
    const bool negative = member.IsScalar() && !member.Scalar().empty() && member.Scalar().front() == '-';
    const bool valid = member.IsScalar() && !(negative && std::is_unsigned_v<T>)&&YAML::convert<T>::decode(member, parsed);
    if (!valid || !(parsed >= minimum && parsed <= maximum)) {
        std::ostringstream text;
        text << "must be a number from " << minimum << " to " << maximum << unit << ", inclusive";
        m_problems.add(member.Mark(), pathOf(name), text.str());
        return;
    }
    value = parsed;
}

void YamlMapping::read(const std::string &name, double &value, double minimum, double maximum)
{
    readNumber(name, value, minimum, maximum, "");
}

void YamlMapping::read(const std::string &name, unsigned &value, unsigned minimum, unsigned maximum)
{
    readNumber(name, value, minimum, maximum, "");
}

template<typename Unit>
void YamlMapping::readTime(const std::string &name, std::chrono::milliseconds &value, std::chrono::milliseconds minimum, std::chrono::milliseconds maximum,
                           const char *unitName)
{
    const Unit unchanged = value;
    double count = unchanged.count();
    readNumber(name, count, Unit(minimum).count(), Unit(maximum).count(), unitName);
    // A float of seconds may be slightly below the whole milliseconds that it stands for.
    constexpr std::chrono::duration<double, std::milli> RoundingError{1e-6};
    value = std::chrono::floor<std::chrono::milliseconds>(Unit(count) + RoundingError);
}

void YamlMapping::read(const std::string &name, std::chrono::milliseconds &value, std::chrono::milliseconds minimum, std::chrono::milliseconds maximum)
{
    readTime<std::chrono::duration<double, std::milli>>(name, value, minimum, maximum, " milliseconds");
}

void YamlMapping::readEitherUnit(const std::string &name, std::chrono::milliseconds &value, std::chrono::milliseconds minimum,
                                 std::chrono::milliseconds maximum)
{
    const std::string inSeconds = name + "_s";
    const std::string inMilliseconds = name + "_ms";
    if (has(inSeconds) && has(inMilliseconds)) {
        m_problems.add(markOf(inMilliseconds), pathOf(inMilliseconds), "must not be given beside " + pathOf(inSeconds));
    }
    readTime<std::chrono::duration<double>>(inSeconds, value, minimum, maximum, " seconds");
    readTime<std::chrono::duration<double, std::milli>>(inMilliseconds, value, minimum, maximum, " milliseconds");
}

void YamlMapping::read(const std::string &name, std::set<std::string> &value)
{
    const YAML::Node member = sequence(name);
    if (!member.IsDefined()) {
        return;
    }
    for (const YAML::Node &item : member) {
        if (item.IsScalar()) {
            value.insert(item.Scalar());
        } else {
            m_problems.add(item.Mark(), pathOf(name), "must be a list of strings");
        }
    }
}

void YamlMapping::read(const std::string &name, std::map<std::string, std::string> &value)
{
    const YAML::Node member = lookUp(name, false);
    if (!member.IsDefined()) {
        return;
    }
    if (!member.IsMap()) {
        m_problems.add(member.Mark(), pathOf(name), "must be a mapping of strings");
        return;
    }
    for (const auto &item : member) {
        if (!item.first.IsScalar() || !item.second.IsScalar()) {
            m_problems.add(item.first.Mark(), pathOf(name), "must be a mapping of strings");
        } else if (!value.emplace(item.first.Scalar(), item.second.Scalar()).second) {
            m_problems.add(item.first.Mark(), pathOf(name) + "." + item.first.Scalar(), "must appear only once in this mapping");
        }
    }
}

YAML::Node YamlMapping::sequence(const std::string &name, bool required)
{
    const YAML::Node member = lookUp(name, required);
    if (member.IsDefined() && !member.IsSequence()) {
        m_problems.add(member.Mark(), pathOf(name), "must be a list");
        return YAML::Node(YAML::NodeType::Undefined);
    }
    return member;
}

void YamlMapping::reportUnknownMembers()
{
    std::set<std::string> seen;
    for (const auto &member : m_node) {
        const std::string name = member.first.IsScalar() ? member.first.Scalar() : std::string("?");
        if (m_known.count(name) == 0) {
            std::string allowed;
            for (const std::string &known : m_known) {
                allowed += (allowed.empty() ? "" : ", ") + known;
            }
            m_problems.add(member.first.Mark(), pathOf(name), "is unknown; must be one of " + allowed);
        }
        if (!seen.insert(name).second) {
            m_problems.add(member.first.Mark(), pathOf(name), "must appear only once in this mapping");
        }
    }
}

std::optional<YAML::Node> parseYaml(const std::string &text, YamlProblems &problems)
{
    try {
        return YAML::Load(text);
    } catch (const YAML::Exception &exception) {
        problems.add(exception.mark, "", exception.msg);
        return std::nullopt;
    }
}

LogLevel readLogLevel(YamlMapping &document)
{
    std::string name = "info";
    document.read("log_level", name);
    const std::map<std::string, LogLevel> levels{
        {"debug", LogLevel::Debug}, {"info", LogLevel::Info}, {"warning", LogLevel::Warning}, {"error", LogLevel::Error}};
    const auto found = levels.find(name);
    if (found == levels.end()) {
        document.problems().add(document.markOf("log_level"), "log_level", "expected one of debug, info, warning, error");
        return LogLevel::Info;
    }
    return found->second;
}

} // namespace vanillanotch
