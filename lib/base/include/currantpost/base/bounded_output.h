#pragma once

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace currantpost {

/// Writes lines to a descriptor and never waits for whoever reads them. What the reader does not
/// take is kept up to a bound; lines beyond it are dropped and counted, and a line says so as soon
/// as there is room again. Usable from any thread.
class BoundedOutput {
 public:
  /// `descriptor` stays the caller's. At most `most_kept` bytes are kept.
  BoundedOutput(int descriptor, size_t max_buffered);

  /// Tries to write what is kept a last time.
  ~BoundedOutput();
  BoundedOutput(const BoundedOutput&) = delete;
  BoundedOutput& operator=(const BoundedOutput&) = delete;

  /// Writes a line, or keeps or drops it. The line ends with a newline.
  void Write(std::string_view line);

  /// Lines dropped so far.
  [[nodiscard]] uint64_t dropped() const;

 private:
  /// Says whether the bytes were kept.
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
