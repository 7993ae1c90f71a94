#include "currantpost/base/bounded_output.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>

namespace currantpost {
namespace {

/// A descriptor that is ready takes so much at least without blocking: what POSIX promises of a
/// pipe's room when it is ready to be written to.
constexpr size_t kWriteSize = 4'096;

bool IsReady(int descriptor) {
  pollfd waiting{.fd = descriptor, .events = POLLOUT, .revents = 0};
  return poll(&waiting, 1, 0) == 1 && (waiting.revents & POLLOUT) != 0;
}

}  // namespace

BoundedOutput::BoundedOutput(int descriptor, size_t most_kept)
    : descriptor_(descriptor), most_kept_(most_kept) {}

BoundedOutput::~BoundedOutput() {
  const absl::MutexLock lock(&mutex_);
  Flush();
}

void BoundedOutput::Write(std::string_view line) {
  const absl::MutexLock lock(&mutex_);
  Flush();

  if (unreported_ > 0) {
    const bool said = Keep(
        "log lines were dropped, as nobody read them lines=" + std::to_string(unreported_) + "\n");
    if (said) unreported_ = 0;
  }

  if (unreported_ > 0 || !Keep(line)) {
    ++dropped_;
    ++unreported_;
    return;
  }

  Flush();
}

uint64_t BoundedOutput::dropped() const {
  const absl::MutexLock lock(&mutex_);
  return dropped_;
}

bool BoundedOutput::Keep(std::string_view line) {
  if (kept_.size() + line.size() > most_kept_) return false;

  kept_ += line;
  return true;
}

void BoundedOutput::Flush() {
  size_t written = 0;

  while (written < kept_.size() && IsReady(descriptor_)) {
    const size_t size = std::min(kept_.size() - written, kWriteSize);
    const ssize_t taken = write(descriptor_, kept_.data() + written, size);
    // A reader that is gone leaves nobody to tell; what is kept stays bounded.
    if (taken <= 0) break;

    written += static_cast<size_t>(taken);
  }

  kept_.erase(0, written);
}

}  // namespace currantpost
