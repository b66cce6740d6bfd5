//! Which upstreams get new requests when reports, the list of VMs and refusals disagree.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use std::fmt::Write as _;
use std::time::{Duration, Instant};

use common::{listed, report};
use insta::assert_snapshot;
use wagtailreel_core::{NotRunReason, VmState};
use wagtailreel_route::{Membership, MembershipConfig};

fn write_standings(text: &mut String, event: &str, members: &Membership, now: Instant) {
    let standings: Vec<String> = members
        .members()
        .map(|member| format!("{} {}", member.report.vm, members.standing(member, now)))
        .collect();
    writeln!(text, "{event}: {}", standings.join(", ")).unwrap();
}

/// A list of VMs or a report that lags behind a refusal as leaving does not make the member usable
/// again. Only a new start of its agent does.
#[test]
fn late_list_keeps_leaving() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut members = Membership::new(MembershipConfig::default());
    let mut text = String::new();
    for vm in ["u1", "u2", "u3"] {
        members.report(&report(vm, 1, 1), at(0), false);
    }
    write_standings(&mut text, "0 ms, all reported", &members, at(0));
    members.refused("u1", NotRunReason::Leaving);
    write_standings(&mut text, "10 ms, u1 refused as leaving", &members, at(10));
    let all = ["u1", "u2", "u3"].map(|vm| listed(vm, VmState::Live));
    members.list("scribes", &all);
    write_standings(
        &mut text,
        "20 ms, the late list has all live",
        &members,
        at(20),
    );
    members.report(&report("u1", 1, 2), at(200), false);
    write_standings(
        &mut text,
        "200 ms, u1 reports, not leaving",
        &members,
        at(200),
    );
    let mut leaving = report("u2", 1, 2);
    leaving.leaving = true;
    members.report(&leaving, at(200), false);
    members.report(&report("u3", 1, 2), at(200), false);
    write_standings(&mut text, "210 ms, u2 reports leaving", &members, at(210));
    members.report(&report("u2", 1, 1), at(220), false);
    write_standings(
        &mut text,
        "220 ms, an older report of u2 arrives late",
        &members,
        at(220),
    );
    members.unreachable("u3");
    write_standings(&mut text, "300 ms, u3 can't be reached", &members, at(300));
    members.report(&report("u3", 1, 3), at(400), false);
    write_standings(&mut text, "400 ms, u3 reports", &members, at(400));
    write_standings(
        &mut text,
        "1500 ms, no reports since 400 ms",
        &members,
        at(1500),
    );
    members.report(&report("u1", 2, 1), at(1600), false);
    write_standings(
        &mut text,
        "1600 ms, the agent of u1 restarted",
        &members,
        at(1600),
    );
    members.list("scribes", &[listed("u1", VmState::Leaving)]);
    write_standings(
        &mut text,
        "1700 ms, the list says u1 leaves",
        &members,
        at(1700),
    );
    members.prune(at(70_000));
    write_standings(
        &mut text,
        "70 s, only listed members are kept",
        &members,
        at(70_000),
    );
    assert_snapshot!(text);
}
