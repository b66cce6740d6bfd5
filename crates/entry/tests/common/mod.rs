//! A platform of stand-ins, with entries and scripted agents in the test process.
#![allow(dead_code, reason = "each test file uses a part")]

pub(crate) mod agent;
pub(crate) mod caller;

use std::net::SocketAddr;
use std::time::Duration;

use wagtailreel_core::{VmEntry, VmRole, VmState};
use wagtailreel_entry::EntryProcess;
use wagtailreel_settings::{
    ConfigSettings, CustomerSettings, EntryListen, EntryPlatform, EntrySettings, OrderSettings,
    TeamSettings, hash_token,
};
use wagtailreel_standins::{LogConfig, LogStandin, VmListConfig, VmListStandin};

use agent::{Action, FakeAgent, Script};

pub(crate) const SERVICE: &str = "scribes";
pub(crate) const PLAIN: &str = "desk";
pub(crate) const KEY: &str = "mason-key";
pub(crate) const TOKEN: &str = "scribes-token";

/// Time-out of conditions and answers.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

pub(crate) fn unused_addr() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// A platform with entries and agents.
pub(crate) struct Bench {
    pub(crate) log: LogStandin,
    pub(crate) vms: VmListStandin,
    pub(crate) entries: Vec<EntryProcess>,
    pub(crate) agents: Vec<FakeAgent>,
    script: Script,
}

impl Bench {
    /// Starts a platform without entries and agents.
    pub(crate) fn empty() -> Self {
        Self {
            log: LogStandin::start(LogConfig::default(), unused_addr()).unwrap(),
            vms: VmListStandin::start(VmListConfig::default(), unused_addr()).unwrap(),
            entries: Vec::new(),
            agents: Vec::new(),
            script: Script::default(),
        }
    }

    /// Starts `entries` entries and an agent of `service` per name in `agents`, with the document in force.
    pub(crate) async fn start(service: &str, entries: usize, agents: &[&str]) -> Self {
        let mut bench = Self::empty();
        for _ in 0..entries {
            bench.add_entry().await;
        }
        for vm in agents {
            bench.add_agent(vm, service).await;
        }
        bench.submit(service).await;
        bench.settle(service).await;
        bench
    }

    pub(crate) fn settings(&self) -> EntrySettings {
        let number = self.entries.len() + 1;
        EntrySettings {
            vm: format!("qh-e{number}"),
            data_centre: "quito-hall".to_owned(),
            region: "sierra".to_owned(),
            listen: EntryListen {
                callers: unused_addr(),
                admin: unused_addr(),
                control: unused_addr(),
            },
            platform: EntryPlatform {
                log: format!("http://{}", self.log.addr()),
                vms: format!("http://{}", self.vms.addr()),
            },
            seeds: Vec::new(),
            lease: Duration::from_secs(1),
            body_limit: 4096,
            teams: vec![TeamSettings {
                name: "scribes".to_owned(),
                token_hash: hash_token(TOKEN),
                services: vec![SERVICE.to_owned(), PLAIN.to_owned()],
            }],
            customers: vec![CustomerSettings {
                name: "mason".to_owned(),
                key_hash: hash_token(KEY),
            }],
            orders: OrderSettings {
                window: Duration::from_secs(600),
            },
            config: ConfigSettings {
                snapshot_every: 500,
                snapshot_max_age: Duration::from_secs(3600),
            },
        }
    }

    pub(crate) async fn add_entry(&mut self) {
        let settings = self.settings();
        let vm = settings.vm.clone();
        let entry = EntryProcess::start(settings).await.unwrap();
        let addrs = entry.addrs();
        self.vms.add(VmEntry {
            vm,
            data_centre: "quito-hall".to_owned(),
            region: "sierra".to_owned(),
            role: VmRole::Entry,
            state: VmState::Live,
            service: None,
            control: addrs.control,
            data: addrs.callers,
        });
        self.entries.push(entry);
    }

    pub(crate) async fn add_agent(&mut self, vm: &str, service: &str) {
        let entries = self
            .entries
            .iter()
            .map(|entry| ("entry".to_owned(), entry.addrs().control))
            .enumerate()
            .map(|(number, (name, addr))| (format!("{name}{number}"), addr))
            .collect();
        let agent = FakeAgent::start(vm, service, entries, Script::clone(&self.script)).await;
        self.vms.add(agent.listed());
        self.agents.push(agent);
    }

    /// Sets the actions for the next requests, in order, at whichever agent they arrive.
    pub(crate) fn script<I>(&self, actions: I)
    where
        I: IntoIterator<Item = Action>,
    {
        self.script.lock().unwrap().extend(actions);
    }

    pub(crate) fn callers(&self, entry: usize) -> SocketAddr {
        self.entries[entry].addrs().callers
    }

    pub(crate) fn admin(&self, entry: usize) -> SocketAddr {
        self.entries[entry].addrs().admin
    }

    pub(crate) async fn submit(&self, service: &str) {
        let answer = self
            .submit_yaml(0, service, 0, "first", &document(service))
            .await;
        assert_eq!(answer.status, 200, "{}", answer.text());
    }

    pub(crate) async fn submit_yaml(
        &self,
        entry: usize,
        service: &str,
        base: u64,
        edit: &str,
        yaml: &str,
    ) -> caller::Answer {
        let path = format!("/admin/v1/services/{service}/document?base={base}&edit={edit}");
        caller::Request::post(self.admin(entry), &path)
            .with_bearer(TOKEN)
            .with_body(yaml)
            .send()
            .await
    }

    /// Waits until every entry sees every agent as usable and has the document.
    pub(crate) async fn settle(&self, service: &str) {
        for entry in 0..self.entries.len() {
            until("all agents are usable", || async {
                let rollout = self.rollout(entry, service).await;
                let vms = rollout["data_centres"]["quito-hall"]["vms"].as_array();
                let usable = vms.map_or(0, |vms| {
                    vms.iter().filter(|vm| vm["standing"] == "usable").count()
                });
                usable == self.agents.len() && rollout["revision"].as_u64() >= Some(1)
            })
            .await;
        }
    }

    pub(crate) async fn rollout(&self, entry: usize, service: &str) -> serde_json::Value {
        let path = format!("/admin/v1/services/{service}/rollout");
        let answer = caller::Request::get(self.admin(entry), &path)
            .with_bearer(TOKEN)
            .send()
            .await;
        answer.json()
    }

    /// Returns the requests that reached any agent.
    pub(crate) fn runs(&self) -> Vec<agent::SeenRequest> {
        self.agents.iter().flat_map(FakeAgent::runs).collect()
    }

    pub(crate) async fn stop(self) {
        for entry in self.entries {
            entry.shutdown().await;
        }
    }
}

pub(crate) fn document(service: &str) -> String {
    let kind = if service == PLAIN {
        "kind: plain".to_owned()
    } else {
        "kind: engine\nmodel: {name: quill, version: v1}".to_owned()
    };
    format!(
        "service: {service}\n{kind}\nwhere:\n  - {{data_centre: quito-hall, vms: all, ready: 1}}\n"
    )
}

/// Waits until `condition` holds.
pub(crate) async fn until<F, C>(what: &str, condition: C)
where
    C: Fn() -> F,
    F: Future<Output = bool>,
{
    let wait = async {
        while !condition().await {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    let waited = tokio::time::timeout(WAIT_TIMEOUT, wait).await;
    assert!(waited.is_ok(), "not within {WAIT_TIMEOUT:?}: {what}");
}
