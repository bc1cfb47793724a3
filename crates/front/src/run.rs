//! Starts and stops the process.

use std::sync;
use std::time;

use error_stack::{Report, ResultExt};
use tokio::signal::unix;
use tokio::sync::watch;

use crate::caller;
use crate::caller::StopPhase;
use crate::clock::BootClock;
use crate::error::{FrontError, FrontOperation};
use crate::header_names::HeaderNames;
use crate::log_queue::LogQueue;
use crate::peers;
use crate::proxy::ProxyService;
use crate::reader;
use crate::settings::FrontSettings;
use crate::status;
use crate::store_source::StoreSource;

/// Time between SIGTERM and closing the listener. The load balancer checks every second and takes a
/// gateway out of service after two failed checks.
const DRAIN_TIME: time::Duration = time::Duration::from_millis(2_600);
/// Interval at which a stopping process checks whether the last connection has ended.
const STOP_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(20);

/// Runs the gateway until SIGTERM and the end of its last request.
///
/// # Errors
///
/// Returns the operation that failed at the start.
pub fn run(
    settings: FrontSettings,
    header_names: HeaderNames,
    source: StoreSource,
) -> Result<(), Report<FrontError>> {
    // The VMs of gateways have one core or a part of one, so more threads bring no gain.
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .change_context(FrontError::local(FrontOperation::StartRuntime))?;
    // A signal that arrives before its handler is set ends the process, so this comes first.
    let signals = runtime.block_on(async { ProcessSignals::register() })?;
    let metrics = metrics_exporter_prometheus::PrometheusBuilder::new()
        .install_recorder()
        .change_context(FrontError::local(FrontOperation::StartMetrics))?;
    let queue = LogQueue::start().change_context(FrontError::local(FrontOperation::StartLog))?;
    let _logger = flexi_logger::Logger::try_with_str(&settings.log)
        .and_then(|logger| logger.log_to_writer(Box::new(queue)).start())
        .change_context(FrontError::local(FrontOperation::StartLog))?;
    let proxy = ProxyService::new(settings, header_names, BootClock::start());
    runtime.block_on(serve(sync::Arc::new(proxy), source, metrics, signals))
}

/// Signals that the process handles.
struct ProcessSignals {
    terminate: unix::Signal,
    reload: unix::Signal,
}

impl ProcessSignals {
    fn register() -> Result<Self, Report<FrontError>> {
        let register = |kind| {
            unix::signal(kind).change_context(FrontError::local(FrontOperation::StartRuntime))
        };
        Ok(Self {
            terminate: register(unix::SignalKind::terminate())?,
            reload: register(unix::SignalKind::hangup())?,
        })
    }
}

async fn serve(
    proxy: sync::Arc<ProxyService>,
    source: StoreSource,
    metrics: metrics_exporter_prometheus::PrometheusHandle,
    mut signals: ProcessSignals,
) -> Result<(), Report<FrontError>> {
    let listener = caller::bind(proxy.settings.listen).await?;
    let ready_listener = caller::bind(proxy.settings.ready_listen).await?;
    let status_listener = caller::bind(proxy.settings.status_listen).await?;
    let address = proxy.settings.peer_listen();
    let socket = tokio::net::UdpSocket::bind(address)
        .await
        .change_context_lazy(|| FrontError::with_peer(FrontOperation::Listen, address))?;
    let socket = sync::Arc::new(socket);
    tokio::spawn(peers::receive_gossip(
        sync::Arc::clone(&socket),
        sync::Arc::clone(&proxy),
    ));
    tokio::spawn(peers::send_gossip(socket, sync::Arc::clone(&proxy)));
    tokio::spawn(reader::sync_store(sync::Arc::clone(&proxy), source));
    let shared = sync::Arc::clone(&proxy);
    tokio::spawn(status::serve_http(ready_listener, move |_| {
        status::ready_response(&shared)
    }));
    let shared = sync::Arc::clone(&proxy);
    tokio::spawn(status::serve_http(status_listener, move |request| {
        status::status_response(&shared, &metrics, request)
    }));
    let (phase, watched) = watch::channel(StopPhase::Serving);
    // Every open connection holds a reference, so the reference count tells how many are open.
    let connections = sync::Arc::new(());
    let accept_task = tokio::spawn(caller::accept_callers(
        listener,
        sync::Arc::clone(&proxy),
        watched,
        sync::Arc::clone(&connections),
    ));
    log::info!(
        "[front] start name={} domain={} listen={} boot={}",
        proxy.settings.name,
        proxy.settings.failure_domain,
        proxy.settings.listen,
        proxy.clock.incarnation().0
    );
    loop {
        tokio::select! {
            _ = signals.terminate.recv() => break,
            _ = signals.reload.recv() => {
                log::info!("[front] reload: the published table comes from the platform, nothing to reload");
            }
        }
    }
    log::info!("[front] stop announced");
    {
        let mut state = proxy.state();
        state.stopping = true;
        state.status_update_due = true;
    }
    proxy.gossip_pending.notify_one();
    phase.send_replace(StopPhase::Draining);
    tokio::time::sleep(DRAIN_TIME).await;
    phase.send_replace(StopPhase::Closing);
    if accept_task.await.is_err() {
        log::error!("[front] accept task failed");
    }
    while sync::Arc::strong_count(&connections) > 1 {
        tokio::time::sleep(STOP_CHECK_INTERVAL).await;
    }
    log::info!("[front] stopped");
    log::logger().flush();
    Ok(())
}
