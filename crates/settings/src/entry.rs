//! Settings of an entry.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use wagtailreel_core::{CustomerId, DataCentre, Digest, Region, ServiceName, TeamName, VmId};

use crate::fields::{Fields, read_root};
use crate::keyring::Keyring;
use crate::listen::{check_listeners, listener};
use crate::problem::{Problems, SettingsErrors};
use crate::values::{self, At};

const DEFAULT_LEASE: Duration = Duration::from_millis(1000);
const DEFAULT_BODY_LIMIT: u64 = 1 << 20;
const MAX_BODY_LIMIT: u64 = 64 << 20;
const DEFAULT_WINDOW: Duration = Duration::from_secs(600);
const MAX_WINDOW_S: u64 = 86_400;
const DEFAULT_SNAPSHOT_EVERY: u64 = 500;
const MAX_SNAPSHOT_EVERY: u64 = 100_000;
const DEFAULT_SNAPSHOT_MAX_AGE: Duration = Duration::from_secs(3600);
const MAX_SNAPSHOT_MAX_AGE_S: u64 = 604_800;

/// Settings of `wagtailreel entry`.
#[derive(Clone, Debug)]
pub struct EntrySettings {
    /// Name of the VM.
    pub vm: VmId,
    /// Data centre of the VM.
    pub data_centre: DataCentre,
    /// Region of the data centre.
    pub region: Region,
    /// Where the entry listens.
    pub listen: EntryListen,
    /// Where the platform's services are.
    pub platform: EntryPlatform,
    /// Control addresses of entries to ask when the list of VMs is away.
    pub seeds: Vec<SocketAddr>,
    /// How long a lease lasts that the entry grants to an agent.
    pub lease: Duration,
    /// Longest body of a caller's request, in bytes.
    pub body_limit: u64,
    /// The teams that may administer services.
    pub teams: Vec<TeamSettings>,
    /// The customers that may call services.
    pub customers: Vec<CustomerSettings>,
    /// Orders that run at most once.
    pub orders: OrderSettings,
    /// The configuration's log.
    pub config: ConfigSettings,
}

/// Where an entry listens.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryListen {
    /// For callers.
    pub callers: SocketAddr,
    /// For administration.
    pub admin: SocketAddr,
    /// For the system's other processes.
    pub control: SocketAddr,
}

/// Where the platform's services are for an entry, each as `http://IP:PORT`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryPlatform {
    /// The log service.
    pub log: String,
    /// The list of VMs.
    pub vms: String,
}

/// A team that may administer services. Its debug output leaves out the hash.
#[derive(Clone, PartialEq, Eq)]
pub struct TeamSettings {
    /// Name of the team.
    pub name: TeamName,
    /// Digest of the team's token.
    pub token_hash: Digest,
    /// The services that the team may own.
    pub services: Vec<ServiceName>,
}

impl fmt::Debug for TeamSettings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("TeamSettings")
            .field("name", &self.name)
            .field("services", &self.services)
            .finish_non_exhaustive()
    }
}

/// A customer that may call services. Its debug output leaves out the hash.
#[derive(Clone, PartialEq, Eq)]
pub struct CustomerSettings {
    /// Name of the customer.
    pub name: CustomerId,
    /// Digest of the customer's key.
    pub key_hash: Digest,
}

impl fmt::Debug for CustomerSettings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("CustomerSettings")
            .field("name", &self.name)
            .finish_non_exhaustive()
    }
}

/// Orders that run at most once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderSettings {
    /// How long an order's key is honoured.
    pub window: Duration,
}

/// The configuration's log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigSettings {
    /// Records between snapshots.
    pub snapshot_every: u64,
    /// Longest time between snapshots; far less than the log keeps records.
    pub snapshot_max_age: Duration,
}

impl EntrySettings {
    /// Reads and checks the settings of an entry.
    ///
    /// # Errors
    ///
    /// Returns every mistake with its place and the remedy.
    pub fn from_yaml(text: &str) -> Result<Self, SettingsErrors> {
        read_root(text, read).map_err(|problems| SettingsErrors { problems })
    }

    /// Makes the keyring of the teams' tokens.
    pub fn team_keyring(&self) -> Keyring {
        let teams = self.teams.iter();
        Keyring::new(
            teams
                .map(|team| (team.name.clone(), team.token_hash))
                .collect(),
        )
    }

    /// Makes the keyring of the customers' keys.
    pub fn customer_keyring(&self) -> Keyring {
        let customers = self.customers.iter();
        let entry = |customer: &CustomerSettings| (customer.name.clone(), customer.key_hash);
        Keyring::new(customers.map(entry).collect())
    }
}

fn read(mut f: Fields<'_>, problems: &mut Problems) -> Option<EntrySettings> {
    let vm = f.required("vm", problems, values::name);
    let data_centre = f.required("data_centre", problems, values::name);
    let region = f.required("region", problems, values::name);
    let listen = f.required("listen", problems, listen);
    let platform = f.required("platform", problems, platform);
    let seeds = f.optional("seeds", problems, Vec::new(), |at, problems| {
        values::list(at, problems, values::address)
    });
    let lease = f.optional("lease_ms", problems, DEFAULT_LEASE, |at, problems| {
        values::milliseconds(at, problems, 100..=2000)
    });
    let body_limit = f.optional(
        "body_limit",
        problems,
        DEFAULT_BODY_LIMIT,
        |at, problems| values::whole(at, problems, "bytes", 1..=MAX_BODY_LIMIT),
    );
    let teams = f.required("teams", problems, teams);
    let customers = f.required("customers", problems, customers);
    let orders = f.optional("orders", problems, default_orders(), orders);
    let config = f.optional("config", problems, default_config(), config);
    f.finish(problems);
    Some(EntrySettings {
        vm: vm?,
        data_centre: data_centre?,
        region: region?,
        listen: listen?,
        platform: platform?,
        seeds: seeds?,
        lease: lease?,
        body_limit: body_limit?,
        teams: teams?,
        customers: customers?,
        orders: orders?,
        config: config?,
    })
}

