//! Rules that decide what happens on a link.

use std::net;
use std::time;

use rand::Rng;
use serde::{Deserialize, Serialize};

use crate::timer;

/// Direction of a link that a rule applies to.
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

/// What happens to the bytes of a direction; datagrams are dropped in both modes of loss.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, strum::Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum LossMode {
    /// They arrive.
    #[default]
    None,
    /// They wait until the loss ends, as with retransmission.
    Hold,
    /// They are discarded; the direction of an open connection stays silent afterwards.
    Discard,
}

/// Links by source IP address and by IP address of the listener; an empty list selects all.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LinkSelection {
    /// IP addresses that connections and datagrams come from.
    pub sources: Vec<net::IpAddr>,
    /// IP addresses of the proxy's listeners.
    pub targets: Vec<net::IpAddr>,
}

/// Rule for links; rules apply in order, and each part that is set replaces the earlier value.
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
    /// Direction of the rule.
    pub direction: LinkDirection,
    /// Delay in ms.
    pub delay_ms: Option<f64>,
    /// Greatest random addition to the delay.
    pub jitter_ms: Option<f64>,
    /// Loss of the direction.
    pub loss: Option<LossMode>,
    /// Refuses and breaks connections and drops datagrams.
    pub cut: Option<bool>,
}

/// Source and listener of a connection or datagram.
#[derive(Clone, Copy, Debug)]
pub struct LinkKey {
    pub source: net::IpAddr,
    pub target: net::IpAddr,
}

/// What the rules say about one direction of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkPolicy {
    delay_ms: f64,
    jitter_ms: f64,
    pub loss: LossMode,
    pub cut: bool,
}

/// Rules in the order in which they apply.
#[derive(Clone, Debug, Default)]
pub struct RuleTable(pub Vec<ProxyRule>);

impl LinkKey {
    /// Returns whether lists of sources and targets select the link; an empty list selects all.
    pub fn is_in(self, sources: &[net::IpAddr], targets: &[net::IpAddr]) -> bool {
        let has = |list: &[net::IpAddr], ip: net::IpAddr| list.is_empty() || list.contains(&ip);
        has(sources, self.source) && has(targets, self.target)
    }
}

impl LinkPolicy {
    /// Draws the delay of a chunk or datagram.
    pub fn delay(self) -> time::Duration {
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

impl RuleTable {
    /// Returns the policy of one direction of a link.
    pub fn policy(&self, link: LinkKey, direction: LinkDirection) -> LinkPolicy {
        let mut policy = LinkPolicy::default();
        for rule in &self.0 {
            let applies = rule.direction == LinkDirection::Both || rule.direction == direction;
            if applies && link.is_in(&rule.sources, &rule.targets) {
                policy.apply(rule);
            }
        }
        policy
    }

    /// Returns the policies towards the target and back.
    pub fn policies(&self, link: LinkKey) -> [LinkPolicy; 2] {
        [LinkDirection::Upstream, LinkDirection::Downstream]
            .map(|direction| self.policy(link, direction))
    }

    /// Returns whether either direction is cut.
    pub fn is_cut(&self, link: LinkKey) -> bool {
        self.policies(link).iter().any(|policy| policy.cut)
    }

    /// Returns whether either direction loses its bytes, so that no handshake would succeed.
    pub fn is_lossy(&self, link: LinkKey) -> bool {
        let policies = self.policies(link);
        policies.iter().any(|policy| policy.loss != LossMode::None)
    }
}
