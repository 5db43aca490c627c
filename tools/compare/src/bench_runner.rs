use std::{
    fs,
    io,
    path::{
        Path,
        PathBuf, //
    },
    process::Command, //
};

use snafu::{
    OptionExt,
    ResultExt,
    Snafu,
    ensure, //
};

use crate::{
    command_line::CommandLine,
    run_figures::RunFigures, //
};

/// Path of the settings template within the repository.
const TEMPLATE: &str = "deploy/settings.ini";

/// Why a comparison ended early.
#[derive(Debug)]
#[derive(Snafu)]
pub(crate) enum BenchError {
    /// A program could not be started.
    #[snafu(display("cannot run {program}: {source}; name a program that exists"))]
    Run {
        /// Path or name of the program.
        program: String,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A program exited with a failure.
    #[snafu(display("{program} failed: {output}"))]
    Failed {
        /// Path or name of the program.
        program: String,
        /// Standard output of the program.
        output: String,
    },
    /// A file could not be read or written.
    #[snafu(display("cannot access {}: {source}", path.display()))]
    File {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A benchmark run printed no figures.
    #[snafu(display("the benchmark printed no figures: {output}"))]
    NoFigures {
        /// Standard output of the run.
        output: String,
    },
}

/// Runs benchmarks in a clone of the repository.
pub(crate) struct BenchRunner {
    bench: PathBuf,
    work: PathBuf,
    /// The committed settings template.
    template: String,
}

impl BenchRunner {
    /// Creates the clone if it does not exist.
    pub(crate) fn prepare(line: &CommandLine) -> Result<Self, BenchError> {
        if !line.work.is_dir() {
            let mut clone = Command::new("git");
            clone.args(["clone", "--quiet", "."]).arg(&line.work);
            output_of(&mut clone)?;
        }
        let mut show = Command::new("git");
        let head = format!("HEAD:{TEMPLATE}");
        show.arg("-C").arg(&line.work).args(["show", &head]);
        Ok(Self {
            bench: line.bench.clone(),
            work: line.work.clone(),
            template: output_of(&mut show)?,
        })
    }

    /// Writes the template with the settings of a variant into the clone.
    pub(crate) fn apply_variant(&self, variant: &str) -> Result<(), BenchError> {
        let settings = match variant {
            "none" => String::new(),
            path => fs::read_to_string(path).context(FileSnafu { path })?,
        };
        let path = self.work.join(TEMPLATE);
        let text = add_variant(&self.template, &settings);
        fs::write(&path, text).context(FileSnafu { path })
    }

    /// Plays a day; its journal entry in the clone names the variant.
    pub(crate) fn run(
        &self,
        variant: &str,
        site: &Path,
        day: &str,
        seed: u64,
    ) -> Result<RunFigures, BenchError> {
        let mut run = Command::new(&self.bench);
        run.current_dir(&self.work).arg("run").arg(site).arg(day);
        run.args(["--jobs", "1", "--seed", &seed.to_string()]);
        run.args(["--why", &format!("comparison: way {variant}")]);
        let output = output_of(&mut run)?;
        RunFigures::read(&output).context(NoFiguresSnafu { output })
    }
}

impl Drop for BenchRunner {
    fn drop(&mut self) {
        if let Err(error) = self.apply_variant("none") {
            eprintln!("cannot restore the settings template of the clone: {error}");
        }
    }
}

/// Appends the settings of a variant to the settings template.
pub(crate) fn add_variant(template: &str, variant: &str) -> String {
    format!("{}\n\n{}\n", template.trim_end(), variant.trim())
}

fn output_of(command: &mut Command) -> Result<String, BenchError> {
    let program = command.get_program().to_string_lossy().into_owned();
    let ended = command.output().context(RunSnafu { program: &program })?;
    let output = String::from_utf8_lossy(&ended.stdout).into_owned();
    // A day that violates a rule exits with a failure, but its figures count.
    let has_figures = RunFigures::read(&output).is_some();
    ensure!(
        ended.status.success() || has_figures,
        FailedSnafu { program, output }
    );
    Ok(output)
}
