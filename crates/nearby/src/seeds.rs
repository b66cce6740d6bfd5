//! Seeds: entries from the settings file, from which a starting process reads.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::time::{Duration, Instant};

use tokio::net::TcpStream;
use tokio::task::JoinSet;

use crate::neighbour::{NeighbourAnswer, NeighbourClient, NeighbourQuery};

/// Time-out for connecting to a seed, a few round trips between regions. Seeds that take longer are left to
/// nearer processes.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Pause before the seeds are queried again. When all processes start together, no seed has read anything at
/// first.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// How long only the nearest seed is queried, whose process may start a little later than this one.
///
/// Load pattern: 50 entries of a data centre start together, and the seed of another data centre, next to the
/// registry, knows all upstreams first. Without this, copies for half of the entries saturate the link over
/// which the local seed reads the registry.
const NEAREST_ONLY: Duration = Duration::from_millis(450);

/// A seed whose VM answered.
#[derive(Clone, Copy, Debug)]
struct Reached {
    seed: SocketAddr,
    /// Whether its process accepts connections.
    accepts: bool,
}

/// Entries from the settings file, some of which may no longer exist.
///
/// Load pattern: engines that are added under load, and processes that restart after a power failure. An
/// agent is first polled after entries have read its engine's registration. If the agent learned of its
/// neighbours only from these polls, its engine would get the weights 1.4 s late.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Seeds(Vec<SocketAddr>);

impl Seeds {
    /// Makes the seeds of the process at `own`. All seeds listen on the same port as the process.
    ///
    /// A process that is a seed itself has no seeds: two that start together would wait for each other.
    pub fn new(own: SocketAddr, seeds: &[IpAddr]) -> Self {
        if seeds.contains(&own.ip()) {
            return Self::default();
        }
        let addrs = seeds.iter().map(|ip| SocketAddr::new(*ip, own.port()));
        Self(addrs.collect())
    }

    /// Returns whether there are no seeds.
    pub(crate) const fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the nearest seed that has read the topic, and its answer to `query`. Does not return before a
    /// seed answers.
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
            // The first seed to accept is the nearest: one in the local data centre takes a tenth of the time
            // of others, and its answer crosses no narrow link.
            let mut connects = self.connect();
            while let Some(reached) = connects.join_next().await {
                // A seed that no longer exists is expected: the settings are as old as the process.
                let Ok(Some(Reached { seed, accepts })) = reached else {
                    continue;
                };
                // A seed that has read nothing yet is queried again after the pause.
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

    /// Connects to all seeds; yields those whose VMs answer, in the order of their answers.
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
