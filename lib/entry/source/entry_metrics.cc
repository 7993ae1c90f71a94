#include "entry_metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/text_serializer.h>

#include <utility>

#include "currantpost/base/logging.h"

namespace currantpost {
namespace {

using scheduler::ServiceLoad;
using scheduler::State;

constexpr double kMillisPerSecond = 1'000.0;
constexpr double kMillicoresPerCore = 1'000.0;

double Seconds(Millis duration) { return static_cast<double>(duration.Count()) / kMillisPerSecond; }

double Cores(int64_t millicores) { return static_cast<double>(millicores) / kMillicoresPerCore; }

/// Returns the sum of a figure of all owned cells.
template <typename Read>
double SumOfCells(const State& state, Read read) {
  double sum = 0;
  for (const auto& [id, cell] : state.cells) sum += static_cast<double>(read(cell));
  return sum;
}

/// Returns the sum of an amount that all cells have reported for their services, in cores.
double SumOfReports(const State& state, int64_t ServiceLoad::*amount) {
  int64_t sum = 0;

  for (const auto& [id, load] : state.view.loads) {
    for (const auto& [service, report] : load.record.services) sum += report.*amount;
  }

  return Cores(sum);
}

}  // namespace

EntryMetrics::EntryMetrics(const State& state, const EntryCounts& counts) {
  const scheduler::Counts& scheduled = state.counts;

  AddTurns(counts);
  AddStoreCalls(scheduled);
  AddHistogram(prometheus::BuildHistogram()
                   .Name("currantpost_worker_lease_rest_seconds")
                   .Help("What was left of a worker's lease when its renewal was confirmed.")
                   .Register(registry_),
               {}, scheduled.lease_rests);
  AddCounters("currantpost_search_visits_total",
              "Passes over the jobs of a cell, and the jobs and other cells that these visit.",
              "what", scheduler::kSearchVisitNames, scheduled.search);
  AddCounters("currantpost_capacity_requests_total",
              "Requests for capacity to owners of other cells, by outcome.", "outcome",
              scheduler::kCapacityOutcomeNames, scheduled.capacity_requests);
  AddHolds(scheduled);
  AddWaits(scheduled);
  AddCounter("currantpost_wait_lines_omitted_total",
             "Log lines about waiting tasks that were left out, as there were many.",
             [&scheduled] { return scheduled.omitted_wait_lines; });
  AddCounter("currantpost_evictions_total",
             "Tasks stopped to make room for interrupted long-running ones.",
             [&scheduled] { return scheduled.evictions; });
  AddCounters("currantpost_jobs_refused_total", "Jobs that were not accepted, by reason.", "reason",
              scheduler::kRefusalNames, scheduled.refusals);
  AddCounters("currantpost_requests_rejected_total",
              "Callers' requests that did not reach the scheduler, by reason.", "reason",
              kRejectionNames, counts.rejections);
  AddCounters("currantpost_answers_total", "Answers of the scheduler to callers, by outcome.",
              "outcome", scheduler::kCallerOutcomeNames, counts.answers);
  AddCounters("currantpost_runs_lost_total", "Runs treated as lost, by reason.", "reason",
              scheduler::kLossReasonNames, scheduled.lost_runs);
  AddCounter("currantpost_lost_runs_completed_total",
             "Runs that were treated as lost and had completed their tasks.",
             [&scheduled] { return scheduled.completed_lost_runs; });
  AddCounter("currantpost_overdue_requests_total",
             "Requests of peers that were dropped because their senders no longer waited.",
             [&scheduled] { return scheduled.overdue_requests; });
  AddCounter("currantpost_lapsed_replies_total",
             "Replies of workers that list runs whose lease was not renewed in time.",
             [&scheduled] { return scheduled.lapsed_replies; });
  AddCounter("currantpost_log_lines_dropped_total",
             "Log lines dropped because their reader was too slow.", DroppedLogLines);
  AddGauges(state);
}

template <typename Label, Label kLast, typename Names>
void EntryMetrics::AddCounters(const char* name, const char* help, const char* label,
                               const Names& names,
                               const scheduler::CountsBy<Label, kLast>& counts) {
  auto& family = prometheus::BuildCounter().Name(name).Help(help).Register(registry_);

  for (const EnumName<Label>& row : names.Rows()) {
    counters_.push_back(CounterRow{&family.Add({{label, std::string(row.name)}}),
                                   [&counts, value = row.value] { return counts.Get(value); }});
  }
}

void EntryMetrics::AddCounter(const char* name, const char* help, std::function<uint64_t()> read) {
  auto& family = prometheus::BuildCounter().Name(name).Help(help).Register(registry_);
  counters_.push_back(CounterRow{&family.Add({}), std::move(read)});
}

void EntryMetrics::AddGauge(const char* name, const char* help, std::function<double()> read) {
  auto& family = prometheus::BuildGauge().Name(name).Help(help).Register(registry_);
  gauges_.push_back(GaugeRow{&family.Add({}), std::move(read)});
}

template <const auto& kBounds>
void EntryMetrics::AddHistogram(prometheus::Family<prometheus::Histogram>& family,
                                const prometheus::Labels& labels,
                                const scheduler::Durations<kBounds>& durations) {
  prometheus::Histogram::BucketBoundaries bounds;
  for (const int64_t bound : kBounds) bounds.push_back(Seconds(Millis(bound)));

  histograms_.push_back(
      HistogramRow{.histogram = &family.Add(labels, bounds),
                   .buckets = durations.Buckets(),
                   .sum = [&durations] { return durations.Sum(); },
                   .copied_buckets = std::vector<uint64_t>(durations.Buckets().size())});
}

void EntryMetrics::AddTurns(const EntryCounts& counts) {
  auto& lateness = prometheus::BuildHistogram()
                       .Name("currantpost_event_lateness_seconds")
                       .Help("How long events had waited when they were handled, by kind.")
                       .Register(registry_);
  auto& turns = prometheus::BuildHistogram()
                    .Name("currantpost_turn_seconds")
                    .Help("Time that the handling of an event took with all effects, by kind.")
                    .Register(registry_);

  for (size_t kind = 0; kind < scheduler::kEventKindNames.size(); ++kind) {
    const prometheus::Labels labels{{"kind", std::string(scheduler::kEventKindNames[kind])}};
    AddHistogram(lateness, labels, counts.lateness[kind]);
    AddHistogram(turns, labels, counts.turns[kind]);
  }
}

void EntryMetrics::AddStoreCalls(const scheduler::Counts& counts) {
  auto& family = prometheus::BuildHistogram()
                     .Name("currantpost_store_call_seconds")
                     .Help("Time until a call to the store was completed, by kind and outcome.")
                     .Register(registry_);

  for (const auto& call : scheduler::kStoreCallKindNames.Rows()) {
    for (const auto& status : scheduler::kStoreStatusNames.Rows()) {
      AddHistogram(
          family, {{"call", std::string(call.name)}, {"status", std::string(status.name)}},
          counts.store_calls[static_cast<size_t>(call.value)][static_cast<size_t>(status.value)]);
    }
  }
}

void EntryMetrics::AddHolds(const scheduler::Counts& counts) {
  AddCounters("currantpost_holds_total",
              "What happened to workers that are kept for tasks that have waited long.", "event",
              scheduler::kHoldEventNames, counts.holds);
  auto& family =
      prometheus::BuildHistogram()
          .Name("currantpost_hold_seconds")
          .Help("How long workers were kept for long-running tasks, by the event that ended it.")
          .Register(registry_);
  auto& short_family =
      prometheus::BuildHistogram()
          .Name("currantpost_short_task_hold_seconds")
          .Help("How long workers were kept for short tasks, by the event that ended it.")
          .Register(registry_);

  for (const auto& event : scheduler::kHoldEventNames.Rows()) {
    const prometheus::Labels labels{{"event", std::string(event.name)}};
    const auto number = static_cast<size_t>(event.value);
    AddHistogram(family, labels, counts.hold_times[number]);
    AddHistogram(short_family, labels, counts.short_hold_times[number]);
  }
}

void EntryMetrics::AddWaits(const scheduler::Counts& counts) {
  auto& family = prometheus::BuildHistogram()
                     .Name("currantpost_task_wait_seconds")
                     .Help("How long tasks waited for a worker until they were placed, by kind.")
                     .Register(registry_);

  for (const auto& kind : scheduler::kWaitKindNames.Rows()) {
    AddHistogram(family, {{"kind", std::string(kind.name)}},
                 counts.waits[static_cast<size_t>(kind.value)]);
  }
}

void EntryMetrics::AddGauges(const State& state) {
  AddGauge("currantpost_owned_cells", "Cells that this entry owns.",
           [&state] { return static_cast<double>(state.cells.size()); });
  AddGauge("currantpost_workers", "Workers of the owned cells.", [&state] {
    return SumOfCells(state, [](const auto& cell) { return cell.workers.size(); });
  });
  AddGauge("currantpost_jobs", "Jobs of the owned cells.", [&state] {
    return SumOfCells(state, [](const auto& cell) { return cell.jobs.size(); });
  });
  AddGauge(
      "currantpost_waiting_tasks", "Tasks of the owned cells that wait for a worker.",
      [&state] { return SumOfCells(state, [](const auto& cell) { return cell.waiting.size(); }); });
  AddGauge("currantpost_held_workers",
           "Workers of the owned cells kept for tasks that have waited long.", [&state] {
             return SumOfCells(state, [](const auto& cell) { return cell.holds.size(); });
           });
  AddGauge("currantpost_known_cells", "Cells that have reported their load.",
           [&state] { return static_cast<double>(state.view.loads.size()); });
  AddGauge("currantpost_reported_free_cores",
           "Processor cores that all cells report as free for tasks with reserved resources.",
           [&state] { return SumOfReports(state, &ServiceLoad::free); });
  AddGauge("currantpost_reported_waiting_cores",
           "Processor cores that waiting tasks with reserved resources need, by all reports.",
           [&state] { return SumOfReports(state, &ServiceLoad::waiting); });
  AddGauge("currantpost_processor_cores", "Processor cores that this process may use.",
           [&state] { return Cores(state.settings.millicores); });
}

std::string EntryMetrics::Text() {
  for (const CounterRow& row : counters_) {
    row.counter->Increment(static_cast<double>(row.read()) - row.counter->Value());
  }
  for (const GaugeRow& row : gauges_) row.gauge->Set(row.read());

  for (HistogramRow& row : histograms_) {
    std::vector<double> added;
    for (size_t bucket = 0; bucket < row.buckets.size(); ++bucket) {
      added.push_back(static_cast<double>(row.buckets[bucket] - row.copied_buckets[bucket]));
    }

    const Millis sum = row.sum();
    row.histogram->ObserveMultiple(added, Seconds(sum - row.copied_sum));
    row.copied_buckets.assign(row.buckets.begin(), row.buckets.end());
    row.copied_sum = sum;
  }

  return prometheus::TextSerializer().Serialize(registry_.Collect());
}

}  // namespace currantpost
