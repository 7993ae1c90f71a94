#pragma once

#include <array>
#include <boost/intrusive/list.hpp>
#include <cstdint>
#include <functional>

#include "currantpost/model/job.h"

namespace currantpost {

/// A request that waits for a slot. It unlinks itself when it is destroyed.
struct QueuedRequest
    : boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
  Priority priority = Priority::kNormal;
};

/// Requests that wait for a slot: the urgent first, then in the order of arrival. Not usable from
/// several threads.
class AdmissionQueue {
 public:
  explicit AdmissionQueue(int32_t largest_size);

  /// Says whether a request of this priority would be let in.
  [[nodiscard]] bool HasRoom(Priority priority) const;

  /// Lets a request in. Returns the request that has to leave for it, unlinked: the last of the
  /// lowest priority, `request` itself if no other matters less, or null if there is room.
  QueuedRequest* Push(QueuedRequest& request);

  /// Visits the requests in order until `visit` returns false. `visit` may unlink its request.
  void ForEach(const std::function<bool(QueuedRequest&)>& visit);

  /// Says whether a request of this priority or a more urgent one waits.
  [[nodiscard]] bool HasAhead(Priority priority) const;

  /// Returns the number of waiting requests.
  [[nodiscard]] int32_t Size() const;

 private:
  using List = boost::intrusive::list<QueuedRequest, boost::intrusive::constant_time_size<false>>;

  static constexpr size_t kPriorities = kPriorityNames.Rows().size();

  int32_t largest_size_;
  /// By priority.
  std::array<List, kPriorities> lists_;
};

}  // namespace currantpost
