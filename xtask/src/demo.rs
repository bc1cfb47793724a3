//! The `demo` command: requests, table edits and failures on a small fleet on loopback.

use std::process;
use std::time;

use serde_json::json;
use toucanledge_bench::{
    BenchResult, CallerClient, CallerRequest, CallerResponse, Fleet, FleetConfig, FleetSignal,
    PoolConfig, ResponseCheck, check_response,
};

/// Timeout of one request, and of the exit of a stopped gateway.
const RESPONSE_TIMEOUT: time::Duration = time::Duration::from_secs(5);
/// Timeout for a table to become active on all gateways, and for a replaced gateway to become
/// ready.
const TABLE_TIMEOUT: time::Duration = time::Duration::from_secs(8);
/// Timeout for a new fleet to accept the first at-most-once request.
///
/// When all gateways are new, they vote only after the sum of twice the lease duration, the
/// deduplication window and another lease duration.
const ESTABLISH_TIMEOUT: time::Duration = time::Duration::from_secs(30);
/// Deduplication window of the at-most-once class; short, since a new fleet waits for it.
const WINDOW_SECONDS: u32 = 2;

/// Rate limit that the table edit sets.
const RATE_LIMIT_PER_SECOND: u32 = 20;
/// Time for which the demo sends more requests than the rate limit allows.
const RATE_LIMIT_DURATION: time::Duration = time::Duration::from_secs(2);
/// Burst that a dispatcher may grant at once after an idle time, in seconds of the limited rate.
const BURST_SECONDS: f64 = 0.25;

/// Fleet of the demo with the number of failed steps and of reads.
struct DemoRunner {
    fleet: Fleet,
    client: CallerClient,
    failures: usize,
    read_number: u64,
}

/// Runs the demo and fails when a step did not hold; without `check`, it waits for Ctrl-C at the
/// end.
pub async fn run(check: bool) -> process::ExitCode {
    match run_steps(check).await {
        Ok(0) => process::ExitCode::SUCCESS,
        Ok(failures) => {
            eprintln!("[demo] {failures} steps did not hold");
            process::ExitCode::FAILURE
        }
        Err(report) => {
            eprintln!("[demo] {report:?}");
            process::ExitCode::FAILURE
        }
    }
}

async fn run_steps(check: bool) -> BenchResult<usize> {
    println!(
        "[demo] starting the platform stand-in, 6 backend servers in 3 failure domains and 6 gateways"
    );
    let fleet = Fleet::start(fleet_config()).await?;
    let mut demo = DemoRunner {
        fleet,
        client: CallerClient::default(),
        failures: 0,
        read_number: 0,
    };
    demo.print_addresses();
    demo.read_through_all_gateways().await;
    demo.retry_at_most_once().await?;
    demo.submit_twice().await?;
    demo.edit_table().await?;
    demo.reject_invalid_edit().await?;
    demo.kill_gateway().await?;
    demo.stop_gateway().await?;
    if !check {
        println!("[demo] the fleet keeps running; press Ctrl-C to stop it");
        let _ = tokio::signal::ctrl_c().await;
    }
    Ok(demo.failures)
}

fn fleet_config() -> FleetConfig {
    FleetConfig {
        gateways: 6,
        domains: 3,
        pools: vec![PoolConfig::new("reading", 6)],
        class_rows: class_rows(0),
        ..FleetConfig::default()
    }
}

fn class_rows(rate_limit: u32) -> Vec<serde_json::Value> {
    vec![
        json!({
            "class": "read-policy", "method": "GET", "path": "/policies/", "pool": "reading",
            "repeat": "repeatable", "deadline_ms": 2000, "queue_ms": 500, "floor": 0.5,
            "rate_limit": rate_limit,
        }),
        json!({
            "class": "acknowledge", "method": "POST", "path": "/acknowledgements/",
            "pool": "reading", "repeat": "keyed", "deadline_ms": 5000, "queue_ms": 500,
            "window_s": WINDOW_SECONDS,
        }),
    ]
}

