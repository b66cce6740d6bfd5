//! An upstream that does as it is told, request by request.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// What an upstream does with a request.
#[derive(Clone, Debug)]
pub(crate) enum Act {
    /// Answers with a status and a body.
    Answer(u16, &'static str),
    /// Says that it did not run the request.
    NotRun,
    /// Answers another request's id.
    WrongId,
    /// Closes the connection without an answer.
    Close,
    /// Answers with a length, and closes within the body.
    CutBody,
    /// Sends the events of a range and ends the stream.
    Events(u64, u64),
    /// Sends the events of a range and the beginning of the next, and closes.
    CutEvents(u64, u64),
    /// Sends the events of a range and stays silent until the connection ends.
    Hang(u64, u64),
    /// Waits for so many milliseconds, then sends the events of a range and ends the stream.
    Late(u64, u64, u64),
    /// Never answers; waits for the connection to end.
    Silent,
    /// Answers, and sends a second answer behind it.
    Twice(&'static str),
}

#[derive(Debug)]
struct Inner {
    acts: Mutex<VecDeque<Act>>,
    others: Mutex<Vec<(Arc<Inner>, Act)>>,
    seen: watch::Sender<Vec<String>>,
    ended: watch::Sender<u32>,
}

/// An upstream that does as it is told.
#[derive(Clone, Debug)]
pub(crate) struct TestUpstream {
    /// Where it listens.
    pub(crate) addr: SocketAddr,
    inner: Arc<Inner>,
}

impl TestUpstream {
    /// Starts an upstream; requests beyond `acts` are answered with 200 and `ok`.
    pub(crate) async fn start(acts: &[Act]) -> Self {
        Self::start_on("127.0.0.1", acts).await
    }

    /// Starts the same on the address `ip`.
    pub(crate) async fn start_on(ip: &str, acts: &[Act]) -> Self {
        let listener = TcpListener::bind((ip, 0)).await.unwrap();
        let inner = Arc::new(Inner {
            acts: Mutex::new(acts.iter().cloned().collect()),
            others: Mutex::default(),
            seen: watch::Sender::default(),
            ended: watch::Sender::default(),
        });
        let upstream = Self {
            addr: listener.local_addr().unwrap(),
            inner,
        };
        let inner = Arc::clone(&upstream.inner);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(Arc::clone(&inner), stream));
            }
        });
        upstream
    }

    /// Replaces what this and the other upstream do after the first request that either gets.
    pub(crate) fn follow_with(&self, one: &Self, other: &Self, act: Act) {
        let mut both = self.inner.others.lock().unwrap();
        both.push((Arc::clone(&one.inner), act.clone()));
        both.push((Arc::clone(&other.inner), act));
    }

    /// Returns the heads of the requests that came, in lower case.
    pub(crate) fn seen(&self) -> Vec<String> {
        self.inner.seen.borrow().clone()
    }

    /// Waits until `count` requests have come.
    pub(crate) async fn until_seen(&self, count: usize) {
        let mut seen = self.inner.seen.subscribe();
        seen.wait_for(|seen| seen.len() >= count).await.unwrap();
    }

    /// Waits until the other side has ended a connection with a request that was under way.
    pub(crate) async fn until_left(&self) {
        let mut ended = self.inner.ended.subscribe();
        ended.wait_for(|ended| *ended > 0).await.unwrap();
    }
}

async fn serve(inner: Arc<Inner>, mut stream: TcpStream) {
    let mut buf = Vec::new();
    while let Some(head) = read_head(&mut stream, &mut buf).await {
        inner.seen.send_modify(|seen| seen.push(head.clone()));
        let act = inner.acts.lock().unwrap().pop_front();
        let act = act.unwrap_or(Act::Answer(200, "ok"));
        for (other, next) in inner.others.lock().unwrap().drain(..) {
            *other.acts.lock().unwrap() = VecDeque::from([next]);
        }
        if !perform(&inner, &mut stream, &head, act).await {
            return;
        }
    }
}

