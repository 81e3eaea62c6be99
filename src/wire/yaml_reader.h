// Reads YAML mappings member by member and collects every problem; private to the wire library.
#pragma once

#include "wire/wire.h"

#include <yaml-cpp/yaml.h>

#include <limits>

namespace vanillanotch
{

class YamlProblems
{
public:
    explicit YamlProblems(std::string file)
        : m_file(std::move(file))
    {
    }
    void add(const YAML::Mark &mark, const std::string &entry, const std::string &problem)
    {
        m_list.push_back(FileProblem{m_file, mark.line + 1, entry, problem});
    }
    bool empty() const
    {
        return m_list.empty();
    }
    std::vector<FileProblem> take()
    {
        return std::move(m_list);
    }

private:
    std::string m_file;
    std::vector<FileProblem> m_list;
};

// One mapping. Members that nobody has asked for by the end are unknown, and so problems.
class YamlMapping
{
public:
    YamlMapping(const YAML::Node &node, std::string where, YamlProblems &problems);
    ~YamlMapping() = default;

    void read(const std::string &name, std::string &value, bool required = false);
    void read(const std::string &name, bool &value);
    void read(const std::string &name, double &value, double least, double most);
    void read(const std::string &name, unsigned &value, unsigned least, unsigned most);
    void read(const std::string &name, std::chrono::milliseconds &value, std::chrono::milliseconds least, std::chrono::milliseconds most);
    void read(const std::string &name, std::set<std::string> &value);
    YAML::Node sequence(const std::string &name, bool required = false); // an undefined node when absent
    void reportUnknownMembers(); // reports unknown members
    std::string pathOf(const std::string &name) const;
    YAML::Mark markOf(const std::string &name) const;
    YamlProblems &problems()
    {
        return m_problems;
    }

private:
    YAML::Node take(const std::string &name, bool required);
    template<typename T>
    void readNumber(const std::string &name, T &value, T least, T most, const char *unit);

    YAML::Node m_node;
    std::string m_where;
    YamlProblems &m_problems;
    std::set<std::string> m_known;
};

std::optional<YAML::Node> parseYaml(const std::string &text, YamlProblems &problems); // nullopt: no YAML
LogLevel readLogLevel(YamlMapping &document); // member log_level

} // namespace vanillanotch
