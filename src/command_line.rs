use std::path::PathBuf;

use clap::{
    Args,
    Parser,
    Subcommand,
    ValueEnum, //
};
use clap_complete::Shell;
use ragwortroad_timeline::EventKind;

/// A distributed request router for large numbers of multi-turn chats.
#[derive(Debug)]
#[derive(Parser)]
#[command(name = "ragwortroad", version, max_term_width = 100)]
#[command(after_help = "\
Exit status:
  0  success
  1  a check failed, or the fleet refused the request
  2  invalid command line or settings; nothing was started
  3  a network address, file or key could not be used

Examples:
  ragwortroad demo
  ragwortroad keys --fleet lagos --out keys node-1 node-2 node-3
  ragwortroad check --settings node-1.ini
  ragwortroad serve --settings node-1.ini
  ragwortroad ask --node 127.0.0.1:8001 --key operator.key 'show endpoints'")]
pub(crate) struct CommandLine {
    #[command(subcommand)]
    pub(crate) command: CommandKind,
}

/// The subcommands; their doc comments are the help text.
#[derive(Debug)]
#[derive(Subcommand)]
pub(crate) enum CommandKind {
    /// Run one node of the fleet; SIGTERM or SIGINT drains it.
    Serve(SettingsFile),
    /// Run an edge of a fleet that routes by host and path; SIGTERM or SIGINT drains it.
    Edge(SettingsFile),
    /// Run a registry, which holds the configuration of a fleet that routes by host and path.
    Registry(SettingsFile),
    /// Run a directory, which tells clients the edges of a fleet that routes by host and path.
    Directory(SettingsFile),
    /// Report all errors in a settings file without starting anything.
    Check(SettingsFile),
    /// Found a group of registries anew after a majority of its voters was lost for good.
    Recover(RecoverOptions),
    /// Run three nodes with stand-in endpoints on loopback, and check what clients received.
    Demo(DemoOptions),
    /// Run stand-in engines and services that announce themselves to a fleet.
    Standin(StandinOptions),
    /// Send open-loop load to a fleet and report what clients received.
    Load(LoadOptions),
    /// Query the current state of the fleet.
    Ask(OperatorOptions),
    /// Change the fleet's configuration; returns once the change is in effect everywhere.
    Change(ChangeOptions),
    /// Collect the timeline of events from all reachable nodes.
    Timeline(TimelineOptions),
    /// Print the log entries of one request from the log files of edges, ordered by time.
    Explain(ExplainOptions),
    /// Generate the certificates and keys with which nodes authenticate each other.
    Keys(KeyOptions),
    /// Simulate routing decisions: real decision code, small fakes, one seed.
    Bench(BenchOptions),
    /// Print a self-contained HTML page with plots of measurement files.
    Report(ReportOptions),
    /// Print shell completions.
    Completions(CompletionOptions),
}

/// Options of the commands that read a settings file.
#[derive(Debug)]
#[derive(Args)]
pub(crate) struct SettingsFile {
    /// Settings of this process, in INI format.
    #[arg(long, value_name = "FILE")]
    pub(crate) settings: PathBuf,
}

/// Options of `recover`.
#[derive(Debug)]
#[derive(Args)]
#[command(after_help = "\
Without --found-group, only what the registry has on disk is printed. All registries must be stopped.

Example:
  ragwortroad recover --settings registry-2.ini --found-group")]
pub(crate) struct RecoverOptions {
    #[command(flatten)]
    pub(crate) file: SettingsFile,
    /// Make this registry the only voter. Configurations and drain orders that were acknowledged and
    /// are not on its disk are lost.
    #[arg(long)]
    pub(crate) found_group: bool,
}

/// Options of `explain`.
#[derive(Debug, Args)]
pub(crate) struct ExplainOptions {
    /// Request id that the client sent with its attempt.
    #[arg(value_name = "ID")]
    pub(crate) request: String,
    /// Log files, one for each process.
    #[arg(value_name = "FILE", required = true)]
    pub(crate) files: Vec<PathBuf>,
}

