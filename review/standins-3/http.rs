//! The part of HTTP/1.1 that the stand-ins speak.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

/// A request that a stand-in received.
#[derive(Clone, Debug, Default)]
pub struct Request {
    pub method: String,
    /// The path with its query.
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    /// Returns the value of a header, empty if there is none.
    pub fn header(&self, name: &str) -> String {
        header_of(&self.headers, name)
    }

    /// Returns the value of a parameter of the query, empty if there is none.
    pub fn query(&self, name: &str) -> String {
        let query = self.path.split_once('?').map_or("", |(_, query)| query);
        let found = query.split('&').find_map(|pair| {
            let (known, value) = pair.split_once('=').unwrap_or((pair, ""));
            (known == name).then(|| decode_percent(value))
        });
        found.unwrap_or_default()
    }
}

/// An answer that a client received.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// 0 if no head arrived.
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the answer is whole by its framing.
    pub is_whole: bool,
    /// The reason for which it is not, empty otherwise.
    pub fault: String,
}

impl Answer {
    /// Returns the value of a header, empty if there is none.
    pub fn header(&self, name: &str) -> String {
        header_of(&self.headers, name)
    }

    /// Returns whether the answer is a whole success with an engine's signature.
    pub fn is_served(&self) -> bool {
        let is_success = (200..300).contains(&self.status);
        is_success && self.is_whole && !self.header("x-response-signature").is_empty()
    }
}

fn header_of(headers: &[(String, String)], name: &str) -> String {
    let mut headers = headers.iter();
    let found = headers.find(|(known, _)| known.eq_ignore_ascii_case(name));
    found.map_or_else(String::new, |(_, value)| value.clone())
}

fn decode_percent(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((first, after)) = rest.split_first() {
        let digits = after.get(..2).and_then(|digits| std::str::from_utf8(digits).ok());
        let code = digits.and_then(|digits| u8::from_str_radix(digits, 16).ok());
        match (first, code) {
            (b'%', Some(code)) => {
                bytes.push(code);
                rest = &after[2..];
            }
            _ => {
                bytes.push(*first);
                rest = after;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Reads a head: its first line and its headers; `None` at the end of the connection.
fn read_head<R: BufRead>(reader: &mut R) -> std::io::Result<Option<(String, Vec<(String, String)>)>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(std::io::Error::other("the head is cut"));
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some((first.trim_end().to_owned(), headers)));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.to_owned(), value.trim().to_owned()));
        }
    }
}

/// Reads chunks to their end, and passes each on.
fn read_chunks<R: BufRead>(reader: &mut R, mut take: impl FnMut(&[u8])) -> std::io::Result<()> {
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(std::io::Error::other("the chunks are cut"));
        }
        let size = line.trim().split(';').next().unwrap_or_default();
        let size = usize::from_str_radix(size, 16).map_err(std::io::Error::other)?;
        let mut chunk = vec![0; size + 2];
        reader.read_exact(&mut chunk)?;
        if size == 0 {
            return Ok(());
        }
        take(&chunk[..size]);
    }
}

/// Reads the next request; `None` at the end of the connection.
pub fn read_request<R: BufRead>(reader: &mut R) -> std::io::Result<Option<Request>> {
    let Some((first, headers)) = read_head(reader)? else {
        return Ok(None);
    };
    let mut words = first.split(' ');
    let method = words.next().unwrap_or_default().to_owned();
    let path = words.next().unwrap_or_default().to_owned();
    let mut request = Request { method, path, headers, body: Vec::new() };
    if request.header("transfer-encoding").eq_ignore_ascii_case("chunked") {
        let mut body = Vec::new();
        read_chunks(reader, |chunk| body.extend_from_slice(chunk))?;
        request.body = body;
    } else if let Ok(length) = request.header("content-length").parse::<usize>() {
        request.body = vec![0; length];
        reader.read_exact(&mut request.body)?;
    }
    Ok(Some(request))
}

/// Writes an answer with a whole body.
pub fn write_answer(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> std::io::Result<()> {
    let mut text = format!("HTTP/1.1 {status} Status\r\ncontent-length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// Writes the head of an answer that is sent in chunks.
pub fn write_chunked_head(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(&str, &str)],
) -> std::io::Result<()> {
    let mut text = format!("HTTP/1.1 {status} Status\r\ntransfer-encoding: chunked\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    stream.write_all(text.as_bytes())
}

/// Writes one chunk; an empty one ends the body.
pub fn write_chunk(stream: &mut TcpStream, bytes: &[u8]) -> std::io::Result<()> {
    let mut chunk = format!("{:x}\r\n", bytes.len()).into_bytes();
    chunk.extend_from_slice(bytes);
    chunk.extend_from_slice(b"\r\n");
    stream.write_all(&chunk)
}

/// A client's connection, which is kept for further requests.
pub struct Connection {
    reader: BufReader<TcpStream>,
    stream: TcpStream,
}

impl Connection {
    /// Opens a connection within a second, as clients do.
    pub fn open(address: SocketAddr) -> std::io::Result<Connection> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        Ok(Connection {
            reader: BufReader::new(stream.try_clone()?),
            stream,
        })
    }

    /// Sends a request and reads its answer, for `wait` at most.
    pub fn call(
        &mut self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &[u8],
        wait: Duration,
    ) -> Answer {
        let mut answer = Answer::default();
        if let Err(error) = self.exchange(method, path, headers, body, wait, &mut answer) {
            answer.fault = error.to_string();
        }
        answer
    }

    fn exchange(
        &mut self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &[u8],
        wait: Duration,
        answer: &mut Answer,
    ) -> std::io::Result<()> {
        let until = Instant::now() + wait;
        self.stream.set_read_timeout(Some(wait))?;
        let mut head = format!("{method} {path} HTTP/1.1\r\n");
        for (name, value) in headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        if !body.is_empty() || method == "POST" {
            head.push_str(&format!("content-length: {}\r\n", body.len()));
        }
        head.push_str("\r\n");
        self.stream.write_all(head.as_bytes())?;
        self.stream.write_all(body)?;
        let found = read_head(&mut self.reader)?;
        let (first, headers) = found.ok_or_else(|| std::io::Error::other("closed without an answer"))?;
        let status = first.split(' ').nth(1).and_then(|status| status.parse().ok());
        answer.status = status.unwrap_or_default();
        answer.headers = headers;
        if answer.header("transfer-encoding").eq_ignore_ascii_case("chunked") {
            let body = &mut answer.body;
            let stream = &self.stream;
            read_chunks(&mut self.reader, |chunk| {
                body.extend_from_slice(chunk);
                let left = until.saturating_duration_since(Instant::now());
                let _ = stream.set_read_timeout(Some(left.max(Duration::from_millis(1))));
            })?;
        } else {
            let length = answer.header("content-length").parse().unwrap_or(0);
            answer.body = vec![0; length];
            self.reader.read_exact(&mut answer.body)?;
        }
        answer.is_whole = true;
        Ok(())
    }
}

/// Sends one request on a connection of its own.
pub fn call_once(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    wait: Duration,
) -> Answer {
    match Connection::open(address) {
        Ok(mut connection) => connection.call(method, path, headers, body, wait),
        Err(error) => Answer {
            fault: format!("can't connect: {error}"),
            ..Answer::default()
        },
    }
}
