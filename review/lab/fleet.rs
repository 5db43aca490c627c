//! Processes of the project as the deploy file starts them, on loopback addresses.

use std::{
    fs::{self, File},
    io,
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    time::{Duration, Instant},
};

use crate::wire::name;

unsafe extern "C" {
    fn kill(id: i32, signal: i32) -> i32;
}

pub const SIGTERM: i32 = 15;
const SIGKILL: i32 = 9;

/// Kills a process that this one has started.
pub fn kill_process(id: u32) {
    // SAFETY: the id is that of a child that has not been waited for.
    unsafe { kill(id as i32, SIGKILL) };
}

/// Bounds of the small deployment `splashmark-lagos`.
pub const BOUNDS: [(&str, &str); 5] = [
    ("{{bounds.graceS}}", "8"),
    ("{{bounds.ttl_max_s}}", "5"),
    ("{{bounds.budgetSlack}}", "56"),
    ("{{bounds.budgetWindowS}}", "10"),
    ("{{bounds.capFactor}}", "2"),
];

pub const ZONES: [&str; 3] = ["lagos-ikeja", "lagos-lekki", "lagos-yaba"];

pub struct Process {
    pub name: String,
    pub ip: IpAddr,
    role: &'static str,
    program: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Process {
    pub fn start(&mut self) -> io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new(&self.program)
            .args([self.role, "--settings"])
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    pub fn signal(&self, signal: i32) {
        if let Some(child) = &self.child {
            // SAFETY: the id is that of a child that has not been waited for.
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    /// Waits until the process has ended; kills it after the limit. Returns whether it had ended.
    pub fn wait(&mut self, limit: Duration) -> bool {
        let Some(child) = &mut self.child else {
            return true;
        };
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if matches!(child.try_wait(), Ok(Some(_))) {
                self.child = None;
                return true;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        self.kill();
        false
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            child.kill().ok();
            child.wait().ok();
        }
    }

    /// Id of the running process; 0 if it doesn't run.
    pub fn id(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    /// Whether it still runs.
    pub fn is_running(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Where everything listens.
#[derive(Clone)]
pub struct Plan {
    subnet: u8,
    ports: Vec<u16>,
    pub folder: PathBuf,
    root: PathBuf,
}

impl Plan {
    /// Chooses addresses and free ports, and makes a temporary folder.
    pub fn new() -> io::Result<Self> {
        let id = std::process::id();
        let subnet = (id % 100) as u8 + 110;
        let folder = std::env::temp_dir().join(format!("review-{id}"));
        fs::create_dir_all(&folder)?;
        let first = IpAddr::V4(Ipv4Addr::new(127, subnet, 1, 1));
        let listeners: Vec<TcpListener> = (0..8)
            .map(|_| TcpListener::bind((first, 0)))
            .collect::<io::Result<_>>()?;
        let ports = listeners.iter().map(|listener| listener.local_addr());
        let ports = ports.map(|address| address.map(|address| address.port()));
        Ok(Self {
            subnet,
            ports: ports.collect::<io::Result<_>>()?,
            folder,
            root: std::env::current_dir()?,
        })
    }

    pub fn ip(&self, class: u8, number: usize) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, self.subnet, class, number as u8))
    }

    pub fn at(&self, ip: IpAddr, port: usize) -> SocketAddr {
        SocketAddr::new(ip, self.ports[port])
    }

    pub fn control(&self, number: usize) -> SocketAddr {
        self.at(self.ip(1, number), 1)
    }

    pub fn directory(&self, number: usize) -> SocketAddr {
        self.at(self.ip(2, number), 4)
    }

    pub fn replica(&self, number: usize) -> SocketAddr {
        self.at(self.ip(3, number), 6)
    }

    /// Prepares a process whose settings are the deploy file's template, filled in.
    ///
    /// On loopback, all processes would call replicas from one address; `endpoint_source` gives each
    /// edge that of its machine.
    pub fn process(
        &self,
        role: &'static str,
        number: usize,
        registries: usize,
    ) -> io::Result<Process> {
        let is_core = role == "registry";
        let ip = self.ip(if is_core { 1 } else { 2 }, number);
        let own_name = format!("{role}-{number}");
        let template = match role {
            "directory" => "deploy/directory.ini",
            _ => "deploy/settings.ini",
        };
        let mut text = fs::read_to_string(self.root.join(template))?;
        let seeds: Vec<String> = (1..=registries.min(3))
            .map(|number| self.control(number).to_string())
            .collect();
        let data = self.folder.join(format!("data-{number}"));
        let listen = |wanted: &str, address: SocketAddr| match role == wanted {
            true => address.to_string(),
            false => String::new(),
        };
        let fields = [
            ("{{node}}", own_name.clone()),
            ("{{zone}}", ZONES[number % 3].to_owned()),
            ("{{#zones}}{{@}}{{,}}{{/zones}}", ZONES.join(",")),
            (name("inner_placeholder"), self.at(ip, 0).to_string()),
            (name("ratio_placeholder"), "0.2".to_owned()),
            ("{{ip}}:9464", self.at(ip, 5).to_string()),
            ("{{ip}}:9465", self.at(ip, 7).to_string()),
            ("{{seeds}}", seeds.join(",")),
            ("{{bootstrap}}", "true".to_owned()),
            (
                "{{limits.linkMbps}}",
                if is_core { "6" } else { "1000" }.to_owned(),
            ),
            (
                "{{limits.memoryMb}}",
                if is_core { "256" } else { "260" }.to_owned(),
            ),
            ("{{listen.front}}", listen("edge", self.at(ip, 2))),
            ("{{listen.ready}}", listen("edge", self.at(ip, 3))),
            ("{{listen.control}}", listen("registry", self.at(ip, 1))),
            ("{{listen.directory}}", listen("directory", self.at(ip, 4))),
            (
                "{{dataDir}}",
                match is_core {
                    true => data.display().to_string(),
                    false => String::new(),
                },
            ),
            ("{{heartbeatMs}}", "1200".to_owned()),
        ];
        for (placeholder, value) in fields {
            text = text.replace(placeholder, &value);
        }
        for (placeholder, value) in BOUNDS {
            text = text.replace(placeholder, value);
        }
        if role == "edge" {
            text = text.replace("[edge]\n", &format!("[edge]\nendpoint_source = {ip}\n"));
        }
        let settings = self.folder.join(format!("{own_name}.ini"));
        fs::write(&settings, text)?;
        Ok(Process {
            log: self.folder.join(format!("{own_name}.log")),
            name: own_name,
            ip,
            role,
            program: self.root.join("target/release/ragwortroad"),
            settings,
            child: None,
        })
    }
}

/// Deletes the temporary folder.
pub fn remove(folder: &Path) {
    if std::env::var_os("KEEP").is_none() {
        fs::remove_dir_all(folder).ok();
    }
}
