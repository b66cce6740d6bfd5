//! Look-up of a request's route and customer, and the ranks of the requests to a service.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

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
    assert!(
        directory.needs_keys(),
        "removing the last one opens nothing"
    );
}

/// Returns the configuration as a neighbour sends it.
fn sent(directory: &Directory) -> serde_json::Value {
    serde_json::to_value(directory).unwrap()
}

/// Guards against a list of customers that is empty at one process and missing at the next.
#[rstest]
#[case::customers(directory(), true)]
#[case::last_customer_gone(directory().with_customers(vec![]), true)]
#[case::no_list(Directory::new(3, limits()), false)]
fn relayed_customers(#[case] directory: Directory, #[case] needs_keys: bool) {
    let received: Directory = serde_json::from_value(sent(&directory)).unwrap();
    assert_eq!(received, directory);
    assert_eq!(received.needs_keys(), needs_keys);
}

/// Guards against a process of the version before that accepts all requests, since it takes an empty list of customers
/// for none.
#[rstest]
#[case::customers(directory(), true)]
#[case::last_customer_gone(directory().with_customers(vec![]), true)]
#[case::no_list(Directory::new(3, limits()), false)]
fn list_for_earlier_version(#[case] directory: Directory, #[case] needs_keys: bool) {
    let customers = sent(&directory)["customers"].as_array().unwrap().clone();
    assert_eq!(!customers.is_empty(), needs_keys);
    let customers: Vec<Customer> = customers
        .into_iter()
        .map(|it| serde_json::from_value(it).unwrap())
        .collect();
    let keys: usize = customers.iter().map(|it| it.keys.len()).sum();
    assert_eq!(keys, directory.customer("k1").map_or(0, |it| it.keys.len()));
}

/// A process of the version before sends an empty list for both. What it means is not known, so the registry is read.
#[rstest]
#[case::customers(directory(), Some(true))]
#[case::last_customer_gone(directory().with_customers(vec![]), None)]
#[case::no_list(Directory::new(3, limits()), None)]
fn list_of_earlier_version(#[case] directory: Directory, #[case] needs_keys: Option<bool>) {
    let mut sent = sent(&directory);
    let fields = sent.as_object_mut().unwrap();
    fields.remove("needs_keys");
    let customers = fields["customers"].as_array_mut().unwrap();
    customers.retain(|it| it["name"] != "");
    let received = serde_json::from_value::<Directory>(sent).ok();
    assert_eq!(received.map(|it| it.needs_keys()), needs_keys);
}

fn customer(name: &str, rank: Option<u8>) -> Customer {
    Customer {
        name: name.to_owned(),
        rank,
        keys: vec![name.to_owned()],
        regions: AllowedRegions::default(),
    }
}

/// With one rank everywhere admission control by rank must stay off, also where customers name that rank.
#[rstest]
#[case::one_rank(&[1, 1], &[], false)]
#[case::routes_differ(&[0, 2], &[], true)]
#[case::customer_of_the_same_rank(&[1], &[None, Some(1)], false)]
#[case::customer_differs_from_route(&[1], &[None, Some(0)], true)]
#[case::customers_differ(&[1], &[Some(2), Some(0)], true)]
#[case::routes_differ_for_equal_customers(&[0, 2], &[Some(1), Some(1)], true)]
fn ranks_differ(#[case] routes: &[u8], #[case] customers: &[Option<u8>], #[case] differ: bool) {
    let routes = routes.iter().map(|rank| Route {
        rank: *rank,
        ..route(&format!("r{rank}"), "a.example", "/")
    });
    let customers = customers.iter().enumerate();
    let customers = customers.map(|(at, rank)| customer(&format!("c{at}"), *rank));
    let directory = Directory::new(1, limits())
        .with_routes(routes.collect())
        .with_customers(customers.collect());
    assert_eq!(directory.ranks("scribes").unwrap().differ(), differ);
    assert_eq!(directory.ranks("others"), None);
}

/// Requests of a more urgent customer come before those of a more urgent route, and the route's rank decides
/// between customers of the same rank: else all kinds of requests are of one rank where each customer names it.
#[rstest]
fn order_of_ranks() {
    let of_rank = |rank: u8| Route {
        rank,
        ..route(&format!("r{rank}"), "a.example", "/")
    };
    let directory = Directory::new(1, limits())
        .with_routes(vec![of_rank(2), of_rank(0)])
        .with_customers(vec![customer("a", Some(1)), customer("b", Some(0))]);
    let ranks = directory.ranks("scribes").unwrap();
    let positions = [(Some(0), 0), (Some(0), 2), (Some(1), 0), (Some(1), 2)];
    let positions = positions.map(|(customer, route)| ranks.position(customer, route));
    assert_eq!(positions, [0, 1, 2, 3]);
}

/// The shortest objective of more urgent ranks counts, and none for the most urgent rank.
#[rstest]
fn objective_before() {
    let at = |rank, millis| Route {
        rank,
        objective: Duration::from_millis(millis),
        ..route(&format!("r{rank}-{millis}"), "a.example", "/")
    };
    let directory =
        Directory::new(1, limits()).with_routes(vec![at(0, 400), at(0, 700), at(2, 1000)]);
    let ranks = directory.ranks("scribes").unwrap();
    let millis = |rank| ranks.objective_before(rank).map(|it| it.as_millis());
    assert_eq!(
        (millis(0), millis(1), millis(2)),
        (None, Some(400), Some(400))
    );
    let read: Directory =
        serde_json::from_str(&serde_json::to_string(&directory).unwrap()).unwrap();
    assert_eq!(
        read.ranks("scribes"),
        directory.ranks("scribes"),
        "also after it was sent"
    );
}
