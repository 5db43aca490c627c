use std::path::PathBuf;

use clap::{
    Args,
    Parser,
    Subcommand,
    ValueEnum, //
};
use clap_complete::Shell;
use ragwortroad_timeline::EventKind;

/// A router fleet for very many returning chats.
#[derive(Debug)]
#[derive(Parser)]
#[command(name = "ragwortroad", version, max_term_width = 100)]
#[command(after_help = "\
Exit status:
  0  done
  1  something that must hold did not, or the fleet refused
  2  the command line or the settings have faults; nothing was started
  3  a network address, file or key could not be used

Examples:
  ragwortroad demo
  ragwortroad keys --fleet lagos --out keys node-1 node-2 node-3
  ragwortroad check --settings node-1.ini
  ragwortroad serve --settings node-1.ini
  ragwortroad ask --node 127.0.0.1:8001 --key operator.key 'show endpoints'")]
pub(crate) struct CommandLine {
    /// What to do.
    #[command(subcommand)]
    pub(crate) command: CommandKind,
}

/// The subcommands.
#[derive(Debug)]
#[derive(Subcommand)]
pub(crate) enum CommandKind {
    /// Run one node of the fleet; SIGTERM or SIGINT drains it.
    Serve(SettingsFile),
    /// Run an edge of a fleet that forwards by host and path; SIGTERM or SIGINT drains it.
    Edge(SettingsFile),
    /// Run a registry of a fleet that forwards by host and path; it holds the configuration.
    Registry(SettingsFile),
    /// Run a directory, which tells callers the edges of a fleet that forwards by host and path.
    Directory(SettingsFile),
    /// Report every fault of a settings file; start nothing.
    Check(SettingsFile),
    /// Run three nodes with stand-in endpoints on loopback, and check what callers saw.
    Demo(DemoOptions),
    /// Run stand-in engines and services that announce themselves to a fleet.
    Standin(StandinOptions),
    /// Send open-loop load to a fleet and report what callers saw.
    Load(LoadOptions),
    /// Ask the fleet what is true now.
    Ask(OperatorOptions),
    /// Change the fleet's configuration; returns once the change is in force everywhere.
    Change(ChangeOptions),
    /// Gather the time line of events from all nodes that can be reached.
    Timeline(TimelineOptions),
    /// Print one request's way through the log files of edges, in the order of time.
    Explain(ExplainOptions),
    /// Make the certificates and keys with which nodes prove themselves to each other.
    Keys(KeyOptions),
    /// Run the decision bench: real decision code, small fakes, one seed.
    Bench(BenchOptions),
    /// Print one self-contained HTML page with plots of measurement files.
    Report(ReportOptions),
    /// Print shell completions.
    Completions(CompletionOptions),
}

/// Which settings to use.
#[derive(Debug)]
#[derive(Args)]
pub(crate) struct SettingsFile {
    /// INI file of this process.
    #[arg(long, value_name = "FILE")]
    pub(crate) settings: PathBuf,
}

/// Which request to explain.
#[derive(Debug, Args)]
pub(crate) struct ExplainOptions {
    /// Identity of the caller's attempt.
    #[arg(value_name = "ID")]
    pub(crate) request: String,
    /// Log files, one of each process.
    #[arg(value_name = "FILE", required = true)]
    pub(crate) files: Vec<PathBuf>,
}

/// How to reach the fleet as an operator.
#[derive(Debug)]
#[derive(Args)]
pub(crate) struct OperatorAccess {
    /// Any node, as IP:port; the next one given is asked where one does not answer.
    #[arg(long, value_name = "IP:PORT", required = true)]
    pub(crate) node: Vec<String>,
    /// File with the operator's key.
    #[arg(long, value_name = "FILE")]
    pub(crate) key: PathBuf,
}

/// A question.
#[derive(Debug)]
#[derive(Args)]
#[command(after_help = "\
Examples:
  ragwortroad ask --node 127.0.0.1:8001 --key operator.key 'show customers'
  ragwortroad ask --node 127.0.0.1:8001 --key operator.key 'show engines where zone = lagos-yaba'")]
