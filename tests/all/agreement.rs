//! Agreement through the log: what was accepted is in force and never reverts.

use std::time::Duration;

use http::{Method, StatusCode};
use rstest::rstest;
use wagtailreel_bench::fleet::{
    DataCentreSpec, FleetSpec, Operator, Submission, UpstreamSpec, to_yaml,
};
use wagtailreel_bench::http_client::HttpClient;
use wagtailreel_bench::{Look, wait_for};
use wagtailreel_core::{Document, Offset, Priority};

use crate::support::{
    BOUND, CUENCA, Crowd, QUITO, Rig, SERVICE, check_whole, epoch_of, models, one_hall, two_halls,
};

/// The stream of the configuration.
const CONFIG: &str = "config";
/// Races that are run.
const RACES: u32 = 8;
/// Time that the log takes for everything while operators race, so that both get past their
/// entry's own check.
const SLOW: Duration = Duration::from_millis(50);

fn yaml(rig: &Rig, version: &str) -> String {
    to_yaml(&rig.document(version, 1)).unwrap()
}

/// Returns the edit ids of the records in the log, in order.
fn logged(rig: &Rig) -> Vec<String> {
    let records = rig.fleet.standins.log.records(CONFIG);
    let ids = records.iter().map(|(_, record)| record.to_string());
    ids.collect()
}

/// Two operators race at two entries: one wins, and the other hears who did.
#[tokio::test(flavor = "multi_thread")]
async fn racing_operators() {
    let rig = Rig::start(two_halls(1, 1)).await;
    let entries = rig.fleet.entries();
    let log = rig.fleet.standins.log.faults();
    log.update(|faults| faults.common.slow = SLOW);
    let mut base = 0;
    for race in 0..RACES {
        let names = ["left", "right"].map(|side| format!("{side}-{race}"));
        let left = rig.scribe(&entries[0]);
        let right = rig.scribe(&entries[1]);
        let (one, two) = (yaml(&rig, "1"), yaml(&rig, "2"));
        let (left, right) = tokio::join!(
            left.submit(SERVICE, &one, base, &names[0]),
            right.submit(SERVICE, &two, base, &names[1]),
        );
        let (winner, revision) = judge([left.unwrap(), right.unwrap()], &names);
        rig.wait_revision(&entries, revision).await;
        for entry in &entries {
            let current = rig.scribe(entry).current(SERVICE).await.unwrap().unwrap();
            let version = ["1", "2"][winner];
            assert_eq!(current["document"]["model"]["version"], version);
        }
        base = revision;
    }
}

/// Checks that just one of two won and the other was told so; returns the winner.
fn judge(results: [Submission; 2], names: &[String; 2]) -> (usize, Offset) {
    let won = |it: &Submission| matches!(it, Submission::Accepted { .. });
    let winner = usize::from(won(&results[1]));
    let Submission::Accepted { revision, .. } = results[winner] else {
        panic!("nobody won: {results:?}");
    };
    let Submission::Lost {
        revision: told,
        team,
        edit,
    } = &results[1 - winner]
    else {
        panic!("the other did not lose: {results:?}");
    };
    assert_eq!((*told, team.as_str()), (revision, "scribes"));
    assert_eq!(edit, &names[winner]);
    (winner, revision)
}

/// The log takes an edit and loses the answer: it is accepted, once.
#[tokio::test(flavor = "multi_thread")]
async fn lost_append() {
    let rig = Rig::start(two_halls(1, 1)).await;
    let entries = rig.fleet.entries();
    let log = rig.fleet.standins.log.faults();
    log.update(|faults| faults.lose_appends = 1);
    let accepted = Submission::Accepted {
        revision: 1,
        epoch: 1,
    };
    // Sent, and sent again with the same id at either entry.
    for entry in [&entries[0], &entries[0], &entries[1]] {
        rig.wait_known(entry).await;
        let scribe = rig.scribe(entry);
        let submitted = scribe.submit(SERVICE, &yaml(&rig, "1"), 0, "only").await;
        assert_eq!(submitted.unwrap(), accepted);
        rig.wait_revision(&entries, 1).await;
    }
    assert_eq!(rig.fleet.standins.log.stats().lost, 1);
    let records = logged(&rig);
    assert_eq!(records.len(), 1, "{records:?}");
}

