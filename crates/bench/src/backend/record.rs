//! Records of the requests that the backend servers of a process received.

use std::collections;
use std::io::Write;
use std::net;
use std::sync;

use serde::{Deserialize, Serialize};

use crate::timer;

/// One request as a backend server received it; times are Unix times in milliseconds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(expecting = "struct RunRecord")]
pub struct BackendRequestRecord {
    /// Name of the backend server.
    pub server: String,
    /// Value of `Idempotency-Key`, or the work key in `request-nonce` if there is none.
    pub key: String,
    /// Value of `request-nonce`.
    pub nonce: String,
    /// Value of `backend-request-id`.
    pub request: String,
    /// Value of `x-caller`.
    pub caller: String,
    /// IP address that the connection came from.
    pub source: net::IpAddr,
    /// Method and path.
    pub target: String,
    /// When the request headers were read.
    pub arrived: u64,
    /// When a slot began to run it; none if it was shed or cancelled before that.
    pub started: Option<u64>,
    /// When it completed, was shed or was cancelled.
    pub ended: Option<u64>,
    /// Whether the work completed.
    pub completed: bool,
}

/// Request records of all backend servers of a process, in the order of arrival.
#[derive(Default)]
pub struct RequestLog {
    state: sync::Mutex<LogState>,
}

#[derive(Default)]
struct LogState {
    next_id: u64,
    records: collections::BTreeMap<u64, BackendRequestRecord>,
}

/// Guard of an unfinished record; dropping it records the end of the request without completion.
pub struct RecordGuard {
    log: sync::Arc<RequestLog>,
    id: u64,
}

impl RequestLog {
    /// Adds a record and returns its guard.
    pub fn begin(self: &sync::Arc<Self>, record: BackendRequestRecord) -> RecordGuard {
        let mut state = self.lock();
        let id = state.next_id;
        state.next_id += 1;
        state.records.insert(id, record);
        drop(state);
        RecordGuard {
            log: sync::Arc::clone(self),
            id,
        }
    }

    pub fn clear(&self) {
        self.lock().records.clear();
    }

    /// Returns all records as JSON lines.
    pub fn json_lines(&self) -> Vec<u8> {
        let mut lines = Vec::new();
        for record in self.lock().records.values() {
            if serde_json::to_writer(&mut lines, record).is_ok() {
                let _ = lines.write_all(b"\n");
            }
        }
        lines
    }

    fn update(&self, id: u64, change: impl FnOnce(&mut BackendRequestRecord)) {
        if let Some(record) = self.lock().records.get_mut(&id) {
            change(record);
        }
    }

    fn lock(&self) -> sync::MutexGuard<'_, LogState> {
        self.state.lock().expect("record lock is not poisoned")
    }
}

impl RecordGuard {
    /// Records that a slot began to run the request.
    pub fn mark_started(&self) {
        self.log.update(self.id, |record| {
            record.started = Some(timer::unix_millis());
        });
    }

    /// Records that the work completed.
    pub fn mark_completed(&self) {
        self.log.update(self.id, |record| {
            record.ended = Some(timer::unix_millis());
            record.completed = true;
        });
    }
}

impl Drop for RecordGuard {
    fn drop(&mut self) {
        self.log.update(self.id, |record| {
            record.ended.get_or_insert_with(timer::unix_millis);
        });
    }
}
