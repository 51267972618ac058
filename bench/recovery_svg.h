// The drawing of a return: served worth over time, guided against plain, with the events marked, as an SVG.
#pragma once
#include <algorithm>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <string>

namespace granitegap::bench {

// `result`: the object that granitegap_bench_recovery prints.
inline std::string draw_return(const nlohmann::ordered_json& result) {
  constexpr double kWidth = 720, kHeight = 320, kLeft = 50, kRight = 14, kTop = 34, kBottom = 40, kMax = 1.4;
  const auto& guided = result.at("guided");
  const auto& plain = result.at("plain");
  const double from = guided.at("from_s").get<double>(), hit = guided.at("hit_s").get<double>();
  const double last = from + double(std::max(guided.at("worth").size(), plain.at("worth").size()));
  const auto x = [&](double s) { return kLeft + (kWidth - kLeft - kRight) * (s - from) / (last - from); };
  const auto y = [&](double w) {
    return kHeight - kBottom - (kHeight - kTop - kBottom) * std::min(w, kMax) / kMax;
  };
  std::string out;
  const auto add = [&](const char* form, auto... values) {
    char line[512];
    std::snprintf(line, sizeof line, form, values...);
    out += line;
    out += '\n';
  };
  add("<svg xmlns=\"http://www.w3.org/2000/svg\" viewBox=\"0 0 %g %g\" font-family=\"sans-serif\" "
      "font-size=\"12\">",
      kWidth, kHeight);
  add("<rect width=\"%g\" height=\"%g\" fill=\"white\"/>", kWidth, kHeight);
  for (double w = 0; w <= kMax; w += 0.2) {
    add("<path d=\"M%g %.1fH%g\" stroke=\"#ddd\"/>", kLeft, y(w), kWidth - kRight);
    add("<text x=\"%g\" y=\"%.1f\" text-anchor=\"end\" fill=\"#555\">%.1f</text>", kLeft - 6, y(w) + 4, w);
  }
  for (double s = 0; s <= last; s += 10)
    if (s >= from)
      add("<text x=\"%.1f\" y=\"%g\" text-anchor=\"middle\" fill=\"#555\">%g s</text>", x(s),
          kHeight - kBottom + 16, s);
  const auto mark = [&](double at, const char* what, int row) {
    if (at < from || at > last) return;
    add("<path d=\"M%.1f %gV%g\" stroke=\"#999\" stroke-dasharray=\"3 3\"/>", x(at), kTop - 8,
        kHeight - kBottom);
    add("<text x=\"%.1f\" y=\"%g\" fill=\"#333\">%s</text>", x(at) + 4, kTop + 4.0 + 14 * row, what);
  };
  mark(hit, "restart", 0);
  mark(hit + guided.at("floor_s").get<double>(), "kernels carry it", 1);
  if (const double full = guided.at("full_service_s"); full >= 0)
    mark(hit + full, "guided in full service", 2);
  if (const double full = plain.at("full_service_s"); full >= 0) mark(hit + full, "plain in full service", 3);
  const auto curve = [&](const nlohmann::ordered_json& worth, const char* colour, const char* dash) {
    std::string path;
    for (std::size_t k = 0; k < worth.size(); ++k) {
      char step[64];
      std::snprintf(step, sizeof step, "%c%.1f %.1f", k ? 'L' : 'M', x(from + double(k) + 0.5),
                    y(worth[k].get<double>()));
      path += step;
    }
    out += "<path d=\"" + path + "\" fill=\"none\" stroke=\"" + colour +
           "\" stroke-width=\"2\" stroke-dasharray=\"" + dash + "\"/>\n";
  };
  curve(plain.at("worth"), "#c0392b", "6 3");
  curve(guided.at("worth"), "#1f5fa8", "none");
  add("<path d=\"M%g %gh28\" stroke=\"#1f5fa8\" stroke-width=\"2\"/><text x=\"%g\" y=\"%g\">guided</text>",
      kLeft + 10, kHeight - 6, kLeft + 44, kHeight - 2);
  add("<path d=\"M%g %gh28\" stroke=\"#c0392b\" stroke-width=\"2\" stroke-dasharray=\"6 3\"/><text x=\"%g\" "
      "y=\"%g\">plain</text>",
      kLeft + 110, kHeight - 6, kLeft + 144, kHeight - 2);
  add("<text x=\"%g\" y=\"16\">served worth by the second in which requests were wanted, of the mean "
      "before</text>",
      kLeft);
  return out + "</svg>\n";
}

}  // namespace granitegap::bench
