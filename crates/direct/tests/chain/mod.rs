//! Entries of one data centre, reduced to how they follow the registry, which read through each other.

use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::{Duration, Instant};

use axum::extract::{Request, State};
use axum::middleware::{Next, from_fn_with_state};
use axum::response::Response;
use tokio::runtime::{Builder, Runtime};
use tokio::sync::watch;
use wagtailreel_direct::{follow_settings, follow_upstreams};
use wagtailreel_fleet::{
    BootTime, Change, ClientLimits, Directory, FollowConfig, Sink, Topic, follow,
};
use wagtailreel_nearby::{Mirror, Neighbours, SharedRegistry, SharedRegistryConfig, router};
use wagtailreel_standins::{RegistryStandin, ready_upstream};

/// Bound on a change while the registry is sound.
pub(crate) const CHANGE_BOUND: Duration = Duration::from_secs(2);

/// Bound on a change after the end of an outage.
pub(crate) const OUTAGE_BOUND: Duration = Duration::from_secs(3);

/// Time between two reads of the upstreams for `CHANGE_BOUND`.
pub(crate) const READ_INTERVAL: Duration = Duration::from_millis(700);

/// Returns how an entry follows `topic`.
pub(crate) fn follow_config(topic: Topic) -> FollowConfig {
    match topic {
        Topic::Settings => follow_settings(),
        Topic::Upstreams => follow_upstreams(READ_INTERVAL, Duration::from_secs(3)),
    }
}

/// Appends record `number` of `topic`.
pub(crate) fn append(store: &RegistryStandin, topic: Topic, number: u64) {
    match topic {
        Topic::Settings => {
            let limits = ClientLimits {
                header_bytes: 8192,
                body_bytes: 100_000,
                header_timeout: Duration::from_secs(1),
                idle_timeout: Duration::from_secs(9),
            };
            store.config(Directory::new(number, limits));
        }
        Topic::Upstreams => store.upstream(ready_upstream(&number.to_string())),
    }
}

/// Records the number of the last record.
#[derive(Debug, Default)]
pub(crate) struct LastRecord(watch::Sender<u64>);

impl Sink for LastRecord {
    fn apply(&self, change: Change) {
        let number = match change {
            Change::Config(directory) => directory.version(),
            Change::Upstream(upstream) => upstream.id.parse().unwrap(),
            _ => return,
        };
        self.0.send_replace(number);
    }

    fn confirmed(&self, _topic: Topic, _as_of: BootTime) {}
}

/// An entry that follows one topic.
pub(crate) struct Follower {
    pub(crate) neighbours: Arc<Neighbours>,
    last: Arc<LastRecord>,
    is_suspended: watch::Sender<bool>,
    /// Runs all tasks of the entry, so that its connections end with them.
    runtime: Option<Runtime>,
}

/// Delays an answer while the entry is suspended.
async fn answer_unless_suspended(
    State(is_suspended): State<watch::Sender<bool>>,
    req: Request,
    next: Next,
) -> Response {
    let response = next.run(req).await;
    let _ = is_suspended
        .subscribe()
        .wait_for(|suspended| !suspended)
        .await;
    response
}

impl Follower {
    /// Starts an entry on host `host` that follows `topic` of `store`; `preceding` rank before it.
    pub(crate) fn start(
        host: u8,
        topic: Topic,
        store: &RegistryStandin,
        preceding: &[&Self],
    ) -> Self {
        let addr = SocketAddr::from(([127, 0, 0, host], 0));
        let listener = TcpListener::bind(addr).unwrap();
        let own = listener.local_addr().unwrap();
        Self::start_at(own, listener, topic, store, preceding)
    }

    /// Starts an entry that counts as being at `own`, by which its backoff is spread.
    pub(crate) fn start_at(
        own: SocketAddr,
        listener: TcpListener,
        topic: Topic,
        store: &RegistryStandin,
        preceding: &[&Self],
    ) -> Self {
        let mirror = Arc::new(Mirror::default());
        let neighbours = Arc::new(Neighbours::new(own));
        let cfg = SharedRegistryConfig::new(CHANGE_BOUND, READ_INTERVAL);
        let registry = SharedRegistry::new(store.clone(), cfg, Arc::clone(&neighbours))
            .with_mirror(Arc::clone(&mirror));
        let is_suspended = watch::Sender::new(false);
        let routes = router(mirror).layer(from_fn_with_state(
            is_suspended.clone(),
            answer_unless_suspended,
        ));
        let last = Arc::new(LastRecord::default());
        let mut runtime = Builder::new_multi_thread();
        let runtime = runtime.worker_threads(1).enable_all().build().unwrap();
        listener.set_nonblocking(true).unwrap();
        runtime.spawn(async move {
            let listener = tokio::net::TcpListener::from_std(listener).unwrap();
            axum::serve(listener, routes).await.unwrap();
        });
        runtime.spawn(follow(registry, Arc::clone(&last), follow_config(topic)));
        let named: Vec<SocketAddr> = preceding.iter().map(|it| it.neighbours.own()).collect();
        let reported = Arc::clone(&neighbours);
        runtime.spawn(async move {
            loop {
                reported.note_entries(&named, BootTime::now());
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
        });
        Self {
            neighbours,
            last,
            is_suspended,
            runtime: Some(runtime),
        }
    }

    /// Suspends the answers to neighbours.
    pub(crate) fn suspended(self) -> Self {
        self.is_suspended.send_replace(true);
        self
    }

    /// Ends the entry with all its connections.
    pub(crate) fn ended(mut self) -> Self {
        self.end();
        self
    }

    fn end(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }

    /// Ends the entry and starts it again, as the first of its data centre.
    pub(crate) fn restarted(mut self, topic: Topic, store: &RegistryStandin) -> Self {
        let own = self.neighbours.own();
        self.end();
        let listener = loop {
            // The listener of the ended entry is closed in the background.
            match TcpListener::bind(own) {
                Ok(listener) => break listener,
                Err(e) => assert_eq!(e.kind(), std::io::ErrorKind::AddrInUse, "{e}"),
            }
        };
        Self::start_at(own, listener, topic, store, &[])
    }

    /// Waits until record `number` is known.
    pub(crate) async fn until_known(&self, number: u64) {
        let mut last = self.last.0.subscribe();
        let wait = last.wait_for(|last| *last >= number);
        tokio::time::timeout(Duration::from_secs(20), wait)
            .await
            .unwrap()
            .unwrap();
    }
}

impl Drop for Follower {
    fn drop(&mut self) {
        self.end();
    }
}

/// Waits until `store` has been called once more.
pub(crate) async fn until_called(store: &RegistryStandin) {
    let before = store.calls();
    while store.calls() == before {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}

/// Waits until record `number` is known to each of `entries`; returns how long that took.
pub(crate) async fn time_until_known(entries: &[&Follower], number: u64) -> Duration {
    let since = Instant::now();
    for entry in entries {
        entry.until_known(number).await;
    }
    since.elapsed()
}

/// Returns an address on `host` whose process waits longest after a failed call.
pub(crate) fn slowest_addr(host: u8) -> SocketAddr {
    let ip = IpAddr::V4(Ipv4Addr::new(127, 0, 0, host));
    let share = |port: &u16| {
        let addr = SocketAddr::new(ip, *port);
        wagtailreel_core::rank_score(&[], &addr.to_string()) % 1000
    };
    let port = (1024..4096).max_by_key(share).unwrap();
    SocketAddr::new(ip, port)
}
