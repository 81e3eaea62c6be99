// Reads YAML mappings member by member and collects all problems instead of stopping at the first; private to the wire
// library.
#pragma once

#include "wire/wire.h"

#include <yaml-cpp/yaml.h>

#include <limits>

namespace vanillanotch
{

// The problems found so far in one file.
class YamlProblems
{
public:
    explicit YamlProblems(std::string file)
        : m_file(std::move(file))
    {
    }
    void add(const YAML::Mark &mark, const std::string &entry, const std::string &message)
    {
        m_list.push_back(FileProblem{m_file, mark.line + 1, entry, message});
    }
    bool empty() const
    {
        return m_list.empty();
    }
    std::vector<FileProblem> takeList()
    {
        return std::move(m_list);
    }

private:
    std::string m_file;
    std::vector<FileProblem> m_list;
};

// One YAML mapping. Each read() leaves `value` as it is when the member is absent, and adds a problem when the member is
// required but absent, has the wrong type or is out of range. Members that were never read are unknown: reportUnknownMembers() adds a problem
// for each.
class YamlMapping
{
public:
    // `path`: dotted path of the mapping within the document; empty for the document itself.
    YamlMapping(const YAML::Node &node, std::string path, YamlProblems &problems);
    ~YamlMapping() = default;

    void read(const std::string &name, std::string &value, bool required = false);
    void read(const std::string &name, bool &value);
    void read(const std::string &name, double &value, double minimum, double maximum);
    void read(const std::string &name, unsigned &value, unsigned minimum, unsigned maximum);
    // A time in milliseconds, whole or a fraction; rounded down to whole ones.
    void read(const std::string &name, std::chrono::milliseconds &value, std::chrono::milliseconds minimum, std::chrono::milliseconds maximum);
    // The same from the member `name`_ms, in milliseconds, or `name`_s, in seconds; both together are a problem.
    void readEitherUnit(const std::string &name, std::chrono::milliseconds &value, std::chrono::milliseconds minimum, std::chrono::milliseconds maximum);
    void read(const std::string &name, std::set<std::string> &value);
    void read(const std::string &name, std::map<std::string, std::string> &value);
    YAML::Node sequence(const std::string &name, bool required = false); // an undefined node when the member is absent or not a list
    void reportUnknownMembers(); // also reports members that appear twice; call after all reads
    std::string pathOf(const std::string &name) const; // dotted path of a member, for problems
    YAML::Mark markOf(const std::string &name) const; // position of the member's value, or of the mapping when there is no such member
    YamlProblems &problems()
    {
        return m_problems;
    }

private:
    // Marks the member as known and returns it; an undefined node when it is absent or null. Adds a problem when
    // a required member is absent or null.
    YAML::Node lookUp(const std::string &name, bool required);
    bool has(const std::string &name) const; // the member is there and isn't null
    // `Unit`: what the member's number counts.
    template<typename Unit>
    void readTime(const std::string &name, std::chrono::milliseconds &value, std::chrono::milliseconds minimum, std::chrono::milliseconds maximum,
                  const char *unitName);
    template<typename T>
    void readNumber(const std::string &name, T &value, T minimum, T maximum, const char *unit);

    YAML::Node m_node;
    std::string m_path; // dotted path of this mapping; empty: the document itself
    YamlProblems &m_problems;
    std::set<std::string> m_known; // names of the members that were read
};

std::optional<YAML::Node> parseYaml(const std::string &text, YamlProblems &problems); // nullopt: not valid YAML, a problem was added
LogLevel readLogLevel(YamlMapping &document); // reads the member log_level; Info when it is absent or invalid

} // namespace vanillanotch
