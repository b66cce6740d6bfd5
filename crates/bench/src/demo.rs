//! The demonstration: the main job of the product, step by step.

use std::collections::BTreeSet;
use std::io::Write as _;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures::future::join_all;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;
use wagtailreel_core::{Digest, Document, Epoch, Offset};
use wagtailreel_standins::OriginModel;

use crate::answer::{Ask, Ending};
use crate::error::{BrokenSnafu, Result};
use crate::fleet::{
    DataCentreSpec, Fleet, FleetBinaries, FleetSpec, Submission, UpstreamSpec, check_answer,
    to_yaml,
};
use crate::wait::{Look, wait_for, wait_until};

const SERVICE: &str = "wagtail-scribes";
const PLAIN: &str = "workshop-misc";
const MODEL: &str = "epitaph";

/// Bytes of the model.
const MODEL_LENGTH: usize = 16 << 20;
/// Bytes of a chunk.
const CHUNK_LENGTH: usize = 64 << 10;
/// Time in which a VM's link carries one copy each way.
const COPY_TIME: Duration = Duration::from_secs(2);
/// Copies that the origin's link carries in the time of two copies over a VM's link.
const ORIGIN_COPIES: u64 = 4;
/// Time within which each step has to be done.
const BOUND: Duration = Duration::from_secs(60);
/// Callers who ask while the versions are switched.
const CALLERS: usize = 8;
/// Long answers that run while an agent leaves.
const LONG_ANSWERS: usize = 12;
/// Tokens of a long answer.
const LONG: u32 = 200;

/// Runs the demonstration and prints what it does; anything that doesn't hold is an error.
///
/// # Errors
///
/// Returns the first thing that did not hold.
pub async fn run_demo(binaries: FleetBinaries) -> Result<()> {
    let fleet = Arc::new(start(binaries).await?);
    let first = roll_out(&fleet, "1", 0).await?;
    stream_one(&fleet, first.bundle).await?;
    let second = switch(&fleet, &first).await?;
    drain(&fleet, second.bundle).await?;
    call_plain(&fleet).await?;
    stop(&fleet).await
}

/// One version that went live.
struct Live {
    bundle: Digest,
    revision: Offset,
    epoch: Epoch,
}

async fn start(binaries: FleetBinaries) -> Result<Fleet> {
    let rate = MODEL_LENGTH as u64 / COPY_TIME.as_secs();
    let engine = UpstreamSpec::engine(SERVICE).with_link(rate, rate);
    let models = ["1", "2"].map(|it| OriginModel::new(MODEL, it, MODEL_LENGTH, CHUNK_LENGTH));
    let spec = FleetSpec::new(vec![
        DataCentreSpec::new("quito-hall", "sierra")
            .with_entries(1)
            .with_upstreams(2, engine.clone())
            .with_upstreams(1, UpstreamSpec::plain(PLAIN)),
        DataCentreSpec::new("cuenca-hall", "austro")
            .with_entries(1)
            .with_upstreams(2, engine),
    ])
    .with_models(models.to_vec())
    .with_origin_rate(rate * ORIGIN_COPIES / 2);
    step(
        "Starting stand-ins for the log, the list of VMs, the origin, 4 engines and a plain service",
    );
    step("Starting 2 entries and 5 agents as processes of their own");
    let fleet = Fleet::start(spec, binaries).await?;
    for vm in fleet.names(|_| true) {
        let pid = fleet.pid(&vm).await?.unwrap_or_default();
        say(&format!(
            "{vm:<16} pid {pid:<8} requests at {}",
            fleet.data_addr(&vm)?
        ));
    }
    Ok(fleet)
}

