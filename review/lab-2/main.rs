//! The stand-ins and scripts of the second review. One program: `lab CASE FOLDER` plays a case against the
//! programs in `target/release`, and `lab engine ...` is one engine in a process of its own.

mod client;
mod crash;
mod engine;
mod extra;
mod gap;
mod http;
mod record;
mod rot;
mod store;
mod streams;
mod tenants;
mod weights;
mod world;

use std::fs::File;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use engine::{Engine, Setup};
use record::Record;

/// Files that an engine in a process of its own holds open.
const ENGINE_FILES: usize = 800;

/// How a case ended.
pub enum Verdict {
    Broken(String),
    Held(String),
}

pub type Outcome = Result<Verdict, String>;

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let code = match args.iter().map(String::as_str).collect::<Vec<_>>()[..] {
        ["engine", id, addr, ref figures @ ..] => run_engine(id, addr, figures),
        [case, folder] => play(case, folder),
        _ => {
            eprintln!("usage: lab CASE FOLDER");
            2
        }
    };
    std::process::exit(code);
}

/// Plays a case; returns 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
fn play(case: &str, folder: &str) -> i32 {
    let path = Path::new(folder).join("record.txt");
    let record = match File::create(&path) {
        Ok(file) => Arc::new(Record::new(Box::new(file))),
        Err(e) => {
            eprintln!("{}: {e}", path.display());
            return 2;
        }
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |it| it != "0");
    record.note(&format!("case={case} trouble={has_trouble}"));
    let outcome = match case {
        "crash" => crash::play(&record, has_trouble),
        "extra" => extra::play(&record, has_trouble),
        "rot" => rot::play(&record, has_trouble),
        "gap" => gap::play(&record, has_trouble),
        "tenants" => tenants::play(&record, has_trouble),
        _ => Err("no such case".to_owned()),
    };
    let (code, text) = match outcome {
        Ok(Verdict::Broken(text)) => (1, format!("BROKEN {text}")),
        Ok(Verdict::Held(text)) => (0, format!("HELD {text}")),
        Err(text) => (2, format!("NOT RUN {text}")),
    };
    record.note(&text);
    println!("{text}");
    code
}

fn run_engine(id: &str, addr: &str, figures: &[&str]) -> i32 {
    let setup = (|| {
        let [born, version, is_unframed, batch] = figures else {
            return None;
        };
        Some(Setup {
            id: id.to_owned(),
            addr: addr.parse().ok()?,
            is_model: true,
            born: born.parse().ok()?,
            version: version.parse().ok()?,
            slots: 16,
            work: Duration::ZERO,
            is_unframed: *is_unframed == "true",
            batch: batch.parse().ok()?,
        })
    })();
    let Some(setup) = setup else {
        return 2;
    };
    let record = Arc::new(Record::new(Box::new(std::io::stdout())));
    match Engine::start(setup, record) {
        // Ended by a signal of the process that started it, or after the longest case.
        Ok(_) => {
            // An engine holds files open: its weights, logs, devices.
            let files = (0..ENGINE_FILES).map(|_| File::open("/dev/null"));
            let _open: Vec<File> = files.map_while(Result::ok).collect();
            std::thread::sleep(Duration::from_secs(120));
            0
        }
        Err(e) => {
            eprintln!("{e}");
            2
        }
    }
}
