//! Faults that can be switched while a stand-in runs.

use std::sync::Arc;
use std::time::Duration;

use serde::de::{DeserializeOwned, Error as _};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use serde_with::{DurationMilliSeconds, serde_as};
use tokio::sync::watch;

/// Faults that every stand-in has.
#[serde_as]
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct CommonFaults {
    /// Answers 503 to everything.
    pub down: bool,
    /// Waits before everything, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "slow_ms")]
    pub slow: Duration,
    /// Takes connections and requests, but does and answers nothing until it thaws.
    pub frozen: bool,
}

/// The faults of one kind of stand-in.
pub trait FaultSet: Clone + Default + Serialize + DeserializeOwned + Send + Sync + 'static {
    /// Returns the faults that every stand-in has.
    fn common(&self) -> &CommonFaults;
}

/// Switches the faults of one stand-in. Clones switch the same stand-in.
#[derive(Clone, Debug)]
pub struct Faults<F> {
    inner: Arc<watch::Sender<F>>,
}

impl<F> Faults<F>
where
    F: FaultSet,
{
    /// Makes a switch with no fault on.
    pub(crate) fn new() -> Self {
        Self {
            inner: Arc::new(watch::Sender::new(F::default())),
        }
    }

    /// Returns the faults as they are.
    pub fn get(&self) -> F {
        self.inner.borrow().clone()
    }

    /// Replaces all faults.
    pub fn set(&self, faults: F) {
        self.inner.send_replace(faults);
    }

    /// Turns every fault off.
    pub fn clear(&self) {
        self.set(F::default());
    }

    /// Changes some faults.
    pub fn update<U>(&self, change: U)
    where
        U: FnOnce(&mut F),
    {
        self.inner.send_modify(change);
    }

    /// Changes the faults that `patch`, a JSON object, names.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with a field that doesn't exist or a value that doesn't fit.
    pub fn patch(&self, patch: &Value) -> Result<(), serde_json::Error> {
        let mut value = serde_json::to_value(self.get())?;
        merge(&mut value, patch)?;
        let faults = serde_json::from_value(value)?;
        self.set(faults);
        Ok(())
    }

    /// Reads from the faults without a copy.
    pub(crate) fn read<U, T>(&self, read: U) -> T
    where
        U: FnOnce(&F) -> T,
    {
        read(&self.inner.borrow())
    }

    /// Reads from and changes the faults in one step; listeners hear of it only if it is `Some`.
    pub(crate) fn take<U, T>(&self, take: U) -> Option<T>
    where
        U: FnOnce(&mut F) -> Option<T>,
    {
        let mut taken = None;
        self.inner.send_if_modified(|faults| {
            taken = take(faults);
            taken.is_some()
        });
        taken
    }

    /// Waits until the stand-in isn't frozen.
    pub(crate) async fn thawed(&self) {
        if !self.inner.borrow().common().frozen {
            return;
        }
        let mut rx = self.inner.subscribe();
        // The sender lives as long as `self`, so that waiting can't fail.
        let _ = rx.wait_for(|faults| !faults.common().frozen).await;
    }
}

/// Takes one from a counter; none if it is at 0.
pub(crate) fn count_down(counter: &mut u64) -> Option<()> {
    *counter = counter.checked_sub(1)?;
    Some(())
}

/// Overwrites the fields of `base` that `patch` names; an unknown name is an error, so that a
/// misspelt fault doesn't pass for one that does nothing.
fn merge(base: &mut Value, patch: &Value) -> Result<(), serde_json::Error> {
    let (Value::Object(base), Value::Object(patch)) = (base, patch) else {
        return Err(serde_json::Error::custom("faults are a JSON object"));
    };
    for (key, value) in patch {
        let Some(field) = base.get_mut(key) else {
            return Err(serde_json::Error::custom(format!(
                "there is no fault `{key}`"
            )));
        };
        *field = value.clone();
    }
    Ok(())
}
