//! Sends reports to each entry and receives directives in answer.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::sync::watch;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{sleep_until, timeout_at};
use wagtailreel_core::{Report, VmEntry, VmId};
use wagtailreel_wire::control_capnp::entry;
use wagtailreel_wire::{DirectiveMessage, Seen, read_directive, write_report, write_seen};

use super::FromEntry;
use super::shell::Shell;
use crate::ControlError;
use crate::link::Link;
use crate::metrics::Kind;
use crate::urgent::is_urgent;

/// Time-out of a report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time-out of a hanging call, in addition to the wait that the call asks for.
const WATCH_SLACK: Duration = Duration::from_millis(500);
/// Longest backoff between attempts to connect to an entry.
const MAX_BACKOFF: Duration = Duration::from_millis(500);

/// What the agent has received from one entry over the present connection.
#[derive(Default)]
struct ConnectionState {
    seen: Cell<Seen>,
    peers: RefCell<Vec<VmEntry>>,
}

/// One entry that the agent reports to.
struct Reporter {
    shell: Rc<Shell>,
    vm: VmId,
    link: Link<entry::Client>,
    conn: ConnectionState,
}

/// A reporter's tasks, aborted on drop.
struct ReporterTasks {
    addr: SocketAddr,
    tasks: [JoinHandle<()>; 2],
}

impl Drop for ReporterTasks {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

/// Sends reports to each of the configured entries until the last handle is dropped.
pub(crate) async fn run_reporters(shell: Rc<Shell>) {
    let mut entries = shell.entries();
    let mut running: BTreeMap<VmId, ReporterTasks> = BTreeMap::new();
    loop {
        let wanted: BTreeMap<VmId, SocketAddr> =
            entries.borrow_and_update().iter().cloned().collect();
        running.retain(|vm, it| wanted.get(vm) == Some(&it.addr));
        for (vm, addr) in wanted {
            running
                .entry(vm)
                .or_insert_with_key(|vm| start(&shell, vm, addr));
        }
        if entries.changed().await.is_err() {
            return;
        }
    }
}

fn start(shell: &Rc<Shell>, vm: &VmId, addr: SocketAddr) -> ReporterTasks {
    let link = Link::new(vm.clone(), addr, MAX_BACKOFF, shell.metrics().clone());
    let reporter = Rc::new(Reporter {
        shell: Rc::clone(shell),
        vm: vm.clone(),
        link,
        conn: ConnectionState::default(),
    });
    ReporterTasks {
        addr,
        tasks: [
            spawn_local(send_reports(Rc::clone(&reporter))),
            spawn_local(watch_entry(reporter)),
        ],
    }
}

/// Sends a report at each interval, and at once after an urgent change.
async fn send_reports(reporter: Rc<Reporter>) {
    let mut reports = reporter.shell.reports();
    loop {
        reporter.wait_for_link().await;
        reports.mark_unchanged();
        let Some(report) = reporter.shell.next_report() else {
            if reports.changed().await.is_err() {
                return;
            }
            continue;
        };
        let due = Instant::now() + reporter.shell.cfg.report_interval;
        // The link records a failure; the next report is sent in any case.
        let _ = reporter.report(&report).await;
        wait_until_urgent(&mut reports, &report, due).await;
    }
}

/// Waits until `due`, or until a report differs urgently from `sent`.
async fn wait_until_urgent(
    reports: &mut watch::Receiver<Option<Report>>,
    sent: &Report,
    due: Instant,
) {
    let urgent = reports.wait_for(|report| {
        report
            .as_ref()
            .is_some_and(|report| is_urgent(sent, report))
    });
    // The next report is due in both cases.
    let _ = timeout_at(due.into(), urgent).await;
}

/// Keeps one hanging call open at the entry, so that new directives arrive without delay.
async fn watch_entry(reporter: Rc<Reporter>) {
    let mut reports = reporter.shell.reports();
    loop {
        reporter.wait_for_link().await;
        let Some((vm, incarnation)) = identity(&reports.borrow_and_update()) else {
            if reports.changed().await.is_err() {
                return;
            }
            continue;
        };
        if reporter.watch(&vm, incarnation).await.is_err() {
            // The entry may have restarted, so what was received from it may be out of date.
            reporter.reset_conn();
        }
    }
}

fn identity(report: &Option<Report>) -> Option<(VmId, u64)> {
    report
        .as_ref()
        .map(|report| (report.vm.clone(), report.incarnation))
}

impl Reporter {
    /// Waits until the backoff after a failure has passed.
    async fn wait_for_link(&self) {
        while let Some(until) = self.link.retry_at() {
            sleep_until(until.into()).await;
        }
    }

