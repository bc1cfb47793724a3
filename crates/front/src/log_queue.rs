//! Log output that never blocks the process.

use std::io;
use std::io::Write;
use std::sync;
use std::sync::mpsc;
use std::thread;
use std::time;

use flexi_logger::DeferredNow;
use flexi_logger::writers::LogWriter;

/// Limit of queued lines; at 6 lines per request this is 300 requests.
const MAX_QUEUED_LINES: usize = 2048;
/// Time for which lines are collected for one write.
const BATCH_PAUSE: time::Duration = time::Duration::from_millis(50);
/// Time-out for writing the last lines when the process stops.
const FLUSH_TIMEOUT: time::Duration = time::Duration::from_millis(300);

enum LogItem {
    Line(String),
    Flush(mpsc::SyncSender<()>),
}

/// Passes log lines to a thread that writes them to standard output.
///
/// A line that finds the queue full is dropped and counted in
/// `toucanledge_log_lines_dropped_total`, so neither a burst of lines nor an output that nobody
/// reads can block a request.
#[derive(Debug)]
pub struct LogQueue {
    sender: mpsc::SyncSender<LogItem>,
}

impl LogQueue {
    /// Starts the writing thread.
    ///
    /// # Errors
    ///
    /// Returns why the thread could not be started.
    pub fn start() -> io::Result<Self> {
        let (sender, receiver) = mpsc::sync_channel(MAX_QUEUED_LINES);
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_lines(&receiver))?;
        Ok(Self { sender })
    }
}

impl LogWriter for LogQueue {
    fn write(&self, _now: &mut DeferredNow, record: &log::Record<'_>) -> io::Result<()> {
        let since_epoch = time::SystemTime::now()
            .duration_since(time::UNIX_EPOCH)
            .unwrap_or_default();
        let line = format!(
            "{} {} {}\n",
            since_epoch.as_millis(),
            record.level(),
            record.args()
        );
        if self.sender.try_send(LogItem::Line(line)).is_err() {
            metrics::counter!("toucanledge_log_lines_dropped_total").increment(1);
        }
        Ok(())
    }

    fn flush(&self) -> io::Result<()> {
        let (done, flushed) = mpsc::sync_channel(1);
        if self.sender.try_send(LogItem::Flush(done)).is_ok() {
            // A time-out means that nobody reads the output; the process must not wait for it.
            let _ = flushed.recv_timeout(FLUSH_TIMEOUT);
        }
        Ok(())
    }
}

fn write_lines(receiver: &mpsc::Receiver<LogItem>) {
    let mut flushes: Vec<mpsc::SyncSender<()>> = Vec::new();
    while let Ok(first) = receiver.recv() {
        let mut text = String::new();
        let mut items = Some(first);
        if matches!(items, Some(LogItem::Line(_))) {
            thread::sleep(BATCH_PAUSE);
        }
        while let Some(item) = items.take().or_else(|| receiver.try_recv().ok()) {
            match item {
                LogItem::Line(line) => text.push_str(&line),
                LogItem::Flush(done) => flushes.push(done),
            }
        }
        let mut output = io::stdout().lock();
        let written = output
            .write_all(text.as_bytes())
            .and_then(|()| output.flush());
        if written.is_err() {
            static LOST: sync::Once = sync::Once::new();
            LOST.call_once(|| {
                metrics::counter!("toucanledge_log_output_lost_total").increment(1);
            });
        }
        for done in flushes.drain(..) {
            // The flushing thread may have stopped waiting.
            let _ = done.try_send(());
        }
    }
}
