//! Bytes that an entry holds for its callers, counted until they are written or dropped.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use prometheus::IntGauge;
use tokio::sync::Notify;

/// Part of the VM's memory that bytes held for callers may take, as a divisor. The smallest VM has 112 MB, of which
/// 28 MB hold 2,870 requests (its descriptors) of 4 KB twice.
const MEMORY_DIVISOR: usize = 4;

/// Bytes that may be held where the VM's memory is not known: those of the smallest VM.
const DEFAULT_LIMIT: usize = 28 << 20;

/// Bytes that an entry holds for all callers: bodies of requests, and answers that are not written yet.
#[derive(Debug)]
pub struct Held {
    limit: usize,
    used: AtomicUsize,
    gauge: IntGauge,
    freed: Notify,
}

impl Held {
    /// Creates a count of at most about `limit` bytes, which `gauge` shows.
    pub fn new(limit: usize, gauge: IntGauge) -> Arc<Self> {
        Arc::new(Self {
            limit,
            used: AtomicUsize::new(0),
            gauge,
            freed: Notify::new(),
        })
    }

    /// Returns the limit for the memory of this VM.
    pub(crate) fn limit_of_vm() -> usize {
        let text = std::fs::read_to_string("/proc/meminfo").unwrap_or_default();
        let total = text.lines().find_map(|line| line.strip_prefix("MemTotal:"));
        let kb = total.and_then(|it| it.trim().strip_suffix(" kB")?.parse::<usize>().ok());
        kb.map_or(DEFAULT_LIMIT, |kb| kb.saturating_mul(1024) / MEMORY_DIVISOR)
    }

    /// Counts `data` until the last copy of the returned bytes is dropped.
    pub fn hold(self: &Arc<Self>, data: Bytes) -> Bytes {
        if data.is_empty() {
            return data;
        }
        self.add(data.len());
        Bytes::from_owner(HeldBytes {
            data,
            held: Arc::clone(self),
        })
    }

    /// Returns the number of bytes that are held.
    pub fn used(&self) -> usize {
        self.used.load(Ordering::Acquire)
    }

    /// Waits until fewer bytes than the limit are held, for at most `timeout`. Returns whether there is room.
    ///
    /// Those who wait at the same moment exceed the limit by what each of them adds at once, which is a frame.
    pub async fn room(&self, timeout: Duration) -> bool {
        let has_room = || self.used() < self.limit;
        if has_room() {
            return true;
        }
        let waiting = async {
            loop {
                let freed = self.freed.notified();
                let mut freed = std::pin::pin!(freed);
                // Registers before the check, or what is freed in between would be missed.
                freed.as_mut().enable();
                if has_room() {
                    return;
                }
                freed.await;
            }
        };
        tokio::time::timeout(timeout, waiting).await.is_ok()
    }

    fn add(&self, bytes: usize) {
        self.used.fetch_add(bytes, Ordering::AcqRel);
        self.gauge.add(i64::try_from(bytes).unwrap_or(i64::MAX));
    }

    fn free(&self, bytes: usize) {
        let before = self.used.fetch_sub(bytes, Ordering::AcqRel);
        self.gauge.sub(i64::try_from(bytes).unwrap_or(i64::MAX));
        if before >= self.limit {
            self.freed.notify_waiters();
        }
    }
}

/// Bytes that count as held until they are dropped.
struct HeldBytes {
    data: Bytes,
    held: Arc<Held>,
}

impl AsRef<[u8]> for HeldBytes {
    fn as_ref(&self) -> &[u8] {
        &self.data
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.held.free(self.data.len());
    }
}
