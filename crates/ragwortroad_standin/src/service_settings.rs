use std::{
    net::{
        Ipv4Addr,
        SocketAddr, //
    },
    time::Duration, //
};

/// What a [`StandinService`](crate::StandinService) is and how fast it works.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceSettings {
    /// The name it announces itself by.
    pub name: String,
    /// The service it is a replica of.
    pub service: String,
    /// Where it listens; port 0 takes a free one.
    pub listen: SocketAddr,
    /// Its failure domain.
    pub zone: String,
    /// Requests it works on at once.
    pub capacity: u32,
    /// `IP:port` of nodes to announce to; none means that it does not announce itself.
    pub announce_to: Vec<String>,
    /// The join secret.
    pub join_secret: String,
    /// Counts up with every restart.
    pub incarnation: u64,
    /// Time one request takes.
    pub work_time: Duration,
    /// Threads for requests.
    pub threads: usize,
}

impl Default for ServiceSettings {
    fn default() -> Self {
        Self {
            name: "desk-1".to_owned(),
            service: "studio-desk".to_owned(),
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            zone: "zone-1".to_owned(),
            capacity: 32,
            announce_to: Vec::new(),
            join_secret: "join".to_owned(),
            incarnation: 1,
            work_time: Duration::from_millis(2),
            threads: 1,
        }
    }
}
