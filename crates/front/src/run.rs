//! Starts and stops the process.

use std::sync;
use std::time;

use error_stack::{Report, ResultExt};
use tokio::signal::unix;
use tokio::sync::watch;

use crate::caller;
use crate::caller::StopPhase;
use crate::clock::FrontClock;
use crate::dialect::HeaderDialect;
use crate::engine::FrontEngine;
use crate::error::{FrontError, FrontStep};
use crate::log_queue::LogQueue;
use crate::peers;
use crate::reader;
use crate::settings::FrontSettings;
use crate::source::FactSource;
use crate::status;

/// Time between SIGTERM and closing the listener: the load balancer asks once a second and takes a
/// gateway out after two answers.
const STOP_NOTICE: time::Duration = time::Duration::from_millis(2_600);
/// Time between two looks at whether the last connection has ended.
const STOP_LOOK: time::Duration = time::Duration::from_millis(20);

/// Runs the gateway until SIGTERM and the end of its last request.
///
/// # Errors
///
/// Returns the step that failed at the start.
pub fn run(
    settings: FrontSettings,
    dialect: HeaderDialect,
    source: FactSource,
) -> Result<(), Report<FrontError>> {
    let metrics = metrics_exporter_prometheus::PrometheusBuilder::new()
        .install_recorder()
        .change_context(FrontError::local(FrontStep::StartMetrics))?;
    let queue = LogQueue::start().change_context(FrontError::local(FrontStep::StartLog))?;
    let _logger = flexi_logger::Logger::try_with_str(&settings.log)
        .and_then(|logger| logger.log_to_writer(Box::new(queue)).start())
        .change_context(FrontError::local(FrontStep::StartLog))?;
    // Entry VMs have one core or part of one, so more threads only cost.
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .change_context(FrontError::local(FrontStep::StartRuntime))?;
    let engine = FrontEngine::new(settings, dialect, FrontClock::start());
    runtime.block_on(serve(sync::Arc::new(engine), source, metrics))
}

async fn serve(
    engine: sync::Arc<FrontEngine>,
    source: FactSource,
    metrics: metrics_exporter_prometheus::PrometheusHandle,
) -> Result<(), Report<FrontError>> {
    let signals = || FrontError::local(FrontStep::StartRuntime);
    let mut terminate = unix::signal(unix::SignalKind::terminate()).change_context_lazy(signals)?;
    let mut reload = unix::signal(unix::SignalKind::hangup()).change_context_lazy(signals)?;
    let listener = caller::bind(engine.settings.listen).await?;
    let ready = caller::bind(engine.settings.ready_listen).await?;
    let pages = caller::bind(engine.settings.status_listen).await?;
    let address = engine.settings.peer_listen();
    let socket = tokio::net::UdpSocket::bind(address)
        .await
        .change_context_lazy(|| FrontError::at(FrontStep::Listen, address))?;
    let socket = sync::Arc::new(socket);
    tokio::spawn(peers::receive(
        sync::Arc::clone(&socket),
        sync::Arc::clone(&engine),
    ));
    tokio::spawn(peers::transmit(socket, sync::Arc::clone(&engine)));
    tokio::spawn(reader::read_facts(sync::Arc::clone(&engine), source));
    let asked = sync::Arc::clone(&engine);
    tokio::spawn(status::serve_pages(ready, move |_| {
        status::ready_answer(&asked)
    }));
    let asked = sync::Arc::clone(&engine);
    tokio::spawn(status::serve_pages(pages, move |request| {
        status::status_answer(&asked, &metrics, request)
    }));
    let (phase, watched) = watch::channel(StopPhase::Serving);
    let open = sync::Arc::new(());
    let accepting = tokio::spawn(caller::accept_callers(
        listener,
        sync::Arc::clone(&engine),
        watched,
        sync::Arc::clone(&open),
    ));
    log::info!(
        "[front] start name={} domain={} listen={} boot={}",
        engine.settings.name,
        engine.settings.failure_domain,
        engine.settings.listen,
        engine.clock.boot().0
    );
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = reload.recv() => {
                log::info!("[front] reload: facts come from the platform, nothing to reread");
            }
        }
    }
    log::info!("[front] stop announced");
    {
        let mut state = engine.state();
        state.stopping = true;
        state.news_due = true;
    }
    engine.outbound.notify_one();
    phase.send_replace(StopPhase::Announced);
    tokio::time::sleep(STOP_NOTICE).await;
    phase.send_replace(StopPhase::Closing);
    if accepting.await.is_err() {
        log::error!("[front] accept task failed");
    }
    while sync::Arc::strong_count(&open) > 1 {
        tokio::time::sleep(STOP_LOOK).await;
    }
    log::info!("[front] stopped");
    log::logger().flush();
    Ok(())
}