pub(crate) struct OperatorOptions {
    #[command(flatten)]
    pub(crate) access: OperatorAccess,
    /// The question, in the operators' language.
    pub(crate) line: String,
    /// Print the answer as JSON.
    #[arg(long)]
    pub(crate) json: bool,
}

/// A change.
#[derive(Debug)]
#[derive(Args)]
#[command(after_help = "\
A change whose answer was lost may be sent again with the same --id: it is made once, and the
resend returns the first outcome.

Examples:
  ragwortroad change --node 127.0.0.1:8001 --key operator.key 'set multiple 1.25'
  ragwortroad change --node 127.0.0.1:8001 --key operator.key --id drain-7 'drain endpoint tutor-7'")]
pub(crate) struct ChangeOptions {
    #[command(flatten)]
    pub(crate) question: OperatorOptions,
    /// Identity of the change; drawn at random and printed where it is not given.
    #[arg(long, value_name = "ID")]
    pub(crate) id: Option<String>,
}

/// The demonstration.
#[derive(Debug)]
#[derive(Args)]
pub(crate) struct DemoOptions {
    /// Seed of all that is random in it.
    #[arg(long, default_value_t = 1)]
    pub(crate) seed: u64,
    /// Chats to send.
    #[arg(long, default_value_t = 300)]
    pub(crate) chats: u32,
    /// Bookings to send.
    #[arg(long, default_value_t = 60)]
    pub(crate) bookings: u32,
    /// Print the report as JSON.
    #[arg(long)]
    pub(crate) json: bool,
}

/// Stand-ins.
#[derive(Debug)]
#[derive(Args)]
#[command(after_help = "\
Example:
  ragwortroad standin --announce 127.0.0.1:8001 --join-secret join.secret --engines 12 --services 3")]
pub(crate) struct StandinOptions {
    /// Nodes to announce to first, as IP:port.
    #[arg(long, value_name = "IP:PORT", required = true)]
    pub(crate) announce: Vec<String>,
    /// File with the join secret.
    #[arg(long, value_name = "FILE")]
    pub(crate) join_secret: PathBuf,
    /// Engines to run.
    #[arg(long, default_value_t = 4)]
    pub(crate) engines: u32,
    /// Model the engines hold.
    #[arg(long, default_value = "caption-llm")]
    pub(crate) model: String,
    /// Replicas of the plain service to run.
    #[arg(long, default_value_t = 1)]
    pub(crate) services: u32,
    /// Name of the plain service.
    #[arg(long, default_value = "studio-desk")]
    pub(crate) service: String,
    /// Zones to spread them over.
    #[arg(long, value_delimiter = ',', default_value = "zone-a,zone-b,zone-c")]
    pub(crate) zones: Vec<String>,
    /// Prefix of the endpoints' names.
    #[arg(long, default_value = "standin")]
    pub(crate) name: String,
    /// Stop after this many seconds; 0 waits for SIGTERM.
    #[arg(long, default_value_t = 0)]
    pub(crate) seconds: u64,
}

/// Load.
#[derive(Debug)]
#[derive(Args)]
pub(crate) struct LoadOptions {
    /// Nodes to ask for addresses, as IP:port.
    #[arg(long, value_name = "IP:PORT", required = true)]
    pub(crate) node: Vec<String>,
    /// File with one 'customer key' a line.
    #[arg(long, value_name = "FILE")]
    pub(crate) customers: PathBuf,
    /// Arrivals a second.
    #[arg(long, default_value_t = 20.0)]
    pub(crate) rate: f64,
    /// How long to send.
    #[arg(long, default_value_t = 10)]
    pub(crate) seconds: u64,
    /// Model to ask.
    #[arg(long, default_value = "caption-llm")]
    pub(crate) model: String,
    /// Plain service to book at.
    #[arg(long, default_value = "studio-desk")]
    pub(crate) service: String,
    /// Seed of the arrivals.
    #[arg(long, default_value_t = 1)]
    pub(crate) seed: u64,
    /// How many customers, the first of the file, surge in the middle third of the run.
    #[arg(long, default_value_t = 0)]
    pub(crate) surge_customers: usize,
    /// By how much the surging customers' chats multiply.
    #[arg(long, default_value_t = 5.0)]
    pub(crate) surge_factor: f64,
    /// Print the report as JSON.
    #[arg(long)]
    pub(crate) json: bool,
}

