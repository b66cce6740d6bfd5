//! A scripted test double of an agent that speaks the real control protocol.

use std::collections::{BTreeMap, VecDeque};
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use axum::Router;
use axum::body::Body;
use axum::extract::{Path, State};
use axum::response::{IntoResponse, Response};
use axum::routing::{any, post};
use bytes::Bytes;
use futures::stream;
use http::HeaderMap;
use hyper::server::conn::http1;
use hyper::service::{Service as _, service_fn};
use hyper_util::rt::TokioIo;
use hyper_util::service::TowerToHyperService;
use prometheus::Registry;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use wagtailreel_control::{AgentControl, AgentControlConfig};
use wagtailreel_core::{Digest, NotRunReason, Report, VmEntry, VmId, VmRole, VmState};

use super::unused_addr;

/// How the agent handles a request.
#[derive(Clone, Debug)]
pub(crate) enum Action {
    /// Sends the whole answer.
    Whole,
    /// Sends the tokens before this index, then cuts the connection.
    Cut(u64),
    /// Sends the tokens before this index, then ends the body properly but without the `end` event.
    EndEarly(u64),
    /// Omits the token with this index.
    Skip(u64),
    /// Refuses the request.
    Refuse(NotRunReason),
    /// Accepts the request and drops the connection without an answer.
    Drop,
    /// Answers a call without an outcome header, as a server that is not an agent does.
    NoOutcome,
    /// Sends the whole answer once the agent is released.
    Hold,
}

/// A request that the agent received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct SeenRequest {
    pub(crate) vm: VmId,
    pub(crate) id: String,
    pub(crate) pin: String,
    pub(crate) resume_from: String,
    pub(crate) headers: Vec<String>,
}

/// Actions for the next requests, in order, shared by all agents.
pub(crate) type Script = Arc<Mutex<VecDeque<Action>>>;

#[derive(Debug)]
struct Inner {
    vm: VmId,
    script: Script,
    runs: Mutex<Vec<SeenRequest>>,
    cancels: Mutex<Vec<String>>,
    /// The state in the answer to a cancel. By default it depends on whether the request was received.
    cancel_state: Mutex<Option<&'static str>>,
    released: watch::Sender<bool>,
}

/// Marks a response that is replaced by dropping the connection.
#[derive(Clone, Copy)]
struct DropConnection;

pub(crate) struct FakeAgent {
    pub(crate) control: AgentControl,
    inner: Arc<Inner>,
    data: SocketAddr,
    report: Mutex<Report>,
    stop: CancellationToken,
}

pub(crate) fn weights() -> Digest {
    Digest::of(b"quill v1")
}

impl FakeAgent {
    pub(crate) async fn start(
        vm: &str,
        service: &str,
        entries: Vec<(VmId, SocketAddr)>,
        script: Script,
    ) -> Self {
        let listener = TcpListener::bind(unused_addr()).await.unwrap();
        let data = listener.local_addr().unwrap();
        let cfg = AgentControlConfig {
            vm: vm.to_owned(),
            listen: unused_addr(),
            report_interval: Duration::from_millis(100),
        };
        let control = AgentControl::start(cfg, &Registry::new()).unwrap();
        let inner = Arc::new(Inner {
            vm: vm.to_owned(),
            script,
            runs: Mutex::default(),
            cancels: Mutex::default(),
            cancel_state: Mutex::default(),
            released: watch::Sender::new(false),
        });
        let stop = CancellationToken::new();
        tokio::spawn(stop.clone().run_until_cancelled_owned(accept(
            listener,
            Arc::clone(&inner),
            stop.clone(),
        )));
        let report = report(vm, service, data, control.addr());
        control.set_report(report.clone());
        control.set_entries(entries);
        Self {
            control,
            inner,
            data,
            report: Mutex::new(report),
            stop,
        }
    }

    /// Changes what the agent reports.
    pub(crate) fn set_report<F>(&self, change: F)
    where
        F: FnOnce(&mut Report),
    {
        let mut report = self.report.lock().unwrap();
        change(&mut report);
        self.control.set_report(report.clone());
    }

