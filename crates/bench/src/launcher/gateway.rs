//! Gateways of a running fleet: start, signals, replacement and readiness.

use std::process;
use std::time;

use toucanledge_core::VmId;

use super::fleet::Fleet;
use super::process::{FleetSignal, find_binary};
use crate::daemon;

impl Fleet {
    /// Starts a gateway with the settings from its layout; a running process is killed first.
    ///
    /// # Errors
    ///
    /// Returns an error if the settings file cannot be written or the binary cannot be started.
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
    /// Returns an error if the signal cannot be sent.
    pub fn signal_gateway(&self, index: usize, signal: FleetSignal) -> daemon::BenchResult<()> {
        self.signal(&self.layout.gateways[index].name, signal)
    }

    /// Replaces a gateway by one with a new VM id and the same addresses; publishes the VM list.
    ///
    /// # Errors
    ///
    /// Returns an error that names the failed step.
    pub async fn replace_gateway(&mut self, index: usize) -> daemon::BenchResult<VmId> {
        let gateway = &mut self.layout.gateways[index];
        let (old, new) = (gateway.vm, VmId(self.next_vm_id));
        gateway.vm = new;
        self.next_vm_id += 1;
        for entry in self.vm_entries.iter_mut().filter(|entry| entry.vm == old) {
            entry.vm = new;
        }
        self.start_gateway(index)?;
        self.publish_list().await?;
        Ok(new)
    }

    /// Waits until all gateways are ready.
    ///
    /// # Errors
    ///
    /// Returns an error if a gateway exits or is not ready within the timeout.
    pub async fn wait_ready(&mut self, timeout: time::Duration) -> daemon::BenchResult<()> {
        for index in 0..self.layout.gateways.len() {
            self.wait_gateway_ready(index, timeout).await?;
        }
        Ok(())
    }

    /// Waits until a gateway is ready.
    ///
    /// # Errors
    ///
    /// Returns an error if the gateway exits or is not ready within the timeout.
    pub async fn wait_gateway_ready(
        &mut self,
        index: usize,
        timeout: time::Duration,
    ) -> daemon::BenchResult<()> {
        let gateway = &self.layout.gateways[index];
        let (name, status_address) = (gateway.name.clone(), gateway.status_address);
        self.wait_for_ok(&name, status_address, "/ready", timeout)
            .await
    }

    /// Waits until a process exits; returns its exit status, or none after the timeout.
    pub async fn wait_for_exit(
        &mut self,
        name: &str,
        timeout: time::Duration,
    ) -> Option<process::ExitStatus> {
        let deadline = time::Instant::now() + timeout;
        while time::Instant::now() < deadline {
            if let Some(status) = self.processes.get_mut(name)?.exit_status() {
                return Some(status);
            }
            tokio::time::sleep(time::Duration::from_millis(10)).await;
        }
        None
    }
}
