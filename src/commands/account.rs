//! `wagtailreel account`: what requests were lost to, read from the processes' log lines.

use std::ffi::OsString;
use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::time::Duration;

use snafu::ResultExt as _;
use wagtailreel_account::{Account, AccountConfig, Trail};

use crate::args::Options;
use crate::error::{CommandError, ReadFileSnafu, UsageSnafu};

/// The word that stands for standard input.
const STANDARD_INPUT: &str = "-";

/// Form in which the account is written.
#[derive(Clone, Copy, Debug)]
enum Format {
    Text,
    Json,
}

pub(super) fn run(args: Vec<OsString>) -> Result<(), CommandError> {
    let options = Options::parse(args, &["late-ms", "id", "format"])?;
    let format = format_of(options.get("format").unwrap_or("text"))?;
    let cfg = AccountConfig {
        late_after: options.number("late-ms")?.map(Duration::from_millis),
    };
    let paths = log_files(options.words())?;
    if let Some(id) = options.get("id") {
        let mut trail = Trail::new(id);
        read_lines(&paths, |line| trail.take_line(line))?;
        print!("{}", trail.to_text());
        return Ok(());
    }
    let mut account = Account::new(cfg);
    read_lines(&paths, |line| account.take_line(line))?;
    let summary = account.summary();
    match format {
        Format::Text => print!("{}", summary.to_text()),
        Format::Json => println!("{:#}", serde_json::json!(summary)),
    }
    Ok(())
}

fn format_of(name: &str) -> Result<Format, CommandError> {
    match name {
        "text" => Ok(Format::Text),
        "json" => Ok(Format::Json),
        other => UsageSnafu {
            what: format!("--format {other}: write text or json"),
        }
        .fail(),
    }
}

/// Returns the files that are named, and those of the folders that are named, in the order of names.
fn log_files(words: &[String]) -> Result<Vec<PathBuf>, CommandError> {
    if words.is_empty() {
        let what = "name files or folders with log lines, or `-` for standard input";
        return UsageSnafu { what }.fail();
    }
    let mut files = Vec::new();
    for word in words {
        let path = PathBuf::from(word);
        if path.is_dir() {
            files.extend(files_in(&path)?);
        } else {
            files.push(path);
        }
    }
    Ok(files)
}

fn files_in(folder: &Path) -> Result<Vec<PathBuf>, CommandError> {
    let mut files = Vec::new();
    let context = || ReadFileSnafu {
        path: folder.to_owned(),
    };
    for entry in std::fs::read_dir(folder).with_context(|_| context())? {
        let path = entry.with_context(|_| context())?.path();
        if path.is_file() {
            files.push(path);
        }
    }
    files.sort();
    Ok(files)
}

/// Gives each line of each file to `take`. A line that is no text is given as far as it is one.
fn read_lines<F>(paths: &[PathBuf], mut take: F) -> Result<(), CommandError>
where
    F: FnMut(&str),
{
    for path in paths {
        let context = || ReadFileSnafu { path: path.clone() };
        if path.as_os_str() == STANDARD_INPUT {
            each_line(std::io::stdin().lock(), &mut take).with_context(|_| context())?;
        } else {
            let f = File::open(path).with_context(|_| context())?;
            each_line(BufReader::new(f), &mut take).with_context(|_| context())?;
        }
    }
    Ok(())
}

fn each_line<R, F>(mut reader: R, take: &mut F) -> std::io::Result<()>
where
    R: BufRead,
    F: FnMut(&str),
{
    let mut buf = Vec::new();
    while reader.read_until(b'\n', &mut buf)? > 0 {
        take(&String::from_utf8_lossy(&buf));
        buf.clear();
    }
    Ok(())
}
