//! Long runs and measurements of the fleet.

use clap::{Parser, Subcommand, ValueEnum};
use spanspur_fleet_rig::{Plan, capacity, data_path, measure, scale, soak};
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::{Duration, Instant};

/// The rig of the fleet: long runs, costs and slopes.
#[derive(Parser)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Real processes under seeded kills, freezes and cuts: 100 seeds of a minute, ten at a time, take about 12 min.
    Real {
        /// The balancer's program.
        #[arg(default_value = "target/release/spanspur")]
        program: String,
        /// The first seed.
        #[arg(long, default_value_t = 0)]
        first: u64,
        #[arg(long, default_value_t = 100)]
        seeds: u64,
        #[arg(long, default_value_t = 60)]
        seconds: u64,
        #[arg(long, default_value_t = 10)]
        jobs: usize,
    },
    /// 50 instances and 10,000 duties in virtual time, over a million duty periods.
    Large {
        #[arg(long, default_value_t = 1)]
        seed: u64,
        #[arg(long, default_value_t = 50)]
        instances: usize,
        #[arg(long, default_value_t = 10_000)]
        duties: usize,
        /// Duty periods to play at least.
        #[arg(long, default_value_t = 1_000_000)]
        periods: u64,
        /// Tells the course of one duty (the hexadecimal id that a fault names), and all faults.
        #[arg(long, value_parser = |text: &str| u64::from_str_radix(text, 16))]
        watch: Option<u64>,
    },
    /// The distribution from nine control instances to 2,100 balancers, in virtual time or over sockets.
    Distribution {
        /// What to play.
        #[arg(value_enum, default_value_t = Distribution::All)]
        part: Distribution,
        #[arg(long, default_value = "docs/measured")]
        folder: PathBuf,
        /// For `seeds`: how many, the first one, and the balancers of each.
        #[arg(long, default_value_t = 100)]
        seeds: u64,
        #[arg(long, default_value_t = 0)]
        first: u64,
        #[arg(long, default_value_t = 100)]
        followers: usize,
        #[arg(long, default_value_t = 3)]
        jobs: usize,
    },
    /// The size of two years: writes the tables of docs/CAPACITY.md from the measured series and the assumptions.
    Capacity {
        /// The workspace.
        #[arg(default_value = ".")]
        root: PathBuf,
        /// Writes nothing: fails where the page is not what the data comes to.
        #[arg(long)]
        check: bool,
    },
    /// Costs and take-over times: data, a table and charts.
    Measure {
        #[arg(default_value = "docs/measured")]
        folder: PathBuf,
    },
    /// What the flat cluster costs at stepped sizes: series, a table and charts.
    Scale(scale::Args),
    /// What the data path costs, as series: about two minutes.
    DataPath {
        /// The balancer's program, a release build.
        #[arg(long, default_value = "target/release/spanspur")]
        program: String,
        #[arg(long, default_value = "docs/measured/scale.json")]
        file: PathBuf,
        /// Only these: placement, list, group, delivery, opening, standing.
        parts: Vec<String>,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
enum Distribution {
    /// Every part of virtual time, one after another: about a quarter of an hour.
    All,
    /// Until changes are in force.
    Delay,
    /// Costs at rest, by balancers.
    Cost,
    /// Memory and time until full, by entries.
    Entries,
    /// A region cut off for an hour.
    Cut,
    /// The start of many at once.
    Start,
    /// Over real loopback sockets in real time, about a minute and a half; not among `all`.
    Sockets,
    /// Faults from seeds.
    Seeds,
    /// The page and the charts anew, from what is there.
    Page,
}

/// Counts what the instances keep.
#[global_allocator]
static ALLOCATOR: &stats_alloc::StatsAlloc<std::alloc::System> = &stats_alloc::INSTRUMENTED_SYSTEM;

fn main() -> ExitCode {
    let sound = match Cli::parse().command {
        Command::Real {
            program,
            first,
            seeds,
            seconds,
            jobs,
        } => {
            let seeds = first..first + seeds;
            soak::real_many(&program, seeds, Duration::from_secs(seconds), jobs)
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
                duties,
                every: 10_000,
                ..Plan::default()
            };
            // A tenth more, for what the faults leave undone.
            let end = (periods / duties as u64 + 6) * plan.every * 11 / 10;
            let start = Instant::now();
            let verdict = soak::large(seed, plan, end, watch);
            println!(
                "seed {seed}: {instances} instances, {duties} duties, {} acts in {} s of virtual time, {:.0} s of ours",
                verdict.acts,
                end / 1000,
                start.elapsed().as_secs_f64()
            );
            println!(
                "twice: {}, gaps of over one missed period: {}, single misses: {}, fenced: {}, longest {:.2} periods, closest {:.2}",
                verdict.twice.len(),
                verdict.gaps.len(),
                verdict.missed_one,
                verdict.fenced,
                verdict.longest,
                verdict.closest
            );
            for what in verdict.twice.iter().chain(&verdict.gaps).take(20) {
                println!("  {what}");
            }
            verdict.sound()
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
            let sized = match part {
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
            let mut played = sized.into_iter().map(|part| measure::run(&folder, part));
            let sound = match (played.find(Result::is_err), part) {
                (Some(failed), _) => failed.map(|()| false),
                (None, Distribution::All | Distribution::Seeds) => {
                    measure::run_seeds(&folder, first, seeds, followers, jobs)
                }
                (None, Distribution::Page) => measure::write_page(&folder).map(|()| true),
                (None, _) => Ok(true),
            };
            sound.unwrap_or_else(|what| {
                eprintln!("{what}");
                false
            })
        }
        Command::Capacity { root, check } => told(capacity::run(&root, check)),
        Command::DataPath {
            program,
            file,
            parts,
        } => told(data_path::run(&program, &file, &parts)),
        Command::Measure { folder } => told(measure::run(&folder)),
        Command::Scale(args) => told(scale::run(&args)),
    };
    match sound {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    }
}

fn told(done: Result<(), String>) -> bool {
    if let Err(what) = &done {
        eprintln!("{what}");
    }
    done.is_ok()
}
