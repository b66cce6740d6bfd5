//! Entries that the settings name, from which a process that starts reads.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::task::JoinSet;

use crate::neighbour::{Heard, NeighbourClient, Question};

/// How long a seed may take to accept a connection: some round trips between regions. Longer ones are left
/// to those that are nearer.
const CONNECT: Duration = Duration::from_millis(250);

/// Pause before seeds that know nothing yet are asked again. Of processes that start together all seeds do.
const PAUSE: Duration = Duration::from_millis(100);

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

    /// Returns what the nearest seed that knows anything answers to `question`, and which that is; never
    /// returns while none does.
    pub(crate) async fn first_known(
        &self,
        client: &NeighbourClient,
        question: &Question,
        oldest: Duration,
    ) -> (SocketAddr, Heard) {
        if self.is_empty() {
            std::future::pending::<()>().await;
        }
        loop {
            // The quickest to accept comes first: one in the own data centre takes a tenth of the time of
            // others, and its bytes cross no narrow link.
            let mut connects = self.connect();
            while let Some(connected) = connects.join_next().await {
                // A seed that is gone is no news: the settings are as old as the process.
                let Ok(Some(seed)) = connected else {
                    continue;
                };
                // One that knows nothing yet is asked again after the pause.
                if let Ok(heard) = client.ask(seed, question, oldest).await {
                    return (seed, heard);
                }
            }
            tokio::time::sleep(PAUSE).await;
        }
    }

    /// Connects to all seeds; each that accepts is returned as it does.
    fn connect(&self) -> JoinSet<Option<SocketAddr>> {
        let connect = |seed| async move {
            let connected = tokio::time::timeout(CONNECT, TcpStream::connect(seed));
            connected.await.is_ok_and(|it| it.is_ok()).then_some(seed)
        };
        self.0.iter().copied().map(connect).collect()
    }
}
