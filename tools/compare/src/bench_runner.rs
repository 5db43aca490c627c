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

/// The template of the settings, within the repository.
const TEMPLATE: &str = "deploy/settings.ini";

/// Why a comparison ends early.
#[derive(Debug)]
#[derive(Snafu)]
pub(crate) enum BenchError {
    /// A program could not be run.
    #[snafu(display("cannot run {program}: {source}; name a program that exists"))]
    Run {
        /// The program.
        program: String,
        /// What the system said.
        source: io::Error,
    },
    /// A program failed.
    #[snafu(display("{program} failed: {output}"))]
    Failed {
        /// The program.
        program: String,
        /// What it wrote.
        output: String,
    },
    /// A file could not be read or written.
    #[snafu(display("cannot use {}: {source}", path.display()))]
    File {
        /// The file.
        path: PathBuf,
        /// What the system said.
        source: io::Error,
    },
    /// A run printed no figures.
    #[snafu(display("no figures in what the bench wrote: {output}"))]
    NoFigures {
        /// What it wrote.
        output: String,
    },
}

/// A clone of the repository in which days are played.
pub(crate) struct BenchRunner {
    bench: PathBuf,
    work: PathBuf,
    /// The template as it stands in the repository.
    template: String,
}

impl BenchRunner {
    /// Makes the clone where there is none.
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

    /// Writes the template of a variant into the clone.
    pub(crate) fn apply_variant(&self, variant: &str) -> Result<(), BenchError> {
        let settings = match variant {
            "none" => String::new(),
            path => fs::read_to_string(path).context(FileSnafu { path })?,
        };
        let path = self.work.join(TEMPLATE);
        let text = add_variant(&self.template, &settings);
        fs::write(&path, text).context(FileSnafu { path })
    }

    /// Plays a day; its entry in the clone's journal names the variant.
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
            eprintln!("the clone keeps the settings of the last variant: {error}");
        }
    }
}

/// The template of the settings with those of a variant below it.
pub(crate) fn add_variant(template: &str, variant: &str) -> String {
    format!("{}\n\n{}\n", template.trim_end(), variant.trim())
}

fn output_of(command: &mut Command) -> Result<String, BenchError> {
    let program = command.get_program().to_string_lossy().into_owned();
    let ended = command.output().context(RunSnafu { program: &program })?;
    let output = String::from_utf8_lossy(&ended.stdout).into_owned();
    // A day that breaks a rule ends with a failure, and its figures count.
    let has_figures = RunFigures::read(&output).is_some();
    ensure!(
        ended.status.success() || has_figures,
        FailedSnafu { program, output }
    );
    Ok(output)
}
