//! `wagtailreel report`: service-level burn from the processes' metrics.

use std::collections::BTreeMap;
use std::ffi::OsString;
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime};

use http::Method;
use snafu::ResultExt as _;
use wagtailreel_core::{Objectives, ServiceName};
use wagtailreel_report::{Report, Samples, Windows};

use super::{block_on, check};
use crate::admin::AdminClient;
use crate::args::{Options, read_text};
use crate::error::{CommandError, NoMetricsSnafu, UsageSnafu, WriteFileSnafu};

/// Scrapes made when `--samples` is not given.
const DEFAULT_SAMPLES: u64 = 12;

/// Time between scrapes when `--every-ms` is not given.
const DEFAULT_INTERVAL_MS: u64 = 5_000;

/// Form in which the report is written.
#[derive(Clone, Copy, Debug)]
enum Format {
    Text,
    Json,
    Html,
}

/// What is scraped, how often.
struct Plan {
    processes: Vec<(String, AdminClient)>,
    samples: u64,
    interval: Duration,
}

pub(super) fn run(args: Vec<OsString>) -> Result<(), CommandError> {
    let known = [
        "metrics", "document", "samples", "every-ms", "short-s", "long-s", "format", "out",
    ];
    let options = Options::parse(args, &known)?;
    options.no_words()?;
    let format = format_of(options.get("format").unwrap_or("text"))?;
    let objectives = objectives(options.all("document"))?;
    let windows = windows(&options)?;
    let plan = plan(&options)?;
    let samples = block_on(None, scrape(&plan))?;
    if samples.span().is_none() {
        let urls = options.all("metrics").join(", ");
        return NoMetricsSnafu { urls }.fail();
    }
    let report = Report::compute(&samples, &objectives, windows);
    let text = match format {
        Format::Text => report.to_text(),
        Format::Json => format!("{:#}\n", report.to_json()),
        Format::Html => report.to_html(),
    };
    write_out(options.get("out"), &text)
}

fn format_of(name: &str) -> Result<Format, CommandError> {
    match name {
        "text" => Ok(Format::Text),
        "json" => Ok(Format::Json),
        "html" => Ok(Format::Html),
        other => UsageSnafu {
            what: format!("--format {other}: write text, json or html"),
        }
        .fail(),
    }
}

fn objectives(paths: &[String]) -> Result<BTreeMap<ServiceName, Objectives>, CommandError> {
    if paths.is_empty() {
        return UsageSnafu {
            what: "--document is missing: the objectives are in it",
        }
        .fail();
    }
    let mut objectives = BTreeMap::new();
    for path in paths {
        let path = Path::new(path);
        let document = check::checked(path, &read_text(path)?)?;
        objectives.insert(document.service, document.objectives);
    }
    Ok(objectives)
}

fn windows(options: &Options) -> Result<Windows, CommandError> {
    let standard = Windows::default();
    let short = number(options, "short-s", standard.short.as_secs())?;
    let long = number(options, "long-s", standard.long.as_secs())?;
    if short == 0 || long < short {
        let what = "--short-s has to be above 0 and at most --long-s";
        return UsageSnafu { what }.fail();
    }
    Ok(Windows {
        short: Duration::from_secs(short),
        long: Duration::from_secs(long),
    })
}

fn plan(options: &Options) -> Result<Plan, CommandError> {
    let urls = options.all("metrics");
    if urls.is_empty() {
        return UsageSnafu {
            what: "--metrics is missing: name each process's listener",
        }
        .fail();
    }
    let mut processes = Vec::with_capacity(urls.len());
    for url in urls {
        processes.push((url.clone(), AdminClient::new(url)?));
    }
    Ok(Plan {
        processes,
        samples: number(options, "samples", DEFAULT_SAMPLES)?.max(2),
        interval: Duration::from_millis(number(options, "every-ms", DEFAULT_INTERVAL_MS)?),
    })
}

fn number(options: &Options, name: &str, standard: u64) -> Result<u64, CommandError> {
    Ok(options.number(name)?.unwrap_or(standard))
}

/// Scrapes every process as often as planned; a scrape that fails is a gap, not an error.
async fn scrape(plan: &Plan) -> Samples {
    let mut samples = Samples::new();
    let mut ticks = tokio::time::interval(plan.interval.max(Duration::from_millis(1)));
    for _ in 0..plan.samples {
        ticks.tick().await;
        for (name, client) in &plan.processes {
            scrape_one(&mut samples, name, client).await;
        }
    }
    samples
}

async fn scrape_one(samples: &mut Samples, name: &str, client: &AdminClient) {
    let answer = client.call(Method::GET, "/metrics", String::new()).await;
    let at = SystemTime::now();
    let added = match answer {
        Ok(answer) if answer.status == 200 => samples.add(at, name, &answer.body).is_ok(),
        Ok(_) | Err(_) => false,
    };
    if !added {
        samples.add_failure(at, name);
    }
}

fn write_out(out: Option<&str>, text: &str) -> Result<(), CommandError> {
    let Some(out) = out else {
        print!("{text}");
        return Ok(());
    };
    let path = PathBuf::from(out);
    std::fs::write(&path, text).context(WriteFileSnafu { path })
}
