//! Measures the latency that a node adds to a stream: time to the first token and between tokens,
//! compared with direct requests to the stand-in engine in the same run, as well as the threads and
//! memory of the node.
//!
//! `cargo run --release -p ragwortroad_gateway --example added_latency`
//!
//! The gateway runs in a second process, so that its threads, memory and CPU time are counted
//! separately. Direct and routed rounds alternate, so that other load on the machine affects both
//! equally.

use std::{
    error::Error,
    fs,
    io::{
        BufRead,
        BufReader,
        Read, //
    },
    net::SocketAddr,
    process::{
        Child,
        Command,
        Stdio, //
    },
    thread,
    time::{
        Duration,
        Instant, //
    }, //
};

use bytes::Bytes;
use hdrhistogram::Histogram;
use http_body_util::{
    BodyExt,
    Full, //
};
use hyper::Request;
use hyper_util::rt::TokioIo;
use ragwortroad_gateway::prelude::*;
use ragwortroad_standin::prelude::*;
use ragwortroad_types::prelude::*;
use tokio::{
    net::TcpStream,
    runtime::Runtime,
    task::JoinSet, //
};

type AnyError = Box<dyn Error + Send + Sync>;

const TOKEN_GAP: Duration = Duration::from_millis(20);
const TOKENS: u32 = 30;

/// Concurrent streams, and the number of consecutive streams per client in one round.
const LEVELS: [(usize, usize); 3] = [(1, 12), (64, 3), (512, 2)];
const ROUNDS: usize = 4;
const IDLE_CONNECTIONS: usize = 512;

fn main() -> Result<(), AnyError> {
    let mut arguments = std::env::args().skip(1);
    match arguments.next() {
        Some(engine) => serve_gateway(engine.parse()?),
        None => measure(),
    }
}

/// Runs the second process: a gateway whose control thread always grants the one engine.
fn serve_gateway(engine: SocketAddr) -> Result<(), AnyError> {
    let (calls, control) = flume::unbounded();
    let granting = thread::spawn(move || always_grant(&control, engine));
    let settings = GatewaySettings::default();
    let gateway = GatewayServer::start(settings, calls, GatewayPages::default())?;
    println!("{}", gateway.local_address());
    std::io::stdin().read_to_end(&mut Vec::new())?;
    gateway.join();
    granting.join().map_err(|_| "the control thread panicked")?;
    Ok(())
}

fn always_grant(calls: &flume::Receiver<ControlCall>, engine: SocketAddr) {
    let mut ticket = 0;
    while let Ok(call) = calls.recv() {
        if let ControlCall::Admit(_, reply) = call {
            ticket += 1;
            let grant = AdmitGrant {
                ticket: TicketId(ticket),
                endpoint: EndpointId::from_name("engine-1"),
                address: engine,
                hint: String::new(),
                next_node: None,
                priority: 1,
                version: None,
                build: None,
                customer: "studio-north".to_owned(),
                record_response: false,
            };
            if reply.send(AdmitReply::Granted(grant)).is_err() {
                eprintln!("client disconnected before its grant");
            }
        }
    }
}

fn measure() -> Result<(), AnyError> {
    let engine = StandinEngine::start(EngineSettings {
        capacity: 4096,
        token_gap: TOKEN_GAP,
        batch_slowdown_percent: 0,
        prefill_time_per_token: Duration::ZERO,
        threads: 4,
        ..EngineSettings::default()
    })?;
    let runtime = Runtime::new()?;
    let (mut child, node) = start_node(engine.address())?;
    let pid = child.id();
    run_round(&runtime, node, 1, 1)?;
    measure_idle(node, pid)?;
    println!("streams  tokens    first token us (p50 p99)            token gap us (p50 p99)");
    println!(
        "                   direct        node          added   direct        node          added"
    );
    for (streams, repeats) in LEVELS {
        let mut direct = StreamTimes::new()?;
        let mut through_node = StreamTimes::new()?;
        let before = process_usage(pid)?;
        let mut peak = before;
        for _ in 0..ROUNDS {
            direct.add(&run_round(&runtime, engine.address(), streams, repeats)?)?;
            let watched = start_usage_sampler(pid);
            through_node.add(&run_round(&runtime, node, streams, repeats)?)?;
            peak = peak.highest(watched.stop()?);
        }
        print_level(streams, &direct, &through_node);
        let after = process_usage(pid)?;
        let tokens = through_node.gap.len() + through_node.first.len();
        println!(
            "         node: {} threads, {} KiB before, {} KiB at most, {:.1} us of processor a token",
            peak.threads,
            before.memory,
            peak.memory,
            (after.processor - before.processor) * 1e6 / tokens as f64
        );
    }
    drop(child.stdin.take());
    child.wait()?;
    engine.stop();
    Ok(())
}

