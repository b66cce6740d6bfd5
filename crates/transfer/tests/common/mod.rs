//! In-process transfers on the loopback interface, and a stand-in for the origin.
#![allow(dead_code, reason = "each test file uses a part of it")]
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::net::SocketAddr;
use std::time::Duration;

use axum::Router;
use bytes::BytesMut;
use futures::TryStreamExt as _;
use hyper::server::conn::http1;
use hyper_util::rt::TokioIo;
use hyper_util::service::TowerToHyperService;
use prometheus::Registry;
use tokio::net::TcpListener;
use tokio::task::{JoinHandle, JoinSet};
use wagtailreel_adapters::{HttpOrigin, Origin};
use wagtailreel_core::{
    Epoch, ModelRef, SpreadGoal, SpreadPolicy, SpreadSettings, VmEntry, VmRole, VmState,
    WeightsPhase,
};
use wagtailreel_standins::{OriginConfig, OriginModel, OriginStandin};
use wagtailreel_transfer::{EpochProgress, Progress, Transfer, TransferConfig, Wanted};

/// How long a test waits for what must come.
const BOUND: Duration = Duration::from_secs(30);

/// Length of a chunk of the models.
pub(crate) const CHUNK: usize = 20_000;

/// Memory that holds everything.
pub(crate) const PLENTY: u64 = 1 << 30;

/// One VM: a transfer whose routes are served.
pub(crate) struct Vm {
    pub(crate) transfer: Transfer,
    pub(crate) entry: VmEntry,
    pub(crate) registry: Registry,
    server: JoinHandle<()>,
}

/// Returns an address with any free port.
pub(crate) fn local() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Returns a model of `chunks` chunks.
pub(crate) fn model(version: &str, chunks: usize) -> OriginModel {
    OriginModel::new("scribe", version, chunks * CHUNK, CHUNK)
}

/// Starts an origin whose link has `rate` bytes a second, 0 for no limit.
pub(crate) fn origin(models: &[&OriginModel], rate: u64) -> OriginStandin {
    let cfg = OriginConfig {
        models: models.iter().copied().cloned().collect(),
        rate,
        seed: 7,
    };
    OriginStandin::start(cfg, local()).unwrap()
}

/// Serves `router` on a free port, until the handle's task is aborted.
pub(crate) async fn serve(router: Router) -> (SocketAddr, JoinHandle<()>) {
    let listener = TcpListener::bind(local()).await.unwrap();
    let addr = listener.local_addr().unwrap();
    (addr, tokio::spawn(accept(listener, router)))
}

/// Serves connections, all of which end with this future.
async fn accept(listener: TcpListener, router: Router) {
    let mut connections = JoinSet::new();
    loop {
        let (stream, _) = listener.accept().await.unwrap();
        let service = TowerToHyperService::new(router.clone());
        let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        connections.spawn(connection);
    }
}

/// Returns the entry of a VM in the list.
pub(crate) fn entry(vm: &str, data_centre: &str, data: SocketAddr) -> VmEntry {
    VmEntry {
        vm: vm.to_owned(),
        data_centre: data_centre.to_owned(),
        region: "andes".to_owned(),
        role: VmRole::Upstream,
        state: VmState::Live,
        service: Some("wagtail-scribes".to_owned()),
        control: local(),
        data,
    }
}

/// Returns settings with a policy and what is weighed.
pub(crate) fn settings(policy: SpreadPolicy, weigh: SpreadGoal) -> SpreadSettings {
    SpreadSettings {
        weigh,
        policy,
        rate: None,
    }
}

impl Vm {
    /// Starts a VM that draws from `origin`.
    pub(crate) async fn start(vm: &str, origin: &OriginStandin) -> Self {
        Self::start_with(vm, origin, |_| {}).await
    }

    /// Starts a VM with other settings.
    pub(crate) async fn start_with<F>(vm: &str, origin: &OriginStandin, change: F) -> Self
    where
        F: FnOnce(&mut TransferConfig),
    {
        Self::start_on(vm, HttpOrigin::new(origin.addr()), change).await
    }

