//! Choice of the upstream for a request.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use std::fmt::Write as _;
use std::time::Instant;

use common::{report, weights};
use insta::assert_snapshot;
use rand::SeedableRng as _;
use rand::rngs::StdRng;
use rstest::rstest;
use wagtailreel_core::{Digest, NotRunReason, Report};
use wagtailreel_route::{
    Choice, Chooser, Membership, MembershipConfig, Policy, Requirements, Unavailable, prefix_of,
};

fn chooser() -> Chooser {
    Chooser::new("quito-hall".to_owned(), "sierra".to_owned())
}

fn needs() -> Requirements {
    Requirements {
        needs_open: true,
        ..Requirements::default()
    }
}

fn report_at(vm: &str, data_centre: &str, region: &str, epoch: u64) -> Report {
    Report {
        data_centre: data_centre.to_owned(),
        region: region.to_owned(),
        open: Some(epoch),
        ..report(vm, 1, 1)
    }
}

fn members_of(reports: &[Report], now: Instant) -> Membership {
    let mut members = Membership::new(MembershipConfig::default());
    for report in reports {
        members.report(report, now, false);
    }
    members
}

/// Sends `requests` requests in turn, none of which finishes, and returns the chosen VMs.
fn send(
    members: &mut Membership,
    chooser: &mut Chooser,
    needs: &Requirements,
    requests: usize,
) -> String {
    let mut rng = StdRng::seed_from_u64(7);
    let now = members.members().next().unwrap().received;
    let mut vms = Vec::new();
    for _ in 0..requests {
        match chooser.choose(members, needs, now, &mut rng) {
            Choice::Upstream(vm) => {
                members.started(&vm);
                vms.push(vm);
            }
            Choice::Unavailable(reason) => vms.push(format!("({reason})")),
        }
    }
    vms.join(" ")
}

/// Requests fill the own data centre before the region and the other regions.
#[rstest]
#[case::own_first(Policy::OwnFirst)]
#[case::round_robin(Policy::RoundRobin)]
#[case::least_reported(Policy::LeastReported)]
fn spill_over(#[case] policy: Policy) {
    let now = Instant::now();
    let mut busy = report("u2", 1, 1);
    busy.in_flight = 3;
    let mut members = members_of(
        &[
            report("u1", 1, 1),
            busy,
            report_at("far", "cuenca-hall", "austro", 1),
            report_at("near", "loja-hall", "sierra", 1),
            report_at("newer", "guayaquil-hall", "costa", 2),
        ],
        now,
    );
    let mut chooser = chooser().with_policy(policy);
    let vms = send(&mut members, &mut chooser, &needs(), 14);
    assert_snapshot!(format!("spill_over_{policy}"), vms);
}

/// Requests with one prefix share an upstream until it exceeds the load bound.
#[test]
fn prefix_affinity_bounded() {
    let now = Instant::now();
    let reports: Vec<Report> = ["u1", "u2", "u3"]
        .map(|vm| Report {
            capacity: 16,
            ..report(vm, 1, 1)
        })
        .to_vec();
    let mut text = String::new();
    for prompt in ["in memory of", "on the 4th of May"] {
        let mut members = members_of(&reports, now);
        let needs = Requirements {
            prefix: Some(prefix_of(prompt)),
            ..needs()
        };
        let vms = send(&mut members, &mut chooser(), &needs, 9);
        writeln!(text, "{prompt}: {vms}").unwrap();
    }
    assert_snapshot!(text);
}

/// While the own data centre is closed for a switch, a request goes elsewhere only after its wait.
#[rstest]
#[case::engine(true)]
#[case::plain(false)]
fn closed_data_centre_waits(#[case] needs_open: bool) {
    let now = Instant::now();
    let reports = [
        report("u1", 1, 1),
        report_at("far", "cuenca-hall", "austro", 1),
    ];
    let mut members = members_of(&reports, now);
    members.refused("u1", NotRunReason::Closed);
    let needs = Requirements {
        needs_open,
        ..Requirements::default()
    };
    assert_eq!(send(&mut members, &mut chooser(), &needs, 1), "(closed)");
    let waited = Requirements {
        waited: true,
        ..needs
    };
    assert_eq!(send(&mut members, &mut chooser(), &waited, 1), "far");
}

/// A request pinned to weights goes only to upstreams that serve them.
#[test]
fn pinned_resume() {
    let now = Instant::now();
    let other = Report {
        open_weights: Some(Digest::of(b"other")),
        ..report("u2", 1, 1)
    };
    let mut members = members_of(&[report("u1", 1, 1), other], now);
    let mut needs = Requirements {
        pin: Some(weights()),
        ..needs()
    };
    assert_eq!(send(&mut members, &mut chooser(), &needs, 1), "u1");
    needs.tried.insert("u1".to_owned());
    assert_eq!(send(&mut members, &mut chooser(), &needs, 1), "(tried)");
    needs.pin = Some(Digest::of(b"gone"));
    let short = Choice::Unavailable(Unavailable::Weights);
    let mut rng = StdRng::seed_from_u64(7);
    assert_eq!(chooser().choose(&members, &needs, now, &mut rng), short);
}
