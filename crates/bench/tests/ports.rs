//! Ports are kept from other pools but not from the processes that they are for.
#![allow(clippy::unwrap_used, reason = "a test ends at the first surprise")]

use std::collections::BTreeSet;
use std::net::TcpListener;

use wagtailreel_bench::Ports;

#[tokio::test]
async fn kept_for_processes() {
    let mut ports = Ports::new();
    let addr = ports.hold().unwrap();
    let first = TcpListener::bind(addr).unwrap();
    drop(first);
    // As after a restart of the process.
    let second = TcpListener::bind(addr).unwrap();
    assert_eq!(second.local_addr().unwrap(), addr);
}

#[tokio::test]
async fn kept_from_others() {
    let mut pools = [Ports::new(), Ports::new(), Ports::new()];
    let mut chosen = BTreeSet::new();
    let mut count = 0;
    // Of 22,000 ports three pools that don't see each other would meet many times.
    for _ in 0..300 {
        for pool in &mut pools {
            chosen.insert(pool.hold().unwrap());
            count += 1;
        }
    }
    assert_eq!(chosen.len(), count);
}
