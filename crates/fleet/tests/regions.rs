//! Regions that routes and customers allow.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use rstest::rstest;
use wagtailreel_fleet::{AllowedRegions, Customer};

fn allowed(regions: &[&str]) -> AllowedRegions {
    AllowedRegions::new(regions.iter().map(|region| (*region).to_owned()))
}

/// Guards against a restriction that is lost when the other side has none, and against an intersection
/// without a region that counts as no restriction.
#[rstest]
#[case::none(&[], &[], &["costa", "sierra"], true)]
#[case::route(&["costa"], &[], &["costa"], true)]
#[case::customer(&[], &["sierra"], &["sierra"], true)]
#[case::both(&["costa", "sierra"], &["sierra", "selva"], &["sierra"], true)]
#[case::disjoint(&["costa"], &["sierra"], &[], false)]
fn intersection(
    #[case] route: &[&str],
    #[case] customer: &[&str],
    #[case] left: &[&str],
    #[case] is_any_left: bool,
) {
    let both = allowed(route).intersection(&allowed(customer));
    for region in ["costa", "sierra"] {
        assert_eq!(
            both.allows(Some(&region.to_owned())),
            left.contains(&region)
        );
    }
    assert_eq!(!both.is_empty(), is_any_left);
}

/// Guards against upstreams whose data centre the settings do not list: their region cannot be confirmed.
#[rstest]
#[case::unrestricted(&[], true)]
#[case::restricted(&["costa"], false)]
#[case::unnamed_region(&[""], false)]
fn unknown_region(#[case] regions: &[&str], #[case] is_allowed: bool) {
    assert_eq!(allowed(regions).allows(None), is_allowed);
}

/// Guards against records of processes that do not know the field, and against a change of records that do
/// not use it.
#[rstest]
fn old_record() {
    let text = r#"{"name":"quay","rank":null,"keys":["k1"]}"#;
    let customer: Customer = serde_json::from_str(text).unwrap();
    assert!(customer.regions.is_unrestricted());
    assert_eq!(serde_json::to_string(&customer).unwrap(), text);
    let restricted = Customer {
        regions: allowed(&["costa"]),
        ..customer
    };
    let text = serde_json::to_string(&restricted).unwrap();
    assert_eq!(serde_json::from_str::<Customer>(&text).unwrap(), restricted);
}
