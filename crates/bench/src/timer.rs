//! Timer with sub-millisecond resolution.
//!
//! Tokio's timer rounds up to whole milliseconds, which would double a link delay of 0.5 ms.

use std::collections;
use std::sync;
use std::thread;
use std::time;

use tokio::sync::oneshot;

/// Waiters by due time; the sequence number distinguishes waiters with the same due time.
type TimerQueue = collections::BTreeMap<(time::Instant, u64), oneshot::Sender<()>>;

static TIMER: sync::LazyLock<sync::Arc<SharedTimer>> = sync::LazyLock::new(start_timer);

#[derive(Default)]
struct SharedTimer {
    queue: sync::Mutex<TimerQueue>,
    added: sync::Condvar,
}

fn start_timer() -> sync::Arc<SharedTimer> {
    let timer = sync::Arc::<SharedTimer>::default();
    let worker = sync::Arc::clone(&timer);
    thread::spawn(move || worker.run());
    timer
}

impl SharedTimer {
    fn run(&self) {
        let mut queue = self.queue.lock().expect("timer lock is not poisoned");
        loop {
            let now = time::Instant::now();
            while let Some(entry) = queue.first_entry()
                && entry.key().0 <= now
            {
                let _ = entry.remove().send(());
            }
            let wait = queue.first_key_value().map(|((due, _), _)| *due - now);
            let wait = wait.unwrap_or(time::Duration::from_hours(1));
            let waited = self.added.wait_timeout(queue, wait);
            queue = waited.expect("timer lock is not poisoned").0;
        }
    }
}

/// Returns a receiver that completes at the due time.
pub fn wake_at(due: time::Instant) -> oneshot::Receiver<()> {
    static NEXT_SEQUENCE: sync::atomic::AtomicU64 = sync::atomic::AtomicU64::new(0);
    let sequence = NEXT_SEQUENCE.fetch_add(1, sync::atomic::Ordering::Relaxed);
    let (waiter, receiver) = oneshot::channel();
    let mut queue = TIMER.queue.lock().expect("timer lock is not poisoned");
    queue.insert((due, sequence), waiter);
    let is_first = queue
        .first_key_value()
        .is_some_and(|((_, first), _)| *first == sequence);
    drop(queue);
    if is_first {
        TIMER.added.notify_one();
    }
    receiver
}

/// Waits for a duration; returns at once when it is zero.
pub async fn sleep_for(duration: time::Duration) {
    if !duration.is_zero() {
        let _ = wake_at(time::Instant::now() + duration).await;
    }
}

/// Returns the current Unix time in milliseconds.
#[must_use]
pub fn unix_millis() -> u64 {
    let since_epoch = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
    since_epoch.map_or(0, |since_epoch| {
        u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
    })
}

/// Returns a duration from fractional milliseconds; zero if the value is negative or not finite.
pub fn duration_from_millis(millis: f64) -> time::Duration {
    time::Duration::try_from_secs_f64(millis / 1000.0).unwrap_or_default()
}
