//! Plots as inline SVG.

use std::fmt::Write as _;
use std::time::SystemTime;

use crate::report::{IndicatorReport, Report};
use crate::text::offset;

const WIDTH: f64 = 720.0;
const HEIGHT: f64 = 200.0;
const LEFT: f64 = 48.0;
const RIGHT: f64 = 12.0;
const TOP: f64 = 12.0;
const BOTTOM: f64 = 24.0;

/// Lowest upper end of the scale, so that a burn rate of 1 is always in sight.
const LOWEST_TOP: f64 = 2.0;

/// Classes of the lines, which the page's style sheet colours.
const LINES: [&str; 3] = ["answered", "first", "between"];

/// Draws the burn rate of `indicators` over time, with the report's gaps shaded.
///
/// Writing to a String does not fail, so the results are dropped.
pub(crate) fn burn_over_time(report: &Report, indicators: &[IndicatorReport]) -> String {
    let (Some(from), Some(to)) = (report.from, report.to) else {
        return String::new();
    };
    let scale = Scale::new(from, to, indicators);
    let mut svg = format!(
        "<svg viewBox=\"0 0 {WIDTH} {HEIGHT}\" role=\"img\" aria-label=\"burn rate over time\">"
    );
    for gap in &report.gaps {
        let x = scale.x(gap.from);
        let width = (scale.x(gap.to) - x).max(1.0);
        let height = HEIGHT - TOP - BOTTOM;
        let _ = write!(
            svg,
            "<rect class=\"gap\" x=\"{x:.1}\" y=\"{TOP}\" width=\"{width:.1}\" height=\"{height}\"/>"
        );
    }
    for value in scale.ticks() {
        let y = scale.y(value);
        let class = if value == 1.0 { "limit" } else { "grid" };
        let end = WIDTH - RIGHT;
        let _ = write!(
            svg,
            "<line class=\"{class}\" x1=\"{LEFT}\" x2=\"{end}\" y1=\"{y:.1}\" y2=\"{y:.1}\"/>\
             <text x=\"{:.1}\" y=\"{:.1}\" text-anchor=\"end\">{value}</text>",
            LEFT - 6.0,
            y + 4.0
        );
    }
    for (indicator, class) in indicators.iter().zip(LINES) {
        let points = indicator.over_time.iter();
        let points = points.map(|(at, rate)| format!("{:.1},{:.1}", scale.x(*at), scale.y(*rate)));
        let points = points.collect::<Vec<_>>().join(" ");
        let _ = write!(svg, "<polyline class=\"{class}\" points=\"{points}\"/>");
    }
    let seconds = offset(from, to);
    let base = HEIGHT - 6.0;
    let _ = write!(
        svg,
        "<text x=\"{LEFT}\" y=\"{base}\">0 s</text>\
         <text x=\"{:.1}\" y=\"{base}\" text-anchor=\"end\">{seconds:.0} s</text></svg>",
        WIDTH - RIGHT
    );
    svg
}

/// Where times and burn rates lie in the picture.
struct Scale {
    from: SystemTime,
    seconds: f64,
    top: f64,
}

impl Scale {
    fn new(from: SystemTime, to: SystemTime, indicators: &[IndicatorReport]) -> Self {
        let points = indicators.iter().flat_map(|it| &it.over_time);
        let highest = points.map(|point| point.1).fold(0.0, f64::max);
        Self {
            from,
            seconds: offset(from, to).max(1.0),
            top: highest.max(LOWEST_TOP),
        }
    }

    fn x(&self, at: SystemTime) -> f64 {
        LEFT + (WIDTH - LEFT - RIGHT) * offset(self.from, at) / self.seconds
    }

    /// Places a rate by its root: a short outage burns at hundreds, beside which 1 would vanish.
    fn y(&self, rate: f64) -> f64 {
        let height = HEIGHT - TOP - BOTTOM;
        HEIGHT - BOTTOM - height * (rate / self.top).sqrt()
    }

    fn ticks(&self) -> Vec<f64> {
        let mut ticks = vec![0.0, 1.0];
        ticks.extend(
            [10.0, 100.0, 1000.0, 10_000.0]
                .into_iter()
                .filter(|it| *it < self.top),
        );
        ticks
    }
}
