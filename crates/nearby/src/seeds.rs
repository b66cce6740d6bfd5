//! Entries that the settings name, from which a process that starts reads.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::time::{Duration, Instant};

use tokio::net::TcpStream;
use tokio::task::JoinSet;

use crate::neighbour::{NeighbourAnswer, NeighbourClient, NeighbourQuery};

/// How long a seed may take to accept a connection: some round trips between regions. Longer ones are left
/// to those that are nearer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Pause before seeds that know nothing yet are asked again. Of processes that start together all seeds do.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// How long only the nearest seed is asked, whose process may start a little later than this one.
///
/// Load pattern: 50 entries of a data centre start together, and the seed of another one, beside the registry,
/// knows all upstreams first. The copies for half of them fill the link over which the own seed reads.
const NEAREST_ONLY: Duration = Duration::from_millis(450);

/// A seed whose VM answered.
#[derive(Clone, Copy, Debug)]
struct Reached {
    seed: SocketAddr,
    /// Its process listens.
    accepts: bool,
}

/// Entries that the settings name, some of which may be gone.
///
/// Load pattern: engines that are added under load, and processes that come back after a loss of power. Until
/// entries hear of a new engine in the registry nobody asks its agent, which brought weights 1.4 s late.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Seeds(Vec<SocketAddr>);

impl Seeds {
    /// Makes the seeds of a process at `own`, which is none to itself; all listen on its port.
    ///
    /// A process that is a seed has none: two that start together would wait for each other.
    pub fn new(own: SocketAddr, seeds: &[IpAddr]) -> Self {
        if seeds.contains(&own.ip()) {
            return Self::default();
        }
        let addrs = seeds.iter().map(|ip| SocketAddr::new(*ip, own.port()));
        Self(addrs.collect())
    }

    /// Says whether there are none.
    pub(crate) const fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns what the nearest seed that knows anything answers to `query`, and which that is; never
    /// returns while none does.
    pub(crate) async fn first_known(
        &self,
        client: &NeighbourClient,
        query: &NeighbourQuery,
        age_limit: Duration,
    ) -> (SocketAddr, NeighbourAnswer) {
        if self.is_empty() {
            std::future::pending::<()>().await;
        }
        let started = Instant::now();
        loop {
            // The quickest to accept comes first: one in the own data centre takes a tenth of the time of
            // others, and its bytes cross no narrow link.
            let mut connects = self.connect();
            while let Some(reached) = connects.join_next().await {
                // A seed that is gone is no news: the settings are as old as the process.
                let Ok(Some(Reached { seed, accepts })) = reached else {
                    continue;
                };
                // One that knows nothing yet is asked again after the pause.
                if accepts && let Ok(answer) = client.ask(seed, query, age_limit).await {
                    return (seed, answer);
                }
                if started.elapsed() < NEAREST_ONLY {
                    break;
                }
            }
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
    }

    /// Connects to all seeds; each whose VM answers is returned as it does.
    fn connect(&self) -> JoinSet<Option<Reached>> {
        let connect = |seed| async move {
            let connecting = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(seed));
            let connected = connecting.await.ok()?;
            let is_refused = |e: &io::Error| e.kind() == io::ErrorKind::ConnectionRefused;
            let answers = connected.as_ref().err().is_none_or(is_refused);
            answers.then_some(Reached {
                seed,
                accepts: connected.is_ok(),
            })
        };
        self.0.iter().copied().map(connect).collect()
    }
}
