//! The check of a service's document.

use std::collections::{BTreeMap, BTreeSet};

use wagtailreel_core::{
    CustomerId, CustomerLimit, Document, ModelRef, Objectives, Place, Priority, ServiceKind,
    SpreadGoal, SpreadPolicy, SpreadSettings, VmId, VmSelection,
};

use crate::fields::{Fields, read_root};
use crate::names::{NAME_REMEDY, is_name};
use crate::problem::{Problem, Problems};
use crate::tree::{Spot, Value};
use crate::values::{self, At};

/// Longest document, in bytes.
pub const MAX_DOCUMENT_BYTES: usize = 64 << 10;

/// Longest objective: a day.
const MAX_OBJECTIVE_MS: u64 = 86_400_000;

const MAX_RATE: u64 = 1 << 50;
const MAX_REQUESTS_PER_SECOND: f64 = 1e6;
const MAX_BURST: u32 = 1_000_000;

/// Reads and checks a service's document.
///
/// # Errors
///
/// Returns every mistake with its place and the remedy.
pub fn check_document(yaml: &str) -> Result<Document, Vec<Problem>> {
    check(yaml, None)
}

/// Reads and checks a document that has to be for `service`.
///
/// # Errors
///
/// As [`check_document`].
pub fn check_document_for(service: &str, yaml: &str) -> Result<Document, Vec<Problem>> {
    check(yaml, Some(service))
}

fn check(yaml: &str, service: Option<&str>) -> Result<Document, Vec<Problem>> {
    if yaml.len() > MAX_DOCUMENT_BYTES {
        let mut problems = Problems::default();
        let what = format!("the document has {} bytes", yaml.len());
        let remedy = format!("keep it to {MAX_DOCUMENT_BYTES}");
        problems.add(Spot::default(), "", what, remedy);
        return problems.finish(None);
    }
    read_root(yaml, |fields, problems| read(fields, problems, service))
}

fn read(mut f: Fields<'_>, problems: &mut Problems, wanted: Option<&str>) -> Option<Document> {
    let service = f.required("service", problems, |at, problems| {
        service(at, problems, wanted)
    });
    let kind = f.optional("kind", problems, ServiceKind::default(), values::kind);
    let model = f.maybe("model", problems, model);
    let adapters = f.optional("adapters", problems, Vec::new(), adapters);
    let places = f.required("where", problems, places);
    let priority = f.optional("priority", problems, Priority::default(), priority);
    let spread = f.optional("spread", problems, SpreadSettings::default(), spread);
    let limits = f.optional("limits", problems, BTreeMap::new(), limits);
    let default_limit = f.maybe("default_limit", problems, limit);
    let objectives = f.optional("objectives", problems, Objectives::default(), objectives);
    if let (Some(kind), Some(model), Some(adapters)) = (kind, &model, &adapters) {
        check_parts(f.at(), problems, kind, model.as_ref(), adapters);
    }
    f.finish(problems);
    Some(Document {
        service: service?,
        kind: kind?,
        model: model?,
        adapters: adapters?,
        places: places?,
        priority: priority?,
        spread: spread?,
        limits: limits?,
        default_limit: default_limit?,
        objectives: objectives?,
    })
}

fn service(at: &At<'_>, problems: &mut Problems, wanted: Option<&str>) -> Option<String> {
    let name = values::name(at, problems)?;
    if let Some(wanted) = wanted.filter(|wanted| *wanted != name) {
        let what = format!("the document is for `{name}`, but it was sent for `{wanted}`");
        at.problem(
            problems,
            what,
            "correct the name, or send it for the other service",
        );
    }
    Some(name)
}

/// Checks that the document names weights just where the kind of service has any.
fn check_parts(
    at: &At<'_>,
    problems: &mut Problems,
    kind: ServiceKind,
    model: Option<&ModelRef>,
    adapters: &[ModelRef],
) {
    let mut problem = |place: &str, what: &str, remedy: &str| {
        problems.add(at.spot(), place, what, remedy);
    };
    match kind {
        ServiceKind::Engine if model.is_none() => {
            let remedy = "add `model` with `name` and `version`, or write `kind: plain`";
            problem("model", "an engine service has no model", remedy);
        }
        ServiceKind::Plain if model.is_some() => {
            let remedy = "take it out, or write `kind: engine`";
            problem("model", "a plain service has a model", remedy);
        }
        ServiceKind::Plain if !adapters.is_empty() => {
            let remedy = "take them out, or write `kind: engine`";
            problem("adapters", "a plain service has adapters", remedy);
        }
        _ => {}
    }
}

