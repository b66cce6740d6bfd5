//! A small fake of an entry, whose faults show that the load tool sees them.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use axum::Router;
use axum::body::Body;
use axum::extract::{Request, State};
use axum::http::StatusCode;
use axum::response::Response;
use axum::routing::{get, post};
use wagtailreel_core::Digest;
use wagtailreel_standins::{EngineStats, RequestStats, prompt_hash, token_text};

/// How the fake misbehaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    /// Not at all.
    None,
    /// The last token is missing, and the end says so.
    Short,
    /// The last token is missing, and the end hides it.
    Hidden,
    /// The answer is another prompt's.
    Foreign,
    /// The answer changes its bundle half-way.
    Mixed,
    /// The stream ends without a closing event.
    Cut,
    /// The engine's own events, passed on as they are.
    Raw,
    /// Two closing events.
    TwoEnds,
    /// Refused with all headers.
    Refused,
    /// Refused without when to come back.
    RefusedMutely,
    /// No outcome at all.
    NoOutcome,
    /// Refused with all headers, but run all the same.
    RefusedButRun,
    /// Cut, and said so.
    Unknown,
}

/// The fake with what it ran.
#[derive(Clone, Debug)]
struct Fake {
    fault: Fault,
    ran: Arc<Mutex<Vec<String>>>,
}

/// Starts the fake on a free port.
pub(crate) async fn start(fault: Fault) -> SocketAddr {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let app = Router::new()
        .route("/v1/services/{service}/generate", post(generate))
        .route("/standin/stats", get(stats))
        .with_state(Fake {
            fault,
            ran: Arc::default(),
        });
    tokio::spawn(async move { axum::serve(listener, app).await });
    addr
}

/// Says what was run, as an engine's stand-in does.
async fn stats(State(fake): State<Fake>) -> axum::Json<EngineStats> {
    let ran = fake.ran.lock().unwrap();
    let requests = ran.iter().zip(0..).map(|(prompt, n)| {
        let request = RequestStats {
            started: 1,
            from_first: 1,
            prompt: prompt.clone(),
            ..RequestStats::default()
        };
        // The system's ids have nothing to do with the caller's.
        (format!("id-{n}"), request)
    });
    axum::Json(EngineStats {
        requests: requests.collect(),
        ..EngineStats::default()
    })
}

async fn generate(State(fake): State<Fake>, req: Request) -> Response {
    let fault = fake.fault;
    let body = axum::body::to_bytes(req.into_body(), 1 << 20)
        .await
        .unwrap();
    let body: serde_json::Value = serde_json::from_slice(&body).unwrap();
    let prompt = body["prompt"].as_str().unwrap();
    let tokens = u32::try_from(body["max_tokens"].as_u64().unwrap()).unwrap();
    if fault != Fault::Refused {
        fake.ran.lock().unwrap().push(prompt_hash(prompt));
    }
    match fault {
        Fault::Refused | Fault::RefusedButRun => refusal(Some("1")),
        Fault::RefusedMutely => refusal(None),
        Fault::NoOutcome => status(StatusCode::INTERNAL_SERVER_ERROR)
            .body(Body::empty())
            .unwrap(),
        _ => status(StatusCode::OK)
            .body(Body::from(stream(fault, prompt, tokens)))
            .unwrap(),
    }
}

fn status(status: StatusCode) -> axum::http::response::Builder {
    Response::builder().status(status)
}

fn refusal(retry_after: Option<&str>) -> Response {
    let mut builder = status(StatusCode::TOO_MANY_REQUESTS)
        .header("wagtailreel-outcome", "not-run")
        .header("wagtailreel-reason", "limit");
    if let Some(seconds) = retry_after {
        builder = builder
            .header("retry-after", seconds)
            .header("wagtailreel-retry-after-ms", "700");
    }
    builder.body(Body::empty()).unwrap()
}

fn stream(fault: Fault, prompt: &str, tokens: u32) -> String {
    let bundles = [Digest::of(b"one"), Digest::of(b"two")];
    let sent = match fault {
        Fault::Short | Fault::Hidden | Fault::Cut | Fault::Unknown => tokens - 1,
        _ => tokens,
    };
    let said = if fault == Fault::Hidden { tokens } else { sent };
    let prompt = if fault == Fault::Foreign {
        "another"
    } else {
        prompt
    };
    let mut out = String::new();
    for index in 0..sent {
        let second = fault == Fault::Mixed && index * 2 >= tokens;
        let token = token_text(bundles[usize::from(second)], prompt, index);
        out += &format!("event: token\ndata: {{\"index\":{index},\"token\":\"{token}\"}}\n\n");
    }
    let end = format!(
        "event: end\ndata: {{\"outcome\":\"answered\",\"tokens\":{said},\"weights\":\"{}\",\"epoch\":7}}\n\n",
        bundles[0]
    );
    match fault {
        Fault::Raw => {
            out = out.replace("event: token\n", "");
            out += &format!(
                "event: end\ndata: {{\"tokens\":{sent},\"bundle\":\"{}\"}}\n\n",
                bundles[0]
            );
        }
        Fault::Cut => {}
        Fault::Unknown => {
            out += "event: error\ndata: {\"outcome\":\"unknown\",\"reason\":\"cut\"}\n\n";
        }
        Fault::TwoEnds => out += &end.repeat(2),
        _ => out += &end,
    }
    out
}
