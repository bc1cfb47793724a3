//! Records of the requests that a process of backend servers received.

use std::collections;
use std::io::Write;
use std::net;
use std::sync;

use serde::{Deserialize, Serialize};

use crate::timer;

/// One request as a backend server saw it; times are in milliseconds since 1970.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(expecting = "struct RunRecord")]
pub struct BackendRequestRecord {
    /// Name of the backend server.
    pub server: String,
    /// Value of `Idempotency-Key`, or the work that `request-nonce` names when there is none.
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
    /// When the header was read.
    pub arrived: u64,
    /// When a slot began to run it; none when it was shed or canceled before.
    pub started: Option<u64>,
    /// When it ended, whether it ran, was shed or was canceled.
    pub ended: Option<u64>,
    /// Whether the work ran to its end.
    pub completed: bool,
}

/// Records of all servers of a process, in the order of arrival.
#[derive(Default)]
pub struct RecordLog {
    state: sync::Mutex<LogState>,
}

#[derive(Default)]
struct LogState {
    next: u64,
    records: collections::BTreeMap<u64, BackendRequestRecord>,
}

/// Open record of a request; dropping it records an end without completion.
pub struct OpenRecord {
    log: sync::Arc<RecordLog>,
    id: u64,
}

impl RecordLog {
    pub fn open(self: &sync::Arc<Self>, record: BackendRequestRecord) -> OpenRecord {
        let mut state = self.lock();
        let id = state.next;
        state.next += 1;
        state.records.insert(id, record);
        drop(state);
        OpenRecord {
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

impl OpenRecord {
    pub fn start(&self) {
        self.log.update(self.id, |record| {
            record.started = Some(timer::unix_millis());
        });
    }

    pub fn complete(&self) {
        self.log.update(self.id, |record| {
            record.ended = Some(timer::unix_millis());
            record.completed = true;
        });
    }
}

impl Drop for OpenRecord {
    fn drop(&mut self) {
        self.log.update(self.id, |record| {
            record.ended.get_or_insert_with(timer::unix_millis);
        });
    }
}
