use std::{
    io::{
        Read,
        Write, //
    },
    net::{
        SocketAddr,
        TcpStream, //
    },
    time::Duration, //
};

/// Time limit for bytes that are expected to arrive.
pub const WAIT_LIMIT: Duration = Duration::from_secs(20);

/// Opens a connection with a read timeout.
pub fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(WAIT_LIMIT)).unwrap();
    stream.set_nodelay(true).unwrap();
    stream
}

/// Sends bytes and reads until the peer closes the connection.
pub fn exchange(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = connect(address);
    stream.write_all(bytes).unwrap();
    read_all(&mut stream)
}

/// Reads until the peer closes the connection.
pub fn read_all(stream: &mut TcpStream) -> String {
    let mut response = Vec::new();
    stream.read_to_end(&mut response).unwrap();
    String::from_utf8_lossy(&response).into_owned()
}

/// Reads until `wanted` has arrived, and returns everything read so far.
pub fn read_until(stream: &mut TcpStream, wanted: &str) -> String {
    let mut response = Vec::new();
    let mut buffer = [0; 1024];
    loop {
        let text = String::from_utf8_lossy(&response).into_owned();
        if text.contains(wanted) {
            return text;
        }
        let count = stream.read(&mut buffer).unwrap();
        assert!(count > 0, "closed after: {text}");
        response.extend_from_slice(&buffer[..count]);
    }
}

/// A POST request as raw bytes.
pub fn post(path: &str, headers: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!(
        "POST {path} HTTP/1.1\r\nhost: node\r\nauthorization: Bearer k\r\n\
         content-length: {length}\r\nconnection: close\r\n{headers}\r\n{body}"
    )
    .into_bytes()
}
