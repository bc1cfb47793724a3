//! A small deployment: store, workers, configuration and gateways.

use std::collections::HashMap;
use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::client::HOST;
use crate::gateway::{Gateway, GatewayPlan, Network};
use crate::record::Record;
use crate::store::Store;
use crate::worker::{Worker, WorkerPlan};

/// Zone of all machines of a case.
pub const ZONE: &str = "nv-a";
/// Host of the store in the loopback network of a case.
const STORE_HOST: u8 = 2;
/// Host of all workers.
const WORKER_HOST: u8 = 3;
/// `config_apply` and `drain` of the small deployments, in milliseconds.
pub const CONFIG_APPLY_MS: u64 = 2_000;
pub const DRAIN_MS: u64 = 2_000;

/// A route of the configuration.
pub struct Route {
    pub prefix: &'static str,
    pub kind: &'static str,
    pub service: &'static str,
    pub timeout_ms: u64,
    pub max_attempts: u32,
}

/// What a case runs on.
pub struct Site {
    pub network: Network,
    pub record: Arc<Record>,
    pub store: Store,
    /// Temporary folder of settings and logs.
    pub folder: PathBuf,
    pub workers: HashMap<String, Worker>,
}

impl Site {
    /// Starts a store; `case` is the folder of the record.
    pub fn start(case: &Path) -> io::Result<Self> {
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let network = Network::pick()?;
        Ok(Self {
            network,
            record: Arc::new(Record::create(case)?),
            store: Store::start(network.any_port(STORE_HOST))?,
            folder,
            workers: HashMap::new(),
        })
    }

    /// Starts a worker and enters it in the store.
    pub fn add_worker(&mut self, plan: WorkerPlan) -> io::Result<Worker> {
        let id = plan.id.clone();
        let worker = Worker::start(self.network.any_port(WORKER_HOST), plan, &self.record)?;
        self.store.put(&worker.key(), &worker.entry("ready", 1));
        self.workers.insert(id, worker.clone());
        Ok(worker)
    }

    /// Writes a configuration and returns the time of its acknowledgement.
    pub fn put_config(&self, version: u64, routes: &[Route], services: &[&str]) -> u64 {
        let routes: Vec<String> = routes
            .iter()
            .enumerate()
            .map(|(index, route)| {
                format!(
                    r#"["r-{index}","{HOST}","{}","{}","{}ms","800ms",1,null,{},"{}"]"#,
                    route.prefix, route.kind, route.timeout_ms, route.max_attempts, route.service
                )
            })
            .collect();
        let services: Vec<String> = services
            .iter()
            .map(|service| format!(r#"["{service}","/health",390,"h1",false]"#))
            .collect();
        let config = format!(
            r#"{{"version":{version},"routes":{{"columns":["name","host","prefix","kind","timeout","target_latency","priority","split","max_attempts","service"],"rows":[{}]}},"services":{{"columns":["name","health_path","max_conns","protocol","tls"],"rows":[{}]}},"limits":{{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"}},"base_version":{}}}"#,
            routes.join(","),
            services.join(","),
            version.saturating_sub(1)
        );
        self.store.put("op/config", &config);
        self.record
            .line(format!("config version={version} acknowledged"));
        self.record.now_ms()
    }

    /// Returns the plan of a gateway.
    pub fn gateway_plan(&self, host: u8, seeds: &[u8]) -> GatewayPlan {
        GatewayPlan {
            network: self.network,
            host,
            zone: ZONE.to_owned(),
            seeds: seeds.to_vec(),
            store: self.store.address,
            folder: self.folder.clone(),
        }
    }

    /// Starts gateways with each other as seeds, and waits until they are ready.
    pub fn start_gateways(&self, hosts: &[u8]) -> io::Result<Vec<Gateway>> {
        let seeds = &hosts[..hosts.len().min(3)];
        let started: io::Result<Vec<Gateway>> = hosts
            .iter()
            .map(|host| Gateway::start(self.gateway_plan(*host, seeds)))
            .collect();
        let gateways = started?;
        for gateway in &gateways {
            gateway.wait_ready()?;
        }
        self.record.line("all gateways are ready");
        Ok(gateways)
    }

    /// Returns how often each request was run by workers, all together.
    pub fn runs(&self) -> HashMap<String, u32> {
        let mut runs = HashMap::new();
        for worker in self.workers.values() {
            for (id, count) in worker.runs() {
                *runs.entry(id).or_default() += count;
            }
        }
        runs
    }

    /// Waits until a time of the record.
    pub fn wait_until(&self, at_ms: u64) {
        let left = at_ms.saturating_sub(self.record.now_ms());
        thread::sleep(Duration::from_millis(left));
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        if std::env::var("KEEP_LOGS").is_err() {
            drop(fs::remove_dir_all(&self.folder));
        }
    }
}
