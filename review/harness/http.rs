//! HTTP/1.1 messages, read and written as the stand-ins need them.

use std::io;
use std::io::{BufRead, Write};

/// A request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub start: String,
    /// Headers in their order, with names in lower case.
    pub headers: Vec<(String, String)>,
    /// Whole body.
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the status code of a response, or 0.
    pub fn status(&self) -> u16 {
        let code = self.start.split(' ').nth(1);
        code.and_then(|code| code.parse().ok()).unwrap_or(0)
    }

    /// Returns the path and the query of a request.
    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }

    /// Returns the length that the head states.
    pub fn stated_length(&self) -> Option<usize> {
        self.header("content-length")?.parse().ok()
    }
}

fn invalid(text: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, text.to_owned())
}

/// Reads the head of a message; `None` at the end of the connection.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    message.start = line.trim_end().to_owned();
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Err(invalid("the connection ended inside a head"));
        }
        let text = line.trim_end();
        if text.is_empty() {
            return Ok(Some(message));
        }
        let (name, value) = text.split_once(':').ok_or_else(|| invalid("bad header"))?;
        let header = (name.to_ascii_lowercase(), value.trim().to_owned());
        message.headers.push(header);
    }
}

/// Reads a message whose body has a stated length, or none.
pub fn read_message(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else {
        return Ok(None);
    };
    message.body = vec![0; message.stated_length().unwrap_or(0)];
    reader.read_exact(&mut message.body)?;
    Ok(Some(message))
}

/// Writes a response.
pub fn write_response(
    writer: &mut impl Write,
    status: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut head = format!("HTTP/1.1 {status}\r\n");
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    writer.write_all(head.as_bytes())?;
    writer.write_all(body)?;
    writer.flush()
}
