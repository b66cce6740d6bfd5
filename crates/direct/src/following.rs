//! How an entry follows the topics of the registry.

use std::time::Duration;

use wagtailreel_fleet::{FollowConfig, Topic};

/// How long the registry may hold a read of the settings (long poll). Each read has a cost, which favours a
/// long hold. A read that returns empty confirms the configuration, and that has to happen well within the
/// bound on keys.
const SETTINGS_LONG_POLL: Duration = Duration::from_millis(1800);

/// Minimum time between two reads of the settings. In a burst of configurations each read returns the newest
/// of several.
const SETTINGS_READ_INTERVAL: Duration = Duration::from_millis(400);

/// How much longer than the long poll a read of the settings may take.
const SETTINGS_TIMEOUT_MARGIN: Duration = Duration::from_millis(700);

/// Maximum backoff after failed reads of the settings.
const SETTINGS_MAX_BACKOFF: Duration = Duration::from_millis(400);

/// Timeout of a read of the upstreams. A slow registry takes 250 ms.
const UPSTREAMS_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum backoff after failed reads of the upstreams. The sum of this, the timeout and `LAPSE_HOLD` stays
/// below the 3 s after which a removal has to be in force again.
const UPSTREAMS_MAX_BACKOFF: Duration = Duration::from_millis(200);

/// How long an upstream that is missing from the registry after an outage has to register again, before the
/// entry removes it.
const LAPSE_HOLD: Duration = Duration::from_millis(2100);

/// Returns how the settings are followed: by long polls.
pub fn follow_settings() -> FollowConfig {
    FollowConfig {
        topic: Topic::Settings,
        wait: SETTINGS_LONG_POLL,
        read_interval: SETTINGS_READ_INTERVAL,
        relayed_read_interval: Duration::ZERO,
        timeout: SETTINGS_TIMEOUT_MARGIN,
        max_backoff: SETTINGS_MAX_BACKOFF,
        lapse_hold: Duration::ZERO,
        lapse_after: Duration::ZERO,
    }
}

/// Returns how the upstreams are followed: by reads at an interval. They change several times a second, so
/// that a long poll would return at every heartbeat.
pub fn follow_upstreams(read_interval: Duration, lapse_after: Duration) -> FollowConfig {
    FollowConfig {
        topic: Topic::Upstreams,
        wait: Duration::ZERO,
        read_interval,
        relayed_read_interval: Duration::ZERO,
        timeout: UPSTREAMS_TIMEOUT,
        max_backoff: UPSTREAMS_MAX_BACKOFF,
        lapse_hold: LAPSE_HOLD,
        lapse_after,
    }
}
