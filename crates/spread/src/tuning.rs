//! Numbers that steer a planner.

use std::time::Duration;

/// How long the draws that are under way together take on the origin's link. They share it, so each
/// of them takes that long, and the next in a chunk's ranking must not draw in its place meanwhile:
/// with 24 chunks of 45 ms each the origin sent every third chunk twice, and a version that can be
/// drawn in 4.3 s took 8 s. It is long enough for news of a chunk to reach those who draw the next.
const WINDOW_DURATION: Duration = Duration::from_millis(400);

/// Fewest chunks that are drawn together: one at a time would leave the link idle between two.
const MIN_WINDOW_CHUNKS: u32 = 4;

/// Most chunks that are drawn together; on a link that is so fast a few more make no difference.
const MAX_WINDOW_CHUNKS: u32 = 64;

/// Numbers that steer a planner. The defaults are those that the slot model of the tests did
/// best with.
#[derive(Clone, Debug, PartialEq)]
pub struct Tuning {
    /// Most fetches from peers at once.
    pub parallel: usize,
    /// Most fetches from one peer at once.
    pub per_peer: usize,
    /// Neighbours in the own data centre.
    pub local_neighbours: usize,
    /// Neighbours over all data centres, besides the near ones.
    pub global_neighbours: usize,
    /// How long the first draw waits for the neighbours to say what they have.
    pub learn_timeout: Duration,
    /// How many chunks after the last one seen may be drawn by those first in their ranking.
    pub window: u32,
    /// How long the next in a chunk's ranking waits before it draws in place of the one before.
    pub takeover_delay: Duration,
    /// Highest number of stalls that a VM far down a ranking waits.
    pub max_takeover_delays: u32,
    /// How long an unreachable peer still counts as one that will draw.
    pub lost_after: Duration,
    /// What a fetch is taken to last until one has ended.
    pub initial_fetch_time: Duration,
    /// Shortest time after which a fetch is hedged or given up.
    pub min_timeout: Duration,
    /// A fetch is hedged after so many times the usual duration.
    pub hedge_factor: u32,
    /// A fetch is given up after so many times the usual duration.
    pub timeout_factor: u32,
    /// How long a peer that failed is passed over, doubled with each failure in a row.
    pub peer_backoff: Duration,
    /// How long a busy peer is passed over if it does not say.
    pub busy_backoff: Duration,
    /// How long the next in a chunk's ranking within a data centre waits before it fetches from
    /// another data centre in place of the one before; none lets every VM fetch from anywhere.
    ///
    /// With it each chunk crosses into a data centre once.
    pub cross_delay: Option<Duration>,
    /// First pause after the origin refused or failed, doubled with each failure in a row.
    pub origin_backoff: Duration,
    /// Longest pause after the origin refused or failed, unless it asks for a longer one.
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
    /// Fits the window of draws and the wait for another VM's to an origin whose link takes
    /// `draw_time` for one chunk; none leaves both as they are.
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
