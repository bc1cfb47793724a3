//! Start and graceful stop of the process.

use std::net;
use std::path;
use std::process;
use std::sync;
use std::time;

use error_stack::{Report, ResultExt};
use tokio::signal::unix;
use tokio::sync::mpsc;
use toucanledge_settings::GatewaySettings;
use toucanledge_wire::PeerLinks;

use crate::clock;
use crate::clock::ProcessClock;
use crate::error::{GatewayError, GatewayStep};
use crate::kernel;
use crate::kernel::{KernelHandle, PluginEvent, PluginName};
use crate::proxy;

/// Exit status when the settings are not valid.
const EXIT_INVALID_SETTINGS: u8 = 2;
/// Number of worker threads of the runtime; the VMs that gateways run on have few cores.
const WORKER_THREADS: usize = 2;
/// Time between the end of the last request and the exit, in which lease reports and claim records
/// are sent to peers.
const DRAIN_DELAY: time::Duration = time::Duration::from_millis(500);
/// Maximum number of peer messages that wait to be routed to a plug-in.
const INBOUND_CAPACITY: usize = 4096;

/// Command line of the gateway.
#[derive(Clone, Debug)]
pub struct GatewayOptions {
    /// Settings file.
    pub settings: path::PathBuf,
    /// Only validate the settings.
    pub check: bool,
}

/// Runs the gateway until it is stopped.
#[must_use]
pub fn run(options: &GatewayOptions) -> process::ExitCode {
    let settings = match toucanledge_settings::load_gateway(&options.settings) {
        Ok(settings) => settings,
        Err(report) => {
            eprintln!("[settings] {report}");
            return process::ExitCode::from(EXIT_INVALID_SETTINGS);
        }
    };
    if options.check {
        println!("[settings] {} is valid", options.settings.display());
        return process::ExitCode::SUCCESS;
    }
    match start_runtime(settings) {
        Ok(code) => code,
        Err(report) => {
            eprintln!("[gateway] {report:?}");
            process::ExitCode::FAILURE
        }
    }
}

fn start_runtime(settings: GatewaySettings) -> Result<process::ExitCode, Report<GatewayError>> {
    let _logger = flexi_logger::Logger::try_with_env_or_str(&settings.log)
        .and_then(|logger| logger.format(format_log_line).start())
        .change_context(GatewayError::local(GatewayStep::StartLog))?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(WORKER_THREADS)
        .enable_all()
        .build()
        .change_context(GatewayError::local(GatewayStep::Listen))?;
    runtime.block_on(serve(settings))
}

fn format_log_line(
    writer: &mut dyn std::io::Write,
    now: &mut flexi_logger::DeferredNow,
    record: &log::Record<'_>,
) -> Result<(), std::io::Error> {
    write!(
        writer,
        "{} {} {}",
        now.format_rfc3339(),
        record.level(),
        record.args()
    )
}

async fn serve(settings: GatewaySettings) -> Result<process::ExitCode, Report<GatewayError>> {
    let kernel = start_components(settings).await?;
    let callers = proxy::listen(sync::Arc::clone(&kernel)).await?;
    log::info!(
        "[gateway] {} serves callers on {}",
        kernel.vm,
        kernel.settings.listen
    );
    let mut terminations = unix::signal(unix::SignalKind::terminate())
        .change_context(GatewayError::local(GatewayStep::Listen))?;
    let mut interrupts = unix::signal(unix::SignalKind::interrupt())
        .change_context(GatewayError::local(GatewayStep::Listen))?;
    tokio::select! {
        _ = terminations.recv() => {}
        _ = interrupts.recv() => {}
    }
    log::info!("[gateway] stopping gracefully");
    kernel.state.stopping.send_replace(true);
    kernel.notify(PluginName::Membership, PluginEvent::StateChanged);
    let code = tokio::select! {
        _ = callers => {
            tokio::time::sleep(DRAIN_DELAY).await;
            process::ExitCode::SUCCESS
        }
        _ = terminations.recv() => process::ExitCode::FAILURE,
        _ = interrupts.recv() => process::ExitCode::FAILURE,
    };
    log::info!("[gateway] stopped");
    Ok(code)
}

async fn start_components(
    settings: GatewaySettings,
) -> Result<sync::Arc<KernelHandle>, Report<GatewayError>> {
    // Links register their counters when they are created, so the recorder must be installed first.
    let metrics = metrics_exporter_prometheus::PrometheusBuilder::new()
        .install_recorder()
        .change_context(GatewayError::local(GatewayStep::StartMetrics))?;
    let clock = ProcessClock::start();
    let incarnation = clock::new_incarnation();
    let (sender, inbound) = mpsc::channel(INBOUND_CAPACITY);
    let links = PeerLinks::new(settings.vm, incarnation, settings.peer_source, sender);
    let listener = bind_listener(settings.peer_listen).await?;
    links.listen(listener);
    Ok(kernel::start_kernel(
        settings,
        clock,
        incarnation,
        metrics,
        links,
        inbound,
    ))
}

async fn bind_listener(
    address: net::SocketAddr,
) -> Result<tokio::net::TcpListener, Report<GatewayError>> {
    tokio::net::TcpListener::bind(address)
        .await
        .change_context_lazy(|| GatewayError::at(GatewayStep::Listen, address))
}
