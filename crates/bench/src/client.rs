//! HTTP/1.1 client of the load generator, the tests and the launcher.

use std::net;
use std::time;

use http_body_util::BodyExt;
use hyper::body;
use hyper_util::client::legacy;
use hyper_util::rt;

type RequestBody = http_body_util::Full<bytes::Bytes>;

/// HTTP request of a caller.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// HTTP method.
    pub method: hyper::Method,
    /// Path with query.
    pub path: String,
    /// Header names and values.
    pub headers: Vec<(String, String)>,
    /// Body; may be empty.
    pub body: bytes::Bytes,
}

/// HTTP response that a caller received, complete or truncated.
#[derive(Clone, Debug)]
pub struct CallerResponse {
    /// HTTP status.
    pub status: u16,
    /// Header fields.
    pub headers: hyper::HeaderMap,
    /// Body, as far as it was received.
    pub body: bytes::Bytes,
    /// Whether the connection failed before the end of the body.
    pub truncated: bool,
    /// Time from sending the request until the response headers arrived.
    pub first_byte: time::Duration,
    /// Time from sending the request until the end of the body.
    pub latency: time::Duration,
}

/// Why a caller received no response.
#[derive(Clone, Debug, PartialEq, Eq, strum::Display)]
pub enum CallerFailure {
    /// No connection could be opened, so nothing was sent.
    #[strum(to_string = "connect failed: {0}")]
    Connect(String),
    /// The connection failed when the request may already have been sent.
    #[strum(to_string = "connection lost: {0}")]
    Transport(String),
    /// The response was not complete within the timeout.
    #[strum(to_string = "no answer within the limit")]
    TimedOut,
}

impl std::error::Error for CallerFailure {}

/// HTTP client with a connection pool; each connection carries one request at a time.
pub struct CallerClient(legacy::Client<legacy::connect::HttpConnector, RequestBody>);

impl CallerRequest {
    /// Returns a request without header fields and body.
    #[must_use]
    pub fn new(method: hyper::Method, path: impl Into<String>) -> Self {
        Self {
            method,
            path: path.into(),
            headers: Vec::new(),
            body: bytes::Bytes::new(),
        }
    }

    /// Adds a header field.
    #[must_use]
    pub fn header(mut self, name: &str, value: impl Into<String>) -> Self {
        self.headers.push((name.to_owned(), value.into()));
        self
    }

    /// Sets the body.
    #[must_use]
    pub fn body(mut self, body: impl Into<bytes::Bytes>) -> Self {
        self.body = body.into();
        self
    }

    /// Sets a body in JSON.
    ///
    /// # Panics
    ///
    /// Panics if the value cannot be serialized as JSON.
    #[must_use]
    pub fn json(self, value: &impl serde::Serialize) -> Self {
        self.body(serde_json::to_vec(value).expect("the value can be serialized as JSON"))
    }

    fn build(
        &self,
        address: net::SocketAddr,
    ) -> Result<hyper::Request<RequestBody>, CallerFailure> {
        let mut builder = hyper::Request::builder()
            .method(&self.method)
            .uri(format!("http://{address}{}", self.path));
        for (name, value) in &self.headers {
            builder = builder.header(name, value);
        }
        builder
            .body(RequestBody::new(self.body.clone()))
            .map_err(|error| CallerFailure::Connect(error.to_string()))
    }
}

impl CallerResponse {
    /// Returns the value of a header field, or an empty string.
    #[must_use]
    pub fn header(&self, name: &str) -> &str {
        let value = self.headers.get(name);
        value
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
    }

    /// Returns the body as text; bytes that are not UTF-8 are replaced.
    #[must_use]
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Reads the body as JSON.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is not valid JSON for the type.
    pub fn json<T: serde::de::DeserializeOwned>(&self) -> serde_json::Result<T> {
        serde_json::from_slice(&self.body)
    }
}

impl Default for CallerClient {
    fn default() -> Self {
        Self::from_source(None)
    }
}

impl CallerClient {
    /// Returns a client whose connections use this source IP address, if one is given.
    #[must_use]
    pub fn from_source(source: Option<net::IpAddr>) -> Self {
        let mut connector = legacy::connect::HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_local_address(source);
        Self(legacy::Client::builder(rt::TokioExecutor::new()).build(connector))
    }

    /// Sends a request and reads the complete response within the timeout.
    ///
    /// # Errors
    ///
    /// Returns an error if no response headers were received or the timeout expired. A response
    /// whose body ends early is not an error; it is marked as truncated.
    pub async fn send(
        &self,
        address: net::SocketAddr,
        request: &CallerRequest,
        timeout: time::Duration,
    ) -> Result<CallerResponse, CallerFailure> {
        tokio::time::timeout(timeout, self.send_without_timeout(address, request))
            .await
            .unwrap_or(Err(CallerFailure::TimedOut))
    }

    async fn send_without_timeout(
        &self,
        address: net::SocketAddr,
        request: &CallerRequest,
    ) -> Result<CallerResponse, CallerFailure> {
        let started = time::Instant::now();
        let response = self.0.request(request.build(address)?).await;
        let response = response.map_err(CallerFailure::from)?;
        let first_byte = started.elapsed();
        let (parts, body) = response.into_parts();
        let (body, truncated) = read_to_end(body).await;
        Ok(CallerResponse {
            status: parts.status.as_u16(),
            headers: parts.headers,
            body,
            truncated,
            first_byte,
            latency: started.elapsed(),
        })
    }
}

impl From<legacy::Error> for CallerFailure {
    fn from(error: legacy::Error) -> Self {
        let text = format!("{error:?}");
        if error.is_connect() {
            Self::Connect(text)
        } else {
            Self::Transport(text)
        }
    }
}

/// Reads a body to its end; the second value is whether it was truncated.
async fn read_to_end(mut body: body::Incoming) -> (bytes::Bytes, bool) {
    let mut bytes = bytes::BytesMut::new();
    while let Some(frame) = body.frame().await {
        match frame {
            Ok(frame) => bytes.extend_from_slice(frame.data_ref().map_or(&[][..], |data| data)),
            Err(_) => return (bytes.freeze(), true),
        }
    }
    (bytes.freeze(), false)
}
