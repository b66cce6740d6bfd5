//! Tuning parameters of a planner.

use std::time::Duration;

/// Time that the draws of one window take on the origin's link.
///
/// The draws share the link, so each of them takes that long, and the next VM in a chunk's ranking must not
/// take over the draw meanwhile. With 24 chunks of 45 ms each, the origin sent every third chunk twice, and a
/// version that can be drawn in 4.3 s took 8 s. The time is long enough for the report of a chunk to reach
/// the VMs that draw the next ones.
const WINDOW_DURATION: Duration = Duration::from_millis(400);

/// Minimum chunks per window. With one chunk at a time, the link would be idle between draws.
const MIN_WINDOW_CHUNKS: u32 = 4;

/// Maximum chunks per window. On a link that is fast enough for more, more make no difference.
const MAX_WINDOW_CHUNKS: u32 = 64;

/// Tuning parameters of a planner. The defaults gave the best results on the slot model of the tests.
#[derive(Clone, Debug, PartialEq)]
pub struct Tuning {
    /// Maximum fetches in flight from peers.
    pub parallel: usize,
    /// Maximum fetches in flight from one peer.
    pub per_peer: usize,
    /// Number of neighbours in the own data centre.
    pub local_neighbours: usize,
    /// Number of further neighbours, from all data centres.
    pub global_neighbours: usize,
    /// Maximum time that the first draw waits for the neighbours to report their chunks.
    pub learn_timeout: Duration,
    /// Number of chunks past the highest available one that may be drawn.
    pub window: u32,
    /// Minimum time that a VM waits before it draws a chunk in the place of the VM before it in the chunk's
    /// ranking.
    pub takeover_delay: Duration,
    /// Maximum number of ranks for which a VM far down a ranking waits.
    pub max_takeover_delays: u32,
    /// Time after which an unreachable peer is lost: the ranking leaves it out.
    pub lost_after: Duration,
    /// Estimated duration of a fetch until a fetch has succeeded.
    pub initial_fetch_time: Duration,
    /// Minimum time after which a fetch is hedged or times out.
    pub min_timeout: Duration,
    /// A fetch is hedged after this many times the average duration.
    pub hedge_factor: u32,
    /// A fetch times out after this many times the average duration.
    pub timeout_factor: u32,
    /// First backoff from a peer that failed, doubled with each failure in a row.
    pub peer_backoff: Duration,
    /// Backoff from a busy peer that does not request a delay.
    pub busy_backoff: Duration,
    /// Time that a VM waits, per VM before it in a chunk's ranking within the data centre, before it fetches
    /// the chunk from another data centre. With `None`, every VM fetches from any data centre at once.
    ///
    /// With this delay each chunk crosses into a data centre once.
    pub cross_delay: Option<Duration>,
    /// First backoff after the origin refused or failed, doubled with each failure in a row.
    pub origin_backoff: Duration,
    /// Maximum backoff after the origin refused or failed, unless the origin requests a longer one.
    pub max_origin_backoff: Duration,
}

impl Default for Tuning {
    fn default() -> Self {
        Self {
            parallel: 4,
            per_peer: 1,
            local_neighbours: 10,
            global_neighbours: 5,
            learn_timeout: Duration::from_millis(250),
            window: 12,
            takeover_delay: Duration::from_secs(1),
            max_takeover_delays: 8,
            lost_after: Duration::from_secs(1),
            initial_fetch_time: Duration::from_secs(1),
            min_timeout: Duration::from_millis(500),
            hedge_factor: 3,
            timeout_factor: 8,
            peer_backoff: Duration::from_millis(250),
            busy_backoff: Duration::from_millis(30),
            cross_delay: None,
            origin_backoff: Duration::from_millis(200),
            max_origin_backoff: Duration::from_secs(2),
        }
    }
}

impl Tuning {
    /// Fits the window and the takeover delay to an origin whose link takes `draw_time` for one chunk.
    /// `None` or zero leaves both unchanged.
    #[must_use]
    pub fn with_draw_time(mut self, draw_time: Option<Duration>) -> Self {
        let Some(draw_time) = draw_time.filter(|draw_time| !draw_time.is_zero()) else {
            return self;
        };
        let fitting = WINDOW_DURATION.as_nanos() / draw_time.as_nanos();
        self.window = u32::try_from(fitting)
            .unwrap_or(MAX_WINDOW_CHUNKS)
            .clamp(MIN_WINDOW_CHUNKS, MAX_WINDOW_CHUNKS);
        let window_duration = draw_time.saturating_mul(self.window);
        self.takeover_delay = self.takeover_delay.max(window_duration.saturating_mul(3));
        self
    }
}
