use std::{
    net::{
        Ipv4Addr,
        SocketAddr, //
    },
    time::Duration, //
};

/// Settings of a [`StandinService`](crate::StandinService).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceSettings {
    /// Endpoint name in its announcements.
    pub name: String,
    /// The service it is a replica of.
    pub service: String,
    /// Listen address; port 0 selects a free port.
    pub listen: SocketAddr,
    /// Failure domain of the replica.
    pub zone: String,
    /// Capacity that it announces, in concurrent requests; the replica doesn't enforce it.
    pub capacity: u32,
    /// `IP:port` of nodes to announce to; if empty, the replica doesn't announce itself.
    pub announce_to: Vec<String>,
    /// The fleet's join secret, sent with announcements.
    pub join_secret: String,
    /// Incarnation of the replica; must increase with every restart.
    pub incarnation: u64,
    /// Processing time of a request.
    pub work_time: Duration,
    /// Worker threads for requests.
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
