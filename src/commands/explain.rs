//! `explain`: collects the entries of one request from the log files of many processes.

use std::{
    fs::File,
    io::{
        self,
        BufRead,
        BufReader, //
    },
    path::{
        Path,
        PathBuf, //
    }, //
};

use serde_json::{
    Map,
    Value, //
};

use crate::{
    command_line::ExplainOptions,
    exit_status::ExitStatus, //
};

/// Fields that are not listed below an entry: its header shows them, or they do not concern the
/// request.
const COMMON_FIELDS: [&str; 5] = ["timestamp", "level", "target", "message", "request"];

/// One log entry of the request.
struct RequestLine {
    time: String,
    file: String,
    message: String,
    /// Names and JSON values of the remaining fields, in the order of the entry.
    fields: Vec<(String, String)>,
}

/// Result of reading one log file.
#[derive(Default)]
struct FileScan {
    lines: Vec<RequestLine>,
    /// Number of non-empty lines without a valid JSON object.
    malformed: usize,
}

/// Prints the log entries of a request, ordered by timestamp.
///
/// A test bench may prefix each object with the time and the name of the process; text before the
/// first brace is ignored.
pub(crate) fn run(options: &ExplainOptions) -> ExitStatus {
    let mut lines = Vec::new();
    let mut unmatched = Vec::new();
    for path in &options.files {
        match read_file(path, &options.request) {
            Ok(scan) => {
                if scan.malformed > 0 {
                    let count = scan.malformed;
                    println!("{}: {count} lines cannot be read", path.display());
                }
                if scan.lines.is_empty() {
                    unmatched.push(path);
                }
                lines.extend(scan.lines);
            }
            Err(error) => {
                eprintln!(
                    "failed to read {}: {error}; give the log file of a process",
                    path.display()
                );
                return ExitStatus::Unusable;
            }
        }
    }
    lines.sort_by(|left, right| left.time.cmp(&right.time));
    for line in &lines {
        print_line(line);
    }
    print_unmatched(&unmatched);
    match lines.is_empty() {
        true => {
            println!("no file has the request {}", options.request);
            ExitStatus::Failed
        }
        false => ExitStatus::Done,
    }
}

fn print_line(line: &RequestLine) {
    println!("{} {}: {}", line.time, line.file, line.message);
    for (name, value) in &line.fields {
        println!("    {name} = {value}");
    }
}

fn print_unmatched(unmatched: &[&PathBuf]) {
    if !unmatched.is_empty() {
        let names: Vec<String> = unmatched.iter().map(|path| file_name(path)).collect();
        println!("nothing in {}", names.join(", "));
    }
}

fn read_file(path: &Path, request: &str) -> io::Result<FileScan> {
    let mut scan = FileScan::default();
    for line in BufReader::new(File::open(path)?).split(b'\n') {
        let bytes = line?;
        let text = String::from_utf8_lossy(&bytes);
        let Some(start) = text.find('{') else {
            scan.malformed += usize::from(!text.trim().is_empty());
            continue;
        };
        match serde_json::from_str::<Map<String, Value>>(&text[start..]) {
            Ok(object) => {
                let is_match = object.get("request").and_then(Value::as_str) == Some(request);
                if is_match {
                    scan.lines.push(to_line(path, &object));
                }
            }
            Err(_) => scan.malformed += 1,
        }
    }
    Ok(scan)
}

fn to_line(path: &Path, object: &Map<String, Value>) -> RequestLine {
    let text = |name: &str| object.get(name).and_then(Value::as_str).unwrap_or("?");
    let fields = object
        .iter()
        .filter(|(name, _)| !COMMON_FIELDS.contains(&name.as_str()));
    RequestLine {
        time: text("timestamp").to_owned(),
        file: file_name(path),
        message: text("message").to_owned(),
        fields: fields
            .map(|(name, value)| (name.clone(), value.to_string()))
            .collect(),
    }
}

fn file_name(path: &Path) -> String {
    let name = path.file_name().unwrap_or(path.as_os_str());
    name.to_string_lossy().into_owned()
}
