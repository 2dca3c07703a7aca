#include "sassafras/config/source_diff.h"

#include <algorithm>
#include <map>
#include <regex>
#include <sstream>

namespace sassafras {
namespace {

using line_list = std::vector<std::string>;

line_list SplitLines(const std::string& text) {
  line_list lines;
  std::istringstream stream(text);
  for (std::string line; std::getline(stream, line);) {
    lines.push_back(line);
  }
  return lines;
}

// Lengths of the longest common subsequences of all pairs of suffixes.
std::vector<std::vector<int>> CommonLengths(const line_list& a,
                                            const line_list& b) {
  std::vector<std::vector<int>> lengths(a.size() + 1,
                                        std::vector<int>(b.size() + 1, 0));
  for (std::size_t i = a.size(); i-- > 0;) {
    for (std::size_t j = b.size(); j-- > 0;) {
      lengths[i][j] = a[i] == b[j]
                          ? lengths[i + 1][j + 1] + 1
                          : std::max(lengths[i + 1][j], lengths[i][j + 1]);
    }
  }
  return lengths;
}

std::string DiffLines(const std::string& file,
                      const line_list& a,
                      const line_list& b) {
  const auto lengths = CommonLengths(a, b);
  std::string text;
  std::size_t i = 0;
  std::size_t j = 0;
  const auto add = [&](std::size_t line, char sign, const std::string& what) {
    text += file + ':' + std::to_string(line + 1) + ": " + sign + what + '\n';
  };
  while (i < a.size() || j < b.size()) {
    if (i < a.size() && j < b.size() && a[i] == b[j]) {
      ++i;
      ++j;
    } else if (i < a.size() &&
               (j == b.size() || lengths[i + 1][j] >= lengths[i][j + 1])) {
      add(i, '-', a[i]);
      ++i;
    } else {
      add(j, '+', b[j]);
      ++j;
    }
  }
  return text;
}

}  // namespace

std::string DiffSources(const std::vector<source_file>& before,
                        const std::vector<source_file>& after) {
  struct texts {
    std::string before;
    std::string after;
  };
  std::map<std::string, texts> files;
  for (const source_file& file : before) {
    files[file.name].before = file.text;
  }
  for (const source_file& file : after) {
    files[file.name].after = file.text;
  }
  std::string text;
  for (const auto& [name, contents] : files) {
    if (contents.before != contents.after) {
      text += DiffLines(name, SplitLines(contents.before),
                        SplitLines(contents.after));
    }
  }
  return text;
}

std::optional<std::vector<source_file>> MarkLeaving(
    std::vector<source_file> files,
    const std::string& name) {
  // '.' is the only character in names that is special in regular expressions.
  const std::string literal =
      std::regex_replace(name, std::regex("\\."), "\\.");
  const std::regex flow("^(\\s*- \\{name: " + literal + "(,[^{}]*)?)\\}");
  const std::regex block("^(\\s*)- name: " + literal + "\\s*$");
  int found = 0;
  for (source_file& file : files) {
    std::string changed;
    for (const std::string& line : SplitLines(file.text)) {
      std::smatch match;
      if (std::regex_search(line, match, flow)) {
        ++found;
        changed += std::regex_replace(line, flow, "$1, leaving: true}") + '\n';
      } else if (std::regex_search(line, match, block)) {
        ++found;
        changed += line + '\n' + match[1].str() + "  leaving: true\n";
      } else {
        changed += line + '\n';
      }
    }
    file.text = changed;
  }
  if (found != 1) {
    return std::nullopt;
  }
  return files;
}

}  // namespace sassafras
