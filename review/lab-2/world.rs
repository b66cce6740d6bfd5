//! A small deployment on loopback addresses: the project's programs as processes, and stand-ins around them.

use std::fmt::Write as _;
use std::fs;
use std::io::{BufRead, BufReader};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::os::unix::process::CommandExt as _;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::engine::{Engine, MODEL, Setup};
use crate::http::Conn;
use crate::record::Record;
use crate::store::Store;
use crate::weights;

pub const KEY: &str = "jnbanfqasnmgkcuyj8pj";
pub const SCRIBES: &str = "scribes";
pub const DESK: &str = "desk";
const ORIGIN: &str = "weights";
pub const HEARTBEAT: Duration = Duration::from_millis(1200);
const ZONES: [(&str, &str); 2] = [("hall-a", "north"), ("hall-b", "south")];

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, argument: u64) -> i32;
}

/// Has a child end with this process, also if that is killed.
fn end_with_parent(command: &mut Command) {
    const PR_SET_PDEATHSIG: i32 = 1;
    // SAFETY: prctl may be called between fork and exec, and uses no memory.
    unsafe {
        command.pre_exec(|| {
            prctl(PR_SET_PDEATHSIG, SIGKILL as u64);
            Ok(())
        });
    }
}

pub const SIGKILL: i32 = 9;

/// Sends a signal to a process that the lab started.
pub fn signal(child: &Child, signal: i32) {
    let pid = child.id() as i32;
    // SAFETY: the call has no effect on this process's memory.
    let _ = unsafe { kill(pid, signal) };
}

/// The entry of one engine in the store, written again at each heartbeat while it is alive.
pub struct Registration {
    pub engine: Arc<Engine>,
    service: &'static str,
    zone: &'static str,
    sequence: AtomicU64,
    pub is_alive: AtomicBool,
}

impl Registration {
    pub fn write(&self, store: &Store) {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let beat = self.engine.beat(self.service, self.zone, sequence);
        store.put("keyed.servers", &self.engine.setup.id, &beat);
    }
}

pub struct World {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub port: u16,
    pub entries: Vec<Child>,
    agents: Vec<Child>,
    pub engines: Vec<Arc<Registration>>,
    pub apart: Vec<Child>,
    tmp: PathBuf,
    entry_count: u8,
    _reserved: TcpListener,
}

fn ip(kind: u8, number: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, 0, kind, number))
}

/// Finds a port from which ten are free on the loopback addresses that a world uses. The listener keeps other worlds
/// from the same ports.
fn free_port() -> Result<(u16, TcpListener), String> {
    let seed = std::process::id() as u16 % 500;
    for step in 0..500 {
        let port = 21_000 + (seed + step) % 500 * 20;
        let Ok(reserved) = TcpListener::bind((ip(0, 1), port)) else {
            continue;
        };
        let used = [ip(1, 1), ip(2, 1), ip(3, 1), ip(9, 1), ip(9, 2)];
        let is_free = |port: u16| {
            used.iter().all(|it| {
                TcpListener::bind((*it, port)).is_ok() && UdpSocket::bind((*it, port)).is_ok()
            })
        };
        if (port..port + 10).all(is_free) {
            return Ok((port, reserved));
        }
    }
    Err("no free ports".to_owned())
}

pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis() as u64
}

/// What a world consists of.
pub struct Plan {
    pub entries: u8,
    pub models: Vec<Shape>,
    pub plain: u8,
    /// Work of a plain engine on a request.
    pub work: Duration,
    /// Attempts allowed on the route of orders.
    pub order_attempts: u8,
}

/// How a model engine answers.
#[derive(Clone, Copy)]
pub struct Shape {
    pub is_unframed: bool,
    pub batch: u32,
    /// Runs in a process of its own, which can be killed.
    pub is_apart: bool,
}

pub const FRAMED: Shape = Shape {
    is_unframed: false,
    batch: 1,
    is_apart: false,
};

