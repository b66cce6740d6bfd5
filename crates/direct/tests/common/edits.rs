//! Configurations that differ from each other in one matter.

use std::time::Duration;

use wagtailreel_fleet::{
    AllowedRegions, ClientLimits, Customer, Directory, Route, RouteKind, ServiceSpec,
};

use super::route;

/// What a configuration changes.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Edit {
    Nothing,
    IdleTime,
    Timeout,
    RouteMoved,
    RouteRemoved,
    KeyRevoked,
    ServiceRemoved,
}

/// Returns a route of each kind.
pub(crate) fn routes() -> Vec<Route> {
    let stream = RouteKind::Stream {
        resumable: true,
        gap: Some(Duration::from_millis(100)),
    };
    vec![
        route("/read/", RouteKind::Idempotent),
        route("/order/", RouteKind::NonIdempotent),
        route("/stream/", stream),
    ]
}

/// Returns the configuration `version` with `edit`. Its path `/v2/` is known from version 2 on.
pub(crate) fn directory(version: u64, edit: Edit) -> Directory {
    let mut limits = ClientLimits {
        header_bytes: 16384,
        body_bytes: 1 << 16,
        header_timeout: Duration::from_secs(3),
        idle_timeout: Duration::from_secs(15),
    };
    let mut routes = routes();
    let mut keys = vec!["k1".to_owned()];
    let mut services = vec!["desk", "other"];
    match edit {
        Edit::Nothing => {}
        Edit::IdleTime => limits.idle_timeout = Duration::from_millis(100),
        Edit::Timeout => routes
            .iter_mut()
            .for_each(|route| route.timeout = Duration::from_millis(400)),
        Edit::RouteMoved => routes
            .iter_mut()
            .for_each(|route| route.services = vec![("other".to_owned(), 1)]),
        Edit::RouteRemoved => routes.clear(),
        Edit::KeyRevoked => keys = vec!["k2".to_owned()],
        Edit::ServiceRemoved => {
            routes.clear();
            services.clear();
        }
    }
    if version >= 2 {
        let mut marker = route("/v2/", RouteKind::Idempotent);
        marker.services = vec![("none".to_owned(), 1)];
        marker.is_public = true;
        routes.push(marker);
    }
    let services = services.into_iter().map(|name| ServiceSpec {
        name: name.to_owned(),
        max_connections: 100,
        engine: None,
        warmup_per_second: 0.0,
        origin: None,
    });
    Directory::new(version, limits)
        .with_routes(routes)
        .with_services(services.collect())
        .with_customers(vec![Customer {
            name: "quay".to_owned(),
            rank: None,
            keys,
            regions: AllowedRegions::default(),
        }])
}
