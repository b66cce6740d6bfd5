//! A plot of bursts: two rows of bars, time over bound and origin copies.

use std::fmt::Write as _;

use super::outcome::BurstOutcome;

const LEFT: f64 = 56.0;
const ROW: f64 = 210.0;
const BARS: f64 = 130.0;
const BAR: f64 = 34.0;
const GAP: f64 = 26.0;
const TOP: f64 = 36.0;

/// Least width, at which the titles have room.
const NARROWEST: f64 = 460.0;

/// Draws outcomes as an SVG picture. Writing to a String does not fail.
pub fn to_svg(outcomes: &[BurstOutcome]) -> String {
    let bars = LEFT + (BAR + GAP) * outcomes.len() as f64 + GAP;
    let width = bars.max(NARROWEST);
    let height = 2.0 * ROW + 20.0;
    let mut svg = format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" viewBox=\"0 0 {width} {height}\" \
         font-family=\"sans-serif\" font-size=\"10\">\
         <rect width=\"{width}\" height=\"{height}\" fill=\"#fff\"/>"
    );
    let ratios: Vec<f64> = outcomes.iter().map(BurstOutcome::ratio).collect();
    let copies: Vec<f64> = outcomes.iter().map(|it| it.origin_copies).collect();
    draw_row(
        &mut svg,
        0.0,
        width,
        "time until the replicas hold the weights / bound",
        &ratios,
        outcomes,
    );
    draw_row(
        &mut svg,
        ROW,
        width,
        "copies drawn from the origin",
        &copies,
        outcomes,
    );
    svg.push_str("</svg>\n");
    svg
}

fn draw_row(
    svg: &mut String,
    offset: f64,
    width: f64,
    title: &str,
    values: &[f64],
    outcomes: &[BurstOutcome],
) {
    let highest = values.iter().copied().fold(1.0, f64::max);
    let base = offset + TOP + BARS;
    // By the root, so that a baseline's sixteen copies leave room to read 1.0 from 1.1.
    let y = |value: f64| base - BARS * (value / highest).sqrt();
    let _ = write!(
        svg,
        "<text x=\"{LEFT}\" y=\"{:.1}\" font-size=\"13\" fill=\"#1c2430\">{title}</text>",
        offset + 18.0
    );
    for tick in [0.0, 1.0, 2.0, 4.0, 8.0, 16.0, 32.0, 64.0] {
        if tick > highest {
            break;
        }
        let at = y(tick);
        let stroke = if tick == 1.0 { "#b3261e" } else { "#d6dbe2" };
        let _ = write!(
            svg,
            "<line x1=\"{LEFT}\" x2=\"{width}\" y1=\"{at:.1}\" y2=\"{at:.1}\" stroke=\"{stroke}\"/>\
             <text x=\"{:.1}\" y=\"{:.1}\" text-anchor=\"end\" fill=\"#66707f\">{tick}</text>",
            LEFT - 6.0,
            at + 3.0
        );
    }
    for ((value, outcome), n) in values.iter().zip(outcomes).zip(0_u32..) {
        let x = LEFT + GAP + (BAR + GAP) * f64::from(n);
        let middle = x + BAR / 2.0;
        let top = y(*value);
        let fill = if outcome.policy == "balanced" {
            "#2457c5"
        } else {
            "#9aa5b4"
        };
        let _ = write!(
            svg,
            "<rect x=\"{x:.1}\" y=\"{top:.1}\" width=\"{BAR}\" height=\"{:.1}\" fill=\"{fill}\"/>\
             <text x=\"{middle:.1}\" y=\"{:.1}\" text-anchor=\"middle\" fill=\"#1c2430\">{value:.2}\
             </text>",
            base - top,
            top - 4.0
        );
        let labels = [&outcome.policy, &outcome.house, &outcome.fault];
        for (label, line) in labels.into_iter().zip(1_u32..) {
            let _ = write!(
                svg,
                "<text x=\"{middle:.1}\" y=\"{:.1}\" text-anchor=\"middle\" fill=\"#66707f\" \
                 font-size=\"9\">{label}</text>",
                base + 11.0 * f64::from(line)
            );
        }
    }
}