/// With the log down an edit is refused, with it silent it is unknown, and neither is in force;
/// once it is back the same edit is accepted.
#[tokio::test(flavor = "multi_thread")]
async fn log_outage() {
    let rig = Rig::start(two_halls(1, 1)).await;
    let entries = rig.fleet.entries();
    let first = rig.go_live("1", 1, 0).await;
    let log = &rig.fleet.standins.log;
    let scribe = rig.scribe(&entries[0]);
    let second = yaml(&rig, "2");

    log.crash();
    let submitted = scribe.submit(SERVICE, &second, 1, "second").await;
    assert_eq!(away(submitted.unwrap()), "not-run");
    log.resume().unwrap();
    log.faults().update(|faults| faults.common.down = true);
    let submitted = scribe.submit(SERVICE, &second, 1, "second").await;
    assert_eq!(away(submitted.unwrap()), "not-run");
    log.faults().update(|faults| faults.common.down = false);
    log.faults().update(|faults| faults.common.frozen = true);
    let submitted = scribe.submit(SERVICE, &second, 1, "second").await;
    assert_eq!(away(submitted.unwrap()), "unknown");
    for entry in &entries {
        assert_eq!(rig.revision_at(entry).await, 1);
        let ask = rig.fleet.ask_of(0, SERVICE, "While the log is away", 3);
        let answer = rig.fleet.ask(entry, &ask).await.unwrap();
        assert_eq!(epoch_of(&answer), Some(first.epoch), "{answer:?}");
    }
    log.faults().clear();
    // The silent log may have taken it or not; sent again with its id it is accepted once.
    let submitted = wait_for("the log to be back", BOUND, || async {
        match scribe.submit(SERVICE, &second, 1, "second").await.unwrap() {
            it @ Submission::Away { .. } => Look::NotYet(format!("{it:?}")),
            it => Look::Found(it),
        }
    });
    let submitted = submitted.await.unwrap();
    let Submission::Accepted { revision, .. } = submitted else {
        panic!("{submitted:?}");
    };
    rig.wait_revision(&entries, revision).await;
}

/// Returns the outcome of a submission that the log kept from being taken.
fn away(submission: Submission) -> String {
    match submission {
        Submission::Away { outcome, .. } => outcome,
        other => panic!("{other:?}"),
    }
}

/// The platform is away while one entry, and then all entries of a data centre, start anew.
#[tokio::test(flavor = "multi_thread")]
async fn restarts_in_outage() {
    let rig = Rig::start(two_halls(2, 2)).await;
    let entries = rig.fleet.entries();
    let first = rig.go_live("1", 2, 0).await;
    let second = rig.go_live("2", 2, first.revision).await;
    let elsewhere: Vec<String> = of_hall(&entries, QUITO);
    let here: Vec<String> = of_hall(&entries, CUENCA);
    let crowd = Crowd::start(&rig.fleet, &elsewhere, 3);

    rig.fleet.standins.log.crash();
    for list in rig.fleet.standins.vm_lists.values() {
        list.crash();
    }
    rig.fleet.restart(&here[0]).await.unwrap();
    rig.wait_revision(&here, second.revision).await;
    rig.wait_answers(&here, &second).await;

    for entry in &here {
        rig.fleet.kill(entry).await.unwrap();
    }
    for entry in &here {
        rig.fleet.restart(entry).await.unwrap();
    }
    for entry in &here {
        rig.wait_known(entry).await;
    }
    rig.wait_revision(&here, second.revision).await;
    rig.wait_answers(&here, &second).await;

    for list in rig.fleet.standins.vm_lists.values() {
        list.resume().unwrap();
    }
    rig.fleet.standins.log.resume().unwrap();
    rig.wait_revision(&entries, second.revision).await;
    let third = rig.go_live("3", 2, second.revision).await;
    rig.wait_revision(&entries, third.revision).await;
    let seen = crowd.finish().await;
    let bundles = [&second, &third].map(|it| (it.epoch, it.bundle));
    check_whole(&seen, &bundles.into(), |_, _| false);
}

