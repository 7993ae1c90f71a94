#include <benchmark/benchmark.h>

#include <string>
#include <vector>

#include "currantpost/policy/interference_model.h"
#include "currantpost/policy/placement.h"
#include "currantpost/policy/size_estimator.h"

/// Cost of the decisions by number of workers. A rack's owner looks at its own rack only; the
/// larger numbers show what a look at a whole region or fleet would cost.

namespace currantpost {
namespace {

constexpr int kBatchKinds = 8;

std::string BatchKind(int64_t index) { return "batch-" + std::to_string(index % kBatchKinds); }

/// A model that has seen all pairs of two services and eight batch kinds.
InterferenceModel TrainedModel() {
  InterferenceModel model;

  for (int report = 0; report < 1'000; ++report) {
    const std::vector<KindLoad> batch = {{.kind = BatchKind(report), .load = 0.2},
                                         {.kind = BatchKind(report / 3 + 1), .load = 0.1}};
    model.Observe({.service_kind = report % 2 == 0 ? "board" : "arrivals",
                   .batch = batch,
                   .slowdown = 1.0 + 0.01 * (report % 20)});
  }

  return model;
}

std::vector<PlacementCandidate> Workers(int64_t count) {
  std::vector<PlacementCandidate> workers;

  for (int64_t index = 0; index < count; ++index) {
    PlacementCandidate worker;
    worker.capacity = {.millicores = 32'000, .memory_mib = 125'000};
    worker.committed = {.millicores = 10'000 + index % 7 * 1'000, .memory_mib = 40'000};
    worker.services = {index % 2 == 0 ? "board" : "arrivals"};
    worker.batch = {{.kind = BatchKind(index), .load = 0.1},
                    {.kind = BatchKind(index + 1), .load = 0.1},
                    {.kind = BatchKind(index + 2), .load = 0.05}};
    workers.push_back(std::move(worker));
  }

  return workers;
}

constexpr PlacementDemand kTask{.kind = "batch-5",
                                .size = {.millicores = 2'000, .memory_mib = 4'000}};

template <typename Strategy>
void PlaceWith(benchmark::State& state, Strategy& strategy) {
  const std::vector<PlacementCandidate> workers = Workers(state.range(0));

  while (state.KeepRunning()) {
    benchmark::DoNotOptimize(strategy.Place(workers, kTask, {.slowdown_limit = 3.0}));
  }

  state.SetComplexityN(state.range(0));
}

void PlaceInterferenceAware(benchmark::State& state) {
  const InterferenceModel model = TrainedModel();
  InterferenceAwarePlacement strategy(model);
  PlaceWith(state, strategy);
}

void PlaceLeastLoaded(benchmark::State& state) {
  LeastLoadedPlacement strategy;
  PlaceWith(state, strategy);
}

void PredictSlowdown(benchmark::State& state) {
  const InterferenceModel model = TrainedModel();
  const std::vector<PlacementCandidate> workers = Workers(state.range(0));
  size_t next = 0;

  while (state.KeepRunning()) {
    const PlacementCandidate& worker = workers[next++ % workers.size()];
    benchmark::DoNotOptimize(model.Predict(worker.services[0], worker.batch));
  }
}

void ObserveSlowdown(benchmark::State& state) {
  InterferenceModel model = TrainedModel();
  const std::vector<PlacementCandidate> workers = Workers(state.range(0));
  size_t next = 0;

  while (state.KeepRunning()) {
    const PlacementCandidate& worker = workers[next++ % workers.size()];
    model.Observe({.service_kind = worker.services[0], .batch = worker.batch, .slowdown = 1.1});
  }
}

void ObserveSize(benchmark::State& state) {
  SizeEstimator sizes;
  int64_t next = 0;

  while (state.KeepRunning()) {
    sizes.Observe(BatchKind(next), {.millicores = 1'000 + next % 999, .memory_mib = 2'000});
    ++next;
  }
}

void EstimateSize(benchmark::State& state) {
  SizeEstimator sizes;
  for (int64_t sample = 0; sample < 1'000; ++sample) {
    sizes.Observe(BatchKind(sample), {.millicores = 1'000 + sample, .memory_mib = 2'000});
  }

  while (state.KeepRunning()) benchmark::DoNotOptimize(sizes.Estimate("batch-3", kTask.size));
}

void FleetSizes(benchmark::internal::Benchmark* benchmark) {
  benchmark->Arg(8)->Arg(48)->Arg(1'000)->Arg(14'000);
}

BENCHMARK(PlaceInterferenceAware)->Apply(FleetSizes)->Complexity(benchmark::oN);
BENCHMARK(PlaceLeastLoaded)->Apply(FleetSizes)->Complexity(benchmark::oN);
BENCHMARK(PredictSlowdown)->Apply(FleetSizes);
BENCHMARK(ObserveSlowdown)->Apply(FleetSizes);
BENCHMARK(ObserveSize);
BENCHMARK(EstimateSize);

}  // namespace
}  // namespace currantpost

BENCHMARK_MAIN();
