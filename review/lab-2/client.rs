//! A client of the system: requests on kept connections.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::http::{Conn, Head};

/// What a client saw of one attempt.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// 0 if no head came.
    pub status: u16,
    pub head: Head,
    pub body: String,
    /// Whether the answer ended as HTTP says that it is complete.
    pub is_complete: bool,
    pub error: String,
    pub took_ms: u128,
}

impl Answer {
    /// Returns the ids of the events of a stream, in the order in which they came.
    pub fn events(&self) -> Vec<u32> {
        let ids = self
            .body
            .lines()
            .filter_map(|line| line.strip_prefix("id:"));
        ids.filter_map(|id| id.trim().parse().ok()).collect()
    }
}

pub struct Client {
    entry: SocketAddr,
    kept: Option<(Conn, Instant)>,
}

/// How long a client may keep an idle connection, at most, beside what the answers say.
const MAX_IDLE: Duration = Duration::from_millis(1500);

impl Client {
    pub fn new(entry: SocketAddr) -> Self {
        Self { entry, kept: None }
    }

    /// Sends a request and reads its answer, for at most `deadline`.
    pub fn call(
        &mut self,
        method: &str,
        path: &str,
        headers: &str,
        body: &str,
        deadline: Duration,
    ) -> Answer {
        let began = Instant::now();
        let kept = self
            .kept
            .take()
            .filter(|(_, since)| since.elapsed() < MAX_IDLE);
        let conn = match kept {
            Some((conn, _)) => Ok(conn),
            None => Conn::open(self.entry, Duration::from_secs(1)),
        };
        let mut answer = Answer::default();
        match conn {
            Err(e) => answer.error = format!("connect: {e}"),
            Ok(mut conn) => {
                let text = format!(
                    "{method} {path} HTTP/1.1\r\nHost: lab.example\r\nDeadline-Ms: {}\r\n{headers}\
                     Content-Length: {}\r\n\r\n{body}",
                    deadline.as_millis(),
                    body.len()
                );
                let _ = conn
                    .stream
                    .set_read_timeout(Some(deadline + Duration::from_secs(1)));
                if let Err(e) = exchange(&mut conn, &text, &mut answer) {
                    answer.error = match e.kind() {
                        ErrorKind::WouldBlock => "no more came in time".to_owned(),
                        _ => e.to_string(),
                    };
                }
                let closes = answer
                    .head
                    .get("connection")
                    .is_some_and(|it| it.contains("close"));
                if answer.is_complete && !closes {
                    self.kept = Some((conn, Instant::now()));
                }
            }
        }
        answer.took_ms = began.elapsed().as_millis();
        answer
    }
}

fn exchange(conn: &mut Conn, text: &str, answer: &mut Answer) -> std::io::Result<()> {
    conn.write(text.as_bytes())?;
    let Some(head) = conn.head()? else {
        return Err(std::io::Error::new(
            ErrorKind::UnexpectedEof,
            "closed without an answer",
        ));
    };
    answer.status = head.status();
    let mut body = Vec::new();
    let read = conn.answer_body(&head, &mut body);
    answer.head = head;
    answer.body = String::from_utf8_lossy(&body).into_owned();
    read?;
    answer.is_complete = true;
    Ok(())
}