/// Submits the document with `version` and waits until every replica serves it.
async fn roll_out(fleet: &Fleet, version: &str, base: Offset) -> Result<Live> {
    let document = fleet.spec().document(SERVICE, Some((MODEL, version)));
    step(&format!(
        "Submitting the document of {SERVICE} with {MODEL} version {version}"
    ));
    let yaml = to_yaml(&document)?;
    for line in yaml
        .lines()
        .take_while(|line| !line.starts_with("priority"))
    {
        say(line);
    }
    let bundle = fleet.bundle_of(&document)?;
    let drawn = fleet.standins.origin.stats().bytes;
    let start = Instant::now();
    let (revision, epoch) = submit(fleet, SERVICE, &yaml, base).await?;
    say(&format!(
        "accepted as revision {revision} after {:.0?}",
        start.elapsed()
    ));
    let replicas = ready(&document);
    wait_for("the replicas to hold the weights", BOUND, || async {
        let holders = fleet.holders(bundle).len();
        if holders >= replicas {
            Look::Found(())
        } else {
            let progress = fleet.progress(SERVICE).await;
            Look::NotYet(format!("{holders} do{progress}"))
        }
    })
    .await?;
    let loaded = start.elapsed();
    wait_answers(fleet, bundle).await?;
    let drawn = fleet.standins.origin.stats().bytes - drawn;
    let (time, bound) = (loaded.as_secs_f64(), COPY_TIME.as_secs_f64());
    let answered = start.elapsed().as_secs_f64();
    let copies = drawn as f64 / MODEL_LENGTH as f64;
    say(&format!(
        "{replicas} replicas hold the weights {time:.2} s after the submission"
    ));
    say(&format!(
        "every entry answers from them after {answered:.2} s"
    ));
    say(&format!(
        "time / bound: {:.2} (a VM's link takes {bound:.0} s for a copy)",
        time / bound
    ));
    say(&format!("drawn from the origin: {copies:.2} copies"));
    Ok(Live {
        bundle,
        revision,
        epoch,
    })
}

async fn submit(fleet: &Fleet, service: &str, yaml: &str, base: Offset) -> Result<(Offset, Epoch)> {
    match fleet.submit(service, yaml, base).await? {
        Submission::Accepted { revision, epoch } => Ok((revision, epoch)),
        other => broken(format!("the document was not accepted: {other:?}")),
    }
}

fn ready(document: &Document) -> usize {
    document
        .places
        .iter()
        .map(|place| place.ready as usize)
        .sum()
}

/// Waits until every entry answers from `bundle`.
async fn wait_answers(fleet: &Fleet, bundle: Digest) -> Result<()> {
    for entry in fleet.entries() {
        let ask = fleet.ask_of(0, SERVICE, "Are you there?", 1);
        wait_for(
            &format!("{entry} to answer from the weights"),
            BOUND,
            || async {
                match fleet.ask(&entry, &ask).await.map(|it| it.ending) {
                    Ok(Ending::Answered { weights, .. }) if weights == bundle => Look::Found(()),
                    other => Look::NotYet(format!("{other:?}")),
                }
            },
        )
        .await?;
    }
    Ok(())
}

async fn stream_one(fleet: &Fleet, bundle: Digest) -> Result<()> {
    let entry = &fleet.entries()[0];
    step(&format!("Streaming an answer through {entry}"));
    let prompt = "An inscription for a baker who sang";
    let ask = fleet.ask_of(0, SERVICE, prompt, 24);
    let mut stream = fleet.open(entry, &ask).await?;
    print!("   ");
    while let Some(token) = stream.next_token().await {
        print!(" {}", token.text);
        // A terminal that is gone is no reason to fail.
        let _ = std::io::stdout().flush();
    }
    println!();
    let whole = fleet.ask(entry, &ask).await?;
    if check_answer(&ask, &whole)? != bundle {
        return broken("the answer came from other weights".to_owned());
    }
    match stream.finish().await {
        Ending::Answered {
            tokens, weights, ..
        } => {
            say(&format!(
                "{tokens} tokens from the weights {}",
                weights.short()
            ));
            Ok(())
        }
        other => broken(format!("the stream ended with {other:?}")),
    }
}

/// Brings the second version while callers go on asking, and shows that each was switched once.
async fn switch(fleet: &Arc<Fleet>, first: &Live) -> Result<Live> {
    step(&format!(
        "{CALLERS} callers go on asking while a second version is brought"
    ));
    let stop = CancellationToken::new();
    let entries = fleet.entries();
    let callers = (0..CALLERS).map(|n| {
        let entry = entries[n % entries.len()].clone();
        tokio::spawn(keep_asking(Arc::clone(fleet), entry, n, stop.clone()))
    });
    let callers: Vec<JoinHandle<Result<Vec<Digest>>>> = callers.collect();
    let second = roll_out(fleet, "2", first.revision).await?;
    stop.cancel();
    let mut answers = 0;
    for caller in join_all(callers).await {
        let seen = match caller {
            Ok(seen) => seen?,
            Err(error) => return broken(format!("a caller failed: {error}")),
        };
        answers += seen.len();
        check_switched(&seen, first.bundle, second.bundle)?;
    }
    say(&format!(
        "{answers} answers, all whole, none refused; every caller saw {} and then {}, never back",
        first.bundle.short(),
        second.bundle.short()
    ));
    if second.epoch <= first.epoch {
        return broken("the second epoch is not above the first".to_owned());
    }
    Ok(second)
}

