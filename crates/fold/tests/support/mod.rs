//! An in-memory log, and transcripts of the effects of its records on folds.

#![allow(dead_code, reason = "each test file uses a part")]
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::fmt::Write as _;
use std::time::{Duration, SystemTime};

use serde_json::Value;
use wagtailreel_core::{
    ConfigRecord, Document, ModelRef, Objectives, Offset, Place, Priority, ServiceKind,
    SpreadSettings, VmSelection,
};
use wagtailreel_fold::{Applied, ConfigFold, FoldStop, encode_config};

/// Time of the first record, in seconds since 1970.
pub(crate) const START: u64 = 1_780_000_000;

/// Returns the time `seconds` after the first record.
pub(crate) fn time(seconds: u64) -> SystemTime {
    SystemTime::UNIX_EPOCH + Duration::from_secs(START + seconds)
}

/// Returns a document of `service` that serves `version`.
pub(crate) fn document(service: &str, version: &str) -> Document {
    Document {
        service: service.to_owned(),
        kind: ServiceKind::Engine,
        model: Some(ModelRef {
            name: "epitaphs".to_owned(),
            version: version.to_owned(),
        }),
        adapters: Vec::new(),
        places: vec![Place {
            data_centre: "quito-hall".to_owned(),
            vms: VmSelection::All,
            ready: 1,
        }],
        priority: Priority::Normal,
        spread: SpreadSettings::default(),
        limits: Default::default(),
        default_limit: None,
        objectives: Objectives::default(),
    }
}

/// Returns an edit; an empty `version` deletes the service.
pub(crate) fn edit(
    id: &str,
    team: &str,
    service: &str,
    base: Offset,
    version: &str,
) -> ConfigRecord {
    let document = (!version.is_empty()).then(|| Box::new(document(service, version)));
    ConfigRecord::Edit {
        edit_id: id.to_owned(),
        team: team.to_owned(),
        base,
        document,
        service: service.to_owned(),
    }
}

/// Returns the JSON of the record as a fold reads it from the log.
pub(crate) fn data(record: &ConfigRecord) -> Value {
    serde_json::from_slice(&encode_config(record).unwrap()).unwrap()
}

/// A stream of the log, with one record per second.
#[derive(Clone, Debug, Default)]
pub(crate) struct Log {
    pub(crate) records: Vec<Value>,
}

impl Log {
    /// Appends a record and returns its offset.
    pub(crate) fn append(&mut self, record: &ConfigRecord) -> Offset {
        self.records.push(data(record));
        self.records.len() as Offset
    }

    /// Returns the offset that the next append gets.
    pub(crate) fn next(&self) -> Offset {
        self.records.len() as Offset + 1
    }

    /// Returns the record at `offset`.
    pub(crate) fn get(&self, offset: Offset) -> &Value {
        &self.records[offset as usize - 1]
    }

    /// Applies the record at `offset`.
    pub(crate) fn feed(
        &self,
        fold: &mut ConfigFold,
        offset: Offset,
    ) -> Result<Vec<Applied>, FoldStop> {
        fold.apply(offset, time(offset), self.get(offset))
    }

    /// Applies all records that the fold has not read.
    pub(crate) fn feed_all(&self, fold: &mut ConfigFold) -> Vec<Applied> {
        let mut applied = Vec::new();
        while fold.next() < self.next() {
            applied.extend(self.feed(fold, fold.next()).unwrap());
        }
        applied
    }
}

/// Readable account of a test session, for snapshots.
#[derive(Debug, Default)]
pub(crate) struct Transcript {
    text: String,
}

impl Transcript {
    /// Writes a line.
    pub(crate) fn write_line<S>(&mut self, line: S)
    where
        S: AsRef<str>,
    {
        writeln!(self.text, "{}", line.as_ref()).unwrap();
    }

    /// Appends a record, writes a line about it, and lets `folds` read it.
    pub(crate) fn append(
        &mut self,
        log: &mut Log,
        record: &ConfigRecord,
        folds: &mut [(&str, &mut ConfigFold)],
    ) {
        let offset = log.append(record);
        self.write_line(format!("record {offset}: {}", show_record(record)));
        for (name, fold) in folds {
            self.read(log, name, fold);
        }
    }

    /// Lets the fold read all new records, and writes their effects.
    pub(crate) fn read(&mut self, log: &Log, name: &str, fold: &mut ConfigFold) {
        while fold.next() < log.next() {
            let offset = fold.next();
            let result = log.feed(fold, offset);
            self.result(name, &result);
            if result.is_err() {
                return;
            }
        }
    }

    /// Writes the effects of a record.
    pub(crate) fn result(&mut self, name: &str, result: &Result<Vec<Applied>, FoldStop>) {
        match result {
            Ok(applied) if applied.is_empty() => self.write_line(format!("  {name}: nothing")),
            Ok(applied) => {
                for applied in applied {
                    self.write_line(format!("  {name}: {}", applied));
                }
            }
            Err(stop) => self.write_line(format!("  {name}: STOPPED: {stop}")),
        }
    }

    /// Writes the fold's state.
    pub(crate) fn state(&mut self, name: &str, fold: &ConfigFold) {
        let ready = if fold.is_ready() { "" } else { ", not ready" };
        self.write_line(format!("{name} at {}{ready}:", fold.offset()));
        for state in fold.state().services.values() {
            let model = state.document.as_ref().map(|document| &document.model);
            let model = match model {
                Some(Some(model)) => model.to_string(),
                Some(None) => "plain".to_owned(),
                None => "deleted".to_owned(),
            };
            self.write_line(format!(
                "  {} of {}: {model}, revision {}, epoch {}",
                state.service, state.team, state.revision, state.epoch
            ));
        }
    }

    /// Returns the whole transcript.
    pub(crate) fn finish(self) -> String {
        self.text
    }
}

fn show_record(record: &ConfigRecord) -> String {
    match record {
        ConfigRecord::Edit {
            edit_id,
            team,
            base,
            document,
            service,
        } => {
            let model = document
                .as_ref()
                .and_then(|document| document.model.as_ref());
            let model = model.map_or("deletion".to_owned(), ModelRef::to_string);
            format!("{team} edits {service} on {base}: {model} ({edit_id})")
        }
        ConfigRecord::Snapshot { at, .. } => format!("snapshot at {at}"),
    }
}
