//! One line of a process's log, decoded.

use std::borrow::Cow;

use serde::Deserialize;

/// One line of a log; fields that the account does not use are passed over.
#[derive(Debug, Deserialize)]
pub(crate) struct Line<'a> {
    /// Seconds since 1970, by the clock of the process.
    pub(crate) at: f64,
    /// Name of the process.
    #[serde(borrow)]
    pub(crate) process: Cow<'a, str>,
    /// Name of the event.
    #[serde(borrow)]
    pub(crate) message: Cow<'a, str>,
    /// What the event says.
    #[serde(borrow, default)]
    pub(crate) fields: Fields<'a>,
}

/// The fields of the events that the account counts.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct Fields<'a> {
    #[serde(borrow)]
    pub(crate) id: Option<Cow<'a, str>>,
    #[serde(borrow)]
    pub(crate) end: Option<Cow<'a, str>>,
    #[serde(borrow)]
    pub(crate) first_ms: Option<Cow<'a, str>>,
    #[serde(borrow)]
    pub(crate) data_centre: Option<Cow<'a, str>>,
    #[serde(borrow)]
    pub(crate) topic: Option<Cow<'a, str>>,
    #[serde(borrow)]
    pub(crate) cause: Option<Cow<'a, str>>,
    #[serde(borrow)]
    pub(crate) outcome: Option<Cow<'a, str>>,
    #[serde(borrow)]
    pub(crate) ms: Option<Cow<'a, str>>,
    #[serde(borrow)]
    pub(crate) model: Option<Cow<'a, str>>,
    #[serde(borrow)]
    pub(crate) version: Option<Cow<'a, str>>,
    #[serde(borrow)]
    pub(crate) told: Option<Cow<'a, str>>,
    #[serde(borrow)]
    pub(crate) age_ms: Option<Cow<'a, str>>,
}

impl<'a> Line<'a> {
    /// Reads a line; whatever a collector of logs wrote before the JSON object is passed over.
    /// Returns none for a line that holds no whole event.
    pub(crate) fn read(text: &'a str) -> Option<Self> {
        let start = text.find('{')?;
        let mut lines = serde_json::Deserializer::from_str(text.get(start..)?).into_iter();
        lines.next()?.ok()
    }
}