/// With the log away, entries that start anew meet an entry and an agent that slept through the
/// last edit, and an agent that has it: the higher revision wins at all of them.
#[rstest]
#[case(false)]
#[case(true)]
#[tokio::test(flavor = "multi_thread")]
async fn stale_peers(#[case] list_away: bool) {
    let rig = Rig::start(one_hall(3, 2, UpstreamSpec::engine(SERVICE))).await;
    let entries = rig.fleet.entries();
    let (sleepers, fresh) = (["quito-hall-e3", "quito-hall-u2"], &entries[..2]);
    let first = rig.go_live("1", 1, 0).await;
    for vm in sleepers {
        rig.freeze(vm).await;
    }
    // Closes the connections, so that the sleeping entry won't find the next edit in its own.
    rig.fleet.standins.log.crash();
    rig.fleet.standins.log.resume().unwrap();
    let second = rig.resubmit("2", 1, first.revision).await;
    rig.wait_revision(fresh, second.revision).await;
    rig.wait_answers(fresh, &second).await;
    rig.fleet.standins.log.crash();
    if list_away {
        rig.fleet.standins.vm_lists[QUITO].crash();
    }
    for entry in fresh {
        rig.fleet.kill(entry).await.unwrap();
    }
    for vm in sleepers {
        rig.fleet.thaw(vm).await.unwrap();
    }
    for entry in fresh {
        rig.fleet.restart(entry).await.unwrap();
    }
    rig.wait_revision(&entries, second.revision).await;
    rig.wait_answers(&entries, &second).await;
    // Who has it keeps it.
    for _ in 0..20 {
        for entry in &entries {
            assert_eq!(rig.revision_at(entry).await, second.revision, "{entry}");
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

fn of_hall(entries: &[String], hall: &str) -> Vec<String> {
    let of_hall = entries.iter().filter(|it| it.starts_with(hall));
    of_hall.cloned().collect()
}

/// Records lapse; an entry that starts from nothing, with nobody to ask, has all that is in force.
#[tokio::test(flavor = "multi_thread")]
async fn lapsed_records() {
    let mut spec = lonely_halls();
    spec.snapshot_every = 4;
    let rig = Rig::start(spec).await;
    let (busy, fresh) = ("quito-hall-e1", "cuenca-hall-e1");
    rig.fleet.kill(fresh).await.unwrap();
    let mut document = rig.document("1", 1);
    let mut revision = 0;
    for turn in 0..10 {
        document.priority = [Priority::Low, Priority::High][turn % 2];
        revision = edit(&rig.scribe(busy), &document, revision, turn).await;
    }
    rig.wait_event(busy, "snapshot-appended").await;
    let log = &rig.fleet.standins.log;
    let records = log.records(CONFIG);
    let snapshot = records
        .iter()
        .rfind(|(_, record)| record.to_string().contains("snapshot"));
    let (at, _) = snapshot.unwrap();
    log.drop_before(CONFIG, *at);
    let first = log.stats().streams[CONFIG].0;
    assert!(first > 4, "the records lapsed: {first}");
    for vm in rig.fleet.names(|vm| vm.data_centre == QUITO) {
        rig.fleet.kill(&vm).await.unwrap();
    }
    rig.fleet.restart(fresh).await.unwrap();
    rig.wait_revision(&[fresh.to_owned()], revision).await;
    // It knows enough to go on from there, and to tell a stale edit.
    let next = edit(&rig.scribe(fresh), &document, revision, 99).await;
    assert!(next > revision);
    let yaml = to_yaml(&document).unwrap();
    let stale = rig.scribe(fresh).submit(SERVICE, &yaml, 1, "stale").await;
    assert!(
        matches!(stale, Ok(Submission::Lost { revision, .. }) if revision == next),
        "{stale:?}"
    );
}

/// Makes two data centres, one of which has nobody but an entry.
fn lonely_halls() -> FleetSpec {
    let engine = UpstreamSpec::engine(SERVICE);
    let busy = DataCentreSpec::new(QUITO, "sierra").with_entries(1);
    let lonely = DataCentreSpec::new(CUENCA, "austro").with_entries(1);
    FleetSpec::new(vec![busy.with_upstreams(1, engine), lonely]).with_models(models())
}

async fn edit(scribe: &Operator, document: &Document, base: Offset, turn: usize) -> Offset {
    let yaml = to_yaml(document).unwrap();
    let name = format!("turn-{turn}");
    match scribe.submit(SERVICE, &yaml, base, &name).await.unwrap() {
        Submission::Accepted { revision, .. } => revision,
        other => panic!("turn {turn}: {other:?}"),
    }
}

/// The log comes back shorter, and another edit takes the place of one that was applied.
#[tokio::test(flavor = "multi_thread")]
async fn shorter_log() {
    let rig = Rig::start(one_hall(2, 2, UpstreamSpec::engine(SERVICE))).await;
    let entries = rig.fleet.entries();
    let first = rig.go_live("1", 2, 0).await;
    let second = rig.go_live("2", 2, first.revision).await;
    let log = &rig.fleet.standins.log;
    log.crash();
    log.truncate(CONFIG, second.revision);
    log.resume().unwrap();
    for entry in &entries {
        rig.wait_event(entry, "log-stopped").await;
    }
    let mut other = log.records(CONFIG)[0].1.clone();
    other["edit_id"] = "another".into();
    other["base"] = first.revision.into();
    other["document"]["model"]["version"] = "3".into();
    assert_eq!(log.append(CONFIG, &other), second.revision);
    for entry in &entries {
        let scribe = rig.scribe(entry);
        let submitted = scribe.submit(SERVICE, &yaml(&rig, "3"), 2, "third").await;
        assert_eq!(away(submitted.unwrap()), "not-run");
        let current = scribe.current(SERVICE).await.unwrap().unwrap();
        assert_eq!(current["revision"], second.revision);
        assert_eq!(current["document"]["model"]["version"], "2");
    }
    rig.wait_answers(&entries, &second).await;
}

/// What is wrong is refused with its place, and leaves log and state as they were.
#[tokio::test(flavor = "multi_thread")]
async fn bad_input() {
    let rig = Rig::start(one_hall(1, 1, UpstreamSpec::engine(SERVICE))).await;
    let first = rig.go_live("1", 1, 0).await;
    let entry = &rig.fleet.entries()[0];
    let good = yaml(&rig, "2");
    let twice = format!("{good}\n{good}");
    let long = format!("{good}\n# {}", "x".repeat(2 << 20));
    let limit = "default_limit: { requests_per_second: 5/s, burst: 1 }";
    let unit = good.replace("default_limit: null", limit);
    let (scribes, workshop, nobody) = ("token-of-scribes", "token-of-workshop", "no-such-token");
    let cases: [(&str, &str, &str, u16, &str); 9] = [
        (
            scribes,
            "base=1&edit=a",
            &good.replace("model:", "modell:"),
            422,
            "modell",
        ),
        (scribes, "base=1&edit=b", &unit, 422, "requests_per_second"),
        (scribes, "base=1&edit=c", &twice, 422, "line"),
        (scribes, "base=1&edit=d", &long, 413, ""),
        (scribes, "base=1&edit=e", "- no document", 422, "line"),
        (scribes, "base=one&edit=f", &good, 400, "base"),
        (scribes, "base=1&edit=No%20Name", &good, 400, "edit"),
        (workshop, "base=1&edit=g", &good, 403, "team"),
        (nobody, "base=1&edit=h", &good, 401, "token"),
    ];
    let admin = rig.fleet.health_addr(entry).unwrap();
    for (token, query, body, status, told) in cases {
        // The entry may close the connection of a request whose body it did not read.
        let once = Operator::new(HttpClient::new(), admin, token);
        let path = format!("/admin/v1/services/{SERVICE}/document?{query}");
        let answer = once.fetch(Method::POST, &path, body).await.unwrap();
        let operator = Operator::new(rig.fleet.client.clone(), admin, token);
        let text = answer.text();
        assert_eq!(answer.status.as_u16(), status, "{query}: {text}");
        assert!(text.contains(told), "{query}: {text}");
        for path in ["", "/history", "/rollout"] {
            let path = format!("/admin/v1/services/{SERVICE}{path}");
            let read = operator.fetch(Method::GET, &path, "").await.unwrap().status;
            let expected = match status {
                401 | 403 => StatusCode::from_u16(status).unwrap(),
                _ => StatusCode::OK,
            };
            assert_eq!(read, expected, "{query} {path}");
        }
    }
    assert_eq!(logged(&rig).len(), 1);
    assert_eq!(rig.revision_at(entry).await, first.revision);
    rig.wait_answers(&rig.fleet.entries(), &first).await;
}
