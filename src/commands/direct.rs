//! `wagtailreel entry` for a fleet whose upstreams name themselves.

use wagtailreel_direct::DirectEntry;
use wagtailreel_platform::{PlatformDialect, Store};
use wagtailreel_settings::DirectEntrySettings;
use wagtailreel_telemetry::LogGuard;

use super::process::Process;

/// The entry of such a fleet.
pub(super) struct DirectProcess(DirectEntry<PlatformDialect>);

impl Process for DirectProcess {
    type Settings = DirectEntrySettings;

    fn settings(yaml: &str) -> Result<DirectEntrySettings, String> {
        DirectEntrySettings::from_yaml(yaml).map_err(|e| e.to_string())
    }

    fn vm(settings: &DirectEntrySettings) -> &str {
        &settings.vm
    }

    fn threads(settings: &DirectEntrySettings) -> Option<usize> {
        Some(settings.threads)
    }

    fn log(vm: &str) -> LogGuard {
        super::log_to_stdout(vm)
    }

    async fn start(settings: DirectEntrySettings) -> Result<Self, String> {
        let store = Store::new(settings.registry);
        let entry = DirectEntry::start(settings, store, PlatformDialect).await;
        entry.map(Self).map_err(|e| e.to_string())
    }

    async fn shutdown(self) {
        self.0.shutdown().await;
    }
}
