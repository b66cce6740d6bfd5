//! The report as text.

use std::fmt::Write as _;
use std::time::SystemTime;

use crate::indicator::Burn;
use crate::report::{BoundReport, IndicatorReport, Report};

/// Gaps that are listed; the rest is counted.
const LISTED_GAPS: usize = 20;

/// Writes the report. Writing to a String does not fail, so the results are dropped.
pub(crate) fn write(report: &Report) -> String {
    let mut out = String::new();
    write_head(&mut out, report);
    for (name, service) in &report.services {
        let _ = writeln!(out, "\nservice {name}");
        for indicator in &service.indicators {
            write_indicator(&mut out, "  ", indicator);
        }
        write_bound(&mut out, "config in force", &service.in_force);
        write_bound(&mut out, "time to live", &service.time_to_live);
        for (customer, indicators) in &service.customers {
            let _ = writeln!(out, "  customer {customer}");
            let seen = indicators.iter().filter(|it| it.whole.events > 0.0);
            for indicator in seen {
                write_indicator(&mut out, "    ", indicator);
            }
        }
    }
    out
}

fn write_head(out: &mut String, report: &Report) {
    let (Some(from), Some(to)) = (report.from, report.to) else {
        out.push_str("no samples: scrape the processes' /metrics first\n");
        return;
    };
    let span = to.duration_since(from).unwrap_or_default();
    let windows = report.windows;
    let _ = writeln!(
        out,
        "service-level burn over {:.0} s; windows {:.0} s and {:.0} s",
        span.as_secs_f64(),
        windows.short.as_secs_f64(),
        windows.long.as_secs_f64()
    );
    if report.long_window_cut {
        out.push_str("the samples are shorter than the long window: its figures stand on less\n");
    }
    for service in &report.without_objectives {
        let _ = writeln!(
            out,
            "no objectives for service {service}: give its document"
        );
    }
    match report.gaps.len() {
        0 => out.push_str("no gaps in the data\n"),
        count => {
            let _ = writeln!(out, "{count} gaps in the data:");
        }
    }
    for gap in report.gaps.iter().take(LISTED_GAPS) {
        let _ = writeln!(
            out,
            "  {} from {:.0} s to {:.0} s: {}",
            gap.process,
            offset(from, gap.from),
            offset(from, gap.to),
            gap.what
        );
    }
}

fn write_indicator(out: &mut String, indent: &str, it: &IndicatorReport) {
    let bound = it
        .bound_s
        .map(|it| format!(" within {:.0} ms", it * 1000.0));
    let goal = format!("{}%{}", it.objective * 100.0, bound.unwrap_or_default());
    let left = match it.budget_left {
        Some(left) => format!("{:.1}% of the budget left", left * 100.0),
        None => "no events".to_owned(),
    };
    let _ = writeln!(
        out,
        "{indent}{:<15} {goal:<22} burn {:>8.2} short {:>8.2} long   {left}",
        it.kind.to_string(),
        it.short.rate,
        it.long.rate
    );
    if !it.exact {
        let _ = writeln!(
            out,
            "{indent}  the bound lies between two buckets: at most this"
        );
    }
    let causes = causes(&it.whole);
    if !causes.is_empty() {
        let _ = writeln!(out, "{indent}  burnt by {causes}");
    }
}

/// Lists the causes with their counts, the greatest first.
pub(crate) fn causes(burn: &Burn) -> String {
    let mut causes: Vec<(&String, &f64)> = burn.causes.iter().collect();
    causes.sort_by(|a, b| b.1.total_cmp(a.1));
    let texts = causes
        .iter()
        .map(|(name, count)| format!("{name} {count:.0} of {:.0}", burn.events));
    texts.collect::<Vec<_>>().join(", ")
}

fn write_bound(out: &mut String, name: &str, it: &BoundReport) {
    let _ = writeln!(
        out,
        "  {name:<15} within {:.0} s: {}",
        it.bound_s,
        bound_words(it)
    );
}

/// Says how a bound was kept.
pub(crate) fn bound_words(it: &BoundReport) -> String {
    if it.changes <= 0.0 {
        return "no change seen".to_owned();
    }
    let longest = match it.longest_s {
        Some(longest) => format!("longest at most {longest:.2} s"),
        None => "longest above the last bucket".to_owned(),
    };
    format!("{:.0} of {:.0} late, {longest}", it.late, it.changes)
}

/// Returns the seconds from `from` to `at`.
pub(crate) fn offset(from: SystemTime, at: SystemTime) -> f64 {
    at.duration_since(from).unwrap_or_default().as_secs_f64()
}
