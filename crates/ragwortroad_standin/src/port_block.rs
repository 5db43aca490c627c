use std::{
    io,
    net::{
        IpAddr,
        Ipv4Addr,
        TcpListener,
        UdpSocket, //
    },
    ops::Range,
    sync::{
        Mutex,
        PoisonError, //
    }, //
};

/// Ports that are shared out in blocks; the system assigns ports of its own choice above them.
const SHARED_PORTS: Range<u16> = 10_000..30_000;

/// Number of ports in a block, with the first one, which marks the block as taken.
const BLOCK_PORTS: u16 = 50;

/// Blocks of this process; only the last one has ports left.
static BLOCKS: Mutex<Vec<PortBlock>> = Mutex::new(Vec::new());

/// Ports that only this process gives out, for listeners that start later.
///
/// A port that was merely free a moment ago can be taken by a connection or by another process
/// before its listener starts.
#[derive(Debug)]
struct PortBlock {
    /// Listens on the first port of the block, so that no other process takes the block.
    _mark: TcpListener,
    /// Ports that are left.
    ports: Range<u16>,
}

impl PortBlock {
    /// Takes a block that no process has.
    fn take() -> io::Result<Self> {
        let count = SHARED_PORTS.len() as u32 / u32::from(BLOCK_PORTS);
        let start = std::process::id() % count;
        let firsts = (0..count).map(|index| {
            let block = (start + index) % count;
            SHARED_PORTS.start + block as u16 * BLOCK_PORTS
        });
        for first in firsts {
            if let Ok(mark) = TcpListener::bind((Ipv4Addr::LOCALHOST, first)) {
                return Ok(Self {
                    _mark: mark,
                    ports: first + 1..first + BLOCK_PORTS,
                });
            }
        }
        let message = "all blocks of ports are taken; end processes that listen on 127.0.0.1";
        Err(io::Error::new(io::ErrorKind::AddrInUse, message))
    }
}

/// Returns a port that is free on a loopback address, for TCP and for UDP, and that is given to
/// nobody else while this process runs.
pub fn reserve_port(ip: IpAddr) -> io::Result<u16> {
    let mut blocks = BLOCKS.lock().unwrap_or_else(PoisonError::into_inner);
    loop {
        let ports = blocks.last_mut().and_then(|block| block.ports.next());
        match ports {
            Some(port) if is_free(ip, port) => return Ok(port),
            Some(_) => {}
            None => blocks.push(PortBlock::take()?),
        }
    }
}

fn is_free(ip: IpAddr, port: u16) -> bool {
    TcpListener::bind((ip, port)).is_ok() && UdpSocket::bind((ip, port)).is_ok()
}
