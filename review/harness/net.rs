//! HTTP/1.1 over blocking sockets, as far as the stand-ins need it.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A head with its body.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// The request line or the status line.
    pub first: String,
    /// The headers, with names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body arrived whole.
    pub complete: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or_default()
    }
}

/// A connection with the bytes that were read ahead.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, buffer: Vec::new() }
    }

    pub fn connect(address: SocketAddr, timeout: Duration) -> io::Result<Self> {
        Ok(Self::new(TcpStream::connect_timeout(&address, timeout)?))
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut bytes = [0; 16 * 1024];
        let count = self.stream.read(&mut bytes)?;
        self.buffer.extend_from_slice(&bytes[..count]);
        Ok(count)
    }

    fn line(&mut self) -> io::Result<Option<String>> {
        loop {
            if let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = self.buffer.drain(..=end).collect();
                return Ok(Some(String::from_utf8_lossy(&line).trim_end().to_owned()));
            }
            if self.fill()? == 0 {
                return Ok(None);
            }
        }
    }

    /// Reads a head; `None` at the end of the connection.
    pub fn head(&mut self) -> io::Result<Option<Message>> {
        let Some(first) = self.line()? else { return Ok(None) };
        let mut message = Message { first, ..Message::default() };
        loop {
            let Some(line) = self.line()? else { return Ok(None) };
            if line.is_empty() {
                return Ok(Some(message));
            }
            if let Some((name, value)) = line.split_once(':') {
                message.headers.push((name.trim().to_lowercase(), value.trim().to_owned()));
            }
        }
    }

    /// Reads exactly so many bytes into the body, fewer if the connection ends.
    fn exact(&mut self, body: &mut Vec<u8>, count: usize) -> io::Result<bool> {
        while self.buffer.len() < count {
            match self.fill() {
                Ok(0) | Err(_) => {
                    body.append(&mut self.buffer);
                    return Ok(false);
                }
                Ok(_) => {}
            }
        }
        body.extend(self.buffer.drain(..count));
        Ok(true)
    }

    /// Reads a message with a body that has a length, chunks or neither. An early end is told by
    /// `complete`.
    pub fn message(&mut self, is_response: bool) -> io::Result<Option<Message>> {
        let Some(mut message) = self.head()? else { return Ok(None) };
        let mut body = Vec::new();
        let chunked = message.header("transfer-encoding").is_some_and(|it| it.contains("chunked"));
        let length = message.header("content-length").and_then(|it| it.parse::<usize>().ok());
        message.complete = if chunked {
            loop {
                let Ok(Some(size)) = self.line() else { break false };
                let Ok(size) = usize::from_str_radix(size.trim(), 16) else { break false };
                if !self.exact(&mut body, size)? {
                    break false;
                }
                if !matches!(self.line(), Ok(Some(_))) {
                    break false;
                }
                if size == 0 {
                    break true;
                }
            }
        } else if let Some(length) = length {
            self.exact(&mut body, length)?
        } else if is_response && !matches!(message.status(), 204 | 304) {
            let ended = loop {
                match self.fill() {
                    Ok(0) => break true,
                    Ok(_) => {}
                    Err(_) => break false,
                }
            };
            body.append(&mut self.buffer);
            ended
        } else {
            true
        };
        message.body = body;
        Ok(Some(message))
    }

    /// Reads one chunk of a body, empty at its end; `None` if the connection ends.
    pub fn chunk(&mut self) -> io::Result<Option<Vec<u8>>> {
        let Some(size) = self.line()? else { return Ok(None) };
        let Ok(size) = usize::from_str_radix(size.trim(), 16) else { return Ok(None) };
        let mut chunk = Vec::new();
        if !self.exact(&mut chunk, size)? || self.line()?.is_none() {
            return Ok(None);
        }
        Ok(Some(chunk))
    }

    /// Reads so many bytes of a body, fewer if the connection ends.
    pub fn bytes(&mut self, count: usize) -> io::Result<Vec<u8>> {
        let mut bytes = Vec::new();
        self.exact(&mut bytes, count)?;
        Ok(bytes)
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }
}

/// A response with a body of known length.
pub fn response(status: &str, headers: &str, body: &[u8]) -> Vec<u8> {
    let mut bytes = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n", body.len())
        .into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Sends a request on a connection of its own and reads the response.
pub fn get(address: SocketAddr, path: &str, timeout: Duration) -> io::Result<Message> {
    let mut connection = Connection::connect(address, timeout)?;
    connection.stream.set_read_timeout(Some(timeout))?;
    connection.send(format!("GET {path} HTTP/1.1\r\nHost: {address}\r\n\r\n").as_bytes())?;
    let message = connection.message(true)?;
    message.ok_or_else(|| io::Error::from(io::ErrorKind::UnexpectedEof))
}
