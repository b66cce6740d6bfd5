//! The platform: addresses of machines, filled-in settings, and the processes of the system.

use std::fs::{self, File};
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Figures of a small deployment, as the settings name them.
pub const BOUNDS: &[(&str, &str)] = &[
    ("bounds.version_ms", "8000"),
    ("bounds.revokeMs", "5000"),
    ("bounds.stableWindowMs", "3000"),
    ("bounds.configApplyMs", "2000"),
    ("bounds.drainMs", "2000"),
    ("heartbeatMs", "1200"),
    ("bounds.graceS", "8"),
    ("bounds.retryBudgetRatio", "0.2"),
    ("limits.cores", "1"),
    ("limits.linkMbps", "9.4"),
];

/// `heartbeatMs` of the settings.
pub const HEARTBEAT: Duration = Duration::from_millis(1200);

/// Ports of a fleet, the same on each machine, and the addresses of its machines.
#[derive(Clone, Debug)]
pub struct Net {
    block: [u8; 2],
    pub front: u16,
    pub readiness: u16,
    pub internal: u16,
    pub app: u16,
}

impl Net {
    /// Picks free ports, and loopback addresses that depend on the process.
    pub fn pick() -> io::Result<Self> {
        let pid = std::process::id();
        let block = [100 + (pid / 200 % 100) as u8, 20 + (pid % 200) as u8];
        let listeners: io::Result<Vec<TcpListener>> =
            (0..4).map(|_| TcpListener::bind("127.0.0.1:0")).collect();
        let ports: io::Result<Vec<u16>> =
            listeners?.iter().map(|it| Ok(it.local_addr()?.port())).collect();
        let ports = ports?;
        Ok(Self {
            block,
            front: ports[0],
            readiness: ports[1],
            internal: ports[2],
            app: ports[3],
        })
    }

    /// The address of a machine.
    pub fn ip(&self, number: u8) -> IpAddr {
        Ipv4Addr::new(127, self.block[0], self.block[1], number).into()
    }

    pub fn at(&self, number: u8, port: u16) -> SocketAddr {
        SocketAddr::new(self.ip(number), port)
    }
}

/// A process of the system that is started again after it has ended.
pub struct Process {
    pub name: String,
    command: Vec<String>,
    settings: PathBuf,
    log: PathBuf,
    child: Child,
}

impl Process {
    /// Starts a role of the deploy file on machine `number`, with its template filled in.
    pub fn start(
        role: &str,
        net: &Net,
        number: u8,
        seeds: &[SocketAddr],
        dir: &Path,
        more: &[(&str, String)],
    ) -> io::Result<Self> {
        let name = format!("{role}-{number}");
        let deploy = fs::read_to_string("deploy/system.toml")?;
        let command = field(&deploy, role, "run");
        let template = fs::read_to_string(field(&deploy, role, "template"))?;
        let mut values: Vec<(&str, String)> =
            BOUNDS.iter().map(|(name, value)| (*name, (*value).to_owned())).collect();
        values.extend([
            ("nodeName", name.clone()),
            ("zone", "quito-hall".to_owned()),
            ("ip", net.ip(number).to_string()),
            ("internalPorts.0", net.internal.to_string()),
            ("listen.front", net.at(number, net.front).to_string()),
            ("listen.readiness", net.at(number, net.readiness).to_string()),
        ]);
        values.extend(more.iter().cloned());
        let settings = dir.join(format!("{name}.yaml"));
        fs::write(&settings, fill(&template, &values, seeds))?;
        let log = dir.join(format!("{name}.log"));
        let command: Vec<String> = command.split(' ').map(str::to_owned).collect();
        let child = spawn(&command, &settings, &log)?;
        Ok(Self {
            name,
            command,
            settings,
            log,
            child,
        })
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Sends SIGKILL and waits for the end.
    pub fn kill(&mut self) {
        // Fails only for a process that has ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    pub fn restart(&mut self) -> io::Result<()> {
        self.child = spawn(&self.command, &self.settings, &self.log)?;
        Ok(())
    }

    /// Resident memory in KiB; 0 once the process has ended.
    pub fn resident_kb(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.pid()));
        let status = status.unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let number = line.and_then(|it| it.trim().strip_suffix(" kB")?.parse().ok());
        number.unwrap_or(0)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

fn spawn(command: &[String], settings: &Path, log: &Path) -> io::Result<Child> {
    let out = File::options().create(true).append(true).open(log)?;
    Command::new(&command[0])
        .args(&command[1..])
        .env("WAGTAILREEL_CONFIG", settings)
        .stdin(Stdio::null())
        .stderr(out.try_clone()?)
        .stdout(out)
        .spawn()
}

/// A text field of a role in the deploy file.
fn field(deploy: &str, role: &str, name: &str) -> String {
    let table = deploy.split(&format!("[roles.{role}]")).nth(1).unwrap_or_default();
    let start = format!("{name} = ");
    let line = table.lines().find_map(|line| line.strip_prefix(start.as_str()));
    line.unwrap_or_default().trim_matches('"').to_owned()
}

/// Fills in a template of the deploy file, as far as the templates of this repository need it.
fn fill(template: &str, values: &[(&str, String)], seeds: &[SocketAddr]) -> String {
    let mut text = String::new();
    let mut rest = template;
    // Sections come first, as they hold placeholders of their own.
    while let Some(start) = rest.find("{{#") {
        text.push_str(&rest[..start]);
        let (name, inner) = rest[start + 3..].split_once("}}").unwrap_or_default();
        let (inner, after) = inner.split_once(&format!("{{{{/{name}}}}}")).unwrap_or_default();
        match name {
            "zones" => text.push_str(&inner.replace("{{@}}", "quito-hall").replace("{{.}}", "sierra")),
            "seeds" => {
                for seed in seeds {
                    text.push_str(&inner.replace("{{.}}", &seed.to_string()));
                }
            }
            // A value that this deployment doesn't have.
            _ => {}
        }
        rest = after;
    }
    text.push_str(rest);
    for (name, value) in values {
        text = text.replace(&format!("{{{{{name}|json}}}}"), &format!("\"{value}\""));
        text = text.replace(&format!("{{{{{name}}}}}"), value);
    }
    text
}

/// Waits until `is_so`, for at most `limit`. Returns whether it was.
pub fn wait_until<F>(limit: Duration, mut is_so: F) -> bool
where
    F: FnMut() -> bool,
{
    let until = Instant::now() + limit;
    while Instant::now() < until {
        if is_so() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    false
}
