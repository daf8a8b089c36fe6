use super::*;
use {
    actix_rt::time::Sleep,
    caller_presence::CallerPresence,
    in_flight::InFlight,
    rustix::net::sockopt::set_socket_linger,
    slow_readers::ConnectionAccount,
    std::{
        io::IoSlice,
        mem::MaybeUninit,
        pin::Pin,
        task::{Context, Poll, ready},
    },
    tokio::io::{AsyncRead, AsyncWrite, ReadBuf},
};

/// Connection of a caller, which can be reset in place of closed.
///
/// A body without a length or chunks ends where its connection is closed, so a connection that ends
/// for any other reason must be reset, also by the operating system if the process is killed.
pub(crate) struct CallerConnection {
    account: ConnectionAccount,
    close_mode: CloseMode,
    io: TcpStream,
    linger: Option<Linger>,
    lingering: Rc<Cell<usize>>,
    presence: CallerPresence,
    /// Mode that the socket is set to.
    resets: bool,
}

/// The rest of a connection's life once all has been sent: the caller may still read, and send.
struct Linger {
    bytes: usize,
    ends: Pin<Box<Sleep>>,
    _lingering: InFlight,
}

/// How a connection ends, shared with the bodies that are sent over it.
#[derive(Clone, Default)]
pub(crate) struct CloseMode(Rc<Cell<bool>>);

impl CloseMode {
    /// Has the connection reset from the next write on, or closed in an orderly way once all is written.
    pub(crate) fn set_resets(&self, resets: bool) {
        self.0.set(resets);
    }
}

impl CallerConnection {
    const DISCARD_BYTES: usize = 16 << 10;
    /// Bytes that are read and discarded at most after the last answer.
    const MAX_LINGER_BYTES: usize = 16 << 20;
    /// Longest time for a caller to read the last answer and close its end.
    const MAX_LINGER: Duration = Duration::from_secs(5);
    /// Most connections of a listener that wait for their callers to close their end.
    const MAX_LINGERING: usize = 1_024;

    pub(crate) fn new(
        io: TcpStream,
        account: ConnectionAccount,
        lingering: &Rc<Cell<usize>>,
    ) -> Self {
        Self {
            account,
            close_mode: CloseMode::default(),
            io,
            linger: None,
            lingering: Rc::clone(lingering),
            presence: CallerPresence::default(),
            resets: false,
        }
    }

    pub(crate) fn account(&self) -> ConnectionAccount {
        self.account.clone()
    }

    pub(crate) fn close_mode(&self) -> CloseMode {
        self.close_mode.clone()
    }

    pub(crate) fn presence(&self) -> CallerPresence {
        self.presence.clone()
    }

    /// Has the connection reset if it ends before all of an answer has been written.
    fn prepare_write(&mut self) -> io::Result<()> {
        if self.account.is_broken_off() {
            set_socket_linger(&self.io, Some(Duration::ZERO))?;
            return Err(ErrorKind::ConnectionAborted.into());
        }
        if self.close_mode.0.get() && !self.resets {
            set_socket_linger(&self.io, Some(Duration::ZERO))?;
            self.resets = true;
        }
        Ok(())
    }

    /// Has the connection closed in an orderly way, unless its answer has broken off. All has been written.
    fn prepare_shutdown(&mut self) -> io::Result<()> {
        self.prepare_write()?;
        if self.close_mode.0.get() {
            return Err(ErrorKind::ConnectionAborted.into());
        }
        if self.resets {
            set_socket_linger(&self.io, None)?;
            self.resets = false;
        }
        Ok(())
    }

    /// Reads and discards what the caller still sends, until it closes its end. Closed with bytes unread, or sent
    /// any later, the connection would be reset, and the caller would lose what it has not read of its answer.
    fn poll_linger(&mut self, cx: &mut Context) -> Poll<()> {
        let Some(linger) = &mut self.linger else {
            return Poll::Ready(());
        };
        let mut discarded = [MaybeUninit::uninit(); Self::DISCARD_BYTES];
        while linger.bytes < Self::MAX_LINGER_BYTES {
            let mut buf = ReadBuf::uninit(&mut discarded);
            match Pin::new(&mut self.io).poll_read(cx, &mut buf) {
                Poll::Ready(Ok(())) if !buf.filled().is_empty() => {
                    linger.bytes += buf.filled().len();
                }
                Poll::Ready(_) => return Poll::Ready(()),
                Poll::Pending => return linger.ends.as_mut().poll(cx),
            }
        }
        Poll::Ready(())
    }
}

impl AsyncRead for CallerConnection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
        buf: &mut ReadBuf,
    ) -> Poll<io::Result<()>> {
        let filled = buf.filled().len();
        let read = Pin::new(&mut self.io).poll_read(cx, buf);
        let has_ended = match &read {
            Poll::Ready(Ok(())) => buf.filled().len() == filled && buf.remaining() > 0,
            Poll::Ready(Err(_)) => true,
            Poll::Pending => false,
        };
        if has_ended {
            self.presence.set_gone();
        }
        read
    }
}

impl Drop for CallerConnection {
    fn drop(&mut self) {
        self.presence.set_gone();
    }
}

impl AsyncWrite for CallerConnection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.prepare_write()?;
        let written = Pin::new(&mut self.io).poll_write(cx, buf);
        self.account.record_write(cx, &written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
        bufs: &[IoSlice],
    ) -> Poll<io::Result<usize>> {
        self.prepare_write()?;
        let written = Pin::new(&mut self.io).poll_write_vectored(cx, bufs);
        self.account.record_write(cx, &written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        if self.linger.is_none() {
            self.prepare_shutdown()?;
            ready!(Pin::new(&mut self.io).poll_shutdown(cx))?;
            let lingering = InFlight::enter(&self.lingering, Self::MAX_LINGERING);
            let Some(lingering) = lingering else {
                log::warn!(limit = Self::MAX_LINGERING; "connection closed at once: too many wait for their callers");
                return Poll::Ready(Ok(()));
            };
            self.linger = Some(Linger {
                bytes: 0,
                ends: Box::pin(actix_rt::time::sleep(Self::MAX_LINGER)),
                _lingering: lingering,
            });
        }
        self.poll_linger(cx).map(Ok)
    }
}
