#include "currantpost/policy/interference_model.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <limits>
#include <random>
#include <string>

#include "currantpost/policy/residency_history.h"

namespace currantpost {
namespace {

std::vector<KindLoad> Batch(double harmless, double harmful) {
  return {{.kind = "menu", .load = harmless}, {.kind = "review", .load = harmful}};
}

/// Returns a model trained on many measurements of a service that only review tasks slow down.
InterferenceModel Trained() {
  InterferenceModel model;
  std::mt19937_64 generator(7);
  std::uniform_real_distribution<double> load(0.0, 0.5);
  std::normal_distribution<double> noise(0.0, 0.05);

  for (int report = 0; report < 400; ++report) {
    const auto batch = Batch(load(generator), load(generator));
    const double slowdown = 1.0 + 0.9 * batch[1].load + noise(generator);
    model.Observe({.service_kind = "board", .batch = batch, .slowdown = slowdown});
  }

  return model;
}

TEST(InterferenceModel, SeparatesTheEffectsOfBatchKindsThatRanTogether) {
  const InterferenceModel model = Trained();

  EXPECT_NEAR(model.Predict("board", Batch(0.0, 0.4)), 1.36, 0.06);
  EXPECT_NEAR(model.Predict("board", Batch(0.4, 0.0)), 1.0, 0.06);
  EXPECT_GT(model.AddedSlowdown("board", "review", 0.4),
            5 * model.AddedSlowdown("board", "menu", 0.4));
}

TEST(InterferenceModel, PredictsMoreSlowdownForAnUnknownKindThanForAHarmlessOne) {
  const InterferenceModel model = Trained();
  const std::vector<KindLoad> unseen = {{.kind = "inventory", .load = 0.3}};

  EXPECT_GT(model.Predict("board", unseen), model.Predict("board", Batch(0.3, 0.0)));
  EXPECT_LT(model.Predict("board", unseen), 1.3);
}

TEST(InterferenceModel, LimitsTheEffectOfAnOutlier) {
  InterferenceModel model = Trained();
  const double before = model.Predict("board", Batch(0.3, 0.3));

  model.Observe({.service_kind = "board", .batch = Batch(0.3, 0.3), .slowdown = 500.0});
  EXPECT_LT(model.Predict("board", Batch(0.3, 0.3)), before + 0.2);
}

TEST(InterferenceModel, IgnoresInvalidSlowdowns) {
  InterferenceModel model;

  model.Observe({.service_kind = "board",
                 .batch = Batch(0.1, 0.1),
                 .slowdown = std::numeric_limits<double>::quiet_NaN()});
  model.Observe({.service_kind = "board", .batch = Batch(0.1, 0.1), .slowdown = -1.0});

  EXPECT_EQ(model.PairCount(), 0U);
}

TEST(InterferenceModel, BoundsTheNumberOfPairs) {
  InterferenceModel model({.max_services = 3, .max_kinds_per_service = 5});

  for (int index = 0; index < 100; ++index) {
    const std::vector<KindLoad> batch = {{.kind = std::to_string(index), .load = 0.1}};
    model.Observe({.service_kind = std::to_string(index % 10), .batch = batch, .slowdown = 1.1});
  }

  EXPECT_LE(model.PairCount(), 15U);
}

RC_GTEST_PROP(InterferenceModelProperty, PredictsFiniteSlowdownsThatGrowWithLoad, ()) {
  InterferenceModel model;

  for (const int percent : *rc::gen::container<std::vector<int>>(rc::gen::inRange(1, 100'000))) {
    const double load = percent % 90 / 100.0;
    model.Observe(
        {.service_kind = "check", .batch = Batch(load, 0.9 - load), .slowdown = percent / 100.0});
  }

  const double light = model.Predict("check", Batch(0.1, 0.1));
  const double heavy = model.Predict("check", Batch(0.5, 0.5));

  RC_ASSERT(std::isfinite(heavy));
  RC_ASSERT(light >= 1.0);
  RC_ASSERT(model.AddedSlowdown("check", "menu", 0.5) >= model.AddedSlowdown("check", "menu", 0.1));
}

TEST(ResidencyHistory, ReturnsTheBatchLoadAtTheTimeOfMeasurement) {
  ResidencyHistory history(3);
  history.Record(Millis(10), Batch(0.1, 0.0));
  history.Record(Millis(20), Batch(0.0, 0.2));

  EXPECT_EQ(history.At(Millis(9)), nullptr);
  EXPECT_EQ(*history.At(Millis(19)), Batch(0.1, 0.0));
  EXPECT_EQ(*history.At(Millis(20)), Batch(0.0, 0.2));
  EXPECT_EQ(*history.At(Millis(99)), Batch(0.0, 0.2));

  EXPECT_TRUE(history.UnchangedBetween(Millis(10), Millis(19)));
  EXPECT_FALSE(history.UnchangedBetween(Millis(19), Millis(21)));
}

TEST(ResidencyHistory, DropsTheOldestChange) {
  ResidencyHistory history(2);
  for (int time = 1; time <= 3; ++time) history.Record(Millis(time), Batch(0.1 * time, 0.0));

  EXPECT_EQ(history.At(Millis(1)), nullptr);
  EXPECT_NE(history.At(Millis(2)), nullptr);
}

TEST(ResidencyHistory, KeepsTheLastOfSeveralRecordsAtTheSameTime) {
  ResidencyHistory history;
  history.Record(Millis(5), Batch(0.1, 0.0));
  history.Record(Millis(5), Batch(0.2, 0.0));

  EXPECT_EQ(*history.At(Millis(5)), Batch(0.2, 0.0));
}

/// Feeds a model with measurements of a pair whose true coefficient is `truth`.
void Measure(InterferenceModel& model, const std::string& service, const std::string& batch,
             double truth, int measurements, uint64_t seed) {
  std::mt19937_64 generator(seed);
  std::uniform_real_distribution<double> load(0.05, 0.4);
  std::normal_distribution<double> noise(0.0, 0.05);

  for (int report = 0; report < measurements; ++report) {
    const std::vector<KindLoad> batch_load = {{.kind = batch, .load = load(generator)}};
    const double slowdown = 1.0 + truth * batch_load[0].load + noise(generator);
    model.Observe({.service_kind = service, .batch = batch_load, .slowdown = slowdown});
  }
}

TEST(InterferenceModel, MergesTheEvidenceOfManyModels) {
  constexpr int kModels = 20;
  constexpr int kMeasurements = 3;
  InterferenceModel aggregate;

  for (int number = 0; number < kModels; ++number) {
    InterferenceModel model;
    Measure(model, "board", "review", 1.5, kMeasurements, static_cast<uint64_t>(number));
    for (const PairEvidence& evidence : model.DrainEvidence()) aggregate.MergeEvidence(evidence);
  }

  InterferenceModel alone;
  Measure(alone, "board", "review", 1.5, kMeasurements, 99);
  InterferenceModel informed;
  for (const PairEstimate& estimate : aggregate.Estimates(10)) informed.SetEstimate(estimate);

  EXPECT_NEAR(informed.AddedSlowdown("board", "review", 1.0), 1.5, 0.2);
  ASSERT_EQ(informed.Estimates(10).size(), 1U);
  EXPECT_LT(informed.Estimates(10)[0].deviation, alone.Estimates(10)[0].deviation / 2);
}

TEST(InterferenceModel, DrainsEvidenceOnce) {
  InterferenceModel model;
  Measure(model, "board", "review", 1.0, 5, 1);

  EXPECT_EQ(model.DrainEvidence().size(), 1U);
  EXPECT_TRUE(model.DrainEvidence().empty());
}

TEST(InterferenceModel, KeepsUndrainedEvidenceWhenAnEstimateIsSet) {
  InterferenceModel model;
  Measure(model, "board", "review", 2.0, 30, 1);
  model.SetEstimate(PairEstimate{"board", "review", 0.0, 0.3});

  EXPECT_GT(model.AddedSlowdown("board", "review", 1.0), 1.0);
}

TEST(InterferenceModel, IgnoresInvalidEvidenceAndEstimates) {
  InterferenceModel model;
  const double nan = std::numeric_limits<double>::quiet_NaN();
  model.MergeEvidence(PairEvidence{"board", "review", nan, 1.0, 1});
  model.MergeEvidence(PairEvidence{"board", "review", -1.0, 1.0, 1});
  model.SetEstimate(PairEstimate{"board", "review", 1.0, 0.0});
  model.SetEstimate(PairEstimate{"board", "review", nan, 1.0});

  EXPECT_EQ(model.PairCount(), 0U);
}

}  // namespace
}  // namespace currantpost