/// Asks again and again, and once more after `stop`, and returns the weights of each answer.
async fn keep_asking(
    fleet: Arc<Fleet>,
    entry: String,
    caller: usize,
    stop: CancellationToken,
) -> Result<Vec<Digest>> {
    let mut seen = Vec::new();
    loop {
        let is_last = stop.is_cancelled();
        let prompt = format!("Caller {caller} asks for the {}th time", seen.len());
        let ask = fleet.ask_of(caller % 3, SERVICE, &prompt, 10);
        let answer = fleet.ask(&entry, &ask).await?;
        seen.push(check_answer(&ask, &answer)?);
        if is_last {
            return Ok(seen);
        }
    }
}

/// Checks that one caller saw both versions and never the first after the second.
fn check_switched(seen: &[Digest], first: Digest, second: Digest) -> Result<()> {
    let mut runs = seen.to_vec();
    runs.dedup();
    if runs == [first, second] {
        return Ok(());
    }
    broken(format!("a caller saw the weights {runs:?}"))
}

/// Has an agent shut down while answers run on its engine.
async fn drain(fleet: &Arc<Fleet>, bundle: Digest) -> Result<()> {
    let leaver = fleet.upstreams(SERVICE)[0].clone();
    step(&format!(
        "{LONG_ANSWERS} long answers run while the agent of {leaver} is told to stop"
    ));
    let entries = fleet.entries();
    let asks = (0..LONG_ANSWERS).map(|n| {
        let entry = entries[n % entries.len()].clone();
        let ask = fleet.ask_of(n % 3, SERVICE, &format!("A long answer, number {n}"), LONG);
        tokio::spawn(ask_long(Arc::clone(fleet), entry, ask))
    });
    let asks: Vec<JoinHandle<Result<Digest>>> = asks.collect();
    let engine = &fleet.standins.engines[&leaver];
    let before = engine.stats().tokens;
    wait_until("an answer to run on its engine", BOUND, || async {
        engine.stats().tokens > before
    })
    .await?;
    fleet.terminate(&leaver).await?;
    let status = fleet.wait_exit(&leaver, BOUND).await?;
    if !status.success() {
        return broken(format!("the agent ended with {status}"));
    }
    say(&format!(
        "the agent of {leaver} finished its answers and ended with {status}"
    ));
    let mut weights = BTreeSet::new();
    for ask in join_all(asks).await {
        match ask {
            Ok(digest) => weights.insert(digest?),
            Err(error) => return broken(format!("a caller failed: {error}")),
        };
    }
    if weights != BTreeSet::from([bundle]) {
        return broken(format!("the long answers came from {weights:?}"));
    }
    say(&format!(
        "all {LONG_ANSWERS} long answers came whole, none was cut"
    ));
    wait_answers(fleet, bundle).await?;
    say("the entries go on answering from the other engines");
    Ok(())
}

async fn ask_long(fleet: Arc<Fleet>, entry: String, ask: Ask) -> Result<Digest> {
    let answer = fleet.ask(&entry, &ask).await?;
    check_answer(&ask, &answer)
}

async fn call_plain(fleet: &Fleet) -> Result<()> {
    step(&format!("Calling the plain service {PLAIN}"));
    let document = fleet.spec().document(PLAIN, None);
    submit(fleet, PLAIN, &to_yaml(&document)?, 0).await?;
    let entry = &fleet.entries()[0];
    let called = wait_for("the plain service to answer", BOUND, || async {
        match fleet
            .call(entry, PLAIN, "orders/17", &[], "a slab of granite")
            .await
        {
            Ok(it) if it.status.is_success() => Look::Found(it),
            other => Look::NotYet(format!("{other:?}")),
        }
    })
    .await?;
    say(&format!(
        "it answered {} with {} bytes",
        called.status,
        called.body.len()
    ));
    Ok(())
}

/// Has every process shut down, agents first.
async fn stop(fleet: &Fleet) -> Result<()> {
    step("Stopping");
    let agents = fleet.names(|vm| vm.upstream.is_some());
    for vm in agents.into_iter().chain(fleet.entries()) {
        if fleet.pid(&vm).await?.is_none() {
            continue;
        }
        fleet.terminate(&vm).await?;
        let status = fleet.wait_exit(&vm, BOUND).await?;
        if !status.success() {
            return broken(format!("{vm} ended with {status}"));
        }
    }
    say("every process ended with exit code 0");
    Ok(())
}

fn step(text: &str) {
    println!("\n== {text}");
}

fn say(text: &str) {
    println!("   {text}");
}

fn broken<T>(what: String) -> Result<T> {
    BrokenSnafu { what }.fail()
}
