//! Start-up shared by the stand-in binaries: log, open-file limit, settings file and runtime.

use std::fs;
use std::io;
use std::path;
use std::process;
use std::sync;

use error_stack::ResultExt;
use rustix::process as rustix_process;

/// Prefix of every log line of the process.
///
/// The logger takes a function pointer as its format, which cannot capture the prefix.
static LOG_PREFIX: sync::OnceLock<&'static str> = sync::OnceLock::new();

/// Error of the stand-ins and the launcher: the step that failed, with its file or address.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BenchError(String);

impl std::fmt::Display for BenchError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(&self.0)
    }
}

impl std::error::Error for BenchError {}

/// Result whose error names the step that failed.
pub type BenchResult<T> = Result<T, error_stack::Report<BenchError>>;

/// Returns the error for a failed step.
pub fn step_error(step: impl Into<String>) -> BenchError {
    BenchError(step.into())
}

/// Runs a stand-in binary until it fails; `prefix` begins the text of every log line.
pub fn run_daemon(
    prefix: &'static str,
    main: impl Future<Output = BenchResult<()>>,
) -> process::ExitCode {
    match start(prefix).and_then(|runtime| runtime.block_on(main)) {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("{prefix} {report:?}");
            process::ExitCode::FAILURE
        }
    }
}

/// Reads a settings file in JSON with comments.
pub fn read_settings<T: serde::de::DeserializeOwned>(file: &path::Path) -> BenchResult<T> {
    let step = || step_error(format!("read settings file {}", file.display()));
    let text = fs::read_to_string(file).change_context_lazy(step)?;
    let stripped = json_comments::StripComments::new(text.as_bytes());
    serde_json::from_reader(io::BufReader::new(stripped)).change_context_lazy(step)
}

/// Binds a TCP listener; the error names the address.
pub async fn bind_tcp(address: std::net::SocketAddr) -> BenchResult<tokio::net::TcpListener> {
    tokio::net::TcpListener::bind(address)
        .await
        .change_context_lazy(|| step_error(format!("listen on TCP {address}")))
}

fn start(prefix: &'static str) -> BenchResult<tokio::runtime::Runtime> {
    LOG_PREFIX.get_or_init(|| prefix);
    flexi_logger::Logger::try_with_env_or_str("info")
        .and_then(|logger| logger.format(format_record).start())
        .change_context_lazy(|| step_error("start the logger"))?;
    raise_file_limit();
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .change_context_lazy(|| step_error("start the runtime"))
}

fn format_record(
    writer: &mut dyn io::Write,
    now: &mut flexi_logger::DeferredNow,
    record: &log::Record<'_>,
) -> io::Result<()> {
    let time = now.format("%H:%M:%S%.3f");
    let prefix = LOG_PREFIX.get().copied().unwrap_or_default();
    write!(
        writer,
        "{time} {:5} {prefix} {}",
        record.level(),
        record.args()
    )
}

/// Raises the soft limit of open files to the hard limit; a proxied connection needs two files.
fn raise_file_limit() {
    let mut limit = rustix_process::getrlimit(rustix_process::Resource::Nofile);
    limit.current = limit.maximum;
    if let Err(error) = rustix_process::setrlimit(rustix_process::Resource::Nofile, limit) {
        log::warn!("could not raise the limit of open files: {error}");
    }
}
