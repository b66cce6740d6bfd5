//! Proofs that a data centre that is cut from the platform and the others goes on serving.

use std::sync::Arc;

use rstest::rstest;
use wagtailreel_bench::answer::Ending;
use wagtailreel_bench::fleet::{DataCentreSpec, FleetSpec, LinkState, UpstreamSpec, check_answer};
use wagtailreel_bench::{Look, wait_for};

use crate::requests::{BOUND, Live, MODEL, SERVICE, small_models, start};

/// The data centre that is cut.
const CUT: &str = "quito-hall";

/// Requests that are asked while it is cut.
const ROUNDS: usize = 40;

fn two_centres() -> FleetSpec {
    let centre = |name, region| {
        DataCentreSpec::new(name, region)
            .with_entries(2)
            .with_upstreams(2, UpstreamSpec::engine(SERVICE))
    };
    let centres = vec![centre(CUT, "sierra"), centre("cuenca-hall", "austro")];
    small_models(centres).with_cuttable_links()
}

/// Asks at the entries of `centre` in turn; every answer has to be whole and its own.
async fn serve_on(live: &Live, centre: &str, what: &str) {
    let entries = live.fleet.entries();
    let entries: Vec<_> = entries.iter().filter(|it| it.starts_with(centre)).collect();
    for n in 0..ROUNDS {
        let ask = live.ask(&format!("{what} {centre} {n}"), 10);
        let answer = live.answer(entries[n % entries.len()], &ask).await;
        assert_eq!(
            check_answer(&ask, &answer).unwrap(),
            live.bundle,
            "{what} {n}"
        );
    }
}

/// A cut data centre goes on serving, and so does what is restarted in it: its state and weights
/// come from its peers. After healing both sides take a new document.
#[rstest]
#[case::stalled(LinkState::Stalled)]
#[case::refused(LinkState::Refused)]
#[tokio::test(flavor = "multi_thread")]
async fn cut_centre_serves(#[case] state: LinkState) {
    let live = Arc::new(start(two_centres()).await);
    let long = live.ask("Stream through the cut", 1_000);
    let begun = live.begin("quito-hall-e1", &long, 10).await;
    live.fleet.cut(CUT, state);
    serve_on(&live, CUT, "cut").await;
    serve_on(&live, "cuenca-hall", "cut").await;
    let (long, answer) = begun.finish().await;
    assert_eq!(check_answer(&long, &answer).unwrap(), live.bundle);
    live.fleet.restart("quito-hall-e1").await.unwrap();
    live.wait_answers("quito-hall-e1").await;
    serve_on(&live, CUT, "entry restarted").await;
    live.fleet.restart("quito-hall-u1").await.unwrap();
    live.fleet
        .wait_serving("quito-hall-u1", live.bundle, BOUND)
        .await
        .unwrap();
    serve_on(&live, CUT, "agent restarted").await;
    live.fleet.cut(CUT, LinkState::Open);
    heal(&live).await;
}

/// A data centre that has one entry and is cut from the platform alone: the entry that is
/// restarted takes the state from its agents.
#[tokio::test(flavor = "multi_thread")]
async fn lone_entry_restarts() {
    let mut spec = two_centres();
    spec.data_centres[0].entries = 1;
    let live = Arc::new(start(spec).await);
    live.fleet.cut(CUT, LinkState::Stalled);
    live.fleet.restart("quito-hall-e1").await.unwrap();
    live.wait_answers("quito-hall-e1").await;
    serve_on(&live, CUT, "lone entry restarted").await;
    live.fleet.cut(CUT, LinkState::Open);
    heal(&live).await;
}

/// Brings a second version live on both sides, which all entries have to answer from.
async fn heal(live: &Live) {
    let mut document = live.document.clone();
    document.model.as_mut().unwrap().version = "2".to_owned();
    let bundle = live.fleet.bundle_of(&document).unwrap();
    assert_eq!(document.model.as_ref().unwrap().name, MODEL);
    live.fleet.go_live(&document, live.revision).await.unwrap();
    for entry in live.fleet.entries() {
        wait_for(
            "the entry to answer from the new version",
            BOUND,
            || async {
                let ask = live.ask(&format!("Healed {entry}"), 5);
                let answer = live.answer(&entry, &ask).await;
                match answer.ending {
                    Ending::Answered { weights, .. } if weights == bundle => Look::Found(()),
                    other => Look::NotYet(format!("{other:?}")),
                }
            },
        )
        .await
        .unwrap();
    }
}
