#pragma once

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace currantpost {

/// Writes lines to a file descriptor without ever blocking on the reader. Lines that the reader is
/// too slow for are buffered up to a limit. Further lines are dropped and counted, and a line
/// reports their number as soon as there is space again. Thread-safe.
class BoundedOutput {
 public:
  /// Does not take ownership of `descriptor`. Buffers at most `max_buffered` bytes.
  BoundedOutput(int descriptor, size_t max_buffered);

  /// Tries once more to write the buffered lines.
  ~BoundedOutput();
  BoundedOutput(const BoundedOutput&) = delete;
  BoundedOutput& operator=(const BoundedOutput&) = delete;

  /// Writes, buffers or drops a line, which must end with a newline.
  void Write(std::string_view line);

  /// Returns the number of lines dropped so far.
  [[nodiscard]] uint64_t dropped() const;

 private:
  /// Appends a line to the buffer. Returns false if it does not fit.
  bool Append(std::string_view line) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void Flush() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

  const int descriptor_;
  const size_t max_buffered_;
  mutable absl::Mutex mutex_;
  std::string buffer_ ABSL_GUARDED_BY(mutex_);
  uint64_t dropped_ ABSL_GUARDED_BY(mutex_) = 0;
  uint64_t unreported_drops_ ABSL_GUARDED_BY(mutex_) = 0;
};

}  // namespace currantpost
