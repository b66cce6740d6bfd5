//! The report as one HTML page.

use std::fmt::Write as _;

use crate::plot;
use crate::report::{BoundReport, IndicatorReport, Report, ServiceReport};
use crate::text::{bound_words, causes, offset};

const STYLE: &str = "
:root { color-scheme: light dark; --ink: #1c2430; --soft: #66707f; --line: #d6dbe2;
  --page: #fff; --bad: #b3261e; --good: #1b7f4b; --a: #2457c5; --b: #b25e00; --c: #7a3ea8;
  --gap: #f3d9a4; }
@media (prefers-color-scheme: dark) { :root { --ink: #e6e9ee; --soft: #9aa5b4; --line: #39424f;
  --page: #14181f; --bad: #ff8a80; --good: #6fd69b; --a: #8ab0ff; --b: #ffb866; --c: #cf9cf5;
  --gap: #5a4a22; } }
body { font: 15px/1.5 system-ui, sans-serif; color: var(--ink); background: var(--page);
  max-width: 60rem; margin: 2rem auto; padding: 0 1rem; }
h1 { font-size: 1.4rem; } h2 { font-size: 1.15rem; margin-top: 2rem; }
table { border-collapse: collapse; width: 100%; font-variant-numeric: tabular-nums; }
th, td { text-align: left; padding: .3rem .6rem; border-bottom: 1px solid var(--line);
  vertical-align: top; }
td.number, th.number { text-align: right; }
.soft { color: var(--soft); } .bad { color: var(--bad); font-weight: 600; }
.good { color: var(--good); }
svg { width: 100%; height: auto; margin: .6rem 0; }
svg text { fill: var(--soft); font-size: 11px; }
svg .grid { stroke: var(--line); } svg .limit { stroke: var(--bad); stroke-dasharray: 4 3; }
svg .gap { fill: var(--gap); opacity: .5; }
svg polyline { fill: none; stroke-width: 1.8; }
svg .answered { stroke: var(--a); } svg .first { stroke: var(--b); }
svg .between { stroke: var(--c); stroke-dasharray: 6 4; }
.key span { margin-right: 1.2rem; } .key .answered { color: var(--a); }
.key .first { color: var(--b); } .key .between { color: var(--c); }
";

/// Writes the page. Writing to a String does not fail, so the results are dropped.
pub(crate) fn write(report: &Report) -> String {
    let mut page = format!(
        "<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\">\
         <meta name=\"viewport\" content=\"width=device-width, initial-scale=1\">\
         <title>Service-level burn</title><style>{STYLE}</style></head><body>\
         <h1>Service-level burn</h1>"
    );
    write_head(&mut page, report);
    for (name, service) in &report.services {
        let _ = write!(page, "<h2>{}</h2>", escape(name));
        write_service(&mut page, report, service);
    }
    page.push_str("</body></html>\n");
    page
}

fn write_head(page: &mut String, report: &Report) {
    let (Some(from), Some(to)) = (report.from, report.to) else {
        page.push_str("<p class=\"bad\">No samples: scrape the processes' /metrics first.</p>");
        return;
    };
    let _ = write!(
        page,
        "<p class=\"soft\">{:.0} s of samples; windows {:.0} s and {:.0} s. At a burn rate of 1 \
         the budget lasts exactly for its period.</p>",
        offset(from, to),
        report.windows.short.as_secs_f64(),
        report.windows.long.as_secs_f64()
    );
    if report.long_window_cut {
        page.push_str(
            "<p>The samples are shorter than the long window: its figures stand on less.</p>",
        );
    }
    for service in &report.without_objectives {
        let service = escape(service);
        let _ = write!(
            page,
            "<p class=\"bad\">No objectives for {service}: give its document.</p>"
        );
    }
    if report.gaps.is_empty() {
        page.push_str("<p class=\"good\">No gaps in the data.</p>");
        return;
    }
    let _ = write!(
        page,
        "<details open><summary class=\"bad\">{} gaps in the data</summary><table><tr><th>process\
         </th><th class=\"number\">from</th><th class=\"number\">to</th><th>what</th></tr>",
        report.gaps.len()
    );
    for gap in &report.gaps {
        let _ = write!(
            page,
            "<tr><td>{}</td><td class=\"number\">{:.0} s</td><td class=\"number\">{:.0} s</td>\
             <td>{}</td></tr>",
            escape(&gap.process),
            offset(from, gap.from),
            offset(from, gap.to),
            escape(&gap.what)
        );
    }
    page.push_str("</table></details>");
}

fn write_service(page: &mut String, report: &Report, service: &ServiceReport) {
    page.push_str(&plot::burn_over_time(report, &service.indicators));
    page.push_str(
        "<p class=\"key soft\">Burn rate of the short window: <span class=\"answered\">answered\
         </span><span class=\"first\">first token</span><span class=\"between\">between tokens\
         </span>shaded: gaps</p>",
    );
    page.push_str(
        "<table><tr><th></th><th>objective</th><th class=\"number\">short</th>\
         <th class=\"number\">long</th><th class=\"number\">budget left</th><th>burnt by</th></tr>",
    );
    write_rows(page, None, &service.indicators);
    for (customer, indicators) in &service.customers {
        write_rows(page, Some(customer), indicators);
    }
    write_bound_row(page, "config in force", &service.in_force);
    write_bound_row(page, "time to live", &service.time_to_live);
    page.push_str("</table>");
}

fn write_rows(page: &mut String, customer: Option<&str>, indicators: &[IndicatorReport]) {
    let seen = |it: &&IndicatorReport| customer.is_none() || it.whole.events > 0.0;
    for it in indicators.iter().filter(seen) {
        let whose = customer.map(|it| format!("{}: ", escape(it)));
        let bound = it
            .bound_s
            .map(|it| format!(" within {:.0} ms", it * 1000.0));
        let inexact = if it.exact {
            ""
        } else {
            " (bound between two buckets: at most this)"
        };
        let left = match it.budget_left {
            Some(left) => format!("{:.1}%", left * 100.0),
            None => "no events".to_owned(),
        };
        let _ = write!(
            page,
            "<tr><td>{}{}</td><td>{}%{}{inexact}</td>{}{}<td class=\"number {}\">{left}</td>\
             <td>{}</td></tr>",
            whose.unwrap_or_default(),
            it.kind,
            it.objective * 100.0,
            bound.unwrap_or_default(),
            rate_cell(it.short.rate),
            rate_cell(it.long.rate),
            if it.budget_left.is_some_and(|left| left < 0.0) {
                "bad"
            } else {
                ""
            },
            escape(&causes(&it.whole))
        );
    }
}

fn rate_cell(rate: f64) -> String {
    let class = if rate > 1.0 { "number bad" } else { "number" };
    format!("<td class=\"{class}\">{rate:.2}</td>")
}

fn write_bound_row(page: &mut String, name: &str, it: &BoundReport) {
    let class = if it.late > 0.0 { "bad" } else { "" };
    let _ = write!(
        page,
        "<tr><td>{name}</td><td>each within {:.0} s</td><td colspan=\"4\" class=\"{class}\">{}</td>\
         </tr>",
        it.bound_s,
        bound_words(it)
    );
}

/// Writes a text so that it stands for itself in HTML.
fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
        .replace('"', "&quot;")
}
