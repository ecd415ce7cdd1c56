//! When a response arrived at this machine, which may be long before a task reads it.

use std::mem::{MaybeUninit, size_of};
use std::os::fd::AsRawFd;
use std::time::{Duration, Instant};

use smol::net::TcpStream;

/// When a response arrived, and how far away its server is.
#[derive(Debug, Clone, Copy)]
pub struct ResponseArrival {
    /// When the data that was received last arrived. It may have arrived earlier, but for
    /// a tick of the kernel, which is up to 10 ms.
    pub at: Instant,
    /// The shortest time so far in which a packet has reached the server and an answer to
    /// it has come back.
    pub round_trip: Duration,
}

impl ResponseArrival {
    /// Returns when the data that was received last on a connection arrived.
    ///
    /// The kernel knows it, however late this box gets to read. Where the kernel does not
    /// tell, it is now. `connect_time` is the shortest time to connect to the server so
    /// far.
    pub fn latest(stream: &TcpStream, connect_time: Duration) -> Self {
        let info = tcp_info(stream);
        // After the kernel was asked: a pause in between makes the arrival later, never
        // earlier.
        let now = wingspur_clock::now();
        let since_received = info.map_or(Duration::ZERO, |info| {
            Duration::from_millis(info.tcpi_last_data_recv.into())
        });
        let round_trip = info.and_then(|info| match info.tcpi_min_rtt {
            0 | u32::MAX => None,
            min_us => Some(Duration::from_micros(min_us.into())),
        });
        Self {
            at: now.checked_sub(since_received).unwrap_or(now),
            round_trip: round_trip.map_or(connect_time, |trip| trip.min(connect_time)),
        }
    }
}

/// Returns what the kernel knows about a connection; `None` if it does not tell.
fn tcp_info(stream: &TcpStream) -> Option<libc::tcp_info> {
    let mut info = MaybeUninit::<libc::tcp_info>::zeroed();
    let mut length = size_of::<libc::tcp_info>() as libc::socklen_t;
    // SAFETY: the kernel writes at most `length` bytes to `info`, and the descriptor is
    // open as long as `stream` is.
    let result = unsafe {
        libc::getsockopt(
            stream.as_raw_fd(),
            libc::IPPROTO_TCP,
            libc::TCP_INFO,
            info.as_mut_ptr().cast(),
            &mut length,
        )
    };
    // SAFETY: all its fields are integers, for which zero is valid. An older kernel leaves
    // the last ones at zero.
    let info = unsafe { info.assume_init() };
    let is_known = result == 0 && info.tcpi_state != 0;
    is_known.then_some(info)
}