impl DemoRunner {
    fn print_addresses(&self) {
        for gateway in &self.fleet.layout.gateways {
            println!(
                "[demo] {} in {}: callers http://{} status http://{}/status",
                gateway.name, gateway.domain, gateway.listen, gateway.status_address
            );
        }
        println!(
            "[demo] logs and settings: {}",
            self.fleet.folder().display()
        );
    }

    /// Prints the result of a step and counts it if it failed.
    fn report_step(&mut self, step: &str, held: bool, detail: &str) {
        let verdict = if held { "held" } else { "NOT HELD" };
        println!("[demo] {step}: {verdict}; {detail}");
        self.failures += usize::from(!held);
    }

    async fn send(&self, gateway: usize, request: &CallerRequest) -> Option<CallerResponse> {
        let address = self.fleet.layout.gateways[gateway].listen;
        self.client
            .send(address, request, RESPONSE_TIMEOUT)
            .await
            .ok()
    }

    /// Builds a read and its nonce.
    fn read_request(&mut self) -> (CallerRequest, String) {
        self.read_number += 1;
        let nonce = format!("read-{}", self.read_number);
        let request = CallerRequest::new(hyper::Method::GET, "/policies/leave")
            .header("x-caller", "nurse")
            .header("request-nonce", nonce.clone())
            .header("answer-bytes", "20000");
        (request, nonce)
    }

    /// Checks that a read through every gateway gets its own complete response.
    async fn read_through_all_gateways(&mut self) {
        let gateways = self.fleet.layout.gateways.len();
        let mut complete = 0;
        for gateway in 0..gateways {
            complete += usize::from(self.check_read(gateway).await);
        }
        let detail = format!("{complete} of {gateways} gateways returned the complete response");
        self.report_step("repeatable read", complete == gateways, &detail);
    }

    /// Sends a read through a gateway and returns whether the response is complete and its own.
    async fn check_read(&mut self, gateway: usize) -> bool {
        let (request, nonce) = self.read_request();
        let Some(response) = self.send(gateway, &request).await else {
            println!(
                "[demo] read through gateway {gateway} failed: connection error, or no response within {} s",
                RESPONSE_TIMEOUT.as_secs()
            );
            return false;
        };
        let complete = response.status == 200
            && !response.truncated
            && check_response(&response.body, "nurse", &nonce) == ResponseCheck::Good;
        if !complete {
            let reason = response.header("toucanledge-reason");
            println!(
                "[demo] read through gateway {gateway}: unexpected response with status {} {reason}, {} bytes",
                response.status,
                response.body.len()
            );
        }
        complete
    }

    /// Sends an at-most-once write through a gateway and prints the reason of a refusal.
    async fn send_at_most_once(&self, gateway: usize, key: &str) -> Option<CallerResponse> {
        let request = CallerRequest::new(hyper::Method::POST, "/acknowledgements/leave")
            .header("x-caller", "nurse")
            .header("idempotency-key", key)
            .header("request-nonce", format!("{key}-{gateway}"));
        let response = self.send(gateway, &request).await;
        let reason = response.as_ref().map_or("no response", |response| {
            response.header("toucanledge-reason")
        });
        if !reason.is_empty() {
            println!("[demo] at-most-once write {key} through gateway {gateway}: {reason}");
        }
        response
    }

    /// Counts how often backend servers started a key.
    async fn count_executions(&self, key: &str) -> BenchResult<usize> {
        let records = self.fleet.fetch_request_records().await?;
        Ok(records
            .iter()
            .filter(|record| record.key == key && record.started.is_some())
            .count())
    }