fn start_node(engine: SocketAddr) -> Result<(Child, SocketAddr), AnyError> {
    let mut child = Command::new(std::env::current_exe()?)
        .arg(engine.to_string())
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()?;
    let mut line = String::new();
    let output = child.stdout.take().ok_or("the node has no output")?;
    BufReader::new(output).read_line(&mut line)?;
    Ok((child, line.trim().parse()?))
}

/// Latencies of many streams, in microseconds.
struct StreamTimes {
    first: Histogram<u64>,
    gap: Histogram<u64>,
}

impl StreamTimes {
    fn new() -> Result<Self, AnyError> {
        Ok(Self {
            first: Histogram::new(3)?,
            gap: Histogram::new(3)?,
        })
    }

    fn add(&mut self, other: &Self) -> Result<(), AnyError> {
        self.first.add(&other.first)?;
        self.gap.add(&other.gap)?;
        Ok(())
    }
}

fn print_level(streams: usize, direct: &StreamTimes, through_node: &StreamTimes) {
    let columns = |direct: &Histogram<u64>, through_node: &Histogram<u64>| {
        let [d50, r50] = [direct, through_node].map(|times| times.value_at_quantile(0.5) as i64);
        let [d99, r99] = [direct, through_node].map(|times| times.value_at_quantile(0.99) as i64);
        format!(
            "{d50:>6} {d99:>6} {r50:>6} {r99:>6} {:>5} {:>5}",
            r50 - d50,
            r99 - d99
        )
    };
    println!(
        "{streams:>7} {:>7}  {}  {}",
        through_node.gap.len() + through_node.first.len(),
        columns(&direct.first, &through_node.first),
        columns(&direct.gap, &through_node.gap)
    );
}

fn run_round(
    runtime: &Runtime,
    address: SocketAddr,
    streams: usize,
    repeats: usize,
) -> Result<StreamTimes, AnyError> {
    runtime.block_on(async {
        let mut clients = JoinSet::new();
        for place in 0..streams {
            clients.spawn(async move {
                // Client starts are spread over the duration of one stream, because in production
                // that many streams do not start together.
                tokio::time::sleep(TOKEN_GAP * TOKENS * place as u32 / streams as u32).await;
                let mut times = StreamTimes::new()?;
                for _ in 0..repeats {
                    read_stream(address, &mut times).await?;
                }
                Ok::<StreamTimes, AnyError>(times)
            });
        }
        let mut all = StreamTimes::new()?;
        while let Some(client) = clients.join_next().await {
            all.add(&client??)?;
        }
        Ok(all)
    })
}

/// Opens a connection, requests a stream, and times its tokens.
async fn read_stream(address: SocketAddr, times: &mut StreamTimes) -> Result<(), AnyError> {
    let start = Instant::now();
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let (mut sender, connection) =
        hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
    let driver = tokio::spawn(connection);
    let response = sender.send_request(chat_request(address)?).await?;
    let mut body = response.into_body();
    let mut last = None;
    let mut count = 0;
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        let now = Instant::now();
        for _ in 0..count_tokens(&data) {
            count += 1;
            match last.replace(now) {
                None => times.first.record((now - start).as_micros() as u64)?,
                Some(last) => times.gap.record((now - last).as_micros() as u64)?,
            }
        }
    }
    drop(sender);
    driver.await??;
    match count == TOKENS {
        true => Ok(()),
        false => Err(format!("{count} tokens came").into()),
    }
}

