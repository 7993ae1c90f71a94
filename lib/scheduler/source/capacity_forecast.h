#pragma once

#include <optional>

#include "internal.h"

/// Forecasts when capacity on a worker becomes free. Long-running tasks fill most of a worker, and
/// the short tasks beside them end within seconds, which their estimates tell.

namespace currantpost::scheduler {

/// Time from a stop order until a worker has listed the end of the run, mostly.
inline constexpr Millis kUsualStopTime = Millis(300);
/// Forecast for capacity of which nothing tells when it becomes free.
inline constexpr Millis kMaxForecast = Millis(10'000);

/// Returns what a task reserves of its worker.
Resources ReservedBy(const StepSpec& spec);

/// Returns how much longer a short task on a worker probably goes on.
Millis ForecastRest(const State& state, const StepSpec& spec, const TaskState& task);

/// Returns how long it probably takes until an amount fits on a worker, 0 if it fits now. With the
/// priority of an interrupted task, tasks that may be stopped for it count as stopped now.
Millis ForecastRoom(const State& state, const OwnedCell& cell, const WorkerState& worker,
                    const Resources& amount, std::optional<int32_t> evicting_priority);

}  // namespace currantpost::scheduler
