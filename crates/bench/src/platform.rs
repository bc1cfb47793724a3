//! Platform stand-in: value store, VM list and their watches.

use std::collections;
use std::net;
use std::sync;
use std::time;

use error_stack::ResultExt;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use toucanledge_core::{ListVersion, VmEntry, VmList};

use crate::daemon;
use crate::http;

/// Largest value that the platform stores.
const VALUE_LIMIT_BYTES: usize = 1_000_000;

/// Time after which a watch without a change returns status 304.
const WATCH_TIMEOUT_SECONDS: u64 = 30;

/// Faults of the platform stand-in; the default has none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Connections are refused, and open ones are dropped.
    pub outage: bool,
    /// Readers see the values and the VM list as they were when this was switched on.
    pub stale: bool,
    /// Readers see the VM list with this delay in ms.
    pub lag_ms: u64,
}

/// Active faults, and the calls counted since the last reset.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PlatformStatus {
    /// Active faults.
    pub faults: PlatformFaults,
    /// Calls of all kinds.
    pub total_calls: u64,
    /// Calls by kind: `value`, `watch`, `vms` and `vms-watch`; a watch is one call however long it
    /// waits.
    pub calls: collections::BTreeMap<String, u64>,
}

#[derive(Clone)]
struct StoredValue {
    revision: u64,
    bytes: bytes::Bytes,
}

type ValueMap = collections::HashMap<String, StoredValue>;

/// What readers see while the platform is stale.
struct StaleSnapshot {
    values: ValueMap,
    list: sync::Arc<VmList>,
}

struct PlatformState {
    values: ValueMap,
    /// The initial empty VM list and all published ones with their times, oldest first.
    lists: Vec<(time::Instant, sync::Arc<VmList>)>,
    stale_snapshot: Option<StaleSnapshot>,
    faults: PlatformFaults,
    calls: collections::BTreeMap<String, u64>,
}

struct PlatformServer {
    state: sync::Mutex<PlatformState>,
    /// Incremented on every change that a watch may have to report.
    changes: watch::Sender<u64>,
    open: watch::Sender<bool>,
}

/// Body of a request that publishes a VM list.
#[derive(Deserialize)]
struct ListBody {
    vms: Vec<VmEntry>,
}

/// Serves the platform protocol on one address and the control endpoint on another.
///
/// The control endpoint also serves all paths of the platform protocol; faults do not apply to it
/// and its calls are not counted.
///
/// # Errors
///
/// Returns an error if an address cannot be bound or served.
pub async fn serve_platform(
    listen: net::SocketAddr,
    control: net::SocketAddr,
) -> daemon::BenchResult<()> {
    let listener = daemon::bind_tcp(listen).await?;
    let control_listener = daemon::bind_tcp(control).await?;
    let server = sync::Arc::new(PlatformServer::new());
    log::info!("serving the platform protocol on {listen}, control endpoint on {control}");
    let public = sync::Arc::clone(&server);
    let serving = http::serve_while_open(
        listener,
        server.open.subscribe(),
        time::Duration::ZERO,
        move |stream, _| {
            let server = sync::Arc::clone(&public);
            async move {
                http::serve_connection(stream, |request| server.handle_counted(request)).await;
            }
        },
    );
    let controlling = http::serve_control(control_listener, move |request| {
        let server = sync::Arc::clone(&server);
        async move { server.handle(request).await }
    });
    tokio::try_join!(serving, controlling).change_context_lazy(|| {
        daemon::step_error(format!(
            "serve the platform on {listen} or its control endpoint on {control}"
        ))
    })?;
    Ok(())
}

impl PlatformServer {
    fn new() -> Self {
        let state = PlatformState {
            values: ValueMap::new(),
            lists: vec![(time::Instant::now(), sync::Arc::default())],
            stale_snapshot: None,
            faults: PlatformFaults::default(),
            calls: collections::BTreeMap::new(),
        };
        Self {
            state: sync::Mutex::new(state),
            changes: watch::Sender::new(0),
            open: watch::Sender::new(true),
        }
    }

