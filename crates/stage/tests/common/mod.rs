//! Fleet of agents, each on its own loopback address, with engines and an origin in memory.

#![allow(dead_code, unused_imports, reason = "each test program uses a part")]

mod engine;
mod origin;

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use tokio::net::UdpSocket;
use wagtailreel_fleet::{
    Change, ClientLimits, Datagram, Directory, EngineModel, LoadedModel, NamedWeights, OriginSpec,
    Query, ServiceSpec, Status, Upstream, UpstreamState,
};
use wagtailreel_settings::StagingAgentSettings;
use wagtailreel_stage::StagingAgent;
use wagtailreel_standins::RegistryStandin;

pub(crate) use engine::{OrderFault, TestEngine};
pub(crate) use origin::TestOrigin;

/// Name of the model.
pub(crate) const MODEL: &str = "epitaph";

/// Number of chunks of each version.
pub(crate) const CHUNKS: u32 = 12;

/// Port of all agents.
const PORT: u16 = 7700;

/// Returns a chunk's bytes.
pub(crate) fn chunk(version: u64, index: u32) -> Bytes {
    Bytes::from(format!("version {version} chunk {index} ").repeat(200))
}

/// A fleet of agents and their engines.
pub(crate) struct Fleet {
    pub(crate) registry: RegistryStandin,
    pub(crate) origin: TestOrigin,
    net: u8,
    members: Mutex<Vec<(TestEngine, StagingAgent)>>,
}

impl Fleet {
    /// Starts agents on the loopback network `net`, whose engines hold `version`.
    pub(crate) async fn start(net: u8, count: u8, version: Option<u64>) -> Self {
        let fleet = Self {
            registry: RegistryStandin::default(),
            origin: TestOrigin::default(),
            net,
            members: Mutex::default(),
        };
        fleet.registry.config(directory());
        for _ in 0..count {
            fleet.add(version).await;
        }
        fleet
    }

    /// Adds an agent whose engine holds `version`.
    pub(crate) async fn add(&self, version: Option<u64>) -> TestEngine {
        self.add_in("hall", version).await
    }

    /// Adds an agent in `data_centre` whose engine holds `version`.
    pub(crate) async fn add_in(&self, data_centre: &str, version: Option<u64>) -> TestEngine {
        let engine = TestEngine::new(version);
        self.add_beside(engine, data_centre).await
    }

    /// Adds an agent in `data_centre` beside `engine`.
    pub(crate) async fn add_beside(&self, engine: TestEngine, data_centre: &str) -> TestEngine {
        let version = engine.version();
        let count = self.members.lock().unwrap().len();
        let host = u8::try_from(count).unwrap() + 1;
        let ip = IpAddr::V4(Ipv4Addr::new(127, 77, self.net, host));
        let mut upstream = upstream(ip, version);
        data_centre.clone_into(&mut upstream.data_centre);
        let mut settings = settings(ip);
        data_centre.clone_into(&mut settings.data_centre);
        self.registry.upstream(Change::Upstream(Box::new(upstream)));
        let agent = StagingAgent::start(
            settings,
            self.registry.clone(),
            engine.clone(),
            self.origin.clone(),
        );
        let agent = agent.await.unwrap();
        self.members.lock().unwrap().push((engine.clone(), agent));
        engine
    }

    /// Stops an agent.
    pub(crate) async fn end(&self, index: usize) {
        let (_, agent) = self.members.lock().unwrap().remove(index);
        agent.shutdown().await;
    }

    /// Publishes `version` at the origin and names it in the registry.
    pub(crate) fn name(&self, version: u64) {
        self.origin.publish(version);
        self.registry.weights(NamedWeights {
            model: MODEL.to_owned(),
            version,
        });
    }

    /// Reports named weights to all agents, as an entry does that knows of the naming.
    pub(crate) async fn report_naming(&self, version: u64) {
        let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        let weights = Some(NamedWeights {
            model: MODEL.to_owned(),
            version,
        });
        let query = Query {
            weights,
            ..Query::default()
        };
        let count = self.members.lock().unwrap().len();
        for host in 1..=u8::try_from(count).unwrap() {
            let ip = Ipv4Addr::new(127, 77, self.net, host);
            let datagram = Datagram::Query(query.clone()).to_bytes();
            socket.send_to(&datagram, (ip, PORT)).await.unwrap();
        }
    }