    pub(crate) fn set_cancel_state(&self, state: &'static str) {
        *self.inner.cancel_state.lock().unwrap() = Some(state);
    }

    /// Releases the requests that are held.
    pub(crate) fn release(&self) {
        self.inner.released.send_replace(true);
    }

    pub(crate) fn runs(&self) -> Vec<SeenRequest> {
        self.inner.runs.lock().unwrap().clone()
    }

    pub(crate) fn cancels(&self) -> Vec<String> {
        self.inner.cancels.lock().unwrap().clone()
    }

    /// Refuses new data connections and drops the open ones. Reports continue.
    pub(crate) fn close_data(&self) {
        self.stop.cancel();
    }

    pub(crate) fn listed(&self) -> VmEntry {
        let report = self.report.lock().unwrap();
        VmEntry {
            vm: report.vm.clone(),
            data_centre: report.data_centre.clone(),
            region: report.region.clone(),
            role: VmRole::Upstream,
            state: VmState::Live,
            service: Some(report.service.clone()),
            control: self.control.addr(),
            data: self.data,
        }
    }
}

impl Drop for FakeAgent {
    fn drop(&mut self) {
        self.stop.cancel();
        self.control.stop();
    }
}

fn report(vm: &str, service: &str, data: SocketAddr, control: SocketAddr) -> Report {
    Report {
        vm: vm.to_owned(),
        incarnation: 1,
        sequence: 0,
        data_centre: "quito-hall".to_owned(),
        region: "sierra".to_owned(),
        service: service.to_owned(),
        data,
        control,
        config: 1,
        in_flight: 0,
        capacity: 8,
        load: None,
        bundles: 2,
        leaving: false,
        closed_below: 0,
        open: Some(1),
        open_weights: Some(weights()),
        weights: BTreeMap::new(),
        chunks: (0, 0),
        trouble: None,
    }
}

async fn accept(listener: TcpListener, inner: Arc<Inner>, stop: CancellationToken) {
    let router = Router::new()
        .route("/run/{request}", post(run))
        .route("/call/{request}/{*path}", any(call))
        .route("/cancel/{request}", post(cancel))
        .with_state(inner);
    loop {
        let (stream, _) = listener.accept().await.unwrap();
        let service = TowerToHyperService::new(router.clone());
        let service = service_fn(move |req| {
            let answer = service.call(req);
            async move {
                let answer = answer
                    .await
                    .unwrap_or_else(|never: Infallible| match never {});
                if answer.extensions().get::<DropConnection>().is_some() {
                    return Err(io::Error::other("dropped on purpose"));
                }
                Ok(answer)
            }
        });
        let serving = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        tokio::spawn(stop.clone().run_until_cancelled_owned(async move {
            let _ = serving.await;
        }));
    }
}

impl Inner {
    fn record(&self, id: &str, headers: &HeaderMap) -> Action {
        let text = |name: &str| {
            let value = headers.get(name);
            value.map_or("", |value| value.to_str().unwrap()).to_owned()
        };
        self.runs.lock().unwrap().push(SeenRequest {
            vm: self.vm.clone(),
            id: id.to_owned(),
            pin: text("wagtailreel-pin"),
            resume_from: text("wagtailreel-resume-from"),
            headers: headers.keys().map(ToString::to_string).collect(),
        });
        let action = self.script.lock().unwrap().pop_front();
        action.unwrap_or(Action::Whole)
    }
}

