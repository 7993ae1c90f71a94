#include "currantpost/daemon/traffic_server_port.h"

#include <limits>
#include <string>
#include <utility>

namespace currantpost {
namespace {

using prometheus::ClientMetric;
using prometheus::MetricFamily;
using prometheus::MetricType;

/// One figure that needs no labels.
struct FigureRow {
  const char* name;
  const char* help;
  MetricType type;
  int64_t TrafficMetrics::*value;
};

constexpr FigureRow kFigureRows[] = {
    {"currantpost_requests_shed_total", "Requests refused to keep the load down.",
     MetricType::Counter, &TrafficMetrics::shed},
    {"currantpost_attempts_total", "Attempts at upstreams.", MetricType::Counter,
     &TrafficMetrics::attempts},
    {"currantpost_retries_total", "Attempts made again after a failure.", MetricType::Counter,
     &TrafficMetrics::retries},
    {"currantpost_hedges_total", "Attempts made beside a slow one.", MetricType::Counter,
     &TrafficMetrics::hedges},
    {"currantpost_budget_refusals_total", "Further attempts that the budgets did not allow.",
     MetricType::Counter, &TrafficMetrics::budget_refusals},
    {"currantpost_silent_connections_total",
     "Upstream connections given up after they went silent.", MetricType::Counter,
     &TrafficMetrics::silent_connections},
    {"currantpost_crossed_answers_total", "Answers that belonged to another request.",
     MetricType::Counter, &TrafficMetrics::crossed_answers},
    {"currantpost_upstream_connections_made_total", "Connections made to upstreams.",
     MetricType::Counter, &TrafficMetrics::connections_made},
    {"currantpost_queue_length", "Requests that wait for a slot.", MetricType::Gauge,
     &TrafficMetrics::queue_length},
    {"currantpost_requests_in_flight", "Requests without an answer yet.", MetricType::Gauge,
     &TrafficMetrics::requests_in_flight},
};

/// One way in which a request ends.
struct OutcomeRow {
  const char* outcome;
  int64_t TrafficMetrics::*value;
};

constexpr OutcomeRow kOutcomeRows[] = {
    {"completed", &TrafficMetrics::completed},
    {"not_run", &TrafficMetrics::not_run},
    {"unknown", &TrafficMetrics::unknown},
};

MetricFamily FamilyOf(const FigureRow& row, const TrafficMetrics& metrics) {
  ClientMetric metric;
  const auto value = static_cast<double>(metrics.*row.value);
  metric.counter.value = value;
  metric.gauge.value = value;

  return MetricFamily{.name = row.name, .help = row.help, .type = row.type, .metric = {metric}};
}

MetricFamily OutcomeFamily(const TrafficMetrics& metrics) {
  MetricFamily family{.name = "currantpost_requests_total",
                      .help = "Callers' requests, by outcome.",
                      .type = MetricType::Counter};

  for (const OutcomeRow& row : kOutcomeRows) {
    ClientMetric& metric = family.metric.emplace_back();
    metric.label = {ClientMetric::Label{.name = "outcome", .value = row.outcome}};
    metric.counter.value = static_cast<double>(metrics.*row.value);
  }

  return family;
}

MetricFamily LatencyFamily(const TrafficMetrics& metrics) {
  constexpr double kMillisPerSecond = 1'000;
  ClientMetric metric;
  uint64_t count = 0;

  for (size_t index = 0; index < metrics.latency_buckets.size(); ++index) {
    const bool is_last = index == kLatencyBoundsMillis.size();
    const double bound = is_last
                             ? std::numeric_limits<double>::infinity()
                             : static_cast<double>(kLatencyBoundsMillis[index]) / kMillisPerSecond;

    count += static_cast<uint64_t>(metrics.latency_buckets[index]);
    metric.histogram.bucket.push_back(
        ClientMetric::Bucket{.cumulative_count = count, .upper_bound = bound});
  }

  metric.histogram.sample_count = count;
  metric.histogram.sample_sum = static_cast<double>(metrics.latency_sum_millis) / kMillisPerSecond;

  return MetricFamily{.name = "currantpost_request_seconds",
                      .help = "Time from a caller's request to its answer, of completed ones.",
                      .type = MetricType::Histogram,
                      .metric = {metric}};
}

}  // namespace

void TrafficServerPort::Publish(std::shared_ptr<const RoutingSnapshot> snapshot) {
  server_.Publish(std::move(snapshot));
}

TrafficReported TrafficServerPort::TakeReport() {
  TrafficReport report = server_.TakeReport();

  return TrafficReported{.upstreams = std::move(report.upstreams),
                         .requests_in_flight = report.requests_in_flight};
}

std::vector<MetricFamily> TrafficServerPort::Collect() const {
  const TrafficMetrics metrics = server_.Metrics();
  std::vector<MetricFamily> families = {OutcomeFamily(metrics), LatencyFamily(metrics)};

  for (const FigureRow& row : kFigureRows) families.push_back(FamilyOf(row, metrics));

  return families;
}

}  // namespace currantpost