impl World {
    pub fn start(record: Arc<Record>, plan: &Plan) -> Result<Self, String> {
        let (port, reserved) = free_port()?;
        let text = |e: std::io::Error| e.to_string();
        let tmp = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&tmp).map_err(text)?;
        let store = Store::start(SocketAddr::new(ip(9, 1), port + 7)).map_err(text)?;
        weights::start_origin(SocketAddr::new(ip(9, 2), port + 6)).map_err(text)?;
        let mut world = Self {
            record,
            store,
            port,
            entries: Vec::new(),
            agents: Vec::new(),
            engines: Vec::new(),
            apart: Vec::new(),
            tmp,
            entry_count: plan.entries,
            _reserved: reserved,
        };
        world.start_engines(plan)?;
        let config = config(1, port, plan.order_attempts, &[KEY]);
        world.store.put("keyed.op", "config", &config);
        for number in 1..=plan.models.len() as u8 {
            let child = world.spawn_agent(number)?;
            world.agents.push(child);
        }
        for number in 1..=plan.entries {
            let child = world.spawn_entry(number)?;
            world.entries.push(child);
        }
        world.until_ready()?;
        Ok(world)
    }

    fn start_engines(&mut self, plan: &Plan) -> Result<(), String> {
        for (position, shape) in (1u8..).zip(&plan.models) {
            let setup = Setup {
                id: format!("i-model{position}"),
                addr: SocketAddr::new(ip(2, position), self.port + 1),
                is_model: true,
                born: unix_ms(),
                version: 1,
                slots: 16,
                work: Duration::ZERO,
                is_unframed: shape.is_unframed,
                batch: shape.batch,
            };
            self.add_engine(setup, SCRIBES, position, shape.is_apart)?;
        }
        for position in 1..=plan.plain {
            let setup = Setup {
                id: format!("i-desk{position}"),
                addr: SocketAddr::new(ip(3, position), self.port + 1),
                is_model: false,
                born: unix_ms(),
                version: 1,
                slots: 6,
                work: plan.work,
                is_unframed: false,
                batch: 1,
            };
            self.add_engine(setup, DESK, position, false)?;
        }
        let (store, engines) = (Arc::clone(&self.store), self.engines.clone());
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(HEARTBEAT);
                for it in engines
                    .iter()
                    .filter(|it| it.is_alive.load(Ordering::SeqCst))
                {
                    it.write(&store);
                }
            }
        });
        Ok(())
    }

    fn add_engine(
        &mut self,
        setup: Setup,
        service: &'static str,
        position: u8,
        is_apart: bool,
    ) -> Result<(), String> {
        let zone = ZONES[usize::from(position - 1) % ZONES.len()].0;
        let record = Arc::clone(&self.record);
        let engine = if is_apart {
            // Only for the entry in the store.
            let engine = Engine::new(setup.clone(), record);
            self.spawn_engine(&setup, Arc::clone(&engine))?;
            engine
        } else {
            Engine::start(setup, record).map_err(|e| e.to_string())?
        };
        let registration = Arc::new(Registration {
            engine,
            service,
            zone,
            sequence: AtomicU64::new(0),
            is_alive: AtomicBool::new(true),
        });
        registration.write(&self.store);
        self.engines.push(registration);
        Ok(())
    }

    /// Starts an engine in a process of its own, whose lines go into the record.
    fn spawn_engine(&mut self, setup: &Setup, engine: Arc<Engine>) -> Result<(), String> {
        let exe = std::env::current_exe().map_err(|e| e.to_string())?;
        let mut command = Command::new(exe);
        end_with_parent(&mut command);
        let mut child = command
            .args(["engine", &setup.id, &setup.addr.to_string()])
            .args([setup.born.to_string(), setup.version.to_string()])
            .args([setup.is_unframed.to_string(), setup.batch.to_string()])
            .stdout(Stdio::piped())
            .spawn()
            .map_err(|e| e.to_string())?;
        let lines = child.stdout.take().map(BufReader::new);
        let record = Arc::clone(&self.record);
        std::thread::spawn(move || {
            for line in lines
                .into_iter()
                .flat_map(BufRead::lines)
                .map_while(Result::ok)
            {
                let (_, text) = line.trim_start().split_once(' ').unwrap_or(("", &line));
                record.note(text);
                // What the engine's own entry in the store tells of its weights.
                let loaded = text.split_once("order to load version ");
                if let Some(version) = loaded.and_then(|(_, version)| version.parse().ok()) {
                    engine.version.store(version, Ordering::SeqCst);
                }
            }
        });
        self.apart.push(child);
        Ok(())
    }

    /// Starts an engine again that ran in a process of its own; it is a new start under the same id.
    pub fn start_again(&mut self, number: usize) -> Result<(), String> {
        let registration = Arc::clone(&self.engines[number]);
        let engine = &registration.engine;
        let mut setup = engine.setup.clone();
        setup.born = unix_ms();
        setup.version = 0;
        engine.born.store(setup.born, Ordering::SeqCst);
        engine.version.store(0, Ordering::SeqCst);
        self.spawn_engine(&setup, Arc::clone(engine))?;
        let child = self.apart.pop().ok_or("no process")?;
        self.apart[number] = child;
        registration.is_alive.store(true, Ordering::SeqCst);
        registration.write(&self.store);
        Ok(())
    }

    pub fn callers(&self, entry: u8) -> SocketAddr {
        SocketAddr::new(ip(1, entry), self.port + 5)
    }

    fn places(&self) -> String {
        let mut text = String::new();
        for (zone, region) in ZONES {
            let _ = writeln!(
                text,
                "  - {{ data_centre: \"{zone}\", region: \"{region}\" }}"
            );
        }
        text
    }

    fn seeds(&self) -> String {
        let control = self.port + 8;
        let seeds =
            (1..=self.entry_count.min(3)).map(|it| format!("  - \"{}:{control}\"\n", ip(1, it)));
        seeds.collect()
    }

    pub fn spawn_entry(&self, number: u8) -> Result<Child, String> {
        let port = self.port;
        let own = ip(1, number);
        let zone = ZONES[usize::from(number - 1) % ZONES.len()].0;
        let settings = format!(
            "upstreams: direct\nvm: \"edge-{number}\"\ndata_centre: \"{zone}\"\nregions:\n{}listen:\n\
             \x20 callers: \"{own}:{}\"\n  status: \"{own}:{}\"\n  agents: \"{own}:{port}\"\n\
             registry: \"{}:{}\"\nagent_port: {port}\nseeds:\n{}threads: 1\nbounds:\n  keys_ms: 5000\n\
             \x20 weights_ms: 8000\n  stable_ms: 3000\n  config_ms: 2000\n  drain_ms: 2000\n\
             \x20 heartbeat_ms: 1200\n  grace_ms: 8000\n  retry_ratio: 0.2\n",
            self.places(),
            port + 5,
            port + 2,
            ip(9, 1),
            port + 7,
            self.seeds(),
        );
        self.spawn(
            &format!("edge-{number}"),
            &settings,
            &["target/release/wagtailreel", "entry"],
        )
    }

    fn spawn_agent(&self, number: u8) -> Result<Child, String> {
        let port = self.port;
        let own = ip(2, number);
        let zone = ZONES[usize::from(number - 1) % ZONES.len()].0;
        let settings = format!(
            "upstreams: direct\nvm: \"side-{number}\"\ndata_centre: \"{zone}\"\nregions:\n{}\
             service: \"{SCRIBES}\"\nengine: \"{own}:{}\"\nlisten: \"{own}:{port}\"\n\
             registry: \"{}:{}\"\nseeds:\n{}bounds:\n  weights_ms: 8000\nlink_mbps: 9.4\n",
            self.places(),
            port + 1,
            ip(9, 1),
            port + 7,
            self.seeds(),
        );
        self.spawn(
            &format!("side-{number}"),
            &settings,
            &["target/release/wagtailreel-agent"],
        )
    }

    fn spawn(&self, name: &str, settings: &str, command: &[&str]) -> Result<Child, String> {
        let path = self.tmp.join(format!("{name}.yaml"));
        fs::write(&path, settings).map_err(|e| e.to_string())?;
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.tmp.join(format!("{name}.log")))
            .map_err(|e| e.to_string())?;
        let errors = log.try_clone().map_err(|e| e.to_string())?;
        let mut process = Command::new(command[0]);
        end_with_parent(&mut process);
        process
            .args(&command[1..])
            .env("WAGTAILREEL_CONFIG", &path)
            .stdout(log)
            .stderr(errors)
            .spawn()
            .map_err(|e| format!("{}: {e}", command[0]))
    }

    fn until_ready(&self) -> Result<(), String> {
        let until = Instant::now() + Duration::from_secs(15);
        for number in 1..=self.entry_count {
            while !self.is_ready(number) {
                if Instant::now() > until {
                    return Err(format!("entry {number} isn't ready"));
                }
                std::thread::sleep(Duration::from_millis(100));
            }
        }
        // The first load reports of the agents.
        std::thread::sleep(Duration::from_millis(1500));
        Ok(())
    }

    pub fn is_ready(&self, number: u8) -> bool {
        let addr = SocketAddr::new(ip(1, number), self.port + 2);
        let Ok(mut conn) = Conn::open(addr, Duration::from_secs(1)) else {
            return false;
        };
        let sent = conn.write(b"GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        sent.is_ok() && matches!(conn.head(), Ok(Some(head)) if head.status() == 200)
    }
}

