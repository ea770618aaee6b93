#include "load/slope_report.h"

#include <algorithm>
#include <filesystem>
#include <system_error>

#include "absl/strings/str_cat.h"
#include "load/phase_report.h"

namespace pomelotray {
namespace {

constexpr double kKibPerMib = 1024;

double Value(const SlopePoint& point, const std::string& name) {
  const auto it = point.find(name);
  return it == point.end() ? 0 : it->second;
}

double Mean(const std::vector<SlopePoint>& points, const std::string& name) {
  double sum = 0;
  for (const SlopePoint& point : points) {
    sum += Value(point, name);
  }
  return points.empty() ? 0 : sum / static_cast<double>(points.size());
}

Result<std::vector<SlopePoint>> ReadSeries(const std::string& folder, const std::string& series) {
  std::vector<SlopePoint> points;
  std::error_code error;
  for (const std::filesystem::directory_entry& entry :
       std::filesystem::directory_iterator(folder, error)) {
    const std::string name = entry.path().filename().string();
    if (name.rfind(series + "-", 0) == 0 && entry.path().extension() == ".json") {
      BOOST_LEAF_AUTO(point, ReadSlopePoint(entry.path().string()));
      points.push_back(point);
    }
  }
  std::sort(points.begin(), points.end(), [&series](const SlopePoint& a, const SlopePoint& b) {
    return Value(a, series) < Value(b, series);
  });
  return points;
}

void ReportSeries(const std::string& series, const std::vector<SlopePoint>& points,
                  BenchReport* report) {
  for (const SlopePoint& point : points) {
    BenchReport::Row row;
    for (const char* size : {"workers", "instances", "running", "queued"}) {
      row[size] = Value(point, size);
    }
    for (const auto& [name, value] : point) {
      if (!row.contains(name)) {
        row[name] = Rounded(value);
      }
    }
    report->AddRow("points_" + series, row);
  }
  report->AddRow("slopes",
                 {{"per_unit_of", series},
                  {"points", points.size()},
                  {"cpu_ms_s", Rounded(Slope(points, series, "cpu_ms_s"))},
                  {"resident_kib", Rounded(Slope(points, series, "resident_mib") * kKibPerMib)},
                  {"anonymous_kib", Rounded(Slope(points, series, "anonymous_mib") * kKibPerMib)},
                  {"threads", Rounded(Slope(points, series, "threads"))},
                  {"worker_bytes_s", Rounded(Slope(points, series, "worker_bytes_s"))},
                  {"peer_bytes_s", Rounded(Slope(points, series, "peer_bytes_s"))},
                  {"store_calls_s", Rounded(Slope(points, series, "store_calls_s"))}});
}

}  // namespace

double Slope(const std::vector<SlopePoint>& points, const std::string& size,
             const std::string& figure) {
  const double mean_size = Mean(points, size);
  const double mean_figure = Mean(points, figure);
  double products = 0;
  double squares = 0;
  for (const SlopePoint& point : points) {
    const double deviation = Value(point, size) - mean_size;
    products += deviation * (Value(point, figure) - mean_figure);
    squares += deviation * deviation;
  }
  return squares > 0 ? products / squares : 0;
}

Result<void> ReportSlopes(const std::string& folder, BenchReport* report) {
  for (const char* series : {"workers", "instances", "running", "queued"}) {
    BOOST_LEAF_AUTO(points, ReadSeries(folder, series));
    if (points.size() < 2) {
      return Fail(ErrorKind::kNotFound, absl::StrCat("Folder ", folder, " contains ", points.size(),
                                                     " measurements of the series ", series,
                                                     "; a slope needs at least two."));
    }
    ReportSeries(series, points, report);
  }
  return {};
}

}  // namespace pomelotray