fn model(at: &At<'_>, problems: &mut Problems) -> Option<ModelRef> {
    let mut f = Fields::new(At::new(at.place.clone(), at.node), problems)?;
    let name = f.required("name", problems, values::model_name);
    let version = f.required("version", problems, values::model_name);
    f.finish(problems);
    Some(ModelRef {
        name: name?,
        version: version?,
    })
}

fn adapters(at: &At<'_>, problems: &mut Problems) -> Option<Vec<ModelRef>> {
    let mut seen = BTreeSet::new();
    values::list(at, problems, |at, problems| {
        let adapter = model(at, problems)?;
        if !seen.insert(adapter.clone()) {
            let what = format!("the adapter {adapter} is named twice");
            at.problem(problems, what, "name it once");
        }
        Some(adapter)
    })
}

fn places(at: &At<'_>, problems: &mut Problems) -> Option<Vec<Place>> {
    let mut data_centres = BTreeSet::new();
    let mut vms = BTreeSet::new();
    let places = values::list(at, problems, |at, problems| {
        place(at, problems, &mut data_centres, &mut vms)
    })?;
    if matches!(&at.node.value, Value::List(items) if items.is_empty()) {
        let remedy = "name at least one data centre; to end the service, delete its document";
        at.problem(problems, "the service runs nowhere", remedy);
    }
    Some(places)
}

fn place(
    at: &At<'_>,
    problems: &mut Problems,
    data_centres: &mut BTreeSet<String>,
    vms: &mut BTreeSet<VmId>,
) -> Option<Place> {
    let mut f = Fields::new(At::new(at.place.clone(), at.node), problems)?;
    let data_centre = f.required("data_centre", problems, |at, problems| {
        let name = values::name(at, problems)?;
        if !data_centres.insert(name.clone()) {
            let what = format!("the data centre `{name}` is named twice");
            at.problem(problems, what, "put its VMs into one place");
        }
        Some(name)
    });
    let vms = f.required("vms", problems, |at, problems| selection(at, problems, vms));
    let ready = f.required("ready", problems, |at, problems| {
        ready(at, problems, vms.as_ref())
    });
    f.finish(problems);
    Some(Place {
        data_centre: data_centre?,
        vms: vms?,
        ready: ready?,
    })
}

/// Reads `all` or `named: [...]`.
fn selection(
    at: &At<'_>,
    problems: &mut Problems,
    seen: &mut BTreeSet<VmId>,
) -> Option<VmSelection> {
    match &at.node.value {
        Value::Scalar { text, .. } if text == "all" => Some(VmSelection::All),
        Value::Map(_) => {
            let mut f = Fields::new(At::new(at.place.clone(), at.node), problems)?;
            let named = f.required("named", problems, |at, problems| {
                named_vms(at, problems, seen)
            });
            f.finish(problems);
            named.map(VmSelection::Named)
        }
        _ => {
            let remedy = "write `all`, or `named:` with a list of VMs";
            at.problem(problems, "this does not say which VMs are meant", remedy);
            None
        }
    }
}

fn named_vms(at: &At<'_>, problems: &mut Problems, seen: &mut BTreeSet<VmId>) -> Option<Vec<VmId>> {
    let vms = values::list(at, problems, |at, problems| {
        let vm = values::name(at, problems)?;
        if !seen.insert(vm.clone()) {
            at.problem(
                problems,
                format!("the VM `{vm}` is named twice"),
                "name it once",
            );
        }
        Some(vm)
    })?;
    if matches!(&at.node.value, Value::List(items) if items.is_empty()) {
        at.problem(
            problems,
            "no VM is named",
            "name one, or take out the place",
        );
    }
    Some(vms)
}

fn ready(at: &At<'_>, problems: &mut Problems, vms: Option<&VmSelection>) -> Option<u32> {
    let ready = values::count(at, problems, "VMs", 1..=u32::MAX)?;
    if let Some(VmSelection::Named(named)) = vms
        && named.len() < ready as usize
    {
        let what = format!("{ready} VMs must be ready but {} are named", named.len());
        at.problem(problems, what, "ask for no more than are named");
    }
    Some(ready)
}

