//! Documents for the services of a fleet.

use std::collections::BTreeMap;

use wagtailreel_core::{
    Document, ModelRef, Objectives, Place, Priority, ServiceKind, SpreadSettings, VmSelection,
};

use super::spec::{FleetSpec, Upstream, UpstreamSpec};
use crate::error::{ParseSnafu, Result};

impl FleetSpec {
    /// Makes a document that has `service` run on all of its VMs, every one of which has to be
    /// ready before a switch. `model` is its name and version; a plain service has none.
    pub fn document(&self, service: &str, model: Option<(&str, &str)>) -> Document {
        let mut places = Vec::new();
        let mut kind = ServiceKind::Engine;
        for data_centre in &self.data_centres {
            let serves = |it: &&UpstreamSpec| it.service == service;
            let upstreams: Vec<&UpstreamSpec> =
                data_centre.upstreams.iter().filter(serves).collect();
            if let Some(first) = upstreams.first() {
                if matches!(first.upstream, Upstream::Plain(_)) {
                    kind = ServiceKind::Plain;
                }
                places.push(Place {
                    data_centre: data_centre.name.clone(),
                    vms: VmSelection::All,
                    ready: u32::try_from(upstreams.len()).unwrap_or(u32::MAX),
                });
            }
        }
        Document {
            service: service.to_owned(),
            kind,
            model: model.map(|(name, version)| ModelRef {
                name: name.to_owned(),
                version: version.to_owned(),
            }),
            adapters: Vec::new(),
            places,
            priority: Priority::default(),
            spread: SpreadSettings::default(),
            limits: BTreeMap::new(),
            default_limit: None,
            objectives: Objectives::default(),
        }
    }
}

/// Writes a document as YAML.
///
/// # Errors
///
/// Returns an error if it has no YAML form.
pub fn to_yaml(document: &Document) -> Result<String> {
    serde_saphyr::to_string(document).map_err(|source| {
        ParseSnafu {
            what: "a document",
            detail: source.to_string(),
        }
        .build()
    })
}
