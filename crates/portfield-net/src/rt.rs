//! The async executor of a process.

use std::{sync::Arc, thread, time::Duration};

use async_executor::{Executor, Task};
use futures_lite::future;

/// Duration of a timer that does not fire while it is polled.
const FAR_FUTURE: Duration = Duration::from_secs(3600);

/// A handle to the executor of a process.
#[derive(Debug, Clone, Default)]
pub struct Runtime {
    executor: Arc<Executor<'static>>,
}

impl Runtime {
    /// Runs a future to completion on this thread, with `n_threads` more threads for spawned tasks.
    pub fn block_on<T>(&self, n_threads: usize, f: impl Future<Output = T>) -> T {
        init_reactors();
        let (stop, stopped) = async_channel::bounded::<()>(1);
        thread::scope(|scope| {
            for _ in 0..n_threads {
                let (executor, stopped) = (self.executor.clone(), stopped.clone());
                scope.spawn(move || future::block_on(executor.run(stopped.recv())));
            }
            // The main thread polls the reactor itself, which saves a thread switch per event.
            let res = async_io::block_on(self.executor.run(f));
            drop(stop);
            res
        })
    }

    /// Spawns a detached task.
    pub fn spawn(&self, f: impl Future<Output = ()> + Send + 'static) {
        self.executor.spawn(f).detach();
    }

    /// Spawns a task that is cancelled when its handle is dropped.
    pub fn spawn_cancellable<T: Send + 'static>(
        &self,
        f: impl Future<Output = T> + Send + 'static,
    ) -> Task<T> {
        self.executor.spawn(f)
    }
}

/// Initializes the reactors of `async-io` 2 and of `async-io` 1, which `async-h1` uses.
///
/// A reactor is created when its first timer is polled, and ends the process if no file descriptor
/// is left. At the start of the process there are enough.
fn init_reactors() {
    let current = future::poll_once(async_io::Timer::after(FAR_FUTURE));
    let legacy = future::poll_once(async_io_1::Timer::after(FAR_FUTURE));
    let _ = future::block_on(future::zip(current, legacy));
}

impl<F> hyper::rt::Executor<F> for Runtime
where
    F: Future + Send + 'static,
    F::Output: Send + 'static,
{
    fn execute(&self, f: F) {
        self.executor.spawn(f).detach();
    }
}