    /// Starts a VM with another adapter for the origin.
    pub(crate) async fn start_on<O, F>(vm: &str, origin: O, change: F) -> Self
    where
        O: Origin,
        F: FnOnce(&mut TransferConfig),
    {
        let mut cfg = TransferConfig {
            vm: vm.to_owned(),
            data_centre: "quito-hall".to_owned(),
            region: "andes".to_owned(),
            memory: PLENTY,
            ingress: 0,
            egress: 0,
        };
        change(&mut cfg);
        let registry = Registry::new();
        let data_centre = cfg.data_centre.clone();
        let transfer = Transfer::start(cfg, origin, &registry).unwrap();
        let (addr, server) = serve(transfer.router()).await;
        Self {
            transfer,
            entry: entry(vm, &data_centre, addr),
            registry,
            server,
        }
    }

    /// Wants `part` as `epoch`.
    pub(crate) fn want(&self, epoch: Epoch, part: ModelRef) {
        self.want_with(epoch, vec![part], SpreadSettings::default());
    }

    /// Wants some parts as `epoch`.
    pub(crate) fn want_with(&self, epoch: Epoch, parts: Vec<ModelRef>, settings: SpreadSettings) {
        self.transfer.want(Wanted {
            epoch,
            parts,
            settings,
        });
    }

    /// Waits until the progress is as `is_so` wants it.
    pub(crate) async fn wait<F>(&self, is_so: F) -> Progress
    where
        F: FnMut(&Progress) -> bool,
    {
        let mut progress = self.transfer.progress();
        let waited = tokio::time::timeout(BOUND, progress.wait_for(is_so)).await;
        match waited.map(|found| found.unwrap().clone()) {
            Ok(found) => found,
            Err(_) => panic!(
                "{}: not in time: {:?}",
                self.entry.vm,
                brief(&self.transfer)
            ),
        }
    }

    /// Waits until `epoch` is staged.
    pub(crate) async fn staged(&self, epoch: Epoch) -> EpochProgress {
        self.phase(epoch, WeightsPhase::Staged).await
    }

    /// Waits until `epoch` is in `phase`.
    pub(crate) async fn phase(&self, epoch: Epoch, phase: WeightsPhase) -> EpochProgress {
        let is_so = |progress: &Progress| {
            let epoch = progress.epochs.get(&epoch);
            epoch.is_some_and(|epoch| epoch.phase == phase)
        };
        self.wait(is_so).await.epochs[&epoch].clone()
    }

    /// Reads all bytes of a staged epoch.
    pub(crate) async fn read(&self, epoch: Epoch) -> BytesMut {
        let body = self.transfer.body(epoch).unwrap();
        body.try_fold(BytesMut::new(), |mut all, bytes| async move {
            all.extend_from_slice(&bytes);
            Ok(all)
        })
        .await
        .unwrap()
    }

    /// Returns the sum of a metric over its labels that contain `label`.
    pub(crate) fn metric(&self, name: &str, label: &str) -> u64 {
        let name = format!("wagtailreel_transfer_{name}");
        let families = self.registry.gather();
        let family = families.iter().find(|family| family.name() == name);
        let metrics = family.map(|family| family.get_metric()).unwrap_or_default();
        let fitting = metrics.iter().filter(|metric| {
            let labels = metric.get_label();
            label.is_empty() || labels.iter().any(|pair| pair.value() == label)
        });
        fitting
            .map(|metric| metric.get_counter().get_value() as u64)
            .sum()
    }

    /// Takes the VM away: its server drops all connections, its transfer ends.
    pub(crate) fn kill(&self) {
        self.transfer.stop();
        self.server.abort();
    }
}

impl Drop for Vm {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Tells every VM of all others.
pub(crate) fn introduce(vms: &[Vm]) {
    let entries: Vec<VmEntry> = vms.iter().map(|vm| vm.entry.clone()).collect();
    for vm in vms {
        vm.transfer.set_peers(entries.clone());
    }
}

/// Returns the phases, counts and troubles for messages.
fn brief(transfer: &Transfer) -> Vec<(Epoch, WeightsPhase, u32, u32, Option<String>)> {
    let progress = transfer.progress().borrow().clone();
    let epochs = progress.epochs.into_iter();
    epochs
        .map(|(epoch, it)| (epoch, it.phase, it.have, it.total, it.trouble))
        .collect()
}
