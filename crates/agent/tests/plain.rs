//! An agent of a plain service.
#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use common::{Answer, Environment, any_port, document, eventually, report_of, settings, state};
use http::Method;
use rstest::rstest;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpListener;
use wagtailreel_agent_core::AgentProcess;
use wagtailreel_core::ServiceKind;
use wagtailreel_standins::{PlainConfig, PlainStandin};

struct PlainWorld {
    env: Environment,
    service: PlainStandin,
    agent: AgentProcess,
}

impl PlainWorld {
    async fn serving() -> Self {
        let env = Environment::new();
        let service = PlainStandin::start(PlainConfig::default(), any_port()).unwrap();
        let agent = serving_agent(&env, service.addr()).await;
        Self {
            env,
            service,
            agent,
        }
    }

    async fn call(&self, path: &str, body: &str) -> Answer {
        call(&self.env, &self.agent, path, body).await
    }
}

/// Starts an agent of the plain service at `service`, and waits until its gate is open.
async fn serving_agent(env: &Environment, service: SocketAddr) -> AgentProcess {
    let kind = ServiceKind::Plain;
    let settings = settings(kind, service, env.vms.addr(), None);
    let agent = AgentProcess::start(settings).await.unwrap();
    env.add_agent(&agent);
    env.entry.set_state(state(5, document(kind, None)));
    eventually("the epoch is open", async || {
        let report = report_of(env, &agent).await;
        (report.open == Some(5)).then_some(())
    })
    .await;
    agent
}

async fn call(env: &Environment, agent: &AgentProcess, path: &str, body: &str) -> Answer {
    let addr = agent.data_addr();
    Answer::read(env.send(addr, Method::POST, path, &[], body).await).await
}

/// Starts a service that gives `answer` to whatever it is sent.
async fn scripted_service(answer: &'static str) -> SocketAddr {
    let listener = TcpListener::bind(any_port()).await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut buf = [0; 4096];
                while matches!(stream.read(&mut buf).await, Ok(1..)) {
                    if stream.write_all(answer.as_bytes()).await.is_err() {
                        return;
                    }
                }
            });
        }
    });
    addr
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn call_forwarded() {
    let world = PlainWorld::serving().await;
    let answer = world
        .call("/call/r1/notes/a%20b?full=1", "a delivery note")
        .await;
    assert_eq!(answer.status, 200);
    assert_eq!(answer.header("wagtailreel-outcome"), "answered");
    let body = String::from_utf8(answer.body.to_vec()).unwrap();
    assert!(body.contains("a delivery note"), "{body}");
    assert!(body.contains("/notes/a%20b?full=1"), "{body}");
    assert_eq!(world.service.runs("r1"), 1);
    let again = world.call("/call/r1/notes", "a delivery note").await;
    assert_eq!(again.refusal(), (409, "unknown", "duplicate"));
    assert_eq!(world.service.runs("r1"), 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn status_forwarded() {
    let world = PlainWorld::serving().await;
    world.service.faults().update(|f| f.status = 418);
    let answer = world.call("/call/r1/", "").await;
    assert_eq!(answer.status, 418);
    assert_eq!(answer.header("wagtailreel-outcome"), "answered");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn lost_answer() {
    let world = PlainWorld::serving().await;
    world.service.faults().update(|f| f.lose_answers = 1);
    let answer = world.call("/call/r1/order", "two pallets").await;
    assert_eq!(answer.refusal(), (502, "unknown", "answer-lost"));
    assert_eq!(world.service.runs("r1"), 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unreachable_service() {
    let world = PlainWorld::serving().await;
    world.service.crash();
    let answer = world.call("/call/r1/order", "two pallets").await;
    assert_eq!(answer.refusal().1, "not-run");
    eventually("the gate is closed", async || {
        let answer = world.call("/call/r1/order", "two pallets").await;
        (answer.refusal() == (503, "not-run", "closed")).then_some(())
    })
    .await;
    world.service.resume().unwrap();
    eventually("the service answers again", async || {
        tokio::time::sleep(Duration::from_millis(50)).await;
        let answer = world.call("/call/r1/order", "two pallets").await;
        (answer.status == 200).then_some(())
    })
    .await;
    assert_eq!(world.service.runs("r1"), 1);
}

/// Guards against an answer that is cut at a length beside its chunks, which holds for nothing.
#[rstest]
#[case::shorter(
    "HTTP/1.1 200 OK\r\ncontent-length: 2\r\ntransfer-encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"
)]
#[case::longer(
    "HTTP/1.1 200 OK\r\ncontent-length: 9\r\ntransfer-encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"
)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn length_beside_chunks(#[case] text: &'static str) {
    let env = Environment::new();
    let agent = serving_agent(&env, scripted_service(text).await).await;
    let answer = call(&env, &agent, "/call/r1/order", "").await;
    assert_eq!(answer.status, 200);
    assert!(!answer.is_cut);
    assert_eq!(answer.body, "whole");
}