    /// Checks that an at-most-once write is executed once and that a retry with the same key
    /// through another gateway gets the same response.
    async fn retry_at_most_once(&mut self) -> BenchResult<()> {
        let started = time::Instant::now();
        let mut first = None;
        let mut failed = 0;
        while first.is_none() && started.elapsed() < ESTABLISH_TIMEOUT {
            match self.send_at_most_once(0, "ack-1").await {
                Some(response) if response.status == 200 => first = Some(response),
                _ => {
                    failed += 1;
                    tokio::time::sleep(time::Duration::from_millis(500)).await;
                }
            }
        }
        println!(
            "[demo] the new fleet accepted an at-most-once write after {:.1} s; {failed} earlier ones failed",
            started.elapsed().as_secs_f64()
        );
        let retry = self.send_at_most_once(4, "ack-1").await;
        let same = match (&first, &retry) {
            (Some(first), Some(retry)) => first.body == retry.body && retry.status == 200,
            _ => false,
        };
        let executions = self.count_executions("ack-1").await?;
        let detail = format!("executions: {executions}, same response to the retry: {same}");
        self.report_step(
            "at-most-once write, retried through another gateway",
            same && executions == 1,
            &detail,
        );
        Ok(())
    }

    /// Checks that two concurrent submissions without a key through two gateways are executed once.
    async fn submit_twice(&mut self) -> BenchResult<()> {
        let request = CallerRequest::new(hyper::Method::POST, "/acknowledgements/safety")
            .header("x-caller", "nurse")
            .header("request-nonce", "press")
            .header("work-ms", "100")
            .body("same form");
        let (first, second) = tokio::join!(self.send(1, &request), self.send(2, &request));
        let served = [first, second]
            .into_iter()
            .flatten()
            .filter(|response| response.status == 200);
        let served = served.count();
        let executions = self.count_executions("press").await?;
        let detail = format!("responses: {served}, executions: {executions}");
        self.report_step(
            "duplicate submission without a key",
            served == 2 && executions == 1,
            &detail,
        );
        Ok(())
    }

    /// Returns the revision of the active table of a gateway.
    async fn table_revision(&self, gateway: usize) -> Option<u64> {
        let address = self.fleet.layout.gateways[gateway].status_address;
        let request = CallerRequest::new(hyper::Method::GET, "/status");
        let response = self
            .client
            .send(address, &request, RESPONSE_TIMEOUT)
            .await
            .ok()?;
        let page: serde_json::Value = response.json().ok()?;
        page["table_revision"].as_u64()
    }

    /// Checks that a published table becomes active on every gateway.
    async fn edit_table(&mut self) -> BenchResult<()> {
        let mut rows = self.fleet.layout.server_rows();
        rows.extend(class_rows(RATE_LIMIT_PER_SECOND));
        let published = time::Instant::now();
        let revision = self.fleet.publish_table(&rows).await?;
        println!(
            "[demo] published revision {revision}: read-policy gets rate_limit {RATE_LIMIT_PER_SECOND}"
        );
        let mut waiting: Vec<usize> = (0..self.fleet.layout.gateways.len()).collect();
        while !waiting.is_empty() && published.elapsed() < TABLE_TIMEOUT {
            let mut remaining = Vec::new();
            for gateway in waiting {
                if self.table_revision(gateway).await == Some(revision) {
                    let name = &self.fleet.layout.gateways[gateway].name;
                    let millis = published.elapsed().as_millis();
                    println!("[demo] revision {revision} is in force on {name} after {millis} ms");
                } else {
                    remaining.push(gateway);
                }
            }
            waiting = remaining;
            tokio::time::sleep(time::Duration::from_millis(5)).await;
        }
        let detail = format!("gateways without the revision: {}", waiting.len());
        self.report_step("edit of the table", waiting.is_empty(), &detail);
        self.check_rate_limit().await;
        Ok(())
    }

    /// Checks that all gateways together serve no more requests than the new rate limit allows.
    async fn check_rate_limit(&mut self) {
        let gateways = self.fleet.layout.gateways.len();
        let started = time::Instant::now();
        let (mut served, mut limited) = (0, 0);
        while started.elapsed() < RATE_LIMIT_DURATION {
            let (request, _) = self.read_request();
            let gateway = usize::try_from(self.read_number).unwrap_or(0) % gateways;
            match self.send(gateway, &request).await {
                Some(response) if response.status == 200 => served += 1,
                Some(response) if response.header("toucanledge-reason") == "rate-limit" => {
                    limited += 1;
                }
                _ => {}
            }
            tokio::time::sleep(time::Duration::from_millis(5)).await;
        }
        let allowed =
            f64::from(RATE_LIMIT_PER_SECOND) * (started.elapsed().as_secs_f64() + BURST_SECONDS);
        let held = limited > 0 && served > 0 && f64::from(served) <= allowed;
        let detail = format!("{served} served, {allowed:.0} allowed, {limited} refused");
        self.report_step("rate limit over all gateways", held, &detail);
    }

