#include "record.h"

#include <fcntl.h>
#include <unistd.h>

#include <chrono>
#include <cstdlib>
#include <fstream>
#include <utility>

namespace review {

int64_t NowMs() {
  const auto now = std::chrono::steady_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

Record::Record(std::string path) : path_(std::move(path)) {}

void Record::Clear() const { std::ofstream(path_, std::ios::trunc).flush(); }

void Record::Write(const std::string& text) const {
  const std::string line = std::to_string(NowMs()) + " " + text + "\n";
  // One write with O_APPEND keeps the lines of several processes apart.
  const int file = open(path_.c_str(), O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, 0644);
  if (file < 0) return;

  if (write(file, line.data(), line.size()) < 0) std::abort();
  close(file);
}

std::vector<std::string> Record::Lines() const {
  std::vector<std::string> lines;
  std::ifstream file(path_);
  for (std::string line; std::getline(file, line);) lines.push_back(line);
  return lines;
}

std::string ValueOf(const std::string& line, const std::string& name) {
  const std::string key = " " + name + "=";
  const size_t at = line.find(key);
  if (at == std::string::npos) return {};

  const size_t begin = at + key.size();
  return line.substr(begin, line.find(' ', begin) - begin);
}

int64_t TimeOf(const std::string& line) { return std::strtoll(line.c_str(), nullptr, 10); }

}  // namespace review
