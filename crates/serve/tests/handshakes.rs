//! Callers that connect while the listener closes.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

#[allow(dead_code, reason = "shared by the tests of this crate")]
mod common;

use std::io::{Read as _, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use common::{DelayedHandler, GET, server};
use wagtailreel_serve::Phase;

/// How many listeners are closed.
const ROUNDS: u32 = 20;

/// Connects in a loop until the port is closed; returns how many requests were not answered.
fn connect_repeatedly(addr: SocketAddr) -> u32 {
    let mut lost = 0;
    while let Ok(mut stream) = TcpStream::connect(addr) {
        let mut buf = [0; 512];
        let sent = stream.write_all(GET.as_bytes());
        let read = sent.and_then(|()| stream.read(&mut buf));
        if !read.is_ok_and(|read| buf[..read].starts_with(b"HTTP/1.1 200")) {
            lost += 1;
        }
    }
    lost
}

/// Every caller whose connection was established gets a response.
#[tokio::test(flavor = "multi_thread", worker_threads = 1)]
async fn connect_during_close() {
    let mut lost = 0;
    for _ in 0..ROUNDS {
        let mut server = server(DelayedHandler::default()).await;
        let addr = server.addr;
        let callers: Vec<_> = (0..2)
            .map(|_| std::thread::spawn(move || connect_repeatedly(addr)))
            .collect();
        server.accepted(5).await;
        server.server.enter(Phase::Leaving);
        server.server.enter(Phase::Closing);
        tokio::time::timeout(Duration::from_secs(10), server.server.ended())
            .await
            .unwrap();
        lost += callers
            .into_iter()
            .map(|it| it.join().unwrap())
            .sum::<u32>();
    }
    assert_eq!(lost, 0, "of {ROUNDS} rounds");
}