async fn run(
    State(inner): State<Arc<Inner>>,
    Path(id): Path<String>,
    headers: HeaderMap,
    body: Bytes,
) -> Response {
    let action = inner.record(&id, &headers);
    let body: serde_json::Value = serde_json::from_slice(&body).unwrap();
    let tokens = body["max_tokens"].as_u64().unwrap();
    let from = headers.get("wagtailreel-resume-from");
    let from = from.map_or(0, |from| from.to_str().unwrap().parse().unwrap());
    let released = inner.released.subscribe();
    let mut events: Vec<Result<Bytes, io::Error>> = Vec::new();
    let token = |index: u64| {
        let data = format!("{{\"index\":{index},\"token\":\"w{index} \"}}");
        Ok(Bytes::from(format!("event: token\ndata: {data}\n\n")))
    };
    let end = || {
        let weights = weights();
        let data = format!(
            "{{\"outcome\":\"answered\",\"tokens\":{tokens},\"weights\":\"{weights}\",\"epoch\":1}}"
        );
        Ok(Bytes::from(format!("event: end\ndata: {data}\n\n")))
    };
    let mut hold = false;
    match action {
        Action::Refuse(reason) => return refuse(reason),
        Action::Drop | Action::NoOutcome => return dropped(),
        Action::Whole | Action::Hold => {
            hold = matches!(action, Action::Hold);
            events.extend((from..tokens).map(token));
            events.push(end());
        }
        Action::Cut(after) => {
            events.extend((from..after).map(token));
            events.push(Ok(Bytes::from_static(b"event: token\ndata: {\"ind")));
            events.push(Err(io::Error::other("cut on purpose")));
        }
        Action::EndEarly(after) => events.extend((from..after).map(token)),
        Action::Skip(index) => {
            events.extend((from..tokens).filter(|at| *at != index).map(token));
            events.push(end());
        }
    }
    let events = stream::unfold(events.into_iter().enumerate(), move |mut events| {
        let mut released = released.clone();
        async move {
            let (number, event) = events.next()?;
            if hold && number == 1 {
                let _ = released.wait_for(|released| *released).await;
            }
            // Sends each event in a frame of its own, so that a cut does not lose the events before it.
            tokio::time::sleep(Duration::from_millis(1)).await;
            Some((event, events))
        }
    });
    let mut response = Response::new(Body::from_stream(events));
    let headers = response.headers_mut();
    headers.insert("content-type", "text/event-stream".parse().unwrap());
    headers.insert("wagtailreel-epoch", "1".parse().unwrap());
    headers.insert(
        "wagtailreel-weights",
        weights().to_string().parse().unwrap(),
    );
    response
}

/// Headers of every answer of a plain service.
const ANSWERED: [(&str, &str); 1] = [("wagtailreel-outcome", "answered")];

async fn call(
    State(inner): State<Arc<Inner>>,
    Path((id, path)): Path<(String, String)>,
    headers: HeaderMap,
    body: Bytes,
) -> Response {
    match inner.record(&id, &headers) {
        Action::Refuse(reason) => refuse(reason),
        Action::Drop => dropped(),
        Action::Cut(_) => {
            let part = Ok(Bytes::from_static(b"half an ans"));
            let parts = [part, Err(io::Error::other("cut on purpose"))];
            (ANSWERED, Body::from_stream(stream::iter(parts))).into_response()
        }
        Action::NoOutcome => "whole, but whose".into_response(),
        _ => {
            let text = format!("{path} {}", String::from_utf8_lossy(&body));
            (ANSWERED, [("x-desk", "yes")], text).into_response()
        }
    }
}

async fn cancel(State(inner): State<Arc<Inner>>, Path(id): Path<String>) -> String {
    inner.cancels.lock().unwrap().push(id.clone());
    let seen = inner.runs.lock().unwrap().iter().any(|seen| seen.id == id);
    let default_state = if seen { "started" } else { "not-run" };
    let state = inner.cancel_state.lock().unwrap().unwrap_or(default_state);
    format!("{{\"state\":\"{state}\"}}")
}

fn refuse(reason: NotRunReason) -> Response {
    let headers = [
        ("wagtailreel-outcome", "not-run".to_owned()),
        ("wagtailreel-reason", reason.to_string()),
    ];
    (http::StatusCode::SERVICE_UNAVAILABLE, headers).into_response()
}

fn dropped() -> Response {
    let mut response = Response::new(Body::empty());
    response.extensions_mut().insert(DropConnection);
    response
}
