//! Callers that send long bodies at the same time.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use common::caller::{self, Answer, get};
use common::upstream::TestUpstream;
use common::{directory, entry, registered, route, until_readiness};
use futures::future::join_all;
use rstest::rstest;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;
use tokio::sync::watch;
use wagtailreel_fleet::{Change, ClientLimits, Directory, RouteKind, Upstream};
use wagtailreel_standins::RegistryStandin;

/// Length of a long body.
const LONG: usize = 4 << 20;

/// Callers with long bodies: more than have a place at the same time.
const CALLERS: usize = 40;

/// Long bodies that have a place at the same time.
const PLACES: usize = 16;

/// What bodies that have no place yet may have added, a frame each.
const SLACK: usize = CALLERS * 64 * 1024;

/// Returns a configuration that allows long bodies.
fn long_bodies() -> Directory {
    let limits = ClientLimits {
        header_bytes: 16384,
        body_bytes: LONG,
        header_timeout: Duration::from_secs(3),
        idle_timeout: Duration::from_secs(15),
    };
    let mut order = route("/order/", RouteKind::NonIdempotent);
    order.is_public = true;
    order.timeout = Duration::from_secs(20);
    Directory::new(1, limits)
        .with_routes(vec![order])
        .with_services(directory(1).services().cloned().collect())
}

/// How a body is framed.
#[derive(Clone, Copy, Debug)]
enum Framing {
    Length,
    Chunks,
}

/// Sends all but the last byte of a long body, and that once `go_on` says so.
async fn upload(addr: SocketAddr, framing: Framing, mut go_on: watch::Receiver<bool>) -> Answer {
    let (line, end) = match framing {
        Framing::Length => (format!("content-length: {LONG}\r\n\r\n"), "b"),
        Framing::Chunks => {
            let line = format!("transfer-encoding: chunked\r\n\r\n{LONG:x}\r\n");
            (line, "b\r\n0\r\n\r\n")
        }
    };
    let head = "POST /order/1 HTTP/1.1\r\nhost: shop.example\r\nx-id: r1\r\nconnection: close\r\n";
    let mut text = (head.to_owned() + &line).into_bytes();
    text.resize(text.len() + LONG - 1, b'a');
    let (mut reader, mut writer) = TcpStream::connect(addr).await.unwrap().into_split();
    let sending = async move {
        // An entry that refuses the request may close before it has read the rest.
        let _ = writer.write_all(&text).await;
        go_on.wait_for(|go_on| *go_on).await.unwrap();
        let _ = writer.write_all(end.as_bytes()).await;
        std::future::pending::<()>().await;
    };
    let mut buf = Vec::new();
    tokio::select! {
        _ = reader.read_to_end(&mut buf) => {}
        () = sending => {}
    }
    caller::parse(&String::from_utf8_lossy(&buf))
}

/// Returns the bytes that an entry counts as held.
async fn held(status: SocketAddr) -> usize {
    let metrics = get(status, "/metrics", &[]).await.body;
    let mut lines = metrics.lines();
    let value = lines.find_map(|line| line.strip_prefix("wagtailreel_held_bytes "));
    value.unwrap().trim().parse().unwrap()
}

/// Guards against an entry that receives any number of long bodies side by side and runs out of memory, which ends
/// the requests of all callers. What it has no place for it refuses as not run, and short requests go on.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn sent_at_once(#[values(Framing::Length, Framing::Chunks)] framing: Framing) {
    let upstream = TestUpstream::start(&[]).await;
    let registry = RegistryStandin::default();
    registry.config(long_bodies());
    // Whoever has a place for the body gets a slot.
    let record = Upstream {
        slots: u32::try_from(CALLERS).unwrap(),
        ..registered("a", upstream.addr)
    };
    registry.upstream(Change::Upstream(Box::new(record)));
    let entry = entry(&registry, Duration::from_secs(4)).await;
    until_readiness(&entry, 200).await;
    let (callers, status) = (entry.callers(), entry.status());
    let go_on = watch::Sender::new(false);
    let uploads = (0..CALLERS).map(|_| upload(callers, framing, go_on.subscribe()));
    let watching = async {
        // Those without a place are refused after 2 s.
        let until = Instant::now() + Duration::from_secs(3);
        let mut most = 0;
        while Instant::now() < until {
            most = most.max(held(status).await);
            let short = get(callers, "/order/2", &[("x-id", "r2")]).await;
            assert_eq!((short.status, short.body.as_str()), (200, "ok"));
        }
        go_on.send_replace(true);
        most
    };
    let (answers, most) = tokio::join!(join_all(uploads), watching);
    assert!(most > PLACES * LONG / 2, "{most} bytes were held");
    assert!(most <= PLACES * LONG + SLACK, "{most} bytes were held");
    let served = answers.iter().filter(|it| it.status == 200).count();
    let refused = answers.iter().filter(|it| it.status == 503);
    let refused = refused.filter(|it| it.header("retry-after").is_some());
    let refused = refused.count();
    assert_eq!(
        served + refused,
        CALLERS,
        "{served} served, {refused} refused"
    );
    assert!(
        matches!(framing, Framing::Chunks) || served >= PLACES,
        "{served} served"
    );
}