impl Drop for World {
    fn drop(&mut self) {
        let children = self
            .entries
            .iter_mut()
            .chain(&mut self.agents)
            .chain(&mut self.apart);
        for child in children {
            let _ = child.kill();
            let _ = child.wait();
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.tmp);
        }
    }
}

/// Returns a configuration: a route of streams, one of orders that may not be repeated, one of look-ups.
pub fn config(version: u64, port: u16, order_attempts: u8, keys: &[&str]) -> String {
    let route = |name: &str,
                 kind: &str,
                 timeout: u32,
                 aim: u32,
                 service: &str,
                 attempts: u8,
                 more: &str| {
        format!(
            "{{\"name\":\"r-{name}\",\"host\":\"lab.example\",\"pathPrefix\":\"/{name}/\",\"kind\":\"{kind}\",\
             \"timeoutMs\":{timeout},\"targetLatencyMs\":{aim},\"priority\":1,\"service\":\"{service}\",\
             \"maxAttempts\":{attempts},\"public\":false{more}}}"
        )
    };
    let stream = ",\"sticky\":true,\"resumable\":true,\"gapAimMs\":300";
    let routes = [
        route("draft", "streaming", 6000, 400, SCRIBES, 2, stream),
        route(
            "order",
            "non_idempotent",
            2000,
            300,
            DESK,
            order_attempts,
            "",
        ),
        route("price", "idempotent", 2000, 300, DESK, 2, ""),
    ];
    let keys: Vec<String> = keys.iter().map(|it| format!("\"{it}\"")).collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"{SCRIBES}\",\"healthPath\":\"/healthz\",\
         \"maxConnections\":204,\"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":16,\"kvCapacity\":685000,\
         \"tokenKvBytes\":327680,\"linkMbps\":400000.0,\"stride\":6,\"models\":[{{\"name\":\"{MODEL}\",\"pace\":1.0,\
         \"loadS\":4.0,\"warmS\":0.3}}],\"mb\":297000.0,\"step_ms\":7.4,\"per_seq_ms\":0.0387,\
         \"context_per_k\":0.0203,\"read_per_s\":31900.0,\"pairs_per_m\":0.733,\"chunk\":2048,\
         \"report_lag_ms\":200.0,\"usual\":{{\"prompt\":973,\"answer\":106}},\"layers\":16,\"layer_mb\":4540.0,\
         \"act_bytes\":16384,\"chunks\":{},\"chunkBytes\":{}}}}},{{\"name\":\"{ORIGIN}\",\
         \"origin\":\"{}:{}\",\"zone\":\"hall-a\",\"linkMbps\":15.0,\"maxConnections\":48}},{{\"name\":\"{DESK}\",\
         \"healthPath\":\"/healthz\",\"maxConnections\":52,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\
         \"idleTimeoutMs\":15000}},\"tenants\":[{{\"name\":\"bozi300\",\"apiKeys\":[{}],\"priority\":1}}]}}",
        routes.join(","),
        weights::CHUNKS,
        weights::CHUNK_BYTES,
        ip(9, 2),
        port + 6,
        keys.join(","),
    )
}