/// Options of the commands that connect to the fleet as an operator.
#[derive(Debug)]
#[derive(Args)]
pub(crate) struct OperatorAccess {
    /// Any node, as IP:port; if it does not answer, the next one given is tried.
    #[arg(long, value_name = "IP:PORT", required = true)]
    pub(crate) node: Vec<String>,
    /// File whose first line is the operator's key.
    #[arg(long, value_name = "FILE")]
    pub(crate) key: PathBuf,
}

/// Options of `ask`.
#[derive(Debug)]
#[derive(Args)]
#[command(after_help = "\
Examples:
  ragwortroad ask --node 127.0.0.1:8001 --key operator.key 'show customers'
  ragwortroad ask --node 127.0.0.1:8001 --key operator.key 'show engines where zone = lagos-yaba'")]
pub(crate) struct OperatorOptions {
    #[command(flatten)]
    pub(crate) access: OperatorAccess,
    /// The statement, in the operators' language.
    pub(crate) line: String,
    /// Print the answer as JSON.
    #[arg(long)]
    pub(crate) json: bool,
}

/// Options of `change`.
#[derive(Debug)]
#[derive(Args)]
#[command(after_help = "\
A change whose answer was lost can be sent again with the same --id: it is applied once, and the
second request returns the result of the first.

Examples:
  ragwortroad change --node 127.0.0.1:8001 --key operator.key 'set multiple 1.25'
  ragwortroad change --node 127.0.0.1:8001 --key operator.key --id drain-7 'drain endpoint tutor-7'")]
pub(crate) struct ChangeOptions {
    #[command(flatten)]
    pub(crate) question: OperatorOptions,
    /// Id of the change; generated and printed if not given.
    #[arg(long, value_name = "ID")]
    pub(crate) id: Option<String>,
}

/// Options of `demo`.
#[derive(Debug)]
#[derive(Args)]
pub(crate) struct DemoOptions {
    /// Seed of the random number generators.
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

/// Options of `standin`.
#[derive(Debug)]
#[derive(Args)]
#[command(after_help = "\
Example:
  ragwortroad standin --announce 127.0.0.1:8001 --join-secret join.secret --engines 12 --services 3")]
pub(crate) struct StandinOptions {
    /// Nodes to announce to first, as IP:port.
    #[arg(long, value_name = "IP:PORT", required = true)]
    pub(crate) announce: Vec<String>,
    /// File whose first line is the join secret.
    #[arg(long, value_name = "FILE")]
    pub(crate) join_secret: PathBuf,
    /// Number of engines to run.
    #[arg(long, default_value_t = 4)]
    pub(crate) engines: u32,
    /// Model that the engines serve.
    #[arg(long, default_value = "caption-llm")]
    pub(crate) model: String,
    /// Number of replicas of the plain service to run.
    #[arg(long, default_value_t = 1)]
    pub(crate) services: u32,
    /// Name of the plain service.
    #[arg(long, default_value = "studio-desk")]
    pub(crate) service: String,
    /// Zones over which engines and replicas are spread, separated by commas.
    #[arg(long, value_delimiter = ',', default_value = "zone-a,zone-b,zone-c")]
    pub(crate) zones: Vec<String>,
    /// Prefix of the endpoint names.
    #[arg(long, default_value = "standin")]
    pub(crate) name: String,
    /// Stop after this many seconds; 0 waits for SIGTERM or SIGINT.
    #[arg(long, default_value_t = 0)]
    pub(crate) seconds: u64,
}

/// Options of `load`.
#[derive(Debug)]
#[derive(Args)]
pub(crate) struct LoadOptions {
    /// Nodes to query for addresses, as IP:port.
    #[arg(long, value_name = "IP:PORT", required = true)]
    pub(crate) node: Vec<String>,
    /// File with one 'NAME KEY' pair per line.
    #[arg(long, value_name = "FILE")]
    pub(crate) customers: PathBuf,
    /// Requests per second.
    #[arg(long, default_value_t = 20.0)]
    pub(crate) rate: f64,
    /// Duration of the run in seconds.
    #[arg(long, default_value_t = 10)]
    pub(crate) seconds: u64,
    /// Model to send chats to.
    #[arg(long, default_value = "caption-llm")]
    pub(crate) model: String,
    /// Plain service to send bookings and reads to.
    #[arg(long, default_value = "studio-desk")]
    pub(crate) service: String,
    /// Seed of the random arrivals.
    #[arg(long, default_value_t = 1)]
    pub(crate) seed: u64,
    /// Number of customers, from the start of the file, that surge in the middle third of the run.
    #[arg(long, default_value_t = 0)]
    pub(crate) surge_customers: usize,
    /// Factor by which the chats of surging customers increase.
    #[arg(long, default_value_t = 5.0)]
    pub(crate) surge_factor: f64,
    /// Print the report as JSON.
    #[arg(long)]
    pub(crate) json: bool,
}

/// Options of `timeline`.
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
    /// Output format.
    #[arg(long, value_enum, default_value_t = TimelineFormat::Text)]
    pub(crate) format: TimelineFormat,
    /// Only events of this request, given as 16 hexadecimal digits.
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
    /// Only events of this kind; can be given several times.
    #[arg(long, value_name = "KIND")]
    pub(crate) kind: Vec<EventKind>,
    /// Only events at or after this time, in milliseconds since 1970.
    #[arg(long, value_name = "MS")]
    pub(crate) from_ms: Option<u64>,
    /// Only events before this time, in milliseconds since 1970.
    #[arg(long, value_name = "MS")]
    pub(crate) until_ms: Option<u64>,
}

