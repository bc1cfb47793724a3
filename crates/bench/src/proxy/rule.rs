//! Rules that define the faults of links.

use std::net;
use std::time;

use rand::Rng;
use serde::{Deserialize, Serialize};

use crate::timer;

/// Direction of a link that a rule applies to.
///
/// In rules the directions are called `towards`, `back` and `both`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, strum::Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum LinkDirection {
    /// From the source to the target.
    #[serde(rename = "towards")]
    #[strum(serialize = "towards")]
    Upstream,
    /// From the target back to the source.
    #[serde(rename = "back")]
    #[strum(serialize = "back")]
    Downstream,
    /// Both directions.
    #[default]
    Both,
}

/// Loss in one direction of a link; `Hold` and `Discard` both drop datagrams.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, strum::Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum LossMode {
    /// Bytes and datagrams are delivered.
    #[default]
    None,
    /// Bytes are buffered until the loss ends, as if TCP retransmitted them.
    Hold,
    /// Bytes are dropped; an open connection that dropped any delivers no further bytes in this
    /// direction, even after the loss.
    Discard,
}

/// Selects links by source IP address and listener IP address; an empty list selects all.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LinkSelection {
    /// IP addresses that connections and datagrams come from.
    pub sources: Vec<net::IpAddr>,
    /// IP addresses of the proxy's listeners.
    pub targets: Vec<net::IpAddr>,
}

/// Rule for links; rules apply in order, and each fault that is set replaces the earlier value.
///
/// ```
/// let text = r#"{"sources": ["127.1.0.1"], "direction": "towards", "loss": "hold"}"#;
/// let rule: toucanledge_bench::ProxyRule = serde_json::from_str(text)?;
/// assert_eq!((rule.targets.len(), rule.delay_ms), (0, None));
/// # Ok::<(), serde_json::Error>(())
/// ```
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ProxyRule {
    /// IP addresses that connections and datagrams come from; empty for all.
    pub sources: Vec<net::IpAddr>,
    /// IP addresses of the proxy's listeners; empty for all.
    pub targets: Vec<net::IpAddr>,
    /// Direction that the rule applies to.
    pub direction: LinkDirection,
    /// Delay in ms.
    pub delay_ms: Option<f64>,
    /// Upper bound of a random addition to the delay, in ms.
    pub jitter_ms: Option<f64>,
    /// Loss mode.
    pub loss: Option<LossMode>,
    /// Whether connections are refused and reset and datagrams dropped.
    pub cut: Option<bool>,
}

/// Source IP address and listener IP address of a connection or datagram.
#[derive(Clone, Copy, Debug)]
pub struct LinkKey {
    pub source: net::IpAddr,
    pub target: net::IpAddr,
}

/// Faults of one direction of a link that result from the rules.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkFaults {
    delay_ms: f64,
    jitter_ms: f64,
    pub loss: LossMode,
    pub cut: bool,
}

/// Rules of the proxy in the order in which they apply.
#[derive(Clone, Debug, Default)]
pub struct RuleSet(pub Vec<ProxyRule>);

impl LinkKey {
    /// Returns whether lists of sources and targets select the link; an empty list selects all.
    pub fn matches(self, sources: &[net::IpAddr], targets: &[net::IpAddr]) -> bool {
        let selects = |list: &[net::IpAddr], ip: net::IpAddr| list.is_empty() || list.contains(&ip);
        selects(sources, self.source) && selects(targets, self.target)
    }
}

impl LinkFaults {
    /// Samples the delay of a chunk or datagram.
    pub fn sample_delay(self) -> time::Duration {
        if self.jitter_ms > 0.0 {
            let jitter = rand::rng().random_range(0.0..self.jitter_ms);
            return timer::duration_from_millis(self.delay_ms + jitter);
        }
        timer::duration_from_millis(self.delay_ms)
    }

    fn apply(&mut self, rule: &ProxyRule) {
        self.delay_ms = rule.delay_ms.unwrap_or(self.delay_ms);
        self.jitter_ms = rule.jitter_ms.unwrap_or(self.jitter_ms);
        self.loss = rule.loss.unwrap_or(self.loss);
        self.cut = rule.cut.unwrap_or(self.cut);
    }
}

impl RuleSet {
    /// Returns the faults of one direction of a link.
    pub fn faults(&self, link: LinkKey, direction: LinkDirection) -> LinkFaults {
        let mut faults = LinkFaults::default();
        for rule in &self.0 {
            let applies = rule.direction == LinkDirection::Both || rule.direction == direction;
            if applies && link.matches(&rule.sources, &rule.targets) {
                faults.apply(rule);
            }
        }
        faults
    }

    /// Returns the faults of the upstream and the downstream direction.
    pub fn faults_both_ways(&self, link: LinkKey) -> [LinkFaults; 2] {
        [LinkDirection::Upstream, LinkDirection::Downstream]
            .map(|direction| self.faults(link, direction))
    }

    /// Returns whether either direction is cut.
    pub fn is_cut(&self, link: LinkKey) -> bool {
        self.faults_both_ways(link).iter().any(|faults| faults.cut)
    }

    /// Returns whether either direction loses its bytes, so that no TCP handshake would succeed.
    pub fn is_lossy(&self, link: LinkKey) -> bool {
        let both = self.faults_both_ways(link);
        both.iter().any(|faults| faults.loss != LossMode::None)
    }
}
