//! Reads publications of the table and VM lists from the platform, by watch or by polling.

use std::sync;
use std::time;

use rand::Rng;
use tokio::sync::mpsc;
use toucanledge_core::{TableRevision, VmList};
use toucanledge_table::{HEAD_KEY, TableHead, TableParts};

use crate::kernel::KernelHandle;
use crate::platform::PlatformClient;

/// Delay after a failed read, or after one without anything new.
const RETRY_DELAY: time::Duration = time::Duration::from_secs(1);
/// Reads per second by all gateways together that poll.
///
/// It bounds the load on the platform regardless of the size of the fleet.
const FLEET_POLLS_PER_SECOND: f64 = 2.0;
/// Minimum mean time in seconds between two reads of a gateway that polls.
const MIN_POLL_SECONDS: f64 = 2.0;

/// Update read from the platform.
pub enum PlatformUpdate {
    /// A publication of the table.
    Table {
        /// Platform revision of the head.
        revision: TableRevision,
        /// Text of the head.
        head: String,
        /// Texts of the parts.
        parts: TableParts,
    },
    /// A VM list.
    VmList(VmList),
}

/// How the platform is read next.
enum ReadMode {
    /// Waits for a change.
    Watch,
    /// Reads once, after this delay.
    Poll(time::Duration),
}

/// Returns whether this gateway watches the platform now, or polls it.
fn select_read_mode(kernel: &KernelHandle) -> ReadMode {
    let view = kernel.state.current_fleet_view();
    if view.platform_watchers.is_empty() || view.platform_watchers.contains(&kernel.vm) {
        return ReadMode::Watch;
    }
    let gateways = u32::try_from(view.live.len()).unwrap_or(u32::MAX);
    let mean_seconds = (f64::from(gateways) / FLEET_POLLS_PER_SECOND).max(MIN_POLL_SECONDS);
    let jitter = rand::rng().random_range(0.5..1.5);
    ReadMode::Poll(time::Duration::from_secs_f64(mean_seconds * jitter))
}

/// Sends each new publication of the table until the channel closes.
pub async fn read_tables(
    kernel: sync::Arc<KernelHandle>,
    client: sync::Arc<PlatformClient>,
    updates: mpsc::Sender<PlatformUpdate>,
) {
    let mut after = TableRevision::default();
    loop {
        let known_revision = kernel
            .state
            .current_table()
            .map(|table| table.revision())
            .unwrap_or_default();
        after = after.max(known_revision);
        let result = match select_read_mode(&kernel) {
            ReadMode::Watch => client.watch_value(HEAD_KEY, after).await,
            ReadMode::Poll(delay) => {
                if wait_as_poller(&kernel, delay).await {
                    continue;
                }
                client.read_value(HEAD_KEY).await
            }
        };
        let value = match result {
            Ok(value) => value,
            Err(report) => {
                log::debug!("[table] could not read the table head: {report:?}");
                tokio::time::sleep(RETRY_DELAY).await;
                continue;
            }
        };
        let Some(value) = value else {
            if after.0 == 0 {
                tokio::time::sleep(RETRY_DELAY).await;
            }
            continue;
        };
        if value.revision <= after {
            // A platform with stale data responds to a watch at once, with an old value.
            tokio::time::sleep(RETRY_DELAY).await;
            continue;
        }
        let Some(parts) = read_parts(&client, &value.text).await else {
            tokio::time::sleep(RETRY_DELAY).await;
            continue;
        };
        after = value.revision;
        let table = PlatformUpdate::Table {
            revision: value.revision,
            head: value.text,
            parts,
        };
        if updates.send(table).await.is_err() {
            return;
        }
    }
}

/// Reads the parts that a head names; returns `None` when one cannot be read.
async fn read_parts(client: &PlatformClient, head: &str) -> Option<TableParts> {
    let mut parts = TableParts::new();
    let keys = TableHead::read(head)
        .map(|head| head.parts)
        .unwrap_or_default();
    for key in keys {
        let value = client.read_value(&key).await.ok()??;
        parts.insert(key, value.text.into());
    }
    Some(parts)
}

/// Sends each new VM list until the channel closes.
pub async fn read_vm_lists(
    kernel: sync::Arc<KernelHandle>,
    client: sync::Arc<PlatformClient>,
    updates: mpsc::Sender<PlatformUpdate>,
) {
    loop {
        let known_version = kernel.state.current_vm_list().version;
        let result = match select_read_mode(&kernel) {
            ReadMode::Watch => client.watch_vm_list(known_version).await,
            ReadMode::Poll(delay) => {
                if wait_as_poller(&kernel, delay).await {
                    continue;
                }
                client.read_vm_list().await
            }
        };
        match result {
            Ok(Some(list)) if list.version > known_version => {
                if updates.send(PlatformUpdate::VmList(list)).await.is_err() {
                    return;
                }
                // Gives the table plug-in time to publish the list before the next watch.
                tokio::time::sleep(time::Duration::from_millis(20)).await;
            }
            Ok(Some(_)) | Err(_) => tokio::time::sleep(RETRY_DELAY).await,
            Ok(None) if known_version.0 == 0 => tokio::time::sleep(RETRY_DELAY).await,
            Ok(None) => {}
        }
    }
}

/// Waits for the delay; returns true early when this gateway becomes a platform watcher.
async fn wait_as_poller(kernel: &KernelHandle, delay: time::Duration) -> bool {
    let mut view = kernel.state.fleet_view.subscribe();
    let becomes_watcher = view.wait_for(|view| view.platform_watchers.contains(&kernel.vm));
    tokio::time::timeout(delay, becomes_watcher)
        .await
        .is_ok_and(|view| view.is_ok())
}
