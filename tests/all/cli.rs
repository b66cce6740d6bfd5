//! The command lines: help, version, exit codes and what is said of mistakes.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::fs;
use std::io::Write as _;
use std::net::TcpListener;
use std::path::Path;
use std::process::{Command, Output, Stdio};

use rstest::rstest;
use tempfile::TempDir;

const TOOL: &str = env!("CARGO_BIN_EXE_wagtailreel");
const AGENT: &str = env!("CARGO_BIN_EXE_wagtailreel-agent");

/// Exit codes, as the pages give them.
const DONE: i32 = 0;
const FAILED: i32 = 1;
const USAGE: i32 = 2;
const REFUSED: i32 = 3;
const UNKNOWN: i32 = 4;

const DOCUMENT: &str = "\
service: wagtail-scribes
model: { name: epitaph, version: \"2\" }
where:
  - { data_centre: quito-hall, vms: all, ready: 3 }
priority: high
";

/// What a program did.
struct Ran {
    code: i32,
    out: String,
    err: String,
}

impl From<Output> for Ran {
    fn from(output: Output) -> Self {
        Self {
            code: output.status.code().unwrap(),
            out: String::from_utf8(output.stdout).unwrap(),
            err: String::from_utf8(output.stderr).unwrap(),
        }
    }
}

/// Returns the command without a token in its environment.
fn command(program: &str, args: &[&str]) -> Command {
    let mut command = Command::new(program);
    command.args(args).env_remove("WAGTAILREEL_TOKEN");
    command
}

fn run(program: &str, args: &[&str]) -> Ran {
    command(program, args).output().unwrap().into()
}

fn run_with_input(args: &[&str], input: &str) -> Ran {
    let mut command = command(TOOL, args);
    command.stdin(Stdio::piped());
    command.stdout(Stdio::piped()).stderr(Stdio::piped());
    let mut child = command.spawn().unwrap();
    child
        .stdin
        .take()
        .unwrap()
        .write_all(input.as_bytes())
        .unwrap();
    child.wait_with_output().unwrap().into()
}

/// Writes `text` to a file in `dir` and returns its path.
fn file(dir: &TempDir, text: &str) -> String {
    let path = dir.path().join("input.yaml");
    fs::write(&path, text).unwrap();
    path.to_str().unwrap().to_owned()
}

/// Serves one connection with `answer` and returns the address; an empty answer cuts it.
fn serve_once(answer: &'static str) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let url = format!("http://{}", listener.local_addr().unwrap());
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut head = [0; 4096];
        let _ = std::io::Read::read(&mut stream, &mut head).unwrap();
        stream.write_all(answer.as_bytes()).unwrap();
    });
    url
}

#[test]
fn events_page() {
    let ran = run(TOOL, &["events"]);
    assert_eq!(ran.code, DONE, "{}", ran.err);
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("docs/events.md");
    let page = fs::read_to_string(page).unwrap();
    let start = page.find("| event |").unwrap();
    assert!(
        page[start..] == ran.out,
        "docs/events.md is stale: put what `wagtailreel events` prints under its head"
    );
}

#[rstest]
#[case::tool(TOOL, "--help", "usage: wagtailreel COMMAND")]
#[case::tool_short(TOOL, "-h", "exit codes: 0 done, 1 failed, 2 wrong usage")]
#[case::agent(AGENT, "--help", "usage: wagtailreel-agent --settings FILE")]
#[case::tool_version(TOOL, "--version", concat!("wagtailreel ", env!("CARGO_PKG_VERSION")))]
#[case::agent_version(
    AGENT,
    "--version",
    concat!("wagtailreel-agent ", env!("CARGO_PKG_VERSION"))
)]
fn help_and_version(#[case] program: &str, #[case] arg: &str, #[case] expected: &str) {
    let ran = run(program, &[arg]);
    assert_eq!(ran.code, DONE);
    assert!(ran.out.contains(expected), "{}", ran.out);
    assert_eq!(ran.err, "");
}

#[rstest]
#[case::no_command(TOOL, &[], "a command is missing")]
#[case::other_command(TOOL, &["migrate"], "`migrate` is not a command")]
#[case::other_option(TOOL, &["events", "--all", "yes"], "--all")]
#[case::no_settings(TOOL, &["entry"], "--settings is missing")]
#[case::no_value(TOOL, &["entry", "--settings"], "--settings")]
#[case::no_file(TOOL, &["check"], "FILE is missing")]
#[case::two_files(TOOL, &["check", "a.yaml", "b.yaml"], "one word too many")]
#[case::absent_file(TOOL, &["check", "absent.yaml"], "absent.yaml can't be read")]
#[case::no_admin(TOOL, &["status", "wagtail-scribes"], "--admin is missing")]
#[case::bad_url(TOOL, &["show", "wagtail-scribes", "--admin", "10.0.0.1"], "http://IP:PORT")]
#[case::no_token(
    TOOL,
    &["history", "wagtail-scribes", "--admin", "http://127.0.0.1:1"],
    "no token"
)]
#[case::no_metrics(TOOL, &["report"], "--document is missing")]
#[case::agent_word(AGENT, &["now"], "one word too many")]
#[case::agent_settings(AGENT, &[], "--settings is missing")]
fn wrong_usage(#[case] program: &str, #[case] args: &[&str], #[case] expected: &str) {
    let ran = run(program, args);
    assert_eq!(ran.code, USAGE, "{}", ran.err);
    assert!(ran.err.contains(expected), "{}", ran.err);
    assert_eq!(ran.out, "");
}

