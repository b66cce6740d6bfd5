//! Reports of agents.

use std::collections::BTreeMap;

use snafu::ResultExt;
use wagtailreel_core::{EngineLoad, Epoch, Report, WeightsPhase};

use crate::WireError;
use crate::control_capnp::{Phase, epoch_phase, load, report};
use crate::error::MalformedSnafu;
use crate::field::{count, read_addr, read_digest, read_enum, read_epoch, read_text};

/// Fills a message from `report`.
pub fn write_report(report: &Report, mut to: report::Builder<'_>) {
    to.set_vm(&report.vm);
    to.set_incarnation(report.incarnation);
    to.set_sequence(report.sequence);
    to.set_data_centre(&report.data_centre);
    to.set_region(&report.region);
    to.set_service(&report.service);
    to.set_data(report.data.to_string());
    to.set_control(report.control.to_string());
    to.set_config(report.config);
    to.set_in_flight(report.in_flight);
    to.set_capacity(report.capacity);
    if let Some(load) = &report.load {
        write_load(load, to.reborrow().init_load());
    }
    to.set_bundles(report.bundles);
    to.set_leaving(report.leaving);
    to.set_closed_below(report.closed_below);
    to.set_open(report.open.unwrap_or(0));
    if let Some(digest) = &report.open_weights {
        to.set_open_weights(digest.as_bytes());
    }
    let length = count(report.weights.len());
    let mut weights = to.reborrow().init_weights(length);
    for (index, (epoch, phase)) in (0..length).zip(&report.weights) {
        let mut to = weights.reborrow().get(index);
        to.set_epoch(*epoch);
        to.set_phase(phase_to_wire(*phase));
    }
    let (there, all) = report.chunks;
    to.set_chunks_there(there);
    to.set_chunks_all(all);
    if let Some(trouble) = &report.trouble {
        to.set_trouble(trouble);
    }
}

/// Reads a report.
///
/// # Errors
///
/// Returns a [`WireError`] if the message is malformed.
pub fn read_report(from: report::Reader<'_>) -> Result<Report, WireError> {
    let load = from
        .has_load()
        .then(|| from.get_load().map(read_load).context(MalformedSnafu))
        .transpose()?;
    let open_weights = from
        .has_open_weights()
        .then(|| read_digest("openWeights", from.get_open_weights()))
        .transpose()?;
    let trouble = from
        .has_trouble()
        .then(|| read_text("trouble", from.get_trouble()))
        .transpose()?;
    Ok(Report {
        vm: read_text("vm", from.get_vm())?,
        incarnation: from.get_incarnation(),
        sequence: from.get_sequence(),
        data_centre: read_text("dataCentre", from.get_data_centre())?,
        region: read_text("region", from.get_region())?,
        service: read_text("service", from.get_service())?,
        data: read_addr("data", from.get_data())?,
        control: read_addr("control", from.get_control())?,
        config: from.get_config(),
        in_flight: from.get_in_flight(),
        capacity: from.get_capacity(),
        load,
        bundles: from.get_bundles(),
        leaving: from.get_leaving(),
        closed_below: from.get_closed_below(),
        open: read_epoch(from.get_open()),
        open_weights,
        weights: read_weights(from)?,
        chunks: (from.get_chunks_there(), from.get_chunks_all()),
        trouble,
    })
}

fn write_load(load: &EngineLoad, mut to: load::Builder<'_>) {
    to.set_running(load.running);
    to.set_waiting(load.waiting);
    to.set_kv_permille(load.kv_permille);
}

fn read_load(from: load::Reader<'_>) -> EngineLoad {
    EngineLoad {
        running: from.get_running(),
        waiting: from.get_waiting(),
        kv_permille: from.get_kv_permille(),
    }
}

fn read_weights(from: report::Reader<'_>) -> Result<BTreeMap<Epoch, WeightsPhase>, WireError> {
    let weights = from.get_weights().context(MalformedSnafu)?;
    weights.iter().map(read_phase).collect()
}

fn read_phase(from: epoch_phase::Reader<'_>) -> Result<(Epoch, WeightsPhase), WireError> {
    let phase = read_enum("phase", from.get_phase())?;
    Ok((from.get_epoch(), phase_from_wire(phase)))
}

fn phase_to_wire(phase: WeightsPhase) -> Phase {
    match phase {
        WeightsPhase::Fetching => Phase::Fetching,
        WeightsPhase::Staged => Phase::Staged,
        WeightsPhase::Loading => Phase::Loading,
        WeightsPhase::Loaded => Phase::Loaded,
        WeightsPhase::Failed => Phase::Failed,
    }
}

fn phase_from_wire(phase: Phase) -> WeightsPhase {
    match phase {
        Phase::Fetching => WeightsPhase::Fetching,
        Phase::Staged => WeightsPhase::Staged,
        Phase::Loading => WeightsPhase::Loading,
        Phase::Loaded => WeightsPhase::Loaded,
        Phase::Failed => WeightsPhase::Failed,
    }
}
