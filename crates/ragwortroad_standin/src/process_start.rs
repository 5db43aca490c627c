use std::{
    io,
    net::{
        SocketAddr,
        TcpListener, //
    },
    process::{
        Child,
        Command, //
    },
    sync::{
        Mutex,
        MutexGuard,
        PoisonError, //
    }, //
};

static START_LOCK: Mutex<()> = Mutex::new(());

/// Keeps [`start_process`] waiting while the guard lives.
///
/// Until a process that is started runs its own program, it has a copy of each file and socket that
/// is open here. A file that is being written then can't be executed, and the address of a listener
/// that is closed then stays in use.
pub fn hold_process_starts() -> MutexGuard<'static, ()> {
    START_LOCK.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Starts a process, and returns once it runs its own program.
pub fn start_process(command: &mut Command) -> io::Result<Child> {
    let _guard = hold_process_starts();
    command.spawn()
}

/// Binds a listener to an address that a listener of this process may have had until now.
pub fn bind_listener(address: SocketAddr) -> io::Result<TcpListener> {
    let _guard = hold_process_starts();
    TcpListener::bind(address)
}
