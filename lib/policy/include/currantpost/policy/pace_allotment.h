#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace currantpost {

/// How fast each filling task of a worker works. Answers workers where filling tasks share what
/// lasting and short ones leave, an amount that changes with every look: giving all of them the
/// same pace takes an order to each at every change.
///
/// The fastest are slowed first and the slowest sped up first, each by a good deal at a time. So a
/// change is told to one or two tasks, and all of them get on about alike: a job waits for its
/// slowest task.

/// A filling task of a worker.
struct BestEffortTask {
  std::string image;
  /// What it uses at full pace, as a share of the worker.
  double share = 0.0;
  /// Its pace in percent, as last decided.
  int32_t speed = 100;
};

/// How much filling work there may be, in shares of the worker.
struct BestEffortLimits {
  double max_total = 0.0;
  /// Images without an entry are bounded by `most` alone.
  std::map<std::string, double> max_by_image;
};

struct SpeedAssignmentSettings {
  /// Paces are multiples of this many percent, as each change costs an order.
  int32_t speed_step = 10;
  /// A pace changes by so much at most before it is another task's turn.
  int32_t max_speed_change = 40;
  /// Room below this share of the worker is left unused: less than a small filling task asks for,
  /// more than the room swings from look to look.
  double slack = 0.02;
  /// The most by which all paces together may rise at a time, as a share of full pace: figures that
  /// show what a rise does to others come half a second later.
  double max_total_increase = 0.4;
};

/// Sets the paces of `tasks` so that they keep to the bounds and use them up but for the slack. Of
/// those that are equally fast, the last is slowed first and the first sped up first. Tasks that
/// need no change are left as they are.
void AssignSpeeds(const SpeedAssignmentSettings& settings, const BestEffortLimits& limits,
                  std::vector<BestEffortTask>& tasks);

}  // namespace currantpost
