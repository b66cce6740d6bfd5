//! Look-up of a request's route and customer.

use std::time::Duration;

use rstest::rstest;
use wagtailreel_fleet::{AllowedRegions, ClientLimits, Customer, Directory, Route, RouteKind};

fn limits() -> ClientLimits {
    ClientLimits {
        header_bytes: 16384,
        body_bytes: 1 << 20,
        header_timeout: Duration::from_secs(3),
        idle_timeout: Duration::from_secs(15),
    }
}

fn route(name: &str, host: &str, prefix: &str) -> Route {
    Route {
        name: name.to_owned(),
        host: host.to_owned(),
        prefix: prefix.to_owned(),
        kind: RouteKind::Idempotent,
        timeout: Duration::from_secs(1),
        objective: Duration::from_millis(100),
        rank: 0,
        services: vec![("scribes".to_owned(), 1)],
        max_attempts: 1,
        is_public: false,
        regions: AllowedRegions::default(),
    }
}

fn directory() -> Directory {
    let routes = vec![
        route("short", "a.example", "/x/"),
        route("long", "a.example", "/x/y/"),
        route("other", "b.example", "/x/"),
    ];
    let customer = Customer {
        name: "quay".to_owned(),
        rank: Some(2),
        keys: vec!["k1".to_owned(), "k2".to_owned()],
        regions: AllowedRegions::default(),
    };
    Directory::new(3, limits())
        .with_routes(routes)
        .with_customers(vec![customer])
}

#[rstest]
#[case::longest_prefix("a.example", "/x/y/z", Some("long"))]
#[case::shorter_prefix("a.example", "/x/z", Some("short"))]
#[case::whole_segments("a.example", "/x/yy", Some("short"))]
#[case::host_in_capitals("A.Example", "/x/y/", Some("long"))]
#[case::another_host("b.example", "/x/y/z", Some("other"))]
#[case::unknown_host("c.example", "/x/", None)]
#[case::unknown_path("a.example", "/y/", None)]
#[case::no_last_slash("a.example", "/x", None)]
fn route_choice(#[case] host: &str, #[case] path: &str, #[case] name: Option<&str>) {
    let directory = directory();
    let found = directory.route(host, path).map(|route| route.name.as_str());
    assert_eq!(found, name);
}

#[rstest]
#[case("k2", Some("quay"))]
#[case("k3", None)]
#[case("", None)]
fn customer_by_key(#[case] key: &str, #[case] name: Option<&str>) {
    let directory = directory();
    let found = directory.customer(key).map(|it| it.name.as_str());
    assert_eq!(found, name);
}

#[rstest]
fn replaced_customers() {
    let directory = directory().with_customers(vec![]);
    assert!(
        directory.customer("k1").is_none(),
        "keys of removed customers are rejected"
    );
    assert!(!directory.needs_keys());
}
