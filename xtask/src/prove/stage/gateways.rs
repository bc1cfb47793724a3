//! Steps with gateways: signals, replacements and cuts.

use std::net;
use std::time;

use serde_json::Value;
use toucanledge_bench::{
    CallerClient, CallerRequest, FleetSignal, LinkDirection, LossMode, ProxyRule, unix_millis,
};

use super::{READY_LIMIT, STATUS_LIMIT, Stage, StepResult, WATCH_PERIOD, text};
use crate::prove::judge::{Finding, PlannedStop};

/// Longest wait until a new fleet takes keyed work.
const ESTABLISH_LIMIT: time::Duration = time::Duration::from_mins(1);
/// Time between two heartbeats of a gateway.
const HEARTBEAT_PERIOD: time::Duration = time::Duration::from_millis(1300);

impl Stage {
    /// Waits until every gateway of a fleet that just started may vote on keyed work.
    pub async fn wait_established(&mut self) -> StepResult<()> {
        if self.policy.as_deref() == Some("baseline") {
            return Ok(());
        }
        let client = CallerClient::default();
        let request = CallerRequest::new(hyper::Method::GET, "/status");
        let started = time::Instant::now();
        for place in self.fleet()?.layout.gateways.clone() {
            loop {
                let answer = client
                    .send(place.status_address, &request, STATUS_LIMIT)
                    .await;
                let page: Option<Value> = answer.ok().and_then(|answer| answer.json().ok());
                if page.is_some_and(|page| page["claims"]["established"] == true) {
                    break;
                }
                if started.elapsed() > ESTABLISH_LIMIT {
                    return Err(format!("{} takes no keyed work", place.name));
                }
                tokio::time::sleep(WATCH_PERIOD).await;
            }
        }
        // The votes need the heartbeats that say so.
        tokio::time::sleep(HEARTBEAT_PERIOD).await;
        println!(
            "[prove]   keyed work is taken {:.1} s after the wait began",
            started.elapsed().as_secs_f64()
        );
        Ok(())
    }

    /// Sends a signal to gateways and notes what it means for the checks.
    pub fn signal(&mut self, gateways: &[usize], signal: FleetSignal) -> StepResult<()> {
        for index in gateways {
            let at = unix_millis();
            let fleet = self.fleet()?;
            fleet.signal_gateway(*index, signal).map_err(text)?;
            let place = fleet.layout.gateways[*index].clone();
            match signal {
                FleetSignal::Cont => self.journal.close_fault(&place.name, 0),
                FleetSignal::Term => self.journal.stops.push(PlannedStop {
                    name: place.name.clone(),
                    listen: place.listen,
                    at,
                }),
                _ => {}
            }
            if signal != FleetSignal::Cont {
                self.journal.open_fault(&place.name);
            }
            self.balancer.set(*index, signal == FleetSignal::Cont);
        }
        Ok(())
    }

    /// Waits until stopped gateways have ended; another exit code than 0 is a breach.
    pub async fn wait_stopped(&mut self, gateways: &[usize], limit_s: u64) -> StepResult<()> {
        let limit = time::Duration::from_secs(limit_s);
        for index in gateways {
            let fleet = self.fleet()?;
            let name = fleet.layout.gateways[*index].name.clone();
            let status = fleet.wait_for_exit(&name, limit).await;
            if !status.is_some_and(|status| status.success()) {
                let text = format!("{name} did not end with 0 within {limit_s} s: {status:?}");
                self.journal
                    .findings
                    .push(Finding::new("graceful-stop", text));
            }
        }
        Ok(())
    }

    /// Starts gateways again, as new VMs when they are replaced, and waits until they are ready.
    pub async fn restart(&mut self, gateways: &[usize], is_new: bool) -> StepResult<()> {
        for index in gateways {
            let fleet = self.fleet()?;
            if is_new {
                fleet.replace_gateway(*index).await.map_err(text)?;
            } else {
                fleet.start_gateway(*index).map_err(text)?;
            }
            let name = fleet.layout.gateways[*index].name.clone();
            self.journal.open_fault(&name);
        }
        for index in gateways {
            let fleet = self.fleet()?;
            fleet
                .wait_gateway_ready(*index, READY_LIMIT)
                .await
                .map_err(text)?;
            let name = fleet.layout.gateways[*index].name.clone();
            self.journal.close_fault(&name, 0);
            self.balancer.set(*index, true);
        }
        Ok(())
    }

    /// Cuts the direction from gateways to gateways: what they send waits until the cut heals.
    pub async fn cut(&mut self, from: &[usize], to: &[usize]) -> StepResult<()> {
        let gateways = self.fleet()?.layout.gateways.clone();
        let real = |list: &[usize]| {
            list.iter()
                .map(|index| gateways[*index].peer_listen.ip())
                .collect::<Vec<_>>()
        };
        let proxied = |list: &[usize]| {
            list.iter()
                .map(|index| gateways[*index].peer_advertised.ip())
                .collect::<Vec<_>>()
        };
        // Each pair has connections opened by either side; the second rule is for those of `to`.
        self.add_rule(real(from), proxied(to), LinkDirection::Upstream);
        self.add_rule(real(to), proxied(from), LinkDirection::Downstream);
        self.apply_rules().await
    }

    /// Cuts one direction between gateways and backend servers.
    pub async fn cut_servers(
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

    /// Ends all cuts.
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
        let set = self.fleet()?.set_proxy_rules(&rules).await;
        set.map(|_| ()).map_err(text)
    }

    /// Notes that gateways cannot be reached, or can be again.
    pub fn set_reachable(&mut self, gateways: &[usize], is_reachable: bool) -> StepResult<()> {
        for index in gateways {
            let name = self.fleet()?.layout.gateways[*index].name.clone();
            if is_reachable {
                self.journal.close_fault(&name, 0);
            } else {
                self.journal.open_fault(&name);
            }
        }
        Ok(())
    }
}
