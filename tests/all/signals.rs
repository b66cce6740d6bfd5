//! Processes of a fleet whose upstreams name themselves, and the signals that they get.

use std::fs;
use std::io::{BufRead as _, BufReader, ErrorKind, PipeReader, PipeWriter, Read as _, Write as _};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, ChildStdout, Command, Stdio};
use std::time::Duration;

use rstest::rstest;
use rustix::fs::{OFlags, fcntl_getfl, fcntl_setfl};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;
use tempfile::TempDir;

/// Longest wait for a connection on the loopback.
const CONNECT: Duration = Duration::from_millis(100);

/// A process with its settings file and what it writes.
struct Running {
    child: Child,
    lines: BufReader<ChildStdout>,
    settings: PathBuf,
    _dir: TempDir,
}

/// Returns an address that nobody listens on, at an IP of this test program's own: a port that it gives back
/// is not given to another program.
fn free() -> String {
    let [.., high, low] = std::process::id().to_be_bytes();
    let listener = TcpListener::bind((Ipv4Addr::new(127, 90, high, low), 0)).unwrap();
    listener.local_addr().unwrap().to_string()
}

fn entry() -> (&'static str, &'static [&'static str], String) {
    let text = format!(
        "upstreams: direct\nvm: edge-1\ndata_centre: hall\n\
         regions: [{{ data_centre: hall, region: sierra }}]\n\
         listen: {{ callers: \"{}\", status: \"{}\", agents: \"{}\" }}\n\
         registry: \"{}\"\nagent_port: 7700\nbounds: {{ grace_ms: 900 }}\n",
        free(),
        free(),
        free(),
        free(),
    );
    (env!("CARGO_BIN_EXE_wagtailreel"), &["entry"], text)
}

fn agent() -> (&'static str, &'static [&'static str], String) {
    let text = format!(
        "upstreams: direct\nvm: side-1\ndata_centre: hall\n\
         regions: [{{ data_centre: hall, region: sierra }}]\nservice: writers\n\
         engine: \"{}\"\nlisten: \"{}\"\nregistry: \"{}\"\nlink_mbps: 9.4\n",
        free(),
        free(),
        free(),
    );
    (env!("CARGO_BIN_EXE_wagtailreel-agent"), &[], text)
}

impl Running {
    /// Starts a program whose settings file is named by the environment.
    fn start((program, args, text): (&str, &[&str], String)) -> Self {
        let dir = TempDir::new().unwrap();
        let settings = dir.path().join("settings.yaml");
        fs::write(&settings, text).unwrap();
        let mut child = Command::new(program)
            .args(args)
            .env("WAGTAILREEL_CONFIG", &settings)
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let lines = BufReader::new(child.stdout.take().unwrap());
        Self {
            child,
            lines,
            settings,
            _dir: dir,
        }
    }

    /// Reads lines until an event whose name ends with `name`, and returns its fields.
    fn until(&mut self, name: &str) -> Value {
        let mut line = String::new();
        loop {
            line.clear();
            let read = self.lines.read_line(&mut line).unwrap();
            assert_ne!(read, 0, "the process ended before {name}");
            let event: Value = serde_json::from_str(&line).unwrap();
            if event["message"].as_str().unwrap().ends_with(name) {
                return event["fields"].clone();
            }
        }
    }

    fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(self.child.id().cast_signed()).unwrap();
        kill_process(pid, signal).unwrap();
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        // It has ended already if the test got to its end.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

#[rstest]
#[case::of_entry(entry())]
#[case::of_agent(agent())]
fn reload_and_end(#[case] program: (&'static str, &'static [&'static str], String)) {
    let mut process = Running::start(program);
    process.until("-started");
    process.signal(Signal::HUP);
    assert_eq!(process.until("settings-reloaded")["outcome"], "unchanged");
    let good = fs::read_to_string(&process.settings).unwrap();
    fs::write(&process.settings, good.replace("registry:", "store:")).unwrap();
    process.signal(Signal::HUP);
    let outcome = process.until("settings-reloaded")["outcome"].to_string();
    assert!(
        outcome.contains("registry"),
        "the mistake is named: {outcome}"
    );
    fs::write(&process.settings, good.replace("vm: ", "vm: new-")).unwrap();
    process.signal(Signal::HUP);
    let outcome = process.until("settings-reloaded")["outcome"].to_string();
    assert!(outcome.contains("next start"), "{outcome}");
    process.signal(Signal::TERM);
    process.until("-stopped");
    assert!(process.child.wait().unwrap().success());
}

/// Returns a pipe that takes no byte until it is read, and how many bytes fill it.
fn full_pipe() -> (PipeReader, PipeWriter, usize) {
    let (reader, mut writer) = std::io::pipe().unwrap();
    let flags = fcntl_getfl(&writer).unwrap();
    fcntl_setfl(&writer, flags | OFlags::NONBLOCK).unwrap();
    let mut filled = 0;
    while let Ok(taken) = writer.write(&[b'\n'; 4096]) {
        filled += taken;
    }
    fcntl_setfl(&writer, flags).unwrap();
    (reader, writer, filled)
}

/// Starts an entry whose log nobody reads, ends it, and returns the log's reader, what fills it, and
/// the process once it no longer listens.
fn ended_unread() -> (PipeReader, usize, Child) {
    let (program, args, text) = entry();
    let status = text.split("status: \"").nth(1).unwrap();
    let status: SocketAddr = status.split('"').next().unwrap().parse().unwrap();
    let dir = TempDir::new().unwrap();
    let settings = dir.path().join("settings.yaml");
    fs::write(&settings, text).unwrap();
    let (reader, writer, filled) = full_pipe();
    let child = Command::new(program)
        .args(args)
        .env("WAGTAILREEL_CONFIG", &settings)
        .stdout(writer)
        .spawn()
        .unwrap();
    // A pause between two tries, since a full backlog delays a connection by a second. So does a listener that
    // is about to close: it drops opening packets, and the process waits for its log's reader no longer than that.
    let connect = || {
        std::thread::sleep(Duration::from_millis(5));
        TcpStream::connect_timeout(&status, CONNECT)
            .err()
            .map(|e| e.kind())
    };
    while connect().is_some() {}
    let pid = Pid::from_raw(child.id().cast_signed()).unwrap();
    kill_process(pid, Signal::TERM).unwrap();
    while connect() != Some(ErrorKind::ConnectionRefused) {}
    (reader, filled, child)
}

#[rstest]
fn slow_log_reader() {
    let (mut reader, filled, mut child) = ended_unread();
    let mut log = Vec::new();
    reader.read_to_end(&mut log).unwrap();
    let log = String::from_utf8(log.split_off(filled)).unwrap();
    assert!(log.contains("entry-started"), "{log}");
    assert!(log.contains("entry-stopped"), "{log}");
    assert!(child.wait().unwrap().success());
}

#[rstest]
fn stuck_log_reader() {
    let (_reader, _, mut child) = ended_unread();
    assert!(child.wait().unwrap().success());
}
