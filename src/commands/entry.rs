//! `wagtailreel entry`: the process on an entry VM.

use wagtailreel_entry::EntryProcess;
use wagtailreel_settings::EntrySettings;

use super::process::Process;

impl Process for EntryProcess {
    type Settings = EntrySettings;

    fn settings(yaml: &str) -> Result<EntrySettings, String> {
        EntrySettings::from_yaml(yaml).map_err(|e| e.to_string())
    }

    fn vm(settings: &EntrySettings) -> &str {
        &settings.vm
    }

    async fn start(settings: EntrySettings) -> Result<Self, String> {
        Self::start(settings).await.map_err(|e| e.to_string())
    }

    async fn shutdown(self) {
        self.shutdown().await;
    }
}
