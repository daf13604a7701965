// SVG plots and the page around them.
#include "replay/Page.h"

#include <algorithm>
#include <cstdio>

namespace jj {

namespace {

    constexpr double width = 720;
    constexpr double height = 260;
    constexpr double left = 70;
    constexpr double right = 150; // room for the names of the curves
    constexpr double top = 30;
    constexpr double bottom = 40;
    constexpr int ticks = 5;
    constexpr const char* colours[] = { "#1b6ca8", "#c0392b", "#2e8b57", "#8e44ad", "#d68910", "#555555", "#16a085" };

    struct Range {
        double low_ = 0;
        double high_ = 1;
    };

    std::string escaped(const std::string& text)
    {
        std::string out;
        for (const char each : text) {
            if (each == '<')
                out += "&lt;";
            else if (each == '&')
                out += "&amp;";
            else
                out += each;
        }
        return out;
    }

    std::string number(double value)
    {
        char text[32];
        std::snprintf(text, sizeof text, "%.4g", value);
        return text;
    }

    std::string label(double x, double y, const char* anchor, const std::string& text)
    {
        return "<text x='" + number(x) + "' y='" + number(y) + "' text-anchor='" + anchor + "'>" + escaped(text) + "</text>\n";
    }

    Range rangeOf(const Plot& plot, bool ofX)
    {
        double low = ofX ? 1e300 : 0;
        double high = -1e300;
        for (const Curve& curve : plot.curves_) {
            for (const auto& point : curve.points_) {
                low = std::min(low, ofX ? point.first : point.second);
                high = std::max(high, ofX ? point.first : point.second);
            }
        }
        if (high <= low)
            return { std::min(low, 0.0), std::max(high, 1.0) };
        return { low, high };
    }

    class Axes {
    public:
        explicit Axes(const Plot& plot)
            : x_(rangeOf(plot, true))
            , y_(rangeOf(plot, false))
        {
        }

        double x(double value) const { return left + (value - x_.low_) / (x_.high_ - x_.low_) * (width - left - right); }
        double y(double value) const { return height - bottom - (value - y_.low_) / (y_.high_ - y_.low_) * (height - top - bottom); }

        std::string svg() const
        {
            std::string out = "<path d='M" + number(left) + " " + number(top) + "V" + number(height - bottom) + "H" + number(width - right) + "' class='axis'/>\n";
            for (int i = 0; i <= ticks; ++i) {
                const double atX = x_.low_ + (x_.high_ - x_.low_) * i / ticks;
                const double atY = y_.low_ + (y_.high_ - y_.low_) * i / ticks;
                out += label(x(atX), height - bottom + 15, "middle", number(atX));
                out += label(left - 6, y(atY) + 4, "end", number(atY));
            }
            return out;
        }

    private:
        Range x_;
        Range y_;
    };

} // namespace

std::string svgOf(const Plot& plot)
{
    const Axes axes(plot);
    std::string out = "<svg viewBox='0 0 " + number(width) + " " + number(height) + "' width='" + number(width) + "'>\n" + axes.svg();
    out += label(left, top - 12, "start", plot.title_ + "  [" + plot.yLabel_ + "]");
    out += label((left + width - right) / 2, height - 6, "middle", plot.xLabel_);
    for (std::size_t i = 0; i < plot.curves_.size(); ++i) {
        const Curve& curve = plot.curves_[i];
        const std::string colour = colours[i % std::size(colours)];
        std::string path;
        for (const auto& [x, y] : curve.points_)
            path.append(path.empty() ? "M" : "L").append(number(axes.x(x))).append(" ").append(number(axes.y(y)));
        out.append("<path d='").append(path).append("' fill='none' stroke='").append(colour).append("' stroke-width='1.5'/>\n");
        out.append("<g fill='").append(colour).append("'>").append(label(width - right + 10, top + 14 * static_cast<double>(i + 1), "start", curve.name_)).append("</g>\n");
    }
    return out + "</svg>\n";
}

std::string pageOf(const std::string& title, const std::string& text, const std::vector<Plot>& plots)
{
    std::string page = "<!doctype html><html lang='en'><head><meta charset='utf-8'><title>" + escaped(title)
        + "</title><style>body{font:14px sans-serif;margin:2em}svg{display:block;margin:1em 0}svg text{font-size:11px}.axis{fill:none;stroke:#999}</style></head><body>\n<h1>"
        + escaped(title) + "</h1>\n<pre>" + escaped(text) + "</pre>\n";
    for (const Plot& plot : plots)
        page += svgOf(plot);
    return page + "</body></html>\n";
}

std::vector<Plot> plotsOf(const Measures& measures)
{
    const auto plot = [&](const char* title, const char* unit, auto value) {
        Curve curve;
        for (std::size_t i = 0; i < measures.seconds_.size(); ++i)
            curve.points_.emplace_back(static_cast<double>(i), static_cast<double>(value(measures.seconds_[i])));
        return Plot { title, "seconds", unit, { curve } };
    };
    return {
        plot("Arrivals", "questions a second", [](const Second& each) { return each.arrivals_; }),
        plot("Queue at the homes", "requests", [](const Second& each) { return each.queued_; }),
        plot("Worst time to first token of the second's arrivals", "ms", [](const Second& each) { return each.firstTokenWorst_; }),
        plot("Batch", "tokens a second", [](const Second& each) { return each.batchTokens_; }),
        plot("Yields", "streams a second", [](const Second& each) { return each.yields_; }),
    };
}

} // namespace jj
