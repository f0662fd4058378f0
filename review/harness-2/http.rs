//! A minimal HTTP/1.1 server and client over blocking sockets.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// A request or response as received.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// The request line or status line.
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut found = self.headers.iter().filter(|(key, _)| key.eq_ignore_ascii_case(name));
        found.next().map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.line.split(' ').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> Option<&str> {
        let query = self.target().split_once('?')?.1;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
    }

    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or_default()
    }
}

/// A connection that reads messages.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, buffer: Vec::new() }
    }

    pub fn open(address: SocketAddr, patience: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, patience)?;
        stream.set_read_timeout(Some(patience))?;
        Ok(Self::new(stream))
    }

    /// Reads more bytes; `false` at the end of the connection.
    fn fill(&mut self) -> io::Result<bool> {
        let mut bytes = [0; 16 * 1024];
        let count = self.stream.read(&mut bytes)?;
        self.buffer.extend_from_slice(&bytes[..count]);
        Ok(count > 0)
    }

    /// Reads the head of a message; `None` at the regular end of the connection.
    pub fn read_head(&mut self) -> io::Result<Option<Message>> {
        loop {
            if let Some(end) = find(&self.buffer, b"\r\n\r\n") {
                let head = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 4);
                let mut lines = head.split("\r\n");
                let line = lines.next().unwrap_or_default().to_owned();
                let headers = lines.filter_map(|line| line.split_once(':'));
                let headers = headers.map(|(key, value)| (key.to_owned(), value.trim().to_owned()));
                return Ok(Some(Message { line, headers: headers.collect(), body: Vec::new() }));
            }
            if !self.fill()? {
                if self.buffer.is_empty() {
                    return Ok(None);
                }
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    pub fn read_exact(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < length {
            if !self.fill()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..length).collect())
    }

    /// Reads one chunk; empty at the last one.
    pub fn read_chunk(&mut self) -> io::Result<Vec<u8>> {
        loop {
            if let Some(end) = find(&self.buffer, b"\r\n") {
                let size = String::from_utf8_lossy(&self.buffer[..end]).trim().to_owned();
                let size = usize::from_str_radix(&size, 16)
                    .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
                self.buffer.drain(..end + 2);
                let chunk = self.read_exact(size)?;
                self.read_exact(2)?;
                return Ok(chunk);
            }
            if !self.fill()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Reads a message with its body, which has a length or is chunked.
    pub fn read_message(&mut self) -> io::Result<Option<Message>> {
        let Some(mut message) = self.read_head()? else { return Ok(None) };
        if message.header("transfer-encoding").is_some_and(|value| value.contains("chunked")) {
            loop {
                let chunk = self.read_chunk()?;
                if chunk.is_empty() {
                    break;
                }
                message.body.extend(chunk);
            }
        } else {
            let length = message.header("content-length").and_then(|text| text.parse().ok());
            message.body = self.read_exact(length.unwrap_or(0))?;
        }
        Ok(Some(message))
    }
}

fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes.windows(pattern.len()).position(|window| window == pattern)
}

/// Formats a response with a body of known length.
pub fn response(status: u16, headers: &str, body: &[u8]) -> Vec<u8> {
    let head = format!("HTTP/1.1 {status} X\r\n{headers}Content-Length: {}\r\n\r\n", body.len());
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Sends a request on its own connection and reads the whole response.
pub fn call(address: SocketAddr, request: &[u8], patience: Duration) -> io::Result<Message> {
    let mut connection = Connection::open(address, patience)?;
    connection.stream.write_all(request)?;
    connection.read_message()?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}

/// What a server does with a connection that has been accepted.
pub type Serve = Arc<dyn Fn(Connection) + Send + Sync>;

/// A server, with a thread for each connection. It can be closed with all its connections.
#[derive(Clone)]
pub struct Server {
    pub address: SocketAddr,
    closed: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    pub fn start(listener: TcpListener, serve: Serve) -> Self {
        let address = listener.local_addr().expect("a bound listener has an address");
        let server = Self { address, closed: Arc::default(), open: Arc::default() };
        let accepting = server.clone();
        listener.set_nonblocking(true).expect("sockets can be made non-blocking");
        thread::spawn(move || accepting.accept(&listener, &serve));
        server
    }

    fn accept(&self, listener: &TcpListener, serve: &Serve) {
        while !self.closed.load(Ordering::SeqCst) {
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(Duration::from_millis(1));
                continue;
            };
            let _ = stream.set_nonblocking(false);
            if let Ok(copy) = stream.try_clone() {
                self.open.lock().unwrap().push(copy);
            }
            let serve = serve.clone();
            thread::spawn(move || serve(Connection::new(stream)));
        }
    }

    /// Ends as a crashed process would: nothing listens any more, and all connections close.
    pub fn close(&self) {
        self.closed.store(true, Ordering::SeqCst);
        thread::sleep(Duration::from_millis(2));
        for stream in self.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

/// Waits until `done` holds; `false` if it doesn't within `patience`.
pub fn wait_until(patience: Duration, mut done: impl FnMut() -> bool) -> bool {
    let began = Instant::now();
    while began.elapsed() < patience {
        if done() {
            return true;
        }
        thread::sleep(Duration::from_millis(20));
    }
    false
}
