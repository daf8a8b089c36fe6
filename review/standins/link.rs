//! A slow link between clients and a machine of the system.

use std::{
    ffi::c_int,
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    os::fd::AsRawFd as _,
    thread,
    time::{Duration, Instant},
};

pub struct Link {
    /// Where clients connect.
    pub address: SocketAddr,
}

impl Link {
    /// Opens a link to `to` that carries this many bits a second for each connection, towards the client.
    pub fn open(to: SocketAddr, bits_per_s: u64) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port for a link");
        let address = listener.local_addr().unwrap();
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let Ok(machine) = TcpStream::connect(to) else {
                    continue;
                };
                keep_window_small(&machine);
                let (Ok(from_client), Ok(to_machine)) = (client.try_clone(), machine.try_clone())
                else {
                    continue;
                };
                thread::spawn(move || carry(from_client, to_machine, u64::MAX));
                thread::spawn(move || carry(machine, client, bits_per_s));
            }
        });
        Self { address }
    }
}

unsafe extern "C" {
    fn setsockopt(fd: c_int, level: c_int, name: c_int, value: *const c_int, len: u32) -> c_int;
}

/// Bounds what waits in the link's own socket, as the window of a client behind a slow link does.
fn keep_window_small(io: &TcpStream) {
    const SOL_SOCKET: c_int = 1;
    const SO_RCVBUF: c_int = 8;
    let bytes: c_int = 32 << 10;
    let len = size_of::<c_int>() as u32;
    let set = unsafe { setsockopt(io.as_raw_fd(), SOL_SOCKET, SO_RCVBUF, &bytes, len) };
    assert_eq!(set, 0);
}

/// Carries bytes until one end closes, which the other end then sees.
fn carry(mut from: TcpStream, mut to: TcpStream, bits_per_s: u64) {
    let mut chunk = [0; 4 << 10];
    let (start, mut carried) = (Instant::now(), 0_u64);
    while let Ok(len) = from.read(&mut chunk) {
        if len == 0 || to.write_all(&chunk[..len]).is_err() {
            break;
        }
        carried += len as u64;
        let due = Duration::from_secs_f64(carried as f64 * 8.0 / bits_per_s as f64);
        thread::sleep(due.saturating_sub(start.elapsed()));
    }
    let _ = to.shutdown(Shutdown::Write);
    let _ = from.shutdown(Shutdown::Read);
}
