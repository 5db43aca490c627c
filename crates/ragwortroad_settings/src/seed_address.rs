use std::{
    net::SocketAddr,
    str::FromStr, //
};

/// Name of another node and the address of its peer port, written `name@IP:port`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SeedAddress {
    /// Name of the node, as in its own settings and its certificate.
    pub name: String,
    /// Address on which the node listens for its peers.
    pub peer: SocketAddr,
}

impl FromStr for SeedAddress {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (name, address) = text
            .split_once('@')
            .ok_or_else(|| format!("'{text}' lacks the '@' between name and address"))?;
        let peer = address
            .parse()
            .map_err(|_| format!("'{address}' is not IP:port"))?;
        let name = name.to_owned();
        Ok(Self { name, peer })
    }
}
