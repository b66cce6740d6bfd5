//! Every message comes out as it went in, and a malformed one is refused with a remedy.
#![allow(clippy::unwrap_used, reason = "a test fails by a panic")]

use std::collections::BTreeMap;
use std::time::Duration;

use capnp::message::{Builder, TypedBuilder};
use capnp::serialize;
use rstest::rstest;
use wagtailreel_core::*;
use wagtailreel_wire::control_capnp as wire;
use wagtailreel_wire::*;

/// Sends a message over a buffer and reads it with the limits of the protocol.
fn over_wire<T, R>(
    write: impl FnOnce(&mut TypedBuilder<T>),
    read: impl for<'a> FnOnce(T::Reader<'a>) -> R,
) -> R
where
    T: capnp::traits::Owned,
{
    let mut message = TypedBuilder::<T>::new_default();
    write(&mut message);
    let buf = serialize::write_message_to_words(&message.into_inner());
    let reader = serialize::read_message(buf.as_slice(), reader_options()).unwrap();
    read(reader.get_root().unwrap())
}

fn report(full: bool) -> Report {
    Report {
        vm: "qh-u1".to_owned(),
        incarnation: 3,
        sequence: 14,
        data_centre: "quito-hall".to_owned(),
        region: "sierra".to_owned(),
        service: "wagtail-scribes".to_owned(),
        data: "127.0.0.1:8100".parse().unwrap(),
        control: "[::1]:8101".parse().unwrap(),
        config: 17,
        in_flight: 5,
        capacity: 64,
        load: full.then_some(EngineLoad {
            running: 4,
            waiting: 1,
            kv_permille: 310,
        }),
        bundles: 2,
        leaving: full,
        closed_below: 17,
        open: full.then_some(17),
        open_weights: full.then(|| Digest::of(b"weights")),
        weights: BTreeMap::from([
            (12, WeightsPhase::Staged),
            (17, WeightsPhase::Loaded),
            (19, WeightsPhase::Fetching),
            (20, WeightsPhase::Loading),
            (21, WeightsPhase::Failed),
        ]),
        chunks: (7, 64),
        trouble: full.then(|| "the origin refuses; look at its quota".to_owned()),
    }
}

fn vm(full: bool) -> VmEntry {
    VmEntry {
        vm: "qh-u1".to_owned(),
        data_centre: "quito-hall".to_owned(),
        region: "sierra".to_owned(),
        role: if full {
            VmRole::Upstream
        } else {
            VmRole::Entry
        },
        state: if full {
            VmState::Leaving
        } else {
            VmState::Live
        },
        service: full.then(|| "wagtail-scribes".to_owned()),
        control: "127.0.0.1:8101".parse().unwrap(),
        data: "127.0.0.1:8100".parse().unwrap(),
    }
}

fn service(full: bool) -> ServiceState {
    let document = serde_json::from_str(
        r#"{"service": "wagtail-scribes", "model": {"name": "scribe", "version": "ñ-2"},
            "where": [{"data_centre": "quito-hall", "vms": {"named": ["qh-u1"]}, "ready": 1}],
            "limits": {"mason-1": {"requests_per_second": 2.5, "burst": 4}}}"#,
    );
    ServiceState {
        service: "wagtail-scribes".to_owned(),
        team: "scribes".to_owned(),
        revision: 19,
        epoch: 17,
        document: full.then(|| document.unwrap()),
    }
}

#[rstest]
fn report_whole(#[values(false, true)] full: bool) {
    let read = over_wire::<wire::report::Owned, _>(
        |to| write_report(&report(full), to.init_root()),
        |from| read_report(from).unwrap(),
    );
    assert_eq!(read, report(full));
}

#[rstest]
fn directive_whole(#[values(false, true)] full: bool) {
    let message = DirectiveMessage {
        directive: Directive {
            config: 19,
            state: full.then(|| service(full)),
            lease: Duration::from_micros(1_000_001),
            close_below: 17,
            open: full.then_some(17),
            swap_to: full.then_some(19),
            peers: if full {
                vec![vm(true), vm(false)]
            } else {
                Vec::new()
            },
        },
        peers_version: 4,
        has_peers: full,
    };
    let read = over_wire::<wire::directive::Owned, _>(
        |to| write_directive(&message, to.init_root()).unwrap(),
        |from| read_directive(from).unwrap(),
    );
    assert_eq!(read, message);
}

#[test]
fn empty_peers() {
    // A list that became empty differs from one that was left out.
    let message = DirectiveMessage {
        directive: Directive {
            config: 0,
            state: None,
            lease: Duration::ZERO,
            close_below: 0,
            open: None,
            swap_to: None,
            peers: Vec::new(),
        },
        peers_version: 5,
        has_peers: true,
    };
    let read = over_wire::<wire::directive::Owned, _>(
        |to| write_directive(&message, to.init_root()).unwrap(),
        |from| read_directive(from).unwrap(),
    );
    assert_eq!(read, message);
}

