//! HTTP/1.1 as far as the stand-ins speak it.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// A request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| &**value)
    }

    /// Path and query of a request.
    pub fn path(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    /// Status of a response; 0 if there is none.
    pub fn status(&self) -> u16 {
        let status = self.start.split(' ').nth(1);
        status.and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    pub fn keeps_alive(&self) -> bool {
        let connection = self.header("connection").unwrap_or_default();
        !connection.eq_ignore_ascii_case("close")
    }
}

fn broken(text: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, text.to_owned())
}

/// Reads more bytes; an error at the end of the connection.
fn fill(io: &mut TcpStream, buf: &mut Vec<u8>) -> io::Result<()> {
    let mut chunk = [0; 16 << 10];
    match io.read(&mut chunk)? {
        0 => Err(io::ErrorKind::UnexpectedEof.into()),
        len => {
            buf.extend_from_slice(&chunk[..len]);
            Ok(())
        }
    }
}

fn take_line(io: &mut TcpStream, buf: &mut Vec<u8>) -> io::Result<String> {
    loop {
        if let Some(at) = buf.windows(2).position(|pair| pair == b"\r\n") {
            let line = String::from_utf8_lossy(&buf[..at]).into_owned();
            buf.drain(..at + 2);
            return Ok(line);
        }
        fill(io, buf)?;
    }
}

fn take_bytes(io: &mut TcpStream, buf: &mut Vec<u8>, len: usize) -> io::Result<Vec<u8>> {
    while buf.len() < len {
        fill(io, buf)?;
    }
    Ok(buf.drain(..len).collect())
}

/// Reads a message whose body has a length or chunks, or none. `buf` keeps what follows it.
pub fn read(io: &mut TcpStream, buf: &mut Vec<u8>) -> io::Result<Message> {
    let mut message = read_head(io, buf)?;
    read_body(io, buf, &mut message)?;
    Ok(message)
}

fn read_head(io: &mut TcpStream, buf: &mut Vec<u8>) -> io::Result<Message> {
    let start = take_line(io, buf)?;
    let mut message = Message {
        start,
        ..Message::default()
    };
    loop {
        let line = take_line(io, buf)?;
        if line.is_empty() {
            return Ok(message);
        }
        let (name, value) = line.split_once(':').ok_or_else(|| broken("header"))?;
        let header = (name.trim().to_owned(), value.trim().to_owned());
        message.headers.push(header);
    }
}

fn read_body(io: &mut TcpStream, buf: &mut Vec<u8>, message: &mut Message) -> io::Result<()> {
    let chunked = message.header("transfer-encoding").is_some();
    let length = message.header("content-length").map(str::to_owned);
    if chunked {
        loop {
            let line = take_line(io, buf)?;
            let len = usize::from_str_radix(line.trim(), 16).map_err(|_| broken("chunk"))?;
            let bytes = take_bytes(io, buf, len)?;
            take_line(io, buf)?;
            if len == 0 {
                break;
            }
            message.body.extend(bytes);
        }
    } else if let Some(length) = length {
        let length = length.parse().map_err(|_| broken("length"))?;
        message.body = take_bytes(io, buf, length)?;
    }
    Ok(())
}

/// Encodes a message with the length of its body.
pub fn encode(start: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("{start}\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Opens a connection, sends a request and reads its response, each step within `wait`. The connection is closed
/// afterwards, also if no response came.
pub fn call(
    to: SocketAddr,
    start: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    wait: Duration,
) -> io::Result<Message> {
    let mut io = send(to, start, headers, body, wait)?;
    read(&mut io, &mut Vec::new())
}

fn send(
    to: SocketAddr,
    start: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    wait: Duration,
) -> io::Result<TcpStream> {
    let mut io = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
    io.set_nodelay(true)?;
    io.set_read_timeout(Some(wait))?;
    let host = to.to_string();
    let mut all = vec![("Connection", "close")];
    if !headers.iter().any(|(name, _)| *name == "Host") {
        all.push(("Host", &host));
    }
    all.extend_from_slice(headers);
    io.write_all(&encode(&format!("{start} HTTP/1.1"), &all, body))?;
    Ok(io)
}
