//! A small blocking HTTP/1.1 reader and writer.

use std::{
    io::{self, BufRead, BufReader, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// Head and body of a request or of a response.
pub struct Message {
    /// The request line or the status line.
    pub line: String,
    /// Header names in lower case, and values.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Status of a response; 0 if it has none.
    pub fn status(&self) -> u16 {
        let word = self.line.split(' ').nth(1);
        word.and_then(|word| word.parse().ok()).unwrap_or(0)
    }
}

fn closed(text: &str) -> io::Error {
    io::Error::new(io::ErrorKind::UnexpectedEof, text.to_owned())
}

/// Reads a line without its end.
pub fn read_line(reader: &mut impl BufRead) -> io::Result<String> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(closed("closed"));
    }
    if !line.ends_with('\n') {
        return Err(closed("closed in a line"));
    }
    Ok(line.trim_end().to_owned())
}

/// Reads the head of a message.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Message> {
    let line = read_line(reader)?;
    let mut headers = Vec::new();
    loop {
        let header = read_line(reader)?;
        if header.is_empty() {
            break;
        }
        let (name, value) = header.split_once(':').ok_or(closed("no header"))?;
        headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
    Ok(Message {
        line,
        headers,
        body: Vec::new(),
    })
}

/// Reads a message with a length or in chunks; without either the body is empty.
pub fn read_message(reader: &mut impl BufRead) -> io::Result<Message> {
    let mut message = read_head(reader)?;
    let is_chunked = message
        .header("transfer-encoding")
        .is_some_and(|value| value.eq_ignore_ascii_case("chunked"));
    if is_chunked {
        loop {
            let size = read_line(reader)?;
            let size = usize::from_str_radix(size.trim(), 16).map_err(|_| closed("chunk"))?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            if size == 0 {
                break;
            }
            message.body.extend_from_slice(&chunk[..size]);
        }
    } else if let Some(length) = message.header("content-length") {
        let length: usize = length.parse().map_err(|_| closed("length"))?;
        let mut body = vec![0; length];
        reader.read_exact(&mut body)?;
        message.body = body;
    }
    Ok(message)
}

/// Sends one request on a connection of its own and reads the response.
pub fn call(
    address: SocketAddr,
    line: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> io::Result<Message> {
    let connect_limit = limit.min(Duration::from_secs(1));
    let mut stream = TcpStream::connect_timeout(&address, connect_limit)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    stream.set_write_timeout(Some(limit))?;
    let mut head = format!("{line} HTTP/1.1\r\nConnection: close\r\n");
    if !headers.iter().any(|(name, _)| *name == "Host") {
        head.push_str(&format!("Host: {address}\r\n"));
    }
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)?;
    read_message(&mut BufReader::new(stream))
}
