//! A stopping agent serves the chunks that other agents have requested.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use std::io::{Read as _, Write as _};
use std::net::TcpStream;

use common::Fleet;

/// The request is already in the socket when the shutdown of the agent begins.
#[test]
fn requested_chunk_is_served() {
    let rt = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    let fleet = rt.block_on(Fleet::start(51, 1, Some(1)));
    let mut stream = TcpStream::connect(fleet.addr(0)).unwrap();
    let req = format!(
        "GET /v1/chunks/{}/1/0 HTTP/1.1\r\nhost: agent\r\n\r\n",
        common::MODEL
    );
    stream.write_all(req.as_bytes()).unwrap();
    rt.block_on(fleet.end(0));
    // Work that is unfinished now is dropped, as at the end of the agent's process.
    drop(rt);
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).unwrap();
    let answer = String::from_utf8(answer).unwrap();
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    let chunk = common::chunk(1, 0);
    assert!(answer.as_bytes().ends_with(&chunk), "{answer}");
}