/// Time line.
#[derive(Debug)]
#[derive(Args)]
#[command(after_help = "\
Examples:
  ragwortroad timeline --node 127.0.0.1:8001 --key operator.key --format html > line.html
  ragwortroad timeline --node 127.0.0.1:8001 --key operator.key --request 00c3b1a2d4e5f607
  ragwortroad timeline --node 127.0.0.1:8001 --key operator.key --kind leader_elected")]
pub(crate) struct TimelineOptions {
    #[command(flatten)]
    pub(crate) access: OperatorAccess,
    /// The form to print.
    #[arg(long, value_enum, default_value_t = TimelineFormat::Text)]
    pub(crate) format: TimelineFormat,
    /// Only events of this request, as its 16 hexadecimal digits.
    #[arg(long, value_name = "HEX")]
    pub(crate) request: Option<String>,
    /// Only events of this customer.
    #[arg(long, value_name = "NAME")]
    pub(crate) customer: Option<String>,
    /// Only events of this chat of the customer.
    #[arg(long, value_name = "NAME", requires = "customer")]
    pub(crate) chat: Option<String>,
    /// Only events of this endpoint.
    #[arg(long, value_name = "NAME")]
    pub(crate) endpoint: Option<String>,
    /// Only events of this kind; may be given several times.
    #[arg(long, value_name = "KIND")]
    pub(crate) kind: Vec<EventKind>,
    /// Only events from this time on, in milliseconds since 1970.
    #[arg(long, value_name = "MS")]
    pub(crate) from_ms: Option<u64>,
    /// Only events before this time, in milliseconds since 1970.
    #[arg(long, value_name = "MS")]
    pub(crate) until_ms: Option<u64>,
}

/// How a time line is printed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(ValueEnum)]
pub(crate) enum TimelineFormat {
    /// One line an event.
    Text,
    /// One JSON object.
    Json,
    /// The trace-event format, which common trace viewers open.
    Trace,
    /// One self-contained page.
    Html,
}

/// Keys.
#[derive(Debug)]
#[derive(Args)]
pub(crate) struct KeyOptions {
    /// The fleet's name.
    #[arg(long)]
    pub(crate) fleet: String,
    /// Folder to write to; one folder a node is made in it.
    #[arg(long, value_name = "FOLDER")]
    pub(crate) out: PathBuf,
    /// Names of the nodes.
    #[arg(required = true)]
    pub(crate) nodes: Vec<String>,
}

/// Decision bench.
#[derive(Debug)]
#[derive(Args)]
pub(crate) struct BenchOptions {
    /// ljosmynd, splashmark or target.
    #[arg(long, default_value = "ljosmynd")]
    pub(crate) workload: String,
    /// calm, all, or some of churn, differing_views, surge, late_reports, event_gaps, zone_loss,
    /// node_restarts, joined by '+'.
    #[arg(long, default_value = "churn")]
    pub(crate) disturbances: String,
    /// Multiple of the workload's arrivals.
    #[arg(long, default_value_t = 1.0)]
    pub(crate) load_factor: f64,
    /// Seconds before the measured time.
    #[arg(long, default_value_t = 120)]
    pub(crate) warm_seconds: u64,
    /// Seconds measured.
    #[arg(long, default_value_t = 240)]
    pub(crate) seconds: u64,
    /// Seed of the run.
    #[arg(long, default_value_t = 7)]
    pub(crate) seed: u64,
    /// Print the report as JSON.
    #[arg(long)]
    pub(crate) json: bool,
}

/// Report.
#[derive(Debug)]
#[derive(Args)]
#[command(after_help = "\
Example:
  ragwortroad bench --json > bench.json && ragwortroad report bench.json > report.html")]
pub(crate) struct ReportOptions {
    /// Files with the output of 'load --json', 'demo --json' or 'bench --json'.
    #[arg(required = true, value_name = "FILE")]
    pub(crate) files: Vec<PathBuf>,
}

/// Shell completions.
#[derive(Debug)]
#[derive(Args)]
pub(crate) struct CompletionOptions {
    /// The shell.
    pub(crate) shell: Shell,
}
