//! Stand-ins of the platform, its servers and clients, and the cases that use them.
//!
//! `standins CASE DIR` runs a case from the root of the repository, writes `record.txt` into DIR, and exits
//! with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. With `TROUBLE=0` it leaves
//! out the disruption.

mod client;
mod digests;
mod engine;
mod extra;
mod fleet;
mod http;
mod lengths;
mod model;
mod plain;
mod record;
mod server;
mod sha256;
mod store;
mod uploads;

use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;

use record::Record;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let (Some(case), Some(dir)) = (args.get(1), args.get(2)) else {
        eprintln!("usage: standins CASE DIR");
        return ExitCode::from(2);
    };
    let dir = Path::new(dir);
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let temp = std::env::temp_dir().join(format!("review-{case}-{}", std::process::id()));
    let result = std::fs::create_dir_all(&temp)
        .and_then(|()| Record::create(&dir.join("record.txt")))
        .and_then(|record| {
            let record = Arc::new(record);
            match case.as_str() {
                "digests" => digests::run(&temp, &record, has_trouble),
                "extra" => extra::run(&temp, &record, has_trouble),
                "lengths" => lengths::run(&temp, &record, has_trouble),
                "uploads" => uploads::run(&temp, &record, has_trouble),
                _ => Err(std::io::Error::other("no such case")),
            }
        });
    if std::env::var_os("KEEP_LOGS").is_none() {
        // Only the logs of this run are lost if it fails.
        let _ = std::fs::remove_dir_all(&temp);
    }
    match result {
        Ok(false) => {
            println!("the rule held");
            ExitCode::SUCCESS
        }
        Ok(true) => {
            println!("the rule was broken");
            ExitCode::from(1)
        }
        Err(e) => {
            println!("the case couldn't run: {e}");
            ExitCode::from(2)
        }
    }
}
