use std::net::{
    Ipv4Addr,
    SocketAddr, //
};

use crate::settings_reader::SettingsReader;

/// `[node]`: identity and addresses of this process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeSettings {
    /// Name of the node, unique in the fleet and equal to the name in its certificate.
    pub name: String,
    /// Failure domain (zone) of the node's VM.
    pub zone: String,
    /// Region of the node's VM.
    pub region: String,
    /// Address for callers, endpoints and operators (HTTP over TCP).
    pub listen: SocketAddr,
    /// Address for other nodes (QUIC over UDP).
    pub peer: SocketAddr,
    /// Threads that transfer callers' data.
    pub traffic_threads: usize,
}

impl Default for NodeSettings {
    fn default() -> Self {
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        Self {
            name: "node".to_owned(),
            zone: "zone".to_owned(),
            region: "region".to_owned(),
            listen: any_port,
            peer: any_port,
            traffic_threads: 2,
        }
    }
}

impl NodeSettings {
    pub(crate) fn read(reader: &mut SettingsReader<'_>) -> Self {
        let default = Self::default();
        let listen = reader.required_value("node", "listen", "10.0.0.7:8080");
        let peer = reader.required_value("node", "peer", "10.0.0.7:9080");
        let threads = default.traffic_threads as u64;
        Self {
            name: reader.required_text("node", "name"),
            zone: reader.required_text("node", "zone"),
            region: reader.required_text("node", "region"),
            listen: listen.unwrap_or(default.listen),
            peer: peer.unwrap_or(default.peer),
            traffic_threads: reader.number("node", "traffic_threads", threads, (1, 64)) as usize,
        }
    }
}
