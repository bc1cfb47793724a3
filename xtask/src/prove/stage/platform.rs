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

use super::{READY_LIMIT, STATUS_LIMIT, Stage, StepResult, WATCH_PERIOD, lock, text};

impl Stage {
    /// Sets the faults of the platform.
    pub async fn set_platform(&mut self, faults: PlatformFaults) -> StepResult<()> {
        let is_down = faults.outage || faults.stale;
        self.fleet()?
            .set_platform_faults(faults)
            .await
            .map_err(text)?;
        let now = unix_millis();
        for publication in &mut self.journal.publications {
            if !is_down && publication.visible_at == u64::MAX {
                publication.visible_at = now;
                publication.limit_ms = TABLE_RECOVERY_LIMIT_MS;
            }
        }
        Ok(())
    }

    /// Sets the faults of backend servers; `is_healthy` says that they must still get work.
    pub async fn set_faults(
        &mut self,
        servers: &[usize],
        faults: BackendFaults,
        is_healthy: bool,
    ) -> StepResult<()> {
        let is_none = faults == BackendFaults::default();
        let order = ServerControl {
            faults: Some(faults),
            ..ServerControl::default()
        };
        for index in servers {
            let name = self.fleet()?.layout.servers[*index].settings.name.clone();
            if !is_healthy && !is_none {
                self.journal.open_fault(&name);
            }
        }
        let listed = servers.iter().copied();
        self.fleet()?
            .send_server_control(listed, &order)
            .await
            .map_err(text)?;
        for index in servers {
            let name = self.fleet()?.layout.servers[*index].settings.name.clone();
            if is_none {
                self.journal.close_fault(&name, 0);
            }
        }
        Ok(())
    }

    /// Marks backend servers as leaving in the VM list; `drains` says that they tell it as well.
    pub async fn leave(&mut self, servers: &[usize], drains: bool) -> StepResult<()> {
        for index in servers {
            let fleet = self.fleet()?;
            let settings = fleet.layout.servers[*index].settings.clone();
            let entries = fleet
                .vm_entries
                .iter_mut()
                .filter(|entry| entry.vm == settings.vm);
            entries.for_each(|entry| entry.state = VmState::Leaving);
            self.journal.open_fault(&settings.name);
            self.journal.leaving.push((settings.name, unix_millis()));
        }
        self.fleet()?.publish_list().await.map_err(text)?;
        if drains {
            let order = ServerControl {
                faults: Some(BackendFaults {
                    leaving: true,
                    ..BackendFaults::default()
                }),
                ..ServerControl::default()
            };
            let listed = servers.iter().copied();
            self.fleet()?
                .send_server_control(listed, &order)
                .await
                .map_err(text)?;
        }
        Ok(())
    }

    /// Publishes a changed table `times` times, all based on the revision before the first.
    ///
    /// Only the first is to be accepted: the others are those of operators who edit at once.
    pub async fn edit(&mut self, times: usize, is_valid: bool, is_visible: bool) -> StepResult<()> {
        let (path, control) = (
            "/v1/value/table/head",
            self.fleet()?.layout.platform_control,
        );
        let get = CallerRequest::new(hyper::Method::GET, path);
        let present = CallerClient::default()
            .send(control, &get, READY_LIMIT)
            .await;
        let present = present.map_err(|failure| failure.to_string())?;
        let based_on: u64 = present.header("platform-revision").parse().unwrap_or(0);
        for number in 0..times {
            let mut rows = self.fleet()?.table_rows();
            let weight = 1.0 + f64::from(self.random.random_range(1..100_u8)) / 100.0;
            rows[0]["weight"] = weight.into();
            if !is_valid {
                rows.push(json!({"class": "broken", "pool": "nowhere", "floor": 2.0}));
            }
            let editor = format!("operator-{number}");
            let head = json!({"based_on": based_on, "editor": editor, "rows": rows});
            let put = hyper::Method::PUT;
            let visible = unix_millis();
            let order = self
                .fleet()?
                .send_control_request(put, control, path, &head)
                .await;
            let revision: u64 = order.map_err(text)?;
            self.journal.publications.push(TablePublication {
                revision,
                visible_at: if is_visible { visible } else { u64::MAX },
                is_accepted: is_valid && based_on + 1 == revision,
                limit_ms: TABLE_PROPAGATION_LIMIT_MS,
            });
        }
        Ok(())
    }

    /// Looks at the status of all gateways until the scenario ends.
    pub fn watch_tables(&mut self) -> StepResult<()> {
        let _context = self.handle.enter();
        for place in self.fleet()?.layout.gateways.clone() {
            let sights = sync::Arc::clone(&self.sights);
            self.watchers.push(tokio::spawn(watch_table(
                place.name,
                place.status_address,
                sights,
            )));
        }
        Ok(())
    }
}

async fn watch_table(
    name: String,
    status: net::SocketAddr,
    sights: sync::Arc<sync::Mutex<Vec<TableObservation>>>,
) {
    let client = CallerClient::default();
    let request = CallerRequest::new(hyper::Method::GET, "/status");
    loop {
        let asked = unix_millis();
        let answer = client.send(status, &request, STATUS_LIMIT).await;
        let page: Option<Value> = answer.ok().and_then(|answer| answer.json().ok());
        if let Some(revision) = page.and_then(|page| page["table_revision"].as_u64()) {
            lock(&sights).push(TableObservation {
                gateway: name.clone(),
                requested_at: asked,
                revision,
            });
        }
        tokio::time::sleep(WATCH_PERIOD).await;
    }
}
