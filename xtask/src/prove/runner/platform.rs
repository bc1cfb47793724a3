//! Steps with backend servers, the platform and its tables.

use std::net;
use std::sync;

use rand::Rng;
use serde_json::{Value, json};
use toucanledge_bench::{
    BackendFaults, CallerClient, CallerRequest, PlatformFaults, ServerControl,
    TABLE_PROPAGATION_LIMIT_MS, TABLE_RECOVERY_LIMIT_MS, TableObservation, TablePublication,
    unix_millis,
};
use toucanledge_core::VmState;

use super::{
    READY_TIMEOUT, STATUS_POLL_INTERVAL, STATUS_TIMEOUT, ScenarioRunner, StepResult, error_text,
    lock,
};

impl ScenarioRunner {
    /// Replaces the faults of the platform.
    ///
    /// When the platform works again, tables published during an outage become visible.
    pub async fn set_platform_faults(&mut self, faults: PlatformFaults) -> StepResult<()> {
        let is_down = faults.outage || faults.stale;
        self.fleet()?
            .set_platform_faults(faults)
            .await
            .map_err(error_text)?;
        let now = unix_millis();
        for publication in &mut self.history.publications {
            if !is_down && publication.visible_at == u64::MAX {
                publication.visible_at = now;
                publication.limit_ms = TABLE_RECOVERY_LIMIT_MS;
            }
        }
        Ok(())
    }

    /// Replaces the faults of backend servers; with `is_healthy`, the servers still count for the
    /// floor.
    pub async fn set_faults(
        &mut self,
        servers: &[usize],
        faults: BackendFaults,
        is_healthy: bool,
    ) -> StepResult<()> {
        let is_none = faults == BackendFaults::default();
        let control = ServerControl {
            faults: Some(faults),
            ..ServerControl::default()
        };
        for index in servers {
            let name = self.fleet()?.layout.servers[*index].settings.name.clone();
            if !is_healthy && !is_none {
                self.history.start_fault(&name);
            }
        }
        let indices = servers.iter().copied();
        self.fleet()?
            .send_server_control(indices, &control)
            .await
            .map_err(error_text)?;
        for index in servers {
            let name = self.fleet()?.layout.servers[*index].settings.name.clone();
            if is_none {
                self.history.end_fault(&name, 0);
            }
        }
        Ok(())
    }

    /// Marks backend servers as leaving in the VM list; with `in_responses`, their responses also
    /// report it.
    pub async fn mark_leaving(&mut self, servers: &[usize], in_responses: bool) -> StepResult<()> {
        for index in servers {
            let fleet = self.fleet()?;
            let settings = fleet.layout.servers[*index].settings.clone();
            let entries = fleet
                .vm_entries
                .iter_mut()
                .filter(|entry| entry.vm == settings.vm);
            entries.for_each(|entry| entry.state = VmState::Leaving);
            self.history.start_fault(&settings.name);
            self.history.leaving.push((settings.name, unix_millis()));
        }
        self.fleet()?.publish_list().await.map_err(error_text)?;
        if in_responses {
            let control = ServerControl {
                faults: Some(BackendFaults {
                    leaving: true,
                    ..BackendFaults::default()
                }),
                ..ServerControl::default()
            };
            let indices = servers.iter().copied();
            self.fleet()?
                .send_server_control(indices, &control)
                .await
                .map_err(error_text)?;
        }
        Ok(())
    }

    /// Publishes changed tables of several operators, all based on the current revision.
    ///
    /// Gateways must accept only the first: the others stand for concurrent edits.
    pub async fn publish_edits(
        &mut self,
        operators: usize,
        is_valid: bool,
        is_visible: bool,
    ) -> StepResult<()> {
        let (path, control) = (
            "/v1/value/table/head",
            self.fleet()?.layout.platform_control,
        );
        let get = CallerRequest::new(hyper::Method::GET, path);
        let response = CallerClient::default()
            .send(control, &get, READY_TIMEOUT)
            .await;
        let response = response.map_err(|failure| failure.to_string())?;
        let based_on: u64 = response.header("platform-revision").parse().unwrap_or(0);
        for number in 0..operators {
            let mut rows = self.fleet()?.table_rows();
            let weight = 1.0 + f64::from(self.random.random_range(1..100_u8)) / 100.0;
            rows[0]["weight"] = weight.into();
            if !is_valid {
                rows.push(json!({"class": "broken", "pool": "nowhere", "floor": 2.0}));
            }
            let editor = format!("operator-{number}");
            let head = json!({"based_on": based_on, "editor": editor, "rows": rows});
            let put = hyper::Method::PUT;
            let published_at = unix_millis();
            let response = self
                .fleet()?
                .send_control_request(put, control, path, &head)
                .await;
            let revision: u64 = response.map_err(error_text)?;
            self.history.publications.push(TablePublication {
                revision,
                visible_at: if is_visible { published_at } else { u64::MAX },
                is_accepted: is_valid && based_on + 1 == revision,
                limit_ms: TABLE_PROPAGATION_LIMIT_MS,
            });
        }
        Ok(())
    }

    /// Polls the table revision of all gateways until the next check.
    pub fn poll_table_revisions(&mut self) -> StepResult<()> {
        let _context = self.handle.enter();
        for gateway in self.fleet()?.layout.gateways.clone() {
            let table_observations = sync::Arc::clone(&self.table_observations);
            self.pollers.push(tokio::spawn(poll_table_revision(
                gateway.name,
                gateway.status_address,
                table_observations,
            )));
        }
        Ok(())
    }
}

/// Records the table revision on the status page of a gateway until the task is aborted.
async fn poll_table_revision(
    name: String,
    status_address: net::SocketAddr,
    table_observations: sync::Arc<sync::Mutex<Vec<TableObservation>>>,
) {
    let client = CallerClient::default();
    let request = CallerRequest::new(hyper::Method::GET, "/status");
    loop {
        let requested_at = unix_millis();
        let response = client.send(status_address, &request, STATUS_TIMEOUT).await;
        let page: Option<Value> = response.ok().and_then(|response| response.json().ok());
        if let Some(revision) = page.and_then(|page| page["table_revision"].as_u64()) {
            lock(&table_observations).push(TableObservation {
                gateway: name.clone(),
                requested_at,
                revision,
            });
        }
        tokio::time::sleep(STATUS_POLL_INTERVAL).await;
    }
}
