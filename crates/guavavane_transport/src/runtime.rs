//! Runs the process-wide tokio runtime of the transport on a dedicated thread.

use std::sync::OnceLock;
use std::thread;

use tokio::runtime::Builder;
use tokio::runtime::Handle;

static RUNTIME: OnceLock<Handle> = OnceLock::new();

/// Returns the handle of the runtime; the first use starts it.
pub(crate) fn runtime() -> &'static Handle {
    RUNTIME.get_or_init(start_runtime)
}

fn start_runtime() -> Handle {
    let runtime = Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("the operating system provides a poller");
    let handle = runtime.handle().clone();
    thread::Builder::new()
        .name("transport".to_owned())
        .spawn(move || runtime.block_on(std::future::pending::<()>()))
        .expect("the operating system provides a thread");
    handle
}