    fn lock(&self) -> sync::MutexGuard<'_, PlatformState> {
        self.state.lock().expect("platform lock is not poisoned")
    }

    fn notify(&self) {
        self.changes.send_modify(|count| *count += 1);
    }

    async fn handle_counted(self: &sync::Arc<Self>, request: http::Request) -> http::Response {
        if let Some(kind) = call_kind(&request) {
            *self.lock().calls.entry(kind.to_owned()).or_default() += 1;
        }
        self.handle(request).await
    }

    async fn handle(self: &sync::Arc<Self>, request: http::Request) -> http::Response {
        let path = request.uri().path().to_owned();
        let after = http::query_number(&request, "after").unwrap_or(0);
        match (request.method().as_str(), path.as_str()) {
            ("GET", "/v1/vms") => http::json_response(&*self.lock().visible_list()),
            ("GET", "/v1/vms/watch") => self.watch(|state| state.list_after(after)).await,
            ("PUT", "/v1/vms") => http::into_response(self.put_list(request)).await,
            ("GET", "/control") => http::json_response(&self.status()),
            ("PUT", "/control") => http::into_response(self.put_control(request)).await,
            ("DELETE", "/control/calls") => {
                self.lock().calls.clear();
                http::json_response(&self.status())
            }
            (method, path) => {
                if let Some(key) = path.strip_prefix("/v1/value/") {
                    return match method {
                        "GET" => self.get_value(key),
                        "PUT" => http::into_response(self.put_value(key, request)).await,
                        _ => http::response(405, "only GET and PUT"),
                    };
                }
                match path.strip_prefix("/v1/watch/") {
                    Some(key) => self.watch(|state| state.value_after(key, after)).await,
                    None => http::response(404, "no such path"),
                }
            }
        }
    }

    fn get_value(&self, key: &str) -> http::Response {
        let state = self.lock();
        state
            .visible_values()
            .get(key)
            .map_or_else(|| http::response(404, "no such key"), StoredValue::response)
    }

    /// Waits until `poll` returns a response; returns status 304 after the timeout.
    async fn watch(
        &self,
        poll: impl Fn(&PlatformState) -> Option<http::Response>,
    ) -> http::Response {
        let mut changed = self.changes.subscribe();
        let timeout = tokio::time::sleep(time::Duration::from_secs(WATCH_TIMEOUT_SECONDS));
        tokio::pin!(timeout);
        loop {
            changed.borrow_and_update();
            if let Some(response) = poll(&self.lock()) {
                return response;
            }
            tokio::select! {
                _ = changed.changed() => {}
                () = &mut timeout => return http::response(304, ""),
            }
        }
    }

    async fn put_value(
        &self,
        key: &str,
        request: http::Request,
    ) -> Result<http::Response, http::ErrorResponse> {
        let bytes = http::read_body(request, VALUE_LIMIT_BYTES).await?;
        let mut state = self.lock();
        let revision = state.values.get(key).map_or(1, |value| value.revision + 1);
        state
            .values
            .insert(key.to_owned(), StoredValue { revision, bytes });
        drop(state);
        self.notify();
        log::info!("value {key} stored at revision {revision}");
        Ok(with_revision(
            http::response(200, revision.to_string()),
            revision,
        ))
    }

    async fn put_list(
        self: &sync::Arc<Self>,
        request: http::Request,
    ) -> Result<http::Response, http::ErrorResponse> {
        let body: ListBody = http::read_json(request).await?;
        let mut state = self.lock();
        let version = ListVersion(state.newest_list().version.0 + 1);
        let list = VmList {
            version,
            vms: body.vms,
        };
        list.validate().map_err(|error| (400, error.to_string()))?;
        state
            .lists
            .push((time::Instant::now(), sync::Arc::new(list)));
        let lag = state.lag();
        drop(state);
        self.notify_after(lag);
        log::info!("VM list published at version {}", version.0);
        Ok(http::response(200, version.0.to_string()))
    }

    async fn put_control(
        self: &sync::Arc<Self>,
        request: http::Request,
    ) -> Result<http::Response, http::ErrorResponse> {
        let faults: PlatformFaults = http::read_json(request).await?;
        self.lock().set_faults(faults);
        self.open.send_replace(!faults.outage);
        self.notify();
        log::info!("faults changed: {faults:?}");
        Ok(http::json_response(&self.status()))
    }

    fn notify_after(self: &sync::Arc<Self>, lag: time::Duration) {
        if lag.is_zero() {
            return self.notify();
        }
        let server = sync::Arc::clone(self);
        tokio::spawn(async move {
            tokio::time::sleep(lag).await;
            server.notify();
        });
    }

    fn status(&self) -> PlatformStatus {
        let state = self.lock();
        PlatformStatus {
            faults: state.faults,
            total_calls: state.calls.values().sum(),
            calls: state.calls.clone(),
        }
    }
}

impl PlatformState {
    fn newest_list(&self) -> &sync::Arc<VmList> {
        &self.lists[self.lists.len() - 1].1
    }

    /// Returns the values that readers see.
    fn visible_values(&self) -> &ValueMap {
        self.stale_snapshot
            .as_ref()
            .map_or(&self.values, |snapshot| &snapshot.values)
    }

    /// Returns the VM list that readers see.
    fn visible_list(&self) -> sync::Arc<VmList> {
        if let Some(snapshot) = &self.stale_snapshot {
            return sync::Arc::clone(&snapshot.list);
        }
        let visible = self
            .lists
            .iter()
            .rev()
            .find(|(published, _)| published.elapsed() >= self.lag());
        sync::Arc::clone(visible.map_or(&self.lists[0].1, |(_, list)| list))
    }

    /// Returns the value if its revision is newer than `after`.
    fn value_after(&self, key: &str, after: u64) -> Option<http::Response> {
        let value = self.visible_values().get(key)?;
        (value.revision > after).then(|| value.response())
    }

    /// Returns the VM list if its version is newer than `after`.
    fn list_after(&self, after: u64) -> Option<http::Response> {
        let list = self.visible_list();
        (list.version.0 > after).then(|| http::json_response(&*list))
    }

    fn lag(&self) -> time::Duration {
        time::Duration::from_millis(self.faults.lag_ms)
    }

    fn set_faults(&mut self, faults: PlatformFaults) {
        self.faults = faults;
        if !faults.stale {
            self.stale_snapshot = None;
        } else if self.stale_snapshot.is_none() {
            self.stale_snapshot = Some(StaleSnapshot {
                values: self.values.clone(),
                list: self.visible_list(),
            });
        }
    }
}

impl StoredValue {
    fn response(&self) -> http::Response {
        with_revision(http::response(200, self.bytes.clone()), self.revision)
    }
}

fn with_revision(mut response: http::Response, revision: u64) -> http::Response {
    response
        .headers_mut()
        .insert("platform-revision", revision.into());
    response
}

/// Returns the kind under which a request is counted, or none if it is not counted.
fn call_kind(request: &http::Request) -> Option<&'static str> {
    if request.method() != hyper::Method::GET {
        return None;
    }
    match request.uri().path() {
        "/v1/vms" => Some("vms"),
        "/v1/vms/watch" => Some("vms-watch"),
        path if path.starts_with("/v1/value/") => Some("value"),
        path if path.starts_with("/v1/watch/") => Some("watch"),
        _ => None,
    }
}
