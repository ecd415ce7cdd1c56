//! A pool of worker threads that drive one executor.

use std::future::Future;
use std::sync::Arc;
use std::thread::JoinHandle;

use smol::Executor;
use smol::Task;

/// Starts tasks on the worker pool; cheap to copy.
#[derive(Debug, Clone, Default)]
pub struct Spawner {
    executor: Arc<Executor<'static>>,
}

impl Spawner {
    /// Starts a task that ends when its handle is dropped.
    pub fn spawn<T: Send + 'static>(
        &self,
        future: impl Future<Output = T> + Send + 'static,
    ) -> Task<T> {
        self.executor.spawn(future)
    }

    /// Starts a task that runs to its end.
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
    /// Starts `count` threads.
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

    /// The means to start tasks on these threads.
    pub fn spawner(&self) -> Spawner {
        self.spawner.clone()
    }

    /// Ends the threads; tasks still waiting are dropped.
    pub fn close(self) {
        self.stop.close();
        for thread in self.threads {
            // A worker that panicked has been reported on standard error already.
            let _ = thread.join();
        }
    }
}

/// Tells that something shall stop, to all who wait for it.
#[derive(Debug, Clone)]
pub struct StopTrigger {
    sender: async_channel::Sender<()>,
}

impl StopTrigger {
    /// Gives the signal; later calls change nothing.
    pub fn close(&self) {
        self.sender.close();
    }
}

/// Waits for a stop.
#[derive(Debug, Clone)]
pub struct StopSignal {
    receiver: async_channel::Receiver<()>,
}

impl StopSignal {
    /// Returns once the signal is given, or its trigger is gone.
    pub async fn wait(&self) {
        // Nothing is ever sent: the only end is that the channel closes.
        while self.receiver.recv().await.is_ok() {}
    }

    /// Whether the signal was given.
    pub fn is_triggered(&self) -> bool {
        self.receiver.is_closed()
    }
}

/// A trigger and the signal it gives.
pub fn stop_pair() -> (StopTrigger, StopSignal) {
    let (sender, receiver) = async_channel::bounded(1);
    (StopTrigger { sender }, StopSignal { receiver })
}
