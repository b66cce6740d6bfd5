//! A relay's link can be stalled, healed and refused.
#![allow(clippy::unwrap_used, reason = "a test ends at the first surprise")]

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;
use wagtailreel_bench::fleet::{LinkState, Relay};

const BOUND: Duration = Duration::from_secs(10);

/// Starts a server that sends back what it gets.
async fn echo() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let (mut rx, mut tx) = stream.into_split();
                let _ = tokio::io::copy(&mut rx, &mut tx).await;
            });
        }
    });
    addr
}

async fn exchange(stream: &mut TcpStream, text: &[u8]) {
    stream.write_all(text).await.unwrap();
    read_back(stream, text).await;
}

async fn read_back(stream: &mut TcpStream, text: &[u8]) {
    let mut buf = vec![0; text.len()];
    timeout(BOUND, stream.read_exact(&mut buf))
        .await
        .unwrap()
        .unwrap();
    assert_eq!(buf, text);
}

#[tokio::test]
async fn stalled_and_healed() {
    let relay = Relay::start(echo().await).await.unwrap();
    let mut old = TcpStream::connect(relay.addr()).await.unwrap();
    exchange(&mut old, b"before").await;
    assert_eq!(relay.bytes(), 12);
    relay.set(LinkState::Stalled);
    old.write_all(b"held").await.unwrap();
    let mut new = TcpStream::connect(relay.addr()).await.unwrap();
    new.write_all(b"also held").await.unwrap();
    let mut buf = [0; 1];
    let early = timeout(Duration::from_millis(300), old.read(&mut buf)).await;
    assert!(early.is_err(), "bytes passed a stalled link");
    relay.set(LinkState::Open);
    read_back(&mut old, b"held").await;
    read_back(&mut new, b"also held").await;
}

#[tokio::test]
async fn refused() {
    let relay = Relay::start(echo().await).await.unwrap();
    let mut old = TcpStream::connect(relay.addr()).await.unwrap();
    exchange(&mut old, b"before").await;
    relay.set(LinkState::Refused);
    let mut buf = [0; 1];
    let read = timeout(BOUND, old.read(&mut buf)).await.unwrap();
    assert!(matches!(read, Ok(0) | Err(_)));
    let mut new = TcpStream::connect(relay.addr()).await.unwrap();
    let read = timeout(BOUND, new.read(&mut buf)).await.unwrap();
    assert!(matches!(read, Ok(0) | Err(_)));
}

#[tokio::test]
async fn half_closed() {
    let relay = Relay::start(echo().await).await.unwrap();
    let mut stream = TcpStream::connect(relay.addr()).await.unwrap();
    stream.write_all(b"last words").await.unwrap();
    stream.shutdown().await.unwrap();
    let mut buf = Vec::new();
    timeout(BOUND, stream.read_to_end(&mut buf))
        .await
        .unwrap()
        .unwrap();
    assert_eq!(buf, b"last words");
}
