#include "currantpost/base/bounded_output.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>

namespace currantpost {
namespace {

/// Bytes per write. POSIX guarantees that a pipe that is ready for writing accepts at least this
/// many without blocking.
constexpr size_t kWriteSize = 4'096;

bool IsReady(int descriptor) {
  pollfd waiting{.fd = descriptor, .events = POLLOUT, .revents = 0};
  return poll(&waiting, 1, 0) == 1 && (waiting.revents & POLLOUT) != 0;
}

}  // namespace

BoundedOutput::BoundedOutput(int descriptor, size_t max_buffered)
    : descriptor_(descriptor), max_buffered_(max_buffered) {}

BoundedOutput::~BoundedOutput() {
  const absl::MutexLock lock(&mutex_);
  Flush();
}

void BoundedOutput::Write(std::string_view line) {
  const absl::MutexLock lock(&mutex_);
  Flush();

  if (unreported_drops_ > 0) {
    const bool reported = Append("log lines dropped because the reader was too slow lines=" +
                                 std::to_string(unreported_drops_) + "\n");
    if (reported) unreported_drops_ = 0;
  }

  if (unreported_drops_ > 0 || !Append(line)) {
    ++dropped_;
    ++unreported_drops_;
    return;
  }

  Flush();
}

uint64_t BoundedOutput::dropped() const {
  const absl::MutexLock lock(&mutex_);
  return dropped_;
}

bool BoundedOutput::Append(std::string_view line) {
  if (buffer_.size() + line.size() > max_buffered_) return false;

  buffer_ += line;
  return true;
}

void BoundedOutput::Flush() {
  size_t written = 0;

  while (written < buffer_.size() && IsReady(descriptor_)) {
    const size_t size = std::min(buffer_.size() - written, kWriteSize);
    const ssize_t result = write(descriptor_, buffer_.data() + written, size);
    // The error cannot be reported if the reader is gone. The buffer stays bounded.
    if (result <= 0) break;

    written += static_cast<size_t>(result);
  }

  buffer_.erase(0, written);
}

}  // namespace currantpost