    async fn report(&self, report: &Report) -> Result<(), ControlError> {
        let seen = self.conn.seen.get();
        // Read before the message is sent: the lease in the answer starts at this time.
        let sent_at = Instant::now();
        let metrics = self.shell.metrics();
        let call = |client: entry::Client| async move {
            let mut req = client.report_request();
            write_report(report, req.get().init_report());
            write_seen(&seen, req.get().init_seen());
            let words = req.get().into_reader().total_size()?.word_count;
            metrics.sent(Kind::Report, words);
            let response = req.send().promise.await?;
            let response = response.get()?;
            let words = response.total_size()?.word_count;
            metrics.received(Kind::Directive, words);
            Ok(read_directive(response.get_directive()?)?)
        };
        let message = self.link.call(REPORT_TIMEOUT, call).await?;
        self.on_directive(sent_at, message);
        Ok(())
    }

    async fn watch(&self, vm: &str, incarnation: u64) -> Result<(), ControlError> {
        let seen = self.conn.seen.get();
        let wait = self.shell.cfg.report_interval;
        let sent_at = Instant::now();
        let metrics = self.shell.metrics();
        let call = |client: entry::Client| async move {
            let mut req = client.watch_request();
            req.get().set_vm(vm);
            req.get().set_incarnation(incarnation);
            write_seen(&seen, req.get().init_seen());
            let micros = u64::try_from(wait.as_micros()).unwrap_or(u64::MAX);
            req.get().set_wait_micros(micros);
            let words = req.get().into_reader().total_size()?.word_count;
            metrics.sent(Kind::Watch, words);
            let response = req.send().promise.await?;
            let response = response.get()?;
            let words = response.total_size()?.word_count;
            metrics.received(Kind::Directive, words);
            Ok(read_directive(response.get_directive()?)?)
        };
        let message = self.link.call(wait + WATCH_SLACK, call).await?;
        self.on_directive(sent_at, message);
        Ok(())
    }

    /// Passes a directive to the agent, with the whole list of peers, and records what was received.
    fn on_directive(&self, sent_at: Instant, message: DirectiveMessage) {
        let DirectiveMessage {
            mut directive,
            peers_version,
            has_peers,
        } = message;
        let before = self.conn.seen.get();
        let mut seen = Seen {
            close_below: directive.close_below,
            open: directive.open,
            swap_to: directive.swap_to,
            revision: before.revision,
            peers_version: before.peers_version,
        };
        if has_peers {
            self.conn.peers.replace(directive.peers);
            seen.peers_version = peers_version;
        }
        directive.peers = self.conn.peers.borrow().clone();
        if let Some(state) = &directive.state {
            seen.revision = seen.revision.max(state.revision);
        }
        let taken = self.shell.deliver(FromEntry {
            entry: self.vm.clone(),
            sent_at,
            directive,
        });
        // The entry must resend a directive that the agent's queue did not accept.
        if taken {
            self.conn.seen.set(seen);
        }
    }

    fn reset_conn(&self) {
        self.conn.seen.set(Seen::default());
        self.conn.peers.replace(Vec::new());
    }
}
