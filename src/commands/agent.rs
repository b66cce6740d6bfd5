//! `wagtailreel-agent`: the process in an upstream VM's slot.

use wagtailreel_agent_core::AgentProcess;
use wagtailreel_settings::AgentSettings;

use super::process::Process;

impl Process for AgentProcess {
    type Settings = AgentSettings;

    fn settings(yaml: &str) -> Result<AgentSettings, String> {
        AgentSettings::from_yaml(yaml).map_err(|e| e.to_string())
    }

    fn vm(settings: &AgentSettings) -> &str {
        &settings.vm
    }

    async fn start(settings: AgentSettings) -> Result<Self, String> {
        Self::start(settings).await.map_err(|e| e.to_string())
    }

    async fn shutdown(self) {
        self.shutdown().await;
    }
}
