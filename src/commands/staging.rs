//! `wagtailreel-agent` beside an engine that takes its weights in chunks.

use wagtailreel_platform::{Engine, Origin, Store};
use wagtailreel_settings::StagingAgentSettings;
use wagtailreel_stage::StagingAgent;
use wagtailreel_telemetry::LogGuard;

use super::process::Process;

/// The agent beside such an engine.
pub(super) struct StagingProcess(StagingAgent);

impl Process for StagingProcess {
    type Settings = StagingAgentSettings;

    fn settings(yaml: &str) -> Result<StagingAgentSettings, String> {
        StagingAgentSettings::from_yaml(yaml).map_err(|e| e.to_string())
    }

    fn vm(settings: &StagingAgentSettings) -> &str {
        &settings.vm
    }

    fn threads(_settings: &StagingAgentSettings) -> Option<usize> {
        Some(1)
    }

    fn log(vm: &str) -> LogGuard {
        super::log_to_stdout(vm)
    }

    async fn start(settings: StagingAgentSettings) -> Result<Self, String> {
        let store = Store::new(settings.registry);
        let engine = Engine::new(settings.engine);
        let agent = StagingAgent::start(settings, store, engine, Origin::new()).await;
        agent.map(Self).map_err(|e| e.to_string())
    }

    async fn shutdown(self) {
        self.0.shutdown().await;
    }
}
