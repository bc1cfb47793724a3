//! Steps with gateways: signals, restarts, replacements and one-way partitions.

use std::net;
use std::time;

use serde_json::Value;
use toucanledge_bench::{
    CallerClient, CallerRequest, FleetSignal, LinkDirection, LossMode, ProxyRule, unix_millis,
};

use super::{
    READY_TIMEOUT, STATUS_POLL_INTERVAL, STATUS_TIMEOUT, ScenarioRunner, StepResult, error_text,
};
use crate::prove::history::{GracefulStop, PropertyViolation};

/// Timeout for a new fleet to accept at-most-once requests.
const ESTABLISH_TIMEOUT: time::Duration = time::Duration::from_mins(1);
/// Time between two heartbeats of a gateway.
const HEARTBEAT_INTERVAL: time::Duration = time::Duration::from_millis(1300);

impl ScenarioRunner {
    /// Waits until every gateway of a new fleet may vote on claims.
    pub async fn wait_established(&mut self) -> StepResult<()> {
        if self.policy.as_deref() == Some("baseline") {
            return Ok(());
        }
        let client = CallerClient::default();
        let request = CallerRequest::new(hyper::Method::GET, "/status");
        let started = time::Instant::now();
        for gateway in self.fleet()?.layout.gateways.clone() {
            loop {
                let response = client
                    .send(gateway.status_address, &request, STATUS_TIMEOUT)
                    .await;
                let page: Option<Value> = response.ok().and_then(|response| response.json().ok());
                if page.is_some_and(|page| page["claims"]["established"] == true) {
                    break;
                }
                if started.elapsed() > ESTABLISH_TIMEOUT {
                    return Err(format!(
                        "{} is not established within {} s",
                        gateway.name,
                        ESTABLISH_TIMEOUT.as_secs()
                    ));
                }
                tokio::time::sleep(STATUS_POLL_INTERVAL).await;
            }
        }
        // Votes rely on heartbeats that report the peers as established, so wait for the next one.
        tokio::time::sleep(HEARTBEAT_INTERVAL).await;
        println!(
            "[prove]   all gateways are established, after a wait of {:.1} s",
            started.elapsed().as_secs_f64()
        );
        Ok(())
    }

    /// Sends a signal to gateways and records the fault or stop for the checks.
    pub fn signal(&mut self, gateways: &[usize], signal: FleetSignal) -> StepResult<()> {
        for index in gateways {
            let signalled_at = unix_millis();
            let fleet = self.fleet()?;
            fleet.signal_gateway(*index, signal).map_err(error_text)?;
            let gateway = fleet.layout.gateways[*index].clone();
            match signal {
                FleetSignal::Cont => self.history.end_fault(&gateway.name, 0),
                FleetSignal::Term => self.history.stops.push(GracefulStop {
                    name: gateway.name.clone(),
                    listen: gateway.listen,
                    signalled_at,
                }),
                _ => {}
            }
            if signal != FleetSignal::Cont {
                self.history.start_fault(&gateway.name);
            }
            self.balancer
                .set_healthy(*index, signal == FleetSignal::Cont);
        }
        Ok(())
    }

    /// Waits until stopped gateways exit; a timeout or an exit code other than 0 is a violation.
    pub async fn wait_stopped(&mut self, gateways: &[usize], limit_s: u64) -> StepResult<()> {
        let timeout = time::Duration::from_secs(limit_s);
        for index in gateways {
            let fleet = self.fleet()?;
            let name = fleet.layout.gateways[*index].name.clone();
            let status = fleet.wait_for_exit(&name, timeout).await;
            if !status.is_some_and(|status| status.success()) {
                let text = format!("{name} did not exit with 0 within {limit_s} s: {status:?}");
                self.history
                    .violations
                    .push(PropertyViolation::new("graceful-stop", text));
            }
        }
        Ok(())
    }

    /// Restarts gateways, or replaces them by new VMs, and waits until they are ready.
    pub async fn restart_gateways(&mut self, gateways: &[usize], is_new: bool) -> StepResult<()> {
        for index in gateways {
            let fleet = self.fleet()?;
            if is_new {
                fleet.replace_gateway(*index).await.map_err(error_text)?;
            } else {
                fleet.start_gateway(*index).map_err(error_text)?;
            }
            let name = fleet.layout.gateways[*index].name.clone();
            self.history.start_fault(&name);
        }
        for index in gateways {
            let fleet = self.fleet()?;
            fleet
                .wait_gateway_ready(*index, READY_TIMEOUT)
                .await
                .map_err(error_text)?;
            let name = fleet.layout.gateways[*index].name.clone();
            self.history.end_fault(&name, 0);
            self.balancer.set_healthy(*index, true);
        }
        Ok(())
    }

    /// Adds a one-way partition between gateways: what `from` sends to `to` is buffered until
    /// [`heal`](Self::heal).
    pub async fn partition_gateways(&mut self, from: &[usize], to: &[usize]) -> StepResult<()> {
        let gateways = self.fleet()?.layout.gateways.clone();
        let real_addresses = |list: &[usize]| {
            list.iter()
                .map(|index| gateways[*index].peer_listen.ip())
                .collect::<Vec<_>>()
        };
        let proxy_addresses = |list: &[usize]| {
            list.iter()
                .map(|index| gateways[*index].peer_advertised.ip())
                .collect::<Vec<_>>()
        };
        // Either side of a pair opens connections; the second rule is for those that `to` opens.
        self.add_rule(
            real_addresses(from),
            proxy_addresses(to),
            LinkDirection::Upstream,
        );
        self.add_rule(
            real_addresses(to),
            proxy_addresses(from),
            LinkDirection::Downstream,
        );
        self.apply_rules().await
    }

    /// Adds a one-way partition between gateways and backend servers.
    pub async fn partition_servers(
        &mut self,
        gateways: &[usize],
        servers: &[usize],
        direction: LinkDirection,
    ) -> StepResult<()> {
        let layout = self.fleet()?.layout.clone();
        let sources = gateways
            .iter()
            .map(|index| layout.gateways[*index].peer_listen.ip());
        let targets = servers
            .iter()
            .map(|index| layout.servers[*index].advertised_address.ip());
        self.add_rule(sources.collect(), targets.collect(), direction);
        self.apply_rules().await
    }

    /// Removes all partitions.
    pub async fn heal(&mut self) -> StepResult<()> {
        self.rules.clear();
        self.apply_rules().await
    }

    fn add_rule(
        &mut self,
        sources: Vec<net::IpAddr>,
        targets: Vec<net::IpAddr>,
        direction: LinkDirection,
    ) {
        self.rules.push(ProxyRule {
            sources,
            targets,
            direction,
            loss: Some(LossMode::Hold),
            ..ProxyRule::default()
        });
    }

    async fn apply_rules(&mut self) -> StepResult<()> {
        let rules = self.rules.clone();
        let result = self.fleet()?.set_proxy_rules(&rules).await;
        result.map(|_| ()).map_err(error_text)
    }

    /// Records for the checks that gateways are unreachable, or reachable again.
    pub fn set_reachable(&mut self, gateways: &[usize], is_reachable: bool) -> StepResult<()> {
        for index in gateways {
            let name = self.fleet()?.layout.gateways[*index].name.clone();
            if is_reachable {
                self.history.end_fault(&name, 0);
            } else {
                self.history.start_fault(&name);
            }
        }
        Ok(())
    }
}
