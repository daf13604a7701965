// Pages of plots: one HTML file with plain SVG, nothing to download.
#pragma once

#include "replay/Measures.h"

#include <string>
#include <utility>
#include <vector>

namespace jj {

struct Curve {
    std::string name_;
    // x and y.
    std::vector<std::pair<double, double>> points_;
};

struct Plot {
    std::string title_;
    std::string xLabel_;
    std::string yLabel_;
    std::vector<Curve> curves_;
};

std::string svgOf(const Plot& plot);
std::string pageOf(const std::string& title, const std::string& text, const std::vector<Plot>& plots);

// The time lines of one replay: arrivals, queue, time to first token, batch tokens a second, yields.
std::vector<Plot> plotsOf(const Measures& measures);

} // namespace jj
