//! Bytes that an entry holds for its callers, counted until they are written or dropped.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use prometheus::IntGauge;
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore};

/// Part of the VM's memory that bytes held for callers may take, as a divisor. The smallest VM has 112 MB, of which
/// 28 MB hold 2,870 requests (its descriptors) of 4 KB twice.
const MEMORY_DIVISOR: usize = 4;

/// Bytes that may be held where the VM's memory is not known: those of the smallest VM.
const DEFAULT_LIMIT: usize = 28 << 20;

/// Bytes of long bodies that are received at the same time, as far as the limit allows: 16 of the usual maximum size.
const RECEIVED_BYTES: usize = 64 << 20;

/// Bytes by which the place of a long body is taken. A shorter body needs none.
const PLACE_BYTES: usize = 64 * 1024;

/// Bytes that an entry holds for all callers: bodies of requests, and answers that are not written yet.
#[derive(Debug)]
pub struct Held {
    limit: usize,
    used: AtomicUsize,
    gauge: IntGauge,
    freed: Notify,
    /// Places for long bodies that are being received.
    places: Arc<Semaphore>,
}

impl Held {
    /// Creates a count of at most about `limit` bytes, which `gauge` shows.
    pub fn new(limit: usize, gauge: IntGauge) -> Arc<Self> {
        Arc::new(Self {
            limit,
            used: AtomicUsize::new(0),
            gauge,
            freed: Notify::new(),
            places: Arc::new(Semaphore::new(places(limit))),
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

/// Returns the number of places for long bodies under a limit of held bytes.
fn places(limit: usize) -> usize {
    (limit.min(RECEIVED_BYTES) / PLACE_BYTES).max(1)
}

/// The body of a request while it is received. Its bytes count as held as they come.
pub(crate) struct HeldBuf {
    buf: BytesMut,
    held: Arc<Held>,
    place: Option<OwnedSemaphorePermit>,
}

impl HeldBuf {
    /// Creates an empty buffer.
    pub(crate) fn new(held: &Arc<Held>) -> Self {
        Self {
            buf: BytesMut::new(),
            held: Arc::clone(held),
            place: None,
        }
    }

    /// Returns the number of bytes that have come.
    pub(crate) fn len(&self) -> usize {
        self.buf.len()
    }

    /// Waits for a place for `bytes` in all, for at most `timeout`. Returns whether there is one.
    pub(crate) async fn reserve(&mut self, bytes: usize, timeout: Duration) -> bool {
        let taken = self
            .place
            .as_ref()
            .map_or(0, OwnedSemaphorePermit::num_permits);
        let needed = (bytes / PLACE_BYTES).min(places(self.held.limit));
        // A place has fewer than 2^32 blocks, since the bytes of all fit the limit above.
        let Ok(more @ 1..) = u32::try_from(needed.saturating_sub(taken)) else {
            return true;
        };
        let taking = Arc::clone(&self.held.places).acquire_many_owned(more);
        let Ok(Ok(more)) = tokio::time::timeout(timeout, taking).await else {
            return false;
        };
        match &mut self.place {
            Some(place) => place.merge(more),
            None => self.place = Some(more),
        }
        self.buf.reserve(bytes.saturating_sub(self.buf.len()));
        true
    }

    /// Adds the next bytes.
    pub(crate) fn push(&mut self, data: &[u8]) {
        self.held.add(data.len());
        self.buf.extend_from_slice(data);
    }

    /// Returns the whole body, which stays counted until its last copy is dropped.
    pub(crate) fn freeze(mut self) -> Bytes {
        let data = std::mem::take(&mut self.buf).freeze();
        if data.is_empty() {
            return data;
        }
        Bytes::from_owner(HeldBytes {
            data,
            held: Arc::clone(&self.held),
        })
    }
}

impl Drop for HeldBuf {
    fn drop(&mut self) {
        if !self.buf.is_empty() {
            self.held.free(self.buf.len());
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
