//! The command line of the fleet rig: long runs, measurements and capacity tables.

use clap::{Parser, Subcommand, ValueEnum};
use spanspur_fleet_rig::{Plan, capacity, data_path, measure, scale, soak};
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::{Duration, Instant};

/// Tests and measures fleets: long runs, costs and how they grow with size.
#[derive(Parser)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Runs real processes under seeded kills, pauses, network partitions and orderly shutdowns. 100 seeds of a minute
    /// each, ten at a time, take about 12 minutes.
    Real {
        /// The balancer's executable.
        #[arg(default_value = "target/release/spanspur")]
        program: String,
        /// The first seed.
        #[arg(long, default_value_t = 0)]
        first: u64,
        /// The number of seeds.
        #[arg(long, default_value_t = 100)]
        seeds: u64,
        /// The time in seconds for which faults are injected with each seed.
        #[arg(long, default_value_t = 60)]
        seconds: u64,
        /// The number of concurrent runs.
        #[arg(long, default_value_t = 10)]
        jobs: usize,
    },
    /// Runs a large cluster in virtual time, by default 50 instances with 10,000 leases for more than a million terms.
    Large {
        /// The seed of the run.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// The number of instances.
        #[arg(long, default_value_t = 50)]
        instances: usize,
        /// The number of leases.
        #[arg(long, default_value_t = 10_000)]
        duties: usize,
        /// The least number of terms to run, over all leases.
        #[arg(long, default_value_t = 1_000_000)]
        periods: u64,
        /// Traces one lease, given by the hexadecimal id in a reported violation, and all faults.
        #[arg(long, value_parser = |text: &str| u64::from_str_radix(text, 16))]
        watch: Option<u64>,
    },
    /// Measures the distribution of entries from nine control instances to 2,100 balancers, in virtual time or over
    /// sockets.
    Distribution {
        /// The part to run.
        #[arg(value_enum, default_value_t = Distribution::All)]
        part: Distribution,
        /// The folder for the results.
        #[arg(long, default_value = "docs/measured")]
        folder: PathBuf,
        /// For `seeds` and `all`: the number of seeds.
        #[arg(long, default_value_t = 100)]
        seeds: u64,
        /// For `seeds` and `all`: the first seed.
        #[arg(long, default_value_t = 0)]
        first: u64,
        /// For `seeds` and `all`: the number of balancers in each run.
        #[arg(long, default_value_t = 100)]
        followers: usize,
        /// For `seeds` and `all`: the number of concurrent runs.
        #[arg(long, default_value_t = 3)]
        jobs: usize,
    },
    /// Computes the tables of docs/CAPACITY.md, for the size expected in two years, from the measured series and the
    /// assumptions.
    Capacity {
        /// The root of the workspace.
        #[arg(default_value = ".")]
        root: PathBuf,
        /// Writes nothing, and fails if the page differs from the computed one.
        #[arg(long)]
        check: bool,
    },
    /// Measures the costs and takeover times of leases, and writes data, a table and charts.
    Measure {
        /// The folder for the results.
        #[arg(default_value = "docs/measured")]
        folder: PathBuf,
    },
    /// Measures the cost of a flat cluster, in which every instance knows every other, at several sizes, and writes
    /// series, a table and charts.
    Scale(scale::Args),
    /// Measures the cost of the data path, and writes series. Takes about two minutes.
    DataPath {
        /// The balancer's executable, a release build.
        #[arg(long, default_value = "target/release/spanspur")]
        program: String,
        /// The file whose series are replaced.
        #[arg(long, default_value = "docs/measured/scale.json")]
        file: PathBuf,
        /// The parts to measure, all by default: placement, list, group, delivery, opening, standing.
        parts: Vec<String>,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
enum Distribution {
    /// All parts that run in virtual time, one after another. Takes about 15 minutes.
    All,
    /// The delay until changes are in force.
    Delay,
    /// The cost at rest, by the number of balancers.
    Cost,
    /// Memory, and the time until a balancer is complete, by the number of entries.
    Entries,
    /// A region that is cut off for an hour.
    Cut,
    /// The start of many balancers at once.
    Start,
    /// Real loopback sockets in real time. Takes about 90 seconds; not part of `all`.
    Sockets,
    /// Seeded faults.
    Seeds,
    /// Writes the page and the charts again from the stored results.
    Page,
}

/// Counts the memory that the instances hold.
#[global_allocator]
static ALLOCATOR: &stats_alloc::StatsAlloc<std::alloc::System> = &stats_alloc::INSTRUMENTED_SYSTEM;

fn main() -> ExitCode {
    let passed = match Cli::parse().command {
        Command::Real {
            program,
            first,
            seeds,
            seconds,
            jobs,
        } => {
            let seeds = first..first + seeds;
            soak::run_many_real(&program, seeds, Duration::from_secs(seconds), jobs)
        }
        Command::Large {
            seed,
            instances,
            duties,
            periods,
            watch,
        } => {
            let plan = Plan {
                instances,
                voters: instances.min(9),
                leases: duties,
                interval: 10_000,
                ..Plan::default()
            };
            // A tenth more, for the terms that are missed during faults.
            let end = (periods / duties as u64 + 6) * plan.interval * 11 / 10;
            let start = Instant::now();
            let report = soak::run_large(seed, plan, end, watch);
            println!(
                "seed {seed}: {instances} instances, {duties} duties, {} acts in {} s of virtual time, {:.0} s of ours",
                report.acts,
                end / 1000,
                start.elapsed().as_secs_f64()
            );
            println!(
                "twice: {}, gaps of over one missed period: {}, single misses: {}, fenced: {}, longest {:.2} periods, closest {:.2}",
                report.duplicates.len(),
                report.gaps.len(),
                report.single_misses,
                report.fenced,
                report.longest_gap,
                report.shortest_term
            );
            for violation in report.duplicates.iter().chain(&report.gaps).take(20) {
                println!("  {violation}");
            }
            report.passed()
        }
        Command::Distribution {
            part,
            folder,
            seeds,
            first,
            followers,
            jobs,
        } => {
            use spanspur_fleet_rig::distribution::measure::{self, Part};
            let parts = match part {
                Distribution::All => vec![
                    Part::Cost,
                    Part::Entries,
                    Part::Delay,
                    Part::Start,
                    Part::Cut,
                ],
                Distribution::Delay => vec![Part::Delay],
                Distribution::Cost => vec![Part::Cost],
                Distribution::Entries => vec![Part::Entries],
                Distribution::Cut => vec![Part::Cut],
                Distribution::Start => vec![Part::Start],
                Distribution::Sockets => vec![Part::Sockets],
                Distribution::Seeds | Distribution::Page => vec![],
            };
            let mut results = parts.into_iter().map(|part| measure::run(&folder, part));
            let result = match (results.find(Result::is_err), part) {
                (Some(failed), _) => failed.map(|()| false),
                (None, Distribution::All | Distribution::Seeds) => {
                    measure::run_seeds(&folder, first, seeds, followers, jobs)
                }
                (None, Distribution::Page) => measure::write_page(&folder).map(|()| true),
                (None, _) => Ok(true),
            };
            result.unwrap_or_else(|error| {
                eprintln!("{error}");
                false
            })
        }
        Command::Capacity { root, check } => print_error(capacity::run(&root, check)),
        Command::DataPath {
            program,
            file,
            parts,
        } => print_error(data_path::run(&program, &file, &parts)),
        Command::Measure { folder } => print_error(measure::run(&folder)),
        Command::Scale(args) => print_error(scale::run(&args)),
    };
    match passed {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    }
}

/// Prints the error, if any, and returns whether there was none.
fn print_error(result: Result<(), String>) -> bool {
    if let Err(error) = &result {
        eprintln!("{error}");
    }
    result.is_ok()
}
