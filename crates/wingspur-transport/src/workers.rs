//! A pool of worker threads that run the tasks of one executor.

use std::future::Future;
use std::sync::Arc;
use std::thread::JoinHandle;

use smol::Executor;
use smol::Task;

/// Starts tasks on the worker pool. Cheap to clone.
#[derive(Debug, Clone, Default)]
pub struct Spawner {
    executor: Arc<Executor<'static>>,
}

impl Spawner {
    /// Starts a task that is canceled when its handle is dropped.
    pub fn spawn<T: Send + 'static>(
        &self,
        future: impl Future<Output = T> + Send + 'static,
    ) -> Task<T> {
        self.executor.spawn(future)
    }

    /// Starts a task that runs to completion, without a handle.
    pub fn detach(&self, future: impl Future<Output = ()> + Send + 'static) {
        self.executor.spawn(future).detach();
    }
}

impl AsRef<Executor<'static>> for Spawner {
    fn as_ref(&self) -> &Executor<'static> {
        &self.executor
    }
}

/// The worker threads.
#[derive(Debug)]
pub struct Workers {
    spawner: Spawner,
    stop: StopTrigger,
    threads: Vec<JoinHandle<()>>,
}

impl Workers {
    /// Starts `count` threads, at least one.
    pub fn start(count: usize) -> Self {
        let spawner = Spawner::default();
        let (stop, signal) = stop_pair();
        let threads = (0..count.max(1))
            .map(|_| {
                let (executor, signal) = (spawner.executor.clone(), signal.clone());
                std::thread::spawn(move || {
                    smol::block_on(executor.run(signal.wait()));
                })
            })
            .collect();
        Self {
            spawner,
            stop,
            threads,
        }
    }

    /// Returns a spawner that starts tasks on these threads.
    pub fn spawner(&self) -> Spawner {
        self.spawner.clone()
    }

    /// Stops the threads and waits for them. Tasks that have not completed run no
    /// further.
    pub fn close(self) {
        self.stop.close();
        for thread in self.threads {
            // The panic of a worker thread has already been printed to standard error.
            let _ = thread.join();
        }
    }
}

/// Triggers a stop and notifies every `StopSignal` of the pair.
#[derive(Debug, Clone)]
pub struct StopTrigger {
    sender: async_channel::Sender<()>,
}

impl StopTrigger {
    /// Triggers the stop. Later calls have no effect.
    pub fn close(&self) {
        self.sender.close();
    }
}

/// Lets tasks wait for a stop or check for it.
#[derive(Debug, Clone)]
pub struct StopSignal {
    receiver: async_channel::Receiver<()>,
}

impl StopSignal {
    /// Waits until the stop is triggered, or all its triggers are dropped.
    pub async fn wait(&self) {
        // Nothing is ever sent, so the loop ends only when the channel is closed.
        while self.receiver.recv().await.is_ok() {}
    }

    /// Returns whether the stop was triggered, or all its triggers were dropped.
    pub fn is_triggered(&self) -> bool {
        self.receiver.is_closed()
    }
}

/// Creates a trigger and the signal that it controls.
pub fn stop_pair() -> (StopTrigger, StopSignal) {
    let (sender, receiver) = async_channel::bounded(1);
    (StopTrigger { sender }, StopSignal { receiver })
}
