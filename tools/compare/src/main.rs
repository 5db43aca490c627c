//! Compares routing variants: runs each on the same days, seeds and sites, and prints a table.
//!
//! A variant is a settings file that is appended to the settings template, or `none` for the
//! template alone. The first variant is the baseline of the comparison.

mod bench_runner;
mod command_line;
mod paired_difference;
mod run_figures;
#[cfg(test)]
mod tests;

use std::process::ExitCode;

use clap::Parser;

use bench_runner::{
    BenchError,
    BenchRunner, //
};
use command_line::CommandLine;
use paired_difference::PairedDifference;
use run_figures::RunFigures;

fn main() -> ExitCode {
    let line = CommandLine::parse();
    match compare(&line) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

/// Runs everything that the command line names, and prints rows for each site and day.
fn compare(line: &CommandLine) -> Result<(), BenchError> {
    let bench = BenchRunner::prepare(line)?;
    for site in &line.sites {
        for day in &line.days {
            let figures = run_variants(&bench, line, site, day)?;
            println!("{} {day}", site.display());
            print_rows(&line.ways, &figures);
        }
    }
    Ok(())
}

/// Returns the figures of each variant, in the order of the seeds.
fn run_variants(
    bench: &BenchRunner,
    line: &CommandLine,
    site: &std::path::Path,
    day: &str,
) -> Result<Vec<Vec<RunFigures>>, BenchError> {
    let mut figures = Vec::new();
    for variant in &line.ways {
        bench.apply_variant(variant)?;
        let runs = line.seeds.iter().map(|seed| {
            let run = bench.run(variant, site, day, *seed)?;
            println!("  {variant} seed {seed}: {run}");
            Ok(run)
        });
        figures.push(runs.collect::<Result<_, BenchError>>()?);
    }
    Ok(figures)
}

fn print_rows(ways: &[String], figures: &[Vec<RunFigures>]) {
    let Some((base, others)) = figures.split_first() else {
        return;
    };
    for (variant, runs) in ways.iter().skip(1).zip(others) {
        let of = |read: fn(&RunFigures) -> f64| PairedDifference::of(base, runs, read);
        println!("  {variant}: worth {}", of(|run| run.worth));
        println!("  {variant}: served {}", of(|run| run.served));
        println!("  {variant}: refused {}", of(|run| run.refused));
        println!("  {variant}: failed {}", of(|run| run.failed));
    }
}