/// Output format of a timeline.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(ValueEnum)]
pub(crate) enum TimelineFormat {
    /// One line per event.
    Text,
    /// One JSON object.
    Json,
    /// Trace Event Format, which common trace viewers open.
    Trace,
    /// One self-contained HTML page.
    Html,
}

/// Options of `keys`.
#[derive(Debug)]
#[derive(Args)]
pub(crate) struct KeyOptions {
    /// Name of the fleet.
    #[arg(long)]
    pub(crate) fleet: String,
    /// Folder to write to; one folder per node is created in it.
    #[arg(long, value_name = "FOLDER")]
    pub(crate) out: PathBuf,
    /// Names of the nodes.
    #[arg(required = true)]
    pub(crate) nodes: Vec<String>,
}

/// Options of `bench`.
#[derive(Debug)]
#[derive(Args)]
pub(crate) struct BenchOptions {
    /// Workload: ljosmynd, splashmark or target.
    #[arg(long, default_value = "ljosmynd")]
    pub(crate) workload: String,
    /// Disturbances: calm, all, or some of churn, differing_views, surge, late_reports,
    /// event_gaps, zone_loss, node_restarts, joined by '+'.
    #[arg(long, default_value = "churn")]
    pub(crate) disturbances: String,
    /// Factor by which the workload's arrival rate is multiplied.
    #[arg(long, default_value_t = 1.0)]
    pub(crate) load_factor: f64,
    /// Warm-up in seconds, which is not measured.
    #[arg(long, default_value_t = 120)]
    pub(crate) warm_seconds: u64,
    /// Duration of the measurement in seconds.
    #[arg(long, default_value_t = 240)]
    pub(crate) seconds: u64,
    /// Seed of the random number generators.
    #[arg(long, default_value_t = 7)]
    pub(crate) seed: u64,
    /// Print the report as JSON.
    #[arg(long)]
    pub(crate) json: bool,
}

/// Options of `report`.
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

/// Options of `completions`.
#[derive(Debug)]
#[derive(Args)]
pub(crate) struct CompletionOptions {
    /// Shell to generate completions for.
    pub(crate) shell: Shell,
}