    /// Returns the address of an agent.
    pub(crate) fn addr(&self, index: u8) -> SocketAddr {
        SocketAddr::from((Ipv4Addr::new(127, 77, self.net, index + 1), PORT))
    }

    /// Returns an engine.
    pub(crate) fn engine(&self, index: usize) -> TestEngine {
        self.members.lock().unwrap()[index].0.clone()
    }

    /// Waits until all engines satisfy a condition.
    pub(crate) async fn until<F>(&self, is_reached: F)
    where
        F: Fn(&TestEngine) -> bool,
    {
        loop {
            if self
                .members
                .lock()
                .unwrap()
                .iter()
                .all(|(it, _)| is_reached(it))
            {
                return;
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    /// Waits until an agent has requested the manifest of `version` from the origin.
    pub(crate) async fn until_manifest_requested(&self, version: u64) {
        while !self.origin.was_requested(version) {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    /// Returns whether each load of each engine was of complete weights of one version.
    pub(crate) fn all_whole(&self) -> bool {
        self.members
            .lock()
            .unwrap()
            .iter()
            .all(|(it, _)| it.is_whole())
    }
}

/// Sends a query to an agent, and returns its answer.
pub(crate) async fn ask(socket: &UdpSocket, agent: SocketAddr, query: Query) -> Status {
    let query = Query { nonce: 1, ..query };
    let datagram = Datagram::Query(query).to_bytes();
    socket.send_to(&datagram, agent).await.unwrap();
    let mut buf = [0; 4096];
    loop {
        let (len, _) = socket.recv_from(&mut buf).await.unwrap();
        if let Datagram::Status(status) = Datagram::from_bytes(&buf[..len]).unwrap()
            && status.nonce == 1
        {
            return status;
        }
    }
}

fn settings(ip: IpAddr) -> StagingAgentSettings {
    StagingAgentSettings {
        vm: format!("vm-{ip}"),
        data_centre: "hall".to_owned(),
        regions: BTreeMap::from([
            ("hall".to_owned(), "sierra".to_owned()),
            ("yard".to_owned(), "costa".to_owned()),
        ]),
        service: "scribes".to_owned(),
        engine: SocketAddr::new(ip, 1),
        listen: SocketAddr::new(ip, PORT),
        registry: SocketAddr::new(ip, 2),
        seeds: Vec::new(),
        weights: Duration::from_millis(500),
        link: 100e6,
    }
}

fn upstream(ip: IpAddr, version: Option<u64>) -> Upstream {
    let models = version.map(|version| LoadedModel {
        model: MODEL.to_owned(),
        version,
        whole: true,
    });
    Upstream {
        id: format!("engine-{ip}"),
        started: 0,
        service: "scribes".to_owned(),
        addr: SocketAddr::new(ip, 1),
        data_centre: "hall".to_owned(),
        slots: 4,
        state: UpstreamState::Ready,
        warmup_left: Duration::ZERO,
        models: models.into_iter().collect(),
    }
}

fn directory() -> Directory {
    let limits = ClientLimits {
        header_bytes: 16384,
        body_bytes: 1 << 16,
        header_timeout: Duration::from_secs(3),
        idle_timeout: Duration::from_secs(15),
    };
    let engine = EngineModel {
        model: MODEL.to_owned(),
        slots: 4,
        memory_tokens: 1000,
        step: Duration::from_millis(7),
        step_per_request: Duration::ZERO,
        step_per_1k_context: Duration::ZERO,
        read_per_second: 1000.0,
        steps_per_pass: 6,
        usual_prompt: 100,
        usual_answer: 100,
        chunks: CHUNKS,
        chunk_bytes: 0,
        load_time: Duration::from_millis(10),
    };
    let service = |name: &str, engine, origin| ServiceSpec {
        name: name.to_owned(),
        max_connections: 100,
        engine,
        warmup_per_second: 0.0,
        origin,
    };
    let origin = OriginSpec {
        addr: SocketAddr::from(([127, 0, 0, 1], 1)),
        data_centre: "hall".to_owned(),
        link_mbps: 0.0,
    };
    Directory::new(1, limits).with_services(vec![
        service("scribes", Some(engine), None),
        service("weights", None, Some(origin)),
    ])
}