fn priority(at: &At<'_>, problems: &mut Problems) -> Option<Priority> {
    let choices = [
        ("low", Priority::Low),
        ("normal", Priority::Normal),
        ("high", Priority::High),
    ];
    values::choice(at, problems, &choices)
}

fn spread(at: &At<'_>, problems: &mut Problems) -> Option<SpreadSettings> {
    let weighs = [
        ("time", SpreadGoal::Time),
        ("origin-bytes", SpreadGoal::OriginBytes),
    ];
    let policies = [
        ("balanced", SpreadPolicy::Balanced),
        ("origin", SpreadPolicy::Origin),
        ("chain", SpreadPolicy::Chain),
        ("tree", SpreadPolicy::Tree),
    ];
    let mut f = Fields::new(At::new(at.place.clone(), at.node), problems)?;
    let weigh = f.optional("weigh", problems, SpreadGoal::default(), |at, problems| {
        values::choice(at, problems, &weighs)
    });
    let policy = f.optional(
        "policy",
        problems,
        SpreadPolicy::default(),
        |at, problems| values::choice(at, problems, &policies),
    );
    let rate = f.maybe("rate", problems, |at, problems| {
        values::whole(at, problems, "bytes a second", 1..=MAX_RATE)
    });
    f.finish(problems);
    Some(SpreadSettings {
        weigh: weigh?,
        policy: policy?,
        rate: rate?,
    })
}

fn limits(at: &At<'_>, problems: &mut Problems) -> Option<BTreeMap<CustomerId, CustomerLimit>> {
    let Value::Map(fields) = &at.node.value else {
        at.problem(
            problems,
            "there are no customers here",
            "write a map: `customer: limit`",
        );
        return None;
    };
    let mut limits = BTreeMap::new();
    for field in fields {
        let place = format!("{}.{}", at.place, field.name);
        if !is_name(&field.name) {
            let what = format!("`{}` is not a name", field.name);
            problems.add(field.spot, &place, what, NAME_REMEDY);
        }
        if let Some(limit) = limit(&At::new(place, &field.node), problems) {
            limits.insert(field.name.clone(), limit);
        }
    }
    Some(limits)
}

fn limit(at: &At<'_>, problems: &mut Problems) -> Option<CustomerLimit> {
    let mut f = Fields::new(At::new(at.place.clone(), at.node), problems)?;
    let rate = f.required("requests_per_second", problems, |at, problems| {
        let remedy = "write a number of requests above 0 and up to 1000000";
        values::number(at, problems, remedy, |rate| {
            rate > 0.0 && rate <= MAX_REQUESTS_PER_SECOND
        })
    });
    let burst = f.required("burst", problems, |at, problems| {
        values::count(at, problems, "requests", 1..=MAX_BURST)
    });
    f.finish(problems);
    Some(CustomerLimit {
        requests_per_second: rate?,
        burst: burst?,
    })
}

fn objectives(at: &At<'_>, problems: &mut Problems) -> Option<Objectives> {
    let default = Objectives::default();
    let mut f = Fields::new(At::new(at.place.clone(), at.node), problems)?;
    let time = |at: &At<'_>, problems: &mut Problems| {
        values::milliseconds(at, problems, 1..=MAX_OBJECTIVE_MS)
    };
    let first_token = f.optional("first_token_ms", problems, default.first_token, time);
    let between_tokens = f.optional("between_tokens_ms", problems, default.between_tokens, time);
    let answered = f.optional("answered", problems, default.answered, share);
    let in_force = f.optional("in_force_ms", problems, default.in_force, time);
    let time_to_live = f.optional("time_to_live_ms", problems, default.time_to_live, time);
    f.finish(problems);
    Some(Objectives {
        first_token: first_token?,
        between_tokens: between_tokens?,
        answered: answered?,
        in_force: in_force?,
        time_to_live: time_to_live?,
    })
}

/// Reads a share of requests. The whole is none: it leaves no budget that could burn.
fn share(at: &At<'_>, problems: &mut Problems) -> Option<f64> {
    let remedy = "write a share above 0 and below 1, such as 0.999";
    values::number(at, problems, remedy, |share| share > 0.0 && share < 1.0)
}
