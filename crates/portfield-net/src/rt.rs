//! The executor that a process runs on.

use std::{sync::Arc, thread, time::Duration};

use async_executor::{Executor, Task};
use futures_lite::future;

/// A time that does not pass before it is asked for.
const FAR_FUTURE: Duration = Duration::from_secs(3600);

/// A handle on the process's executor.
#[derive(Debug, Clone, Default)]
pub struct Runtime {
    executor: Arc<Executor<'static>>,
}

impl Runtime {
    /// Runs a future to its end, with `n_threads` more threads for what it spawns.
    pub fn block_on<T>(&self, n_threads: usize, f: impl Future<Output = T>) -> T {
        init_reactors();
        let (stop, stopped) = async_channel::bounded::<()>(1);
        thread::scope(|scope| {
            for _ in 0..n_threads {
                let (executor, stopped) = (self.executor.clone(), stopped.clone());
                scope.spawn(move || future::block_on(executor.run(stopped.recv())));
            }
            // The main thread waits for I/O itself: no thread switch for each event.
            let res = async_io::block_on(self.executor.run(f));
            drop(stop);
            res
        })
    }

    /// Starts a task that runs on its own.
    pub fn spawn(&self, f: impl Future<Output = ()> + Send + 'static) {
        self.executor.spawn(f).detach();
    }

    /// Starts a task that ends when the handle is dropped.
    pub fn spawn_cancellable<T: Send + 'static>(
        &self,
        f: impl Future<Output = T> + Send + 'static,
    ) -> Task<T> {
        self.executor.spawn(f)
    }
}

/// Opens the reactors: ours, and the older one that `async-h1` brings along.
///
/// Each opens with the first timer that is waited for, and ends the process where descriptors have
/// run out by then: at the start there are some.
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