/// Carries out an act; returns whether the connection goes on.
async fn perform(inner: &Inner, stream: &mut TcpStream, head: &str, act: Act) -> bool {
    let id = head.lines().find_map(|line| line.strip_prefix("x-id: "));
    let id = id.unwrap_or("none");
    let plain = |status: u16, id: &str, body: &str| {
        let length = body.len();
        format!("HTTP/1.1 {status} X\r\nx-id: {id}\r\ncontent-length: {length}\r\n\r\n{body}")
    };
    match act {
        Act::Answer(status, body) => write(stream, &plain(status, id, body)).await,
        Act::NotRun => {
            let text = "HTTP/1.1 503 X\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n";
            write(stream, text).await
        }
        Act::WrongId => write(stream, &plain(200, "other", "not yours")).await,
        Act::Twice(body) => {
            let text = plain(200, id, body);
            write(stream, &(text.clone() + &plain(200, "other", "late"))).await
        }
        Act::Close => false,
        Act::CutBody => {
            let text = "HTTP/1.1 200 X\r\ncontent-length: 10\r\n\r\nhalf";
            write(stream, text).await;
            false
        }
        Act::Events(from, to) => {
            write(stream, &(stream_head(id) + &events(from, to) + "0\r\n\r\n")).await
        }
        Act::Late(ms, from, to) => {
            tokio::time::sleep(Duration::from_millis(ms)).await;
            write(stream, &(stream_head(id) + &events(from, to) + "0\r\n\r\n")).await
        }
        Act::CutEvents(from, to) => {
            let next = to + 1;
            let half = format!("id: {next}\nda");
            let text = stream_head(id) + &events(from, to) + &chunk(&half);
            write(stream, &text).await;
            false
        }
        Act::Hang(from, to) => {
            write(stream, &(stream_head(id) + &events(from, to))).await;
            wait_for_end(inner, stream).await
        }
        Act::Silent => wait_for_end(inner, stream).await,
    }
}

async fn wait_for_end(inner: &Inner, stream: &mut TcpStream) -> bool {
    let mut buf = [0; 64];
    while matches!(stream.read(&mut buf).await, Ok(1..)) {}
    inner.ended.send_modify(|ended| *ended += 1);
    false
}

fn stream_head(id: &str) -> String {
    format!(
        "HTTP/1.1 200 X\r\nx-id: {id}\r\ncontent-type: text/event-stream\r\n\
         transfer-encoding: chunked\r\n\r\n"
    )
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// Returns the events of a range as they stand in a body.
pub(crate) fn body_of(from: u64, to: u64) -> String {
    (from..=to)
        .map(|id| format!("id: {id}\ndata: piece {id}\n\n"))
        .collect()
}

fn events(from: u64, to: u64) -> String {
    (from..=to).map(|id| chunk(&body_of(id, id))).collect()
}

async fn write(stream: &mut TcpStream, text: &str) -> bool {
    stream.write_all(text.as_bytes()).await.is_ok()
}

/// Reads the head of the next request, and its body after it; none at the connection's end.
async fn read_head(stream: &mut TcpStream, buf: &mut Vec<u8>) -> Option<String> {
    loop {
        let text = String::from_utf8_lossy(buf).into_owned();
        if let Some((head, _)) = text.split_once("\r\n\r\n") {
            let head = head.to_ascii_lowercase();
            let length = head
                .lines()
                .find_map(|line| line.strip_prefix("content-length: "));
            let length: usize = length.and_then(|it| it.parse().ok()).unwrap_or(0);
            let all = head.len() + 4 + length;
            if buf.len() >= all {
                buf.drain(..all);
                return Some(head);
            }
        }
        let mut part = [0; 4096];
        match stream.read(&mut part).await {
            Ok(read @ 1..) => buf.extend_from_slice(&part[..read]),
            _ => return None,
        }
    }
}
