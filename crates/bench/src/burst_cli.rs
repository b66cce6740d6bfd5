//! The command line of the experiment on bursts.

use std::path::PathBuf;
use std::time::Duration;

use lexopt::prelude::*;
use snafu::ResultExt;
use wagtailreel_core::SpreadPolicy;

use crate::burst::{Burst, BurstOutcome, Fault, House, run_burst, to_json, to_svg, to_table};
use crate::cli::{list, write_file};
use crate::error::{BrokenSnafu, IoSnafu, Result};
use crate::fleet::FleetBinaries;

/// Policies by name, the baselines first.
const POLICIES: [(&str, SpreadPolicy); 4] = [
    ("origin", SpreadPolicy::Origin),
    ("chain", SpreadPolicy::Chain),
    ("tree", SpreadPolicy::Tree),
    ("balanced", SpreadPolicy::Balanced),
];

/// Which bursts are measured.
#[derive(Debug)]
pub(crate) struct BurstArgs {
    houses: Vec<House>,
    policies: Vec<SpreadPolicy>,
    faults: Vec<Fault>,
    window: Option<Duration>,
    length: Option<usize>,
    chunks: Option<usize>,
    out: PathBuf,
}

impl BurstArgs {
    /// Reads the options.
    ///
    /// # Errors
    ///
    /// Returns an error that names the option which is wrong.
    pub(crate) fn parse(mut parser: lexopt::Parser) -> Result<Self, lexopt::Error> {
        let mut args = Self {
            houses: House::ALL.to_vec(),
            policies: POLICIES.map(|it| it.1).to_vec(),
            faults: vec![Fault::None],
            window: None,
            length: None,
            chunks: None,
            out: PathBuf::from("out"),
        };
        while let Some(arg) = parser.next()? {
            match arg {
                Long("fleets") => args.houses = list(&parser.value()?.string()?, House::from_name)?,
                Long("policies") => {
                    args.policies = list(&parser.value()?.string()?, policy_from_name)?;
                }
                Long("faults" | "fault") => {
                    args.faults = list(&parser.value()?.string()?, Fault::from_name)?;
                }
                Long("window-s") => {
                    args.window = Some(Duration::from_secs(parser.value()?.parse()?));
                }
                Long("length-mib") => {
                    args.length = Some(parser.value()?.parse::<usize>()? << 20);
                }
                Long("chunks") => args.chunks = Some(parser.value()?.parse()?),
                Long("out") => args.out = parser.value()?.into(),
                other => return Err(other.unexpected()),
            }
        }
        Ok(args)
    }

    /// Measures every combination, one after the other, and writes the table, JSON and plot.
    ///
    /// # Errors
    ///
    /// Returns an error if a burst can't be measured or a rule was broken in one; the outcomes up
    /// to there are written all the same.
    pub(crate) async fn run(&self, binaries: FleetBinaries) -> Result<()> {
        std::fs::create_dir_all(&self.out).context(IoSnafu {
            what: format!("make {}", self.out.display()),
        })?;
        let mut outcomes = Vec::new();
        let mut failures = Vec::new();
        for burst in self.bursts() {
            let name = format!("{} {:?} {}", burst.house, burst.policy, burst.fault);
            eprintln!("measuring {name}");
            match run_burst(&burst, binaries.clone()).await {
                Ok(outcome) => {
                    if !outcome.holds() {
                        let first = outcome.first_problem.clone().unwrap_or_default();
                        failures.push(format!("{name}: a rule was broken: {first}"));
                    }
                    outcomes.push(outcome);
                }
                Err(error) => failures.push(format!("{name}: {error}")),
            }
            self.write(&outcomes)?;
        }
        print!("{}", to_table(&outcomes));
        if failures.is_empty() {
            return Ok(());
        }
        BrokenSnafu {
            what: failures.join("\n"),
        }
        .fail()
    }

    fn bursts(&self) -> Vec<Burst> {
        let mut bursts = Vec::new();
        for house in &self.houses {
            for policy in &self.policies {
                for fault in &self.faults {
                    let mut burst = Burst::new(*house, *policy).with_fault(*fault);
                    burst.window = self.window.unwrap_or(burst.window);
                    burst.length = self.length.unwrap_or(burst.length);
                    burst.chunks = self.chunks.unwrap_or(burst.chunks);
                    bursts.push(burst);
                }
            }
        }
        bursts
    }

    fn write(&self, outcomes: &[BurstOutcome]) -> Result<()> {
        write_file(&self.out.join("burst.md"), &to_table(outcomes))?;
        write_file(
            &self.out.join("burst.json"),
            &format!("{:#}\n", to_json(outcomes)),
        )?;
        write_file(&self.out.join("burst.svg"), &to_svg(outcomes))
    }
}

fn policy_from_name(name: &str) -> Option<SpreadPolicy> {
    POLICIES.into_iter().find(|it| it.0 == name).map(|it| it.1)
}
