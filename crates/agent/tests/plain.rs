//! An agent of a plain service.
#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod common;

use std::time::Duration;

use common::{Answer, Environment, any_port, document, eventually, report_of, settings, state};
use http::Method;
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
        let kind = ServiceKind::Plain;
        let settings = settings(kind, service.addr(), env.vms.addr(), None);
        let agent = AgentProcess::start(settings).await.unwrap();
        env.add_agent(&agent);
        env.entry.set_state(state(5, document(kind, None)));
        eventually("the epoch is open", async || {
            let report = report_of(&env, &agent).await;
            (report.open == Some(5)).then_some(())
        })
        .await;
        Self {
            env,
            service,
            agent,
        }
    }

    async fn call(&self, path: &str, body: &str) -> Answer {
        let addr = self.agent.data_addr();
        Answer::read(self.env.send(addr, Method::POST, path, &[], body).await).await
    }
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