fn listen(at: &At<'_>, problems: &mut Problems) -> Option<EntryListen> {
    let mut f = Fields::new(At::new(at.place.clone(), at.node), problems)?;
    let mut all = Vec::new();
    let mut read = |at: &At<'_>, problems: &mut Problems| listener(at, problems, &mut all);
    let callers = f.required("callers", problems, &mut read);
    let admin = f.required("admin", problems, &mut read);
    let control = f.required("control", problems, &mut read);
    f.finish(problems);
    check_listeners(&all, problems);
    Some(EntryListen {
        callers: callers?,
        admin: admin?,
        control: control?,
    })
}

fn platform(at: &At<'_>, problems: &mut Problems) -> Option<EntryPlatform> {
    let mut f = Fields::new(At::new(at.place.clone(), at.node), problems)?;
    let log = f.required("log", problems, values::url);
    let vms = f.required("vms", problems, values::url);
    f.finish(problems);
    Some(EntryPlatform {
        log: log?,
        vms: vms?,
    })
}

/// What a list has had so far, with the place of each.
type Seen<K> = BTreeMap<K, String>;

/// Notes `value` if an earlier item had it. `what` and `remedy` say what that means.
fn check_new<K>(at: &At<'_>, problems: &mut Problems, seen: &mut Seen<K>, value: K, remedy: &str)
where
    K: Ord,
{
    if let Some(place) = seen.get(&value) {
        let what = format!("`{place}` has the same value");
        at.problem(problems, what, remedy);
        return;
    }
    seen.insert(value, at.place.clone());
}

fn teams(at: &At<'_>, problems: &mut Problems) -> Option<Vec<TeamSettings>> {
    let mut names = Seen::new();
    let mut hashes = Seen::new();
    let mut owned = Seen::new();
    values::list(at, problems, |at, problems| {
        let mut f = Fields::new(At::new(at.place.clone(), at.node), problems)?;
        let name = f.required("name", problems, |at, problems| {
            new_name(at, problems, &mut names)
        });
        let token_hash = f.required("token_hash", problems, |at, problems| {
            new_hash(at, problems, &mut hashes)
        });
        let services = f.required("services", problems, |at, problems| {
            values::list(at, problems, |at, problems| {
                let service = values::name(at, problems)?;
                let remedy = "give each service to one team, once";
                check_new(at, problems, &mut owned, service.clone(), remedy);
                Some(service)
            })
        });
        f.finish(problems);
        Some(TeamSettings {
            name: name?,
            token_hash: token_hash?,
            services: services?,
        })
    })
}

fn customers(at: &At<'_>, problems: &mut Problems) -> Option<Vec<CustomerSettings>> {
    let mut names = Seen::new();
    let mut hashes = Seen::new();
    values::list(at, problems, |at, problems| {
        let mut f = Fields::new(At::new(at.place.clone(), at.node), problems)?;
        let name = f.required("name", problems, |at, problems| {
            new_name(at, problems, &mut names)
        });
        let key_hash = f.required("key_hash", problems, |at, problems| {
            new_hash(at, problems, &mut hashes)
        });
        f.finish(problems);
        Some(CustomerSettings {
            name: name?,
            key_hash: key_hash?,
        })
    })
}

fn new_name(at: &At<'_>, problems: &mut Problems, seen: &mut Seen<String>) -> Option<String> {
    let name = values::name(at, problems)?;
    check_new(at, problems, seen, name.clone(), "take a name for each");
    Some(name)
}

/// Reads a hash. Two holders of one token could not be told apart.
fn new_hash(at: &At<'_>, problems: &mut Problems, seen: &mut Seen<Digest>) -> Option<Digest> {
    let hash = values::hash(at, problems)?;
    check_new(at, problems, seen, hash, "give out a token for each");
    Some(hash)
}

fn default_orders() -> OrderSettings {
    OrderSettings {
        window: DEFAULT_WINDOW,
    }
}

fn orders(at: &At<'_>, problems: &mut Problems) -> Option<OrderSettings> {
    let mut f = Fields::new(At::new(at.place.clone(), at.node), problems)?;
    let window = f.optional("window_s", problems, DEFAULT_WINDOW, |at, problems| {
        values::seconds(at, problems, 1..=MAX_WINDOW_S)
    });
    f.finish(problems);
    Some(OrderSettings { window: window? })
}

fn default_config() -> ConfigSettings {
    ConfigSettings {
        snapshot_every: DEFAULT_SNAPSHOT_EVERY,
        snapshot_max_age: DEFAULT_SNAPSHOT_MAX_AGE,
    }
}

fn config(at: &At<'_>, problems: &mut Problems) -> Option<ConfigSettings> {
    let mut f = Fields::new(At::new(at.place.clone(), at.node), problems)?;
    let default = DEFAULT_SNAPSHOT_EVERY;
    let snapshot_every = f.optional("snapshot_every", problems, default, |at, problems| {
        values::whole(at, problems, "records", 1..=MAX_SNAPSHOT_EVERY)
    });
    let default = DEFAULT_SNAPSHOT_MAX_AGE;
    let max_age = f.optional("snapshot_max_age_s", problems, default, |at, problems| {
        values::seconds(at, problems, 1..=MAX_SNAPSHOT_MAX_AGE_S)
    });
    f.finish(problems);
    Some(ConfigSettings {
        snapshot_every: snapshot_every?,
        snapshot_max_age: max_age?,
    })
}
