//! The threads that instances live on, each with a runtime of its own, and whether they are heard of.

use std::collections::BTreeSet;
use std::future::Future;
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use tokio::runtime::{Builder, Handle};
use tokio::sync::oneshot;
use tokio::task::AbortHandle;
use tokio::time::sleep;

/// How often a worker says that it turns.
const BEAT: Duration = Duration::from_millis(250);
/// One that has not said so for this long is stuck: nothing new is given to it.
pub const STUCK: Duration = Duration::from_millis(1_000);

/// The workers.
pub struct Workers {
    all: Vec<Worker>,
    epoch: Instant,
    /// Those that were told to be stuck.
    stuck: BTreeSet<usize>,
}

struct Worker {
    handle: Handle,
    /// Milliseconds from the epoch at its last beat.
    heard: Arc<AtomicU64>,
    generations: Arc<AtomicUsize>,
    /// Dropped to end it.
    _over: oneshot::Sender<()>,
}

/// One of a worker's generations; counted until dropped.
struct Counted(Arc<AtomicUsize>);

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Workers {
    /// Starts so many.
    pub fn start(count: usize) -> io::Result<Workers> {
        let epoch = Instant::now();
        let all = (0..count).map(|number| Worker::start(number, epoch)).collect::<io::Result<_>>()?;
        Ok(Workers { all, epoch, stuck: BTreeSet::new() })
    }

    /// How many there are.
    pub fn count(&self) -> usize {
        self.all.len()
    }

    /// Where something new goes: to the one with the fewest generations among those that are not stuck.
    pub fn choose(&self) -> usize {
        let load = |at: &usize| (self.is_stuck(*at), self.generations(*at));
        (0..self.all.len()).min_by_key(load).unwrap_or(0)
    }

    /// How many generations live on one.
    pub fn generations(&self, at: usize) -> usize {
        self.all.get(at).map_or(0, |worker| worker.generations.load(Ordering::Relaxed))
    }

    /// How long ago one was last heard.
    pub fn silent(&self, at: usize) -> Duration {
        let heard = self.all.get(at).map_or(0, |worker| worker.heard.load(Ordering::Relaxed));
        self.epoch.elapsed().saturating_sub(Duration::from_millis(heard))
    }

    /// Whether that is too long.
    pub fn is_stuck(&self, at: usize) -> bool {
        self.silent(at) > STUCK
    }

    /// Which have got stuck or turn again since this was last asked, in lines.
    pub fn watch(&mut self) -> Vec<String> {
        let mut news = Vec::new();
        for at in 0..self.all.len() {
            let stuck = self.is_stuck(at);
            if stuck && self.stuck.insert(at) {
                news.push(format!("worker {at} is stuck; {} generations wait with it", self.generations(at)));
            } else if !stuck && self.stuck.remove(&at) {
                news.push(format!("worker {at} turns again"));
            }
        }
        news
    }

    /// Runs something in the surroundings of a worker, so that sockets made there are its own.
    pub fn within<T>(&self, at: usize, make: impl FnOnce() -> T) -> Option<T> {
        let worker = self.all.get(at)?;
        let _entered = worker.handle.enter();
        Some(make())
    }

    /// Has a worker run something to its end.
    pub fn spawn(&self, at: usize, life: impl Future<Output = ()> + Send + 'static) -> Option<AbortHandle> {
        let worker = self.all.get(at)?;
        worker.generations.fetch_add(1, Ordering::Relaxed);
        let counted = Counted(worker.generations.clone());
        let task = worker.handle.spawn(async move {
            life.await;
            drop(counted);
        });
        Some(task.abort_handle())
    }
}

impl Worker {
    fn start(number: usize, epoch: Instant) -> io::Result<Worker> {
        let runtime = Builder::new_current_thread().enable_all().build()?;
        let handle = runtime.handle().clone();
        let heard = Arc::new(AtomicU64::new(epoch.elapsed().as_millis() as u64));
        let beat = heard.clone();
        let (over, is_over) = oneshot::channel::<()>();
        std::thread::Builder::new().name(format!("worker-{number}")).spawn(move || {
            runtime.block_on(async {
                let beats = async {
                    loop {
                        beat.store(epoch.elapsed().as_millis() as u64, Ordering::Relaxed);
                        sleep(BEAT).await;
                    }
                };
                tokio::select! {
                    () = beats => {}
                    _ = is_over => {}
                }
            });
            // What is left on it ends with it, without waiting for anything that blocks.
            runtime.shutdown_background();
        })?;
        Ok(Worker { handle, heard, generations: Arc::new(AtomicUsize::new(0)), _over: over })
    }
}
