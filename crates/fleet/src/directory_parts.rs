//! The form in which processes send a configuration to each other.

use serde::{Deserialize, Serialize};
use snafu::{OptionExt as _, Snafu};
use wagtailreel_core::CustomerId;

use crate::AllowedRegions;
use crate::directory::{ClientLimits, ConfigVersion, Customer, Directory, Route, ServiceSpec};

/// The sender does not say whether requests need a key.
#[derive(Debug, Snafu)]
#[snafu(display(
    "version {version} has no customers and does not say whether requests need a key: \
     read it from the registry"
))]
pub(crate) struct KeysUnknown {
    version: ConfigVersion,
}

/// A configuration without its indexes.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct DirectoryParts {
    version: ConfigVersion,
    limits: ClientLimits,
    routes: Vec<Route>,
    services: Vec<ServiceSpec>,
    customers: Vec<Customer>,
    /// Whether requests need a key. Processes that do not send it take an empty list for `false`, whatever the
    /// configuration says.
    #[serde(default)]
    needs_keys: Option<bool>,
}

/// Returns the customer that stands for an empty list of customers. Processes that do not read `needs_keys` need keys
/// where there is a customer, and this one has none.
fn placeholder() -> Customer {
    Customer {
        name: CustomerId::new(),
        rank: None,
        keys: Vec::new(),
        regions: AllowedRegions::default(),
    }
}

impl TryFrom<DirectoryParts> for Directory {
    type Error = KeysUnknown;

    fn try_from(parts: DirectoryParts) -> Result<Self, Self::Error> {
        let version = parts.version;
        let mut customers = parts.customers;
        let needs_keys = match parts.needs_keys {
            None if customers.is_empty() => None,
            needs_keys => Some(needs_keys != Some(false)),
        };
        customers.retain(|customer| *customer != placeholder());
        let directory = Self::new(version, parts.limits)
            .with_routes(parts.routes)
            .with_services(parts.services);
        Ok(if needs_keys.context(KeysUnknownSnafu { version })? {
            directory.with_customers(customers)
        } else {
            directory
        })
    }
}

impl From<Directory> for DirectoryParts {
    fn from(directory: Directory) -> Self {
        let needs_keys = directory.needs_keys();
        let (version, limits) = (directory.version(), directory.limits());
        let (routes, services, mut customers) = directory.into_lists();
        if needs_keys && customers.is_empty() {
            customers.push(placeholder());
        }
        Self {
            version,
            limits,
            routes,
            services,
            customers,
            needs_keys: Some(needs_keys),
        }
    }
}
