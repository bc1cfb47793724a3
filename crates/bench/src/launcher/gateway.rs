//! Gateways of a running fleet: start, stop, replacement and readiness.

use std::process;
use std::time;

use toucanledge_core::VmId;

use super::fleet::Fleet;
use super::process::{FleetSignal, find_binary};
use crate::daemon;

impl Fleet {
    /// Starts a gateway with the settings of its place; one that runs is killed first.
    ///
    /// # Errors
    ///
    /// Returns the file or binary that is missing.
    pub fn start_gateway(&mut self, index: usize) -> daemon::BenchResult<()> {
        let layout = self.layout.clone();
        let policy = self.config.policy.clone();
        let settings = layout.gateway_settings(index, policy.as_deref());
        let binary = match &self.config.gateway_binary {
            Some(binary) => binary.clone(),
            None => find_binary("toucanledge-gateway")?,
        };
        self.start_with_settings(&layout.gateways[index].name, &binary, &settings)
    }

    /// Sends a signal to a gateway.
    ///
    /// # Errors
    ///
    /// Returns why the signal could not be sent.
    pub fn signal_gateway(&self, index: usize, signal: FleetSignal) -> daemon::BenchResult<()> {
        self.signal(&self.layout.gateways[index].name, signal)
    }

    /// Replaces a gateway by one with a new VM id at the same place and publishes the list.
    ///
    /// # Errors
    ///
    /// Returns the step that failed.
    pub async fn replace_gateway(&mut self, index: usize) -> daemon::BenchResult<VmId> {
        let place = &mut self.layout.gateways[index];
        let (old, new) = (place.vm, VmId(self.next_vm));
        place.vm = new;
        self.next_vm += 1;
        for entry in self.vm_entries.iter_mut().filter(|entry| entry.vm == old) {
            entry.vm = new;
        }
        self.start_gateway(index)?;
        self.publish_list().await?;
        Ok(new)
    }

    /// Waits until all gateways response ready.
    ///
    /// # Errors
    ///
    /// Returns the gateway that ended or is not ready within the limit.
    pub async fn wait_ready(&mut self, limit: time::Duration) -> daemon::BenchResult<()> {
        for index in 0..self.layout.gateways.len() {
            self.wait_gateway_ready(index, limit).await?;
        }
        Ok(())
    }

    /// Waits until a gateway answers ready.
    ///
    /// # Errors
    ///
    /// Returns that the gateway ended or is not ready within the limit.
    pub async fn wait_gateway_ready(
        &mut self,
        index: usize,
        limit: time::Duration,
    ) -> daemon::BenchResult<()> {
        let place = &self.layout.gateways[index];
        let (name, status) = (place.name.clone(), place.status_address);
        self.wait_for_ok(&name, status, "/ready", limit).await
    }

    /// Waits until a process ends and returns its status, or none after the limit.
    pub async fn wait_for_exit(
        &mut self,
        name: &str,
        limit: time::Duration,
    ) -> Option<process::ExitStatus> {
        let until = time::Instant::now() + limit;
        while time::Instant::now() < until {
            if let Some(status) = self.processes.get_mut(name)?.exit_status() {
                return Some(status);
            }
            tokio::time::sleep(time::Duration::from_millis(10)).await;
        }
        None
    }
}
