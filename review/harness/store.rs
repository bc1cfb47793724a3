//! Stand-in of the platform's store, by PROTOCOL.md: `kv-key` is not needed, `kv-range` and
//! `kv-watch` are.

use std::collections::BTreeMap;
use std::io;
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;

/// Limits of a page of `kv-range`.
const PAGE_ITEMS: usize = 500;
const PAGE_BYTES: usize = 1_000_000;
/// Time of an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);

struct Item {
    revision: u64,
    created: u64,
    value: Vec<u8>,
}

struct Event {
    revision: u64,
    key: String,
    value: Option<Vec<u8>>,
}

#[derive(Default)]
struct State {
    items: BTreeMap<String, Item>,
    events: Vec<Event>,
    revision: u64,
}

/// A store that accepts changes of the test and answers reads of the gateways. It keeps all of its
/// history and loses nothing.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    /// Starts an empty store.
    pub fn start(address: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let shared = Arc::new((Mutex::new(State::default()), Condvar::new()));
        let store = Self {
            address: listener.local_addr()?,
            shared,
        };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    /// Writes several records, or deletes those without a value, in one step.
    pub fn put_all(&self, records: Vec<(String, Option<Vec<u8>>)>) {
        let mut state = self.shared.0.lock().unwrap();
        for (key, value) in records {
            state.revision += 1;
            let revision = state.revision;
            match &value {
                Some(value) => {
                    let created = state.items.get(&key).map_or(revision, |item| item.created);
                    let item = Item {
                        revision,
                        created,
                        value: value.clone(),
                    };
                    state.items.insert(key.clone(), item);
                }
                None => drop(state.items.remove(&key)),
            }
            state.events.push(Event {
                revision,
                key,
                value,
            });
        }
        self.shared.1.notify_all();
    }

    /// Writes a record.
    pub fn put(&self, key: &str, value: &str) {
        self.put_all(vec![(key.to_owned(), Some(value.as_bytes().to_vec()))]);
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = http::read_message(&mut reader) {
            thread::sleep(ANSWER_TIME);
            let (path, query) = request.target().split_once('?').unwrap_or_default();
            let (status, body) = match path {
                "/kv-range" => ("200 OK", self.range(query)),
                "/kv-watch" => ("200 OK", self.watch(query)),
                _ => ("404 Not Found", "{}".to_owned()),
            };
            let headers = [("Content-Type", "application/json")];
            if http::write_response(&mut writer, status, &headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn range(&self, query: &str) -> String {
        let state = self.shared.0.lock().unwrap();
        let prefix = parameter(query, "prefix");
        let after = parameter(query, "after");
        let mut items = Vec::new();
        let mut bytes = 0;
        let mut has_more = false;
        for (key, item) in &state.items {
            if !key.starts_with(&prefix) || (!after.is_empty() && *key <= after) {
                continue;
            }
            let fits = items.len() < PAGE_ITEMS && bytes + item.value.len() <= PAGE_BYTES;
            if !items.is_empty() && !fits {
                has_more = true;
                break;
            }
            bytes += item.value.len();
            items.push(item_text(key, item.revision, item.created, &item.value));
        }
        format!(
            r#"{{"items":[{}],"has_more":{has_more},"store_revision":{}}}"#,
            items.join(","),
            state.revision
        )
    }

    fn watch(&self, query: &str) -> String {
        let prefix = parameter(query, "prefix");
        let after: u64 = parameter(query, "after").parse().unwrap_or(0);
        let wait_ms: u64 = parameter(query, "wait_ms").parse().unwrap_or(0);
        let end = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
        let mut state = self.shared.0.lock().unwrap();
        loop {
            let events: Vec<String> = state
                .events
                .iter()
                .filter(|event| event.revision > after && event.key.starts_with(&prefix))
                .map(|event| match &event.value {
                    Some(value) => item_text(&event.key, event.revision, event.revision, value),
                    None => format!(
                        r#"{{"key":"{}","revision":{},"deleted":true}}"#,
                        event.key, event.revision
                    ),
                })
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return format!(
                    r#"{{"events":[{}],"store_revision":{}}}"#,
                    events.join(","),
                    state.revision
                );
            }
            state = self.shared.1.wait_timeout(state, left).unwrap().0;
        }
    }
}

fn item_text(key: &str, revision: u64, created: u64, value: &[u8]) -> String {
    format!(
        r#"{{"key":"{key}","value":"{}","revision":{revision},"create_revision":{created},"lease":0}}"#,
        base64(value)
    )
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::with_capacity(bytes.len().div_ceil(3) * 4);
    for chunk in bytes.chunks(3) {
        let mut group = [0; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let [first, second, third] = group.map(u32::from);
        let bits = (first << 16) | (second << 8) | third;
        for digit in 0..4 {
            if digit <= chunk.len() {
                let index = (bits >> (18 - 6 * digit)) & 63;
                text.push(char::from(DIGITS[index as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}

fn parameter(query: &str, name: &str) -> String {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let value = pairs.into_iter().find(|(known, _)| *known == name);
    decode_percent(value.map_or("", |(_, value)| value))
}

fn decode_percent(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((first, after)) = rest.split_first() {
        let hex = after.get(..2).and_then(|hex| std::str::from_utf8(hex).ok());
        match hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) if *first == b'%' => {
                bytes.push(byte);
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
