//! Stand-in of a client, by PROTOCOL.md.

use std::io;
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::fd::AsRawFd;
use std::time::{Duration, Instant};

use crate::http;
use crate::http::Message;

/// Host name of all routes.
pub const HOST: &str = "portal.example";
/// Time for which a client waits for a response beyond its time budget.
const PATIENCE: Duration = Duration::from_secs(1);
/// Part of a body that a client with a limited line reads at once.
const LINE_CHUNK_BYTES: usize = 64 * 1024;

/// How a request ended at the client.
#[derive(Debug)]
pub enum Ending {
    /// A complete response, with its status.
    Answer(Message),
    /// The connection ended after part of a response: bytes of the body received and stated.
    CutOff(usize, usize),
    /// The connection ended without a byte of a response.
    NoAnswer(io::Error),
}

/// A client's connection.
pub struct Caller {
    reader: BufReader<TcpStream>,
}

unsafe extern "C" {
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
}

const SOL_SOCKET: i32 = 1;
const SO_RCVBUF: i32 = 8;

impl Caller {
    /// Opens a connection to a gateway.
    pub fn connect(gateway: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&gateway, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        Ok(Self {
            reader: BufReader::with_capacity(LINE_CHUNK_BYTES, stream),
        })
    }

    /// Opens a connection with a small receive window, as on a line of limited bandwidth.
    pub fn connect_limited(gateway: SocketAddr, window_bytes: i32) -> io::Result<Self> {
        let caller = Self::connect(gateway)?;
        let socket = caller.reader.get_ref().as_raw_fd();
        let length = u32::try_from(size_of::<i32>()).unwrap();
        // SAFETY: the value lives during the call, and its length is that of an `i32`.
        let result = unsafe {
            setsockopt(
                socket,
                SOL_SOCKET,
                SO_RCVBUF,
                &raw const window_bytes,
                length,
            )
        };
        if result == 0 {
            Ok(caller)
        } else {
            Err(io::Error::last_os_error())
        }
    }

    /// Sends a request and waits for the whole response. With `bytes_per_s`, the body arrives at
    /// that rate.
    pub fn request(
        &mut self,
        method: &str,
        path: &str,
        id: &str,
        budget_ms: u64,
        bytes_per_s: Option<usize>,
    ) -> Ending {
        match self.exchange(method, path, id, budget_ms, bytes_per_s) {
            Ok(ending) => ending,
            Err(error) => Ending::NoAnswer(error),
        }
    }

    fn exchange(
        &mut self,
        method: &str,
        path: &str,
        id: &str,
        budget_ms: u64,
        bytes_per_s: Option<usize>,
    ) -> io::Result<Ending> {
        let timeout = Duration::from_millis(budget_ms) + PATIENCE;
        self.reader.get_ref().set_read_timeout(Some(timeout))?;
        let head = format!(
            "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Toucanledge-Attempt-Id: {id}\r\n\
             X-Toucanledge-Deadline-Ms: {budget_ms}\r\nContent-Length: 0\r\n\r\n"
        );
        self.reader.get_mut().write_all(head.as_bytes())?;
        let Some(mut message) = http::read_head(&mut self.reader)? else {
            return Err(io::ErrorKind::UnexpectedEof.into());
        };
        let stated = message.stated_length().unwrap_or(0);
        let start = Instant::now();
        let mut chunk = vec![0; LINE_CHUNK_BYTES];
        while message.body.len() < stated {
            if let Some(rate) = bytes_per_s {
                let due = message.body.len() as f64 / rate as f64;
                let due = Duration::from_secs_f64(due);
                std::thread::sleep(due.saturating_sub(start.elapsed()));
            }
            let wanted = chunk.len().min(stated - message.body.len());
            match self.reader.read(&mut chunk[..wanted]) {
                Ok(0) | Err(_) => return Ok(Ending::CutOff(message.body.len(), stated)),
                Ok(length) => message.body.extend_from_slice(&chunk[..length]),
            }
        }
        Ok(Ending::Answer(message))
    }
}