#[test]
fn seen_whole() {
    let seen = Seen {
        close_below: 17,
        open: Some(17),
        swap_to: None,
        revision: 19,
        peers_version: 4,
    };
    let read = over_wire::<wire::seen::Owned, _>(|to| write_seen(&seen, to.init_root()), read_seen);
    assert_eq!(read, seen);
}

#[test]
fn peer_whole() {
    let peer = PeerState {
        vm: "qh-e1".to_owned(),
        incarnation: 2,
        config: 19,
        settled: true,
        entries: BTreeMap::from([("qh-e2".to_owned(), "127.0.0.1:8082".parse().unwrap())]),
        services: BTreeMap::from([(
            "wagtail-scribes".to_owned(),
            ServicePeerState {
                close_below: 19,
                open: 17,
                all_closed_below: 18,
            },
        )]),
        demand: BTreeMap::from([(
            "wagtail-scribes".to_owned(),
            BTreeMap::from([("mason-1".to_owned(), 2.5)]),
        )]),
    };
    let read = over_wire::<wire::peer_state::Owned, _>(
        |to| write_peer_state(&peer, to.init_root()),
        |from| read_peer_state(from).unwrap(),
    );
    assert_eq!(read, peer);
}

#[test]
fn state_whole() {
    let mut deleted = service(false);
    deleted.service = "proof-desk".to_owned();
    let services = [service(true), deleted];
    let view = StateView {
        offset: 21,
        services: services
            .map(|service| (service.service.clone(), service))
            .into(),
    };
    let read = over_wire::<wire::state_view::Owned, _>(
        |to| write_state_view(&view, to.init_root()).unwrap(),
        |from| read_state_view(from).unwrap(),
    );
    assert_eq!(read, view);
}

#[rstest]
#[case::address(|to: &mut wire::report::Builder<'_>| to.set_data("nowhere"), "`data` is `nowhere`")]
#[case::digest(|to: &mut wire::report::Builder<'_>| to.set_open_weights(&[1, 2]), "has 2 bytes")]
fn bad_field(#[case] corrupt: fn(&mut wire::report::Builder<'_>), #[case] message: &str) {
    let error = over_wire::<wire::report::Owned, _>(
        |to| {
            let mut root = to.init_root();
            write_report(&report(true), root.reborrow());
            corrupt(&mut root);
        },
        |from| read_report(from).unwrap_err(),
    );
    assert!(error.to_string().contains(message), "{error}");
}

#[test]
fn bad_document() {
    let error = over_wire::<wire::service_state::Owned, _>(
        |to| to.init_root().set_document("{\"service\": 3}"),
        |from| read_service_state(from).unwrap_err(),
    );
    assert!(
        error.to_string().contains("run the same version"),
        "{error}"
    );
}

#[test]
fn bad_phase() {
    const EPOCH: u64 = 0x1234_5678_9ABC;
    let mut message = Builder::new_default();
    let mut spoiled = report(true);
    spoiled.weights = BTreeMap::from([(EPOCH, WeightsPhase::Staged)]);
    write_report(&spoiled, message.init_root());
    let mut buf = serialize::write_message_to_words(&message);
    // The phase lies right after its epoch.
    let epoch = EPOCH.to_le_bytes();
    let at = buf.windows(8).position(|bytes| bytes == epoch).unwrap() + 8;
    buf[at] = 99;
    let reader = serialize::read_message(buf.as_slice(), reader_options()).unwrap();
    let error = read_report(reader.get_root().unwrap()).unwrap_err();
    assert!(error.to_string().contains("`phase` has unknown value 99"));
}

#[test]
fn too_long() {
    let words = u32::try_from(MAX_MESSAGE_BYTES / 8 + 1).unwrap();
    let mut buf = vec![0_u8; 8];
    buf[4..].copy_from_slice(&words.to_le_bytes());
    let error = serialize::read_message(buf.as_slice(), reader_options())
        .err()
        .unwrap();
    assert!(
        matches!(error.kind, capnp::ErrorKind::MessageTooLarge(_)),
        "{error}"
    );
}

#[test]
fn demand_whole() {
    let customers = BTreeMap::from([("mason-1".to_owned(), 2.5)]);
    let it = EntryDemand {
        vm: "qh-e1".to_owned(),
        demand: BTreeMap::from([("wagtail-scribes".to_owned(), customers)]),
        age: Duration::from_micros(70),
    };
    let read = over_wire::<wire::entry_demand::Owned, _>(
        |to| write_entry_demand(&it.vm, &it.demand, it.age, to.init_root()),
        |from| read_entry_demand(from).unwrap(),
    );
    assert_eq!(read, it);
}