fn count_tokens(data: &[u8]) -> usize {
    const MARK: &[u8] = b"\"token_index\"";
    data.windows(MARK.len())
        .filter(|window| *window == MARK)
        .count()
}

fn chat_request(address: SocketAddr) -> Result<Request<Full<Bytes>>, AnyError> {
    let chat = ChatBody {
        model: "caption".to_owned(),
        messages: vec![ChatMessage::text("user", &"A linen coat. ".repeat(40))],
        stream: true,
        max_tokens: Some(TOKENS),
        ..ChatBody::default()
    };
    let request = Request::post("/v1/chat/completions")
        .header("host", address.to_string())
        .header("authorization", "Bearer k")
        .header("x-request-id", "0000000000000001")
        .body(Full::new(Bytes::from(serde_json::to_vec(&chat)?)))?;
    Ok(request)
}

/// Resource usage of the node process.
#[derive(Clone, Copy)]
struct NodeUsage {
    threads: u64,
    /// Resident memory in KiB.
    memory: u64,
    /// CPU time in seconds.
    processor: f64,
}

impl NodeUsage {
    fn highest(self, other: Self) -> Self {
        Self {
            threads: self.threads.max(other.threads),
            memory: self.memory.max(other.memory),
            processor: self.processor.max(other.processor),
        }
    }
}

fn process_usage(pid: u32) -> Result<NodeUsage, AnyError> {
    let status = fs::read_to_string(format!("/proc/{pid}/status"))?;
    let field = |name: &str| {
        let line = status.lines().find_map(|line| line.strip_prefix(name));
        let word = line.and_then(|line| line.split_whitespace().next());
        word.and_then(|word| word.parse().ok()).unwrap_or(0)
    };
    let stat = fs::read_to_string(format!("/proc/{pid}/stat"))?;
    let (_, fields) = stat.rsplit_once(')').ok_or("no stat")?;
    let ticks: Vec<&str> = fields.split_whitespace().collect();
    let processor = ticks[11].parse::<f64>()? + ticks[12].parse::<f64>()?;
    Ok(NodeUsage {
        threads: field("Threads:"),
        memory: field("VmRSS:"),
        // Linux reports these times in hundredths of a second.
        processor: processor / 100.0,
    })
}

/// Samples the resource usage of the node until stopped, and keeps the peak.
struct UsageSampler {
    stop: flume::Sender<()>,
    thread: thread::JoinHandle<Result<NodeUsage, AnyError>>,
}

fn start_usage_sampler(pid: u32) -> UsageSampler {
    let (stop, stopped) = flume::bounded::<()>(1);
    let thread = thread::spawn(move || {
        let mut peak = process_usage(pid)?;
        while stopped.recv_timeout(Duration::from_millis(20))
            == Err(flume::RecvTimeoutError::Timeout)
        {
            peak = peak.highest(process_usage(pid)?);
        }
        Ok(peak)
    });
    UsageSampler { stop, thread }
}

impl UsageSampler {
    fn stop(self) -> Result<NodeUsage, AnyError> {
        drop(self.stop);
        self.thread.join().map_err(|_| "the sampler panicked")?
    }
}

fn measure_idle(node: SocketAddr, pid: u32) -> Result<(), AnyError> {
    let before = process_usage(pid)?;
    let mut idle_connections = Vec::new();
    for _ in 0..IDLE_CONNECTIONS {
        let mut stream = std::net::TcpStream::connect(node)?;
        std::io::Write::write_all(&mut stream, b"GET /healthz HTTP/1.1\r\nhost: n\r\n\r\n")?;
        stream.read_exact(&mut [0; 12])?;
        idle_connections.push(stream);
    }
    let after = process_usage(pid)?;
    println!(
        "{IDLE_CONNECTIONS} idle connections: {} threads, {} KiB before, {} KiB with them",
        after.threads, before.memory, after.memory
    );
    Ok(())
}