#[rstest]
#[case::entry(
    TOOL,
    &["entry"],
    "vm: QH-E1\nlisten: {callers: here}\nlease_ms: -1\n",
    &["`vm`", "`data_centre`", "`listen.callers`", "`lease_ms`", "`platform`"]
)]
#[case::agent(
    AGENT,
    &[],
    "vm: qh-u1\nservice: Wagtail\nlisten: {data: here}\n",
    &["`service`", "`data_centre`", "`listen.data`", "`platform`"]
)]
fn settings_mistakes(
    #[case] program: &str,
    #[case] words: &[&str],
    #[case] yaml: &str,
    #[case] places: &[&str],
) {
    let dir = TempDir::new().unwrap();
    let path = file(&dir, yaml);
    let args = [words, &["--settings", &path]].concat();
    let ran = run(program, &args);
    assert_eq!(ran.code, USAGE, "{}", ran.err);
    for place in places {
        assert!(ran.err.contains(place), "{place} is not in\n{}", ran.err);
    }
    assert!(ran.err.contains("line 1:"), "{}", ran.err);
}

#[test]
fn document_checked() {
    let dir = TempDir::new().unwrap();
    let ran = run(TOOL, &["check", &file(&dir, DOCUMENT)]);
    assert_eq!(ran.code, DONE, "{}", ran.err);
    assert!(ran.out.contains("no mistakes"));
}

#[test]
fn document_mistakes() {
    let dir = TempDir::new().unwrap();
    let yaml = "service: Wagtail\nwhere: []\npriority: urgent\n";
    let ran = run(TOOL, &["check", &file(&dir, yaml)]);
    assert_eq!(ran.code, USAGE, "{}", ran.err);
    for place in [
        "line 1:10 `service`",
        "`model`",
        "`where`",
        "line 3:11 `priority`",
    ] {
        assert!(ran.err.contains(place), "{place} is not in\n{}", ran.err);
    }
}

#[rstest]
#[case::accepted("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}", DONE)]
#[case::lost("HTTP/1.1 409 Conflict\r\ncontent-length: 2\r\n\r\n{}", REFUSED)]
#[case::not_run(
    "HTTP/1.1 503 Away\r\nwagtailreel-outcome: not-run\r\ncontent-length: 2\r\n\r\n{}",
    FAILED
)]
#[case::unknown(
    "HTTP/1.1 503 Away\r\nwagtailreel-outcome: unknown\r\ncontent-length: 2\r\n\r\n{}",
    UNKNOWN
)]
#[case::cut("", UNKNOWN)]
fn submitted(#[case] answer: &'static str, #[case] code: i32) {
    let dir = TempDir::new().unwrap();
    let path = file(&dir, DOCUMENT);
    let admin = serve_once(answer);
    let ran: Ran = command(TOOL, &["submit", &path, "--admin", &admin])
        .env("WAGTAILREEL_TOKEN", "secret-of-scribes")
        .output()
        .unwrap()
        .into();
    assert_eq!(ran.code, code, "{}{}", ran.out, ran.err);
    assert!(!ran.err.contains("secret-of-scribes"), "{}", ran.err);
}

#[test]
fn entry_unreachable() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let admin = format!("http://{}", listener.local_addr().unwrap());
    drop(listener);
    let ran: Ran = command(TOOL, &["show", "wagtail-scribes", "--admin", &admin])
        .env("WAGTAILREEL_TOKEN", "secret-of-scribes")
        .output()
        .unwrap()
        .into();
    assert_eq!(ran.code, FAILED, "{}", ran.err);
    assert!(ran.err.contains("can't be reached"), "{}", ran.err);
}

#[test]
fn nothing_scraped() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let url = format!("http://{}", listener.local_addr().unwrap());
    drop(listener);
    let dir = TempDir::new().unwrap();
    let document = file(&dir, DOCUMENT);
    let args = ["report", "--metrics", &url, "--document", &document];
    let ran = run(
        TOOL,
        &[&args[..], &["--samples", "2", "--every-ms", "1"]].concat(),
    );
    assert_eq!(ran.code, FAILED, "{}", ran.err);
    assert!(ran.err.contains(&url), "{}", ran.err);
}

#[test]
fn token_hashed() {
    let ran = run_with_input(&["hash-token"], "secret-of-scribes\n");
    assert_eq!(ran.code, DONE, "{}", ran.err);
    let hash = wagtailreel_settings::hash_token("secret-of-scribes");
    assert_eq!(ran.out, format!("{hash}\n"));
    assert_eq!(run_with_input(&["hash-token"], " \n").code, USAGE);
}
