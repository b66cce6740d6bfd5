//! An upstream that follows a script, one act for each request.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

/// What an upstream does with a request.
#[derive(Clone, Debug)]
pub(crate) enum Act {
    /// Answers with a status and a body.
    Answer(u16, &'static str),
    /// Answers with a status, further header lines and the body `ok`.
    AnswerWith(u16, &'static str),
    /// Like `AnswerWith`, after the given number of milliseconds.
    DelayedAnswerWith(u64, u16, &'static str),
    /// Answers that it did not run the request.
    NotRun,
    /// Answers with the id of another request.
    WrongId,
    /// Closes the connection without an answer.
    Close,
    /// Answers with a content length, and closes the connection within the body.
    CutBody,
    /// Sends the events of a range and ends the stream.
    Events(u64, u64),
    /// Sends the events of a range and the first bytes of the next one, and closes the connection.
    CutEvents(u64, u64),
    /// Sends the events of a range without a length or chunks, and closes the connection.
    UnframedEvents(u64, u64),
    /// Like `UnframedEvents`, with the first bytes of the next event.
    CutUnframedEvents(u64, u64),
    /// Sends the events of a range like `UnframedEvents`, and ends the upstream.
    CrashAfterUnframedEvents(u64, u64),
    /// Sends a body without a length or chunks, and closes the connection.
    UnframedBody(&'static str),
    /// Sends the events of a range, and then nothing until the connection is closed.
    EventsThenStall(u64, u64),
    /// Waits for the given number of milliseconds, then sends the events of a range and ends the stream.
    DelayedEvents(u64, u64, u64),
    /// Sends nothing until the connection is closed.
    NoAnswer,
    /// Sends the first text, is silent for the given number of milliseconds, and sends the second text.
    Silence(String, u64, String),
    /// Sends each text and is silent for its number of milliseconds, then closes the connection.
    Steps(Vec<(String, u64)>),
    /// Sends a text and resets the connection.
    Reset(String),
    /// Answers, and sends a second answer directly after it.
    ExtraAnswer(&'static str),
}

#[derive(Debug)]
struct Inner {
    acts: Mutex<VecDeque<Act>>,
    next_acts: Mutex<Vec<(Arc<Inner>, Act)>>,
    seen: watch::Sender<Vec<String>>,
    aborted: watch::Sender<u32>,
    silent: watch::Sender<u32>,
    crash: CancellationToken,
}

/// An upstream that follows a script.
#[derive(Clone, Debug)]
pub(crate) struct TestUpstream {
    /// The address of its listener.
    pub(crate) addr: SocketAddr,
    inner: Arc<Inner>,
}

impl TestUpstream {
    /// Starts an upstream. Requests after the last of `acts` are answered with 200 and `ok`.
    pub(crate) async fn start(acts: &[Act]) -> Self {
        Self::start_on("127.0.0.1", acts).await
    }

    /// Starts an upstream on the address `ip`.
    pub(crate) async fn start_on(ip: &str, acts: &[Act]) -> Self {
        let listener = TcpListener::bind((ip, 0)).await.unwrap();
        let inner = Arc::new(Inner {
            acts: Mutex::new(acts.iter().cloned().collect()),
            next_acts: Mutex::default(),
            seen: watch::Sender::default(),
            aborted: watch::Sender::default(),
            silent: watch::Sender::default(),
            crash: CancellationToken::new(),
        });
        let upstream = Self {
            addr: listener.local_addr().unwrap(),
            inner,
        };
        let inner = Arc::clone(&upstream.inner);
        tokio::spawn(async move {
            let accepting = async {
                while let Ok((stream, _)) = listener.accept().await {
                    tokio::spawn(serve(Arc::clone(&inner), stream));
                }
            };
            inner.crash.run_until_cancelled(accepting).await;
        });
        upstream
    }

    /// Makes `act` the only act left for `one` and `other` as soon as this upstream gets its next request.
    pub(crate) fn set_next_act(&self, one: &Self, other: &Self, act: Act) {
        let mut both = self.inner.next_acts.lock().unwrap();
        both.push((Arc::clone(&one.inner), act.clone()));
        both.push((Arc::clone(&other.inner), act));
    }

    /// Returns the heads of the requests that were received, in lower case.
    pub(crate) fn seen(&self) -> Vec<String> {
        self.inner.seen.borrow().clone()
    }

    /// Waits until `count` requests were received.
    pub(crate) async fn until_seen(&self, count: usize) {
        let mut seen = self.inner.seen.subscribe();
        seen.wait_for(|seen| seen.len() >= count).await.unwrap();
    }

    /// Waits until the upstream has become silent within an answer.
    pub(crate) async fn until_silent(&self) {
        let mut silent = self.inner.silent.subscribe();
        silent.wait_for(|silent| *silent > 0).await.unwrap();
    }

    /// Waits until the upstream has begun `steps` silences.
    pub(crate) async fn until_steps(&self, steps: u32) {
        let mut silent = self.inner.silent.subscribe();
        silent.wait_for(|silent| *silent >= steps).await.unwrap();
    }

    /// Returns how many requests in progress the entry has aborted.
    pub(crate) fn aborted(&self) -> u32 {
        *self.inner.aborted.borrow()
    }

    /// Waits until the entry has closed a connection on which a request was in progress.
    pub(crate) async fn until_request_aborted(&self) {
        let mut aborted = self.inner.aborted.subscribe();
        aborted.wait_for(|aborted| *aborted > 0).await.unwrap();
    }
}

async fn serve(inner: Arc<Inner>, mut stream: TcpStream) {
    let mut buf = Vec::new();
    while let Some(head) = read_head(&mut stream, &mut buf).await {
        inner.seen.send_modify(|seen| seen.push(head.clone()));
        let act = inner.acts.lock().unwrap().pop_front();
        let act = act.unwrap_or(Act::Answer(200, "ok"));
        for (other, next) in inner.next_acts.lock().unwrap().drain(..) {
            *other.acts.lock().unwrap() = VecDeque::from([next]);
        }
        if !perform(&inner, &mut stream, &head, act).await {
            return;
        }
    }
}

/// Performs an act; returns whether the connection stays open.
async fn perform(inner: &Inner, stream: &mut TcpStream, head: &str, act: Act) -> bool {
    let id = head.lines().find_map(|line| line.strip_prefix("x-id: "));
    let id = id.unwrap_or("none");
    let plain = |status: u16, id: &str, body: &str| {
        let length = body.len();
        format!("HTTP/1.1 {status} X\r\nx-id: {id}\r\ncontent-length: {length}\r\n\r\n{body}")
    };
    match act {
        Act::Answer(status, body) => write(stream, &plain(status, id, body)).await,
        Act::AnswerWith(status, lines) => write(stream, &plain_with(status, id, lines)).await,
        Act::DelayedAnswerWith(ms, status, lines) => {
            tokio::time::sleep(Duration::from_millis(ms)).await;
            write(stream, &plain_with(status, id, lines)).await
        }
        Act::NotRun => {
            let text = "HTTP/1.1 503 X\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n";
            write(stream, text).await
        }
        Act::WrongId => write(stream, &plain(200, "other", "not yours")).await,
        Act::ExtraAnswer(body) => {
            let text = plain(200, id, body);
            write(stream, &(text.clone() + &plain(200, "other", "late"))).await
        }
        Act::Close => false,
        Act::Reset(text) => {
            write(stream, &text).await;
            stream.set_zero_linger().unwrap();
            false
        }
        Act::CutBody => {
            let text = "HTTP/1.1 200 X\r\ncontent-length: 10\r\n\r\nhalf";
            write(stream, text).await;
            false
        }
        Act::Events(from, to) => {
            write(stream, &(stream_head(id) + &events(from, to) + "0\r\n\r\n")).await
        }
        Act::DelayedEvents(ms, from, to) => {
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
        Act::UnframedEvents(from, to) => {
            write(stream, &(unframed_head(id) + &body_of(from, to))).await;
            false
        }
        Act::CutUnframedEvents(from, to) => {
            let half = format!("id: {}\nda", to + 1);
            write(stream, &(unframed_head(id) + &body_of(from, to) + &half)).await;
            false
        }
        Act::CrashAfterUnframedEvents(from, to) => {
            write(stream, &(unframed_head(id) + &body_of(from, to))).await;
            inner.crash.cancel();
            let addr = stream.local_addr().unwrap();
            while TcpStream::connect(addr).await.is_ok() {
                tokio::task::yield_now().await;
            }
            false
        }
        Act::UnframedBody(body) => {
            let text = format!("HTTP/1.1 200 X\r\nx-id: {id}\r\n\r\n{body}");
            write(stream, &text).await;
            false
        }
        Act::EventsThenStall(from, to) => {
            write(stream, &(stream_head(id) + &events(from, to))).await;
            wait_for_end(inner, stream).await
        }
        Act::NoAnswer => wait_for_end(inner, stream).await,
        Act::Steps(steps) => {
            let mut buf = [0; 64];
            for (text, ms) in steps {
                if !write(stream, &text).await {
                    return false;
                }
                inner.silent.send_modify(|silent| *silent += 1);
                tokio::select! {
                    () = tokio::time::sleep(Duration::from_millis(ms)) => {}
                    _ = stream.read(&mut buf) => {
                        inner.aborted.send_modify(|aborted| *aborted += 1);
                        return false;
                    }
                }
            }
            false
        }
        Act::Silence(before, ms, after) => {
            if !write(stream, &before).await {
                return false;
            }
            inner.silent.send_modify(|silent| *silent += 1);
            let mut buf = [0; 64];
            tokio::select! {
                () = tokio::time::sleep(Duration::from_millis(ms)) => write(stream, &after).await,
                // Nothing but the end of the connection can come from the entry.
                _ = stream.read(&mut buf) => {
                    inner.aborted.send_modify(|aborted| *aborted += 1);
                    false
                }
            }
        }
    }
}

async fn wait_for_end(inner: &Inner, stream: &mut TcpStream) -> bool {
    let mut buf = [0; 64];
    while matches!(stream.read(&mut buf).await, Ok(1..)) {}
    inner.aborted.send_modify(|aborted| *aborted += 1);
    false
}

pub(crate) fn stream_head(id: &str) -> String {
    format!(
        "HTTP/1.1 200 X\r\nx-id: {id}\r\ncontent-type: text/event-stream\r\n\
         transfer-encoding: chunked\r\n\r\n"
    )
}

fn plain_with(status: u16, id: &str, lines: &str) -> String {
    format!("HTTP/1.1 {status} X\r\nx-id: {id}\r\n{lines}content-length: 2\r\n\r\nok")
}

fn unframed_head(id: &str) -> String {
    format!("HTTP/1.1 200 X\r\nx-id: {id}\r\ncontent-type: text/event-stream\r\n\r\n")
}

pub(crate) fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// Returns the events of a range as the text of a body.
pub(crate) fn body_of(from: u64, to: u64) -> String {
    (from..=to)
        .map(|id| format!("id: {id}\ndata: piece {id}\n\n"))
        .collect()
}

pub(crate) fn events(from: u64, to: u64) -> String {
    (from..=to).map(|id| chunk(&body_of(id, id))).collect()
}

async fn write(stream: &mut TcpStream, text: &str) -> bool {
    stream.write_all(text.as_bytes()).await.is_ok()
}

/// Reads the next request and returns its head, or `None` if the connection is closed.
async fn read_head(stream: &mut TcpStream, buf: &mut Vec<u8>) -> Option<String> {
    let end = loop {
        if let Some(end) = buf.windows(4).position(|it| it == b"\r\n\r\n") {
            break end;
        }
        read_more(stream, buf).await?;
    };
    let head = String::from_utf8_lossy(&buf[..end]).to_ascii_lowercase();
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "));
    let length: usize = length.and_then(|it| it.parse().ok()).unwrap_or(0);
    let all = end + 4 + length;
    while buf.len() < all {
        read_more(stream, buf).await?;
    }
    buf.drain(..all);
    Some(head)
}

/// Reads the next bytes of a connection, or returns `None` at its end.
async fn read_more(stream: &mut TcpStream, buf: &mut Vec<u8>) -> Option<()> {
    match stream.read_buf(buf).await {
        Ok(1..) => Some(()),
        _ => None,
    }
}