    /// Checks that a table with an error is refused and that the previous one stays active.
    async fn reject_invalid_edit(&mut self) -> BenchResult<()> {
        let mut unlimited = self.fleet.layout.server_rows();
        unlimited.extend(class_rows(0));
        let revision = self.fleet.publish_table(&unlimited).await?;
        println!("[demo] published revision {revision}: read-policy has no rate limit again");
        tokio::time::sleep(time::Duration::from_secs(1)).await;
        let before = self.table_revision(0).await;
        let mut rows = self.fleet.layout.server_rows();
        rows.extend(class_rows(0));
        rows.push(json!({"class": "broken", "pool": "nowhere", "floor": 2.0, "repeat": "keyed"}));
        let revision = self.fleet.publish_table(&rows).await?;
        tokio::time::sleep(time::Duration::from_secs(1)).await;
        let after = self.table_revision(0).await;
        let held = before.is_some() && before == after;
        let detail = format!("published revision {revision}, active revision {after:?}");
        self.report_step("edit with errors is refused", held, &detail);
        Ok(())
    }

    /// Checks that requests succeed after a gateway is killed, and that its replacement serves.
    async fn kill_gateway(&mut self) -> BenchResult<()> {
        let name = self.fleet.layout.gateways[3].name.clone();
        println!("[demo] killing {name}");
        self.fleet.signal_gateway(3, FleetSignal::Kill)?;
        let mut complete = 0;
        for turn in 0..30 {
            let gateway = [0, 1, 2, 4, 5][turn % 5];
            complete += usize::from(self.check_read(gateway).await);
            tokio::time::sleep(time::Duration::from_millis(20)).await;
        }
        let write_succeeded = self
            .send_at_most_once(1, "ack-2")
            .await
            .is_some_and(|response| response.status == 200);
        let executions = self.count_executions("ack-2").await?;
        let held = complete == 30 && write_succeeded && executions == 1;
        let detail = format!(
            "reads: {complete} of 30, at-most-once write: {write_succeeded}, executions: {executions}"
        );
        self.report_step("one gateway killed", held, &detail);
        self.fleet.replace_gateway(3).await?;
        let ready = self
            .fleet
            .wait_gateway_ready(3, TABLE_TIMEOUT)
            .await
            .is_ok();
        let served = self.check_read(3).await;
        self.report_step("its replacement serves", ready && served, &name);
        Ok(())
    }

    /// Checks that a graceful stop waits for a request in flight.
    async fn stop_gateway(&mut self) -> BenchResult<()> {
        let name = self.fleet.layout.gateways[5].name.clone();
        let (request, nonce) = self.read_request();
        let request = request.header("work-ms", "1500");
        let address = self.fleet.layout.gateways[5].listen;
        let client = CallerClient::default();
        let task =
            tokio::spawn(async move { client.send(address, &request, RESPONSE_TIMEOUT).await });
        tokio::time::sleep(time::Duration::from_millis(200)).await;
        println!("[demo] stopping {name} with a request in flight");
        self.fleet.signal_gateway(5, FleetSignal::Term)?;
        let response = task.await.ok().and_then(Result::ok);
        let complete = response.is_some_and(|response| {
            check_response(&response.body, "nurse", &nonce) == ResponseCheck::Good
        });
        let status = self.fleet.wait_for_exit(&name, RESPONSE_TIMEOUT).await;
        let exited = status.is_some_and(|status| status.success());
        let detail = format!("complete response: {complete}, exit 0: {exited}");
        self.report_step("graceful stop", complete && exited, &detail);
        Ok(())
    }
}
