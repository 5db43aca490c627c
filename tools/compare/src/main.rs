//! Compares ways to decide: plays each on the same days, seeds and sites, and prints one table.
//!
//! A way is a file of settings that is put below the template of the settings, or `none` for what
//! stands there. The first way named is the one that the others are compared with.

mod command_line;
mod paired_difference;
mod play_bench;
mod play_figures;
#[cfg(test)]
mod tests;

use std::process::ExitCode;

use clap::Parser;

use command_line::CommandLine;
use paired_difference::PairedDifference;
use play_bench::{
    BenchError,
    PlayBench, //
};
use play_figures::PlayFigures;

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

/// Plays all that the command line names, and prints a row for each site and day.
fn compare(line: &CommandLine) -> Result<(), BenchError> {
    let bench = PlayBench::prepare(line)?;
    for site in &line.sites {
        for day in &line.days {
            let figures = play_ways(&bench, line, site, day)?;
            println!("{} {day}", site.display());
            print_rows(&line.ways, &figures);
        }
    }
    Ok(())
}

/// Figures of each way, in the order of the seeds.
fn play_ways(
    bench: &PlayBench,
    line: &CommandLine,
    site: &std::path::Path,
    day: &str,
) -> Result<Vec<Vec<PlayFigures>>, BenchError> {
    let mut figures = Vec::new();
    for way in &line.ways {
        bench.take_way(way)?;
        let plays = line.seeds.iter().map(|seed| {
            let play = bench.play(way, site, day, *seed)?;
            println!("  {way} seed {seed}: {play}");
            Ok(play)
        });
        figures.push(plays.collect::<Result<_, BenchError>>()?);
    }
    Ok(figures)
}

fn print_rows(ways: &[String], figures: &[Vec<PlayFigures>]) {
    let Some((base, others)) = figures.split_first() else {
        return;
    };
    for (way, plays) in ways.iter().skip(1).zip(others) {
        let of = |read: fn(&PlayFigures) -> f64| PairedDifference::of(base, plays, read);
        println!("  {way}: worth {}", of(|play| play.worth));
        println!("  {way}: served {}", of(|play| play.served));
        println!("  {way}: refused {}", of(|play| play.refused));
        println!("  {way}: failed {}", of(|play| play.failed));
    }
}
