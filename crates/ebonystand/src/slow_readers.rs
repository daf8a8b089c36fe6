use super::*;
use {
    actix_http::body::{BodySize, MessageBody},
    clock::Clock,
    ebonystand_core::HeldAnswers,
    prometheus_client::metrics::{counter::Counter, gauge::Gauge},
    std::{
        error,
        pin::Pin,
        task::{Context, Poll, Waker},
    },
};

/// Bounds what this VM holds for callers that read slowly.
pub(crate) struct SlowReaders {
    answers: RefCell<HeldAnswers>,
    broken_off: Counter,
    bytes: Gauge,
    clock: Rc<dyn Clock>,
    next_id: Cell<u64>,
    stalled: RefCell<FxHashMap<u64, Stalled>>,
}

/// Account of one connection, which ends when the last clone is dropped.
#[derive(Clone)]
pub(crate) struct ConnectionAccount(Rc<Account>);

struct Account {
    id: u64,
    is_broken_off: Rc<Cell<bool>>,
    readers: Rc<SlowReaders>,
}

/// A connection whose caller accepts no more bytes for now.
struct Stalled {
    is_broken_off: Rc<Cell<bool>>,
    waker: Waker,
}

/// A body whose bytes are counted from when they are passed to the connection.
struct CountedBody {
    account: ConnectionAccount,
    body: BoxBody,
    /// Rest of a large chunk, whose memory is held until all of it has been passed on.
    rest: Bytes,
    /// Length of that chunk.
    rest_of: usize,
}

impl SlowReaders {
    pub(crate) fn new(
        memory: Option<u64>,
        clock: Rc<dyn Clock>,
        bytes: Gauge,
        broken_off: Counter,
    ) -> Rc<Self> {
        Rc::new(Self {
            answers: RefCell::new(HeldAnswers::new(memory)),
            broken_off,
            bytes,
            clock,
            next_id: Cell::new(0),
            stalled: RefCell::default(),
        })
    }

    /// Breaks off the answers whose callers have not read for too long.
    pub(crate) fn expire(&self) {
        let expired = self.answers.borrow_mut().expire(self.clock.now());
        self.break_off(&expired, "its caller has stopped reading");
    }

    /// Bytes of answers that are held for their callers.
    pub(crate) fn held_bytes(&self) -> u64 {
        self.answers.borrow().total()
    }

    /// Whether a caller still has to accept something that is to be sent to it.
    pub(crate) fn has_unaccepted(&self) -> bool {
        self.answers.borrow().has_unaccepted()
    }

    pub(crate) fn used_permille(&self) -> u64 {
        self.answers.borrow().used_permille()
    }

    /// Has the tasks of these connections end them.
    fn break_off(&self, connections: &[u64], reason: &str) {
        if connections.is_empty() {
            return;
        }
        let held = self.answers.borrow().total();
        log::warn!(connections = connections.len(), reason = reason, held_bytes = held; "answers broken off");
        self.broken_off.inc_by(connections.len() as u64);
        self.bytes.set(held as i64);
        for id in connections {
            let stalled = self.stalled.borrow_mut().remove(id);
            if let Some(stalled) = stalled {
                stalled.is_broken_off.set(true);
                stalled.waker.wake();
            }
        }
    }
}

impl ConnectionAccount {
    pub(crate) fn open(readers: &Rc<SlowReaders>) -> Self {
        readers.next_id.set(readers.next_id.get() + 1);
        Self(Rc::new(Account {
            id: readers.next_id.get(),
            is_broken_off: Rc::default(),
            readers: Rc::clone(readers),
        }))
    }

    /// Records how much a write has passed on.
    pub(crate) fn record_write(&self, cx: &Context, written: &Poll<io::Result<usize>>) {
        let Account { id, readers, .. } = &*self.0;
        match written {
            Poll::Ready(Ok(bytes)) => {
                let mut answers = readers.answers.borrow_mut();
                answers.accept(*id, *bytes as u64);
                readers.bytes.set(answers.total() as i64);
                readers.stalled.borrow_mut().remove(id);
            }
            Poll::Ready(Err(_)) => {}
            Poll::Pending => {
                let now = readers.clock.now();
                readers.answers.borrow_mut().stall(now, *id);
                let stalled = Stalled {
                    is_broken_off: Rc::clone(&self.0.is_broken_off),
                    waker: cx.waker().clone(),
                };
                readers.stalled.borrow_mut().insert(*id, stalled);
            }
        }
    }

    /// Whether the connection is to be ended, because its caller has not read for too long.
    pub(crate) fn is_broken_off(&self) -> bool {
        self.0.is_broken_off.get()
    }

    /// Counts the bytes of a response's body from when they are passed to the connection.
    pub(crate) fn count_body(&self, response: Response<BoxBody>) -> Response<BoxBody> {
        if matches!(response.body().size(), BodySize::None | BodySize::Sized(0)) {
            return response;
        }
        let account = self.clone();
        response.map_body(|_, body| {
            BoxBody::new(CountedBody {
                account,
                body,
                rest: Bytes::new(),
                rest_of: 0,
            })
        })
    }

    fn set_held_back(&self, is_held_back: bool) {
        let mut answers = self.0.readers.answers.borrow_mut();
        answers.set_held_back(self.0.id, is_held_back);
    }

    fn release(&self, bytes: usize) {
        let mut answers = self.0.readers.answers.borrow_mut();
        answers.release(self.0.id, bytes as u64);
    }

    fn add(&self, bytes: usize) {
        let Account { id, readers, .. } = &*self.0;
        let excess = readers.answers.borrow_mut().add(*id, bytes as u64);
        readers.break_off(&excess, "the VM holds too much for slow readers");
    }
}

impl Drop for Account {
    fn drop(&mut self) {
        self.readers.answers.borrow_mut().remove(self.id);
        self.readers.stalled.borrow_mut().remove(&self.id);
        let held = self.readers.answers.borrow().total();
        self.readers.bytes.set(held as i64);
    }
}

impl CountedBody {
    /// Takes the next part of a large chunk. Passed on as a whole, it would be copied at once.
    fn next_part(&mut self) -> Bytes {
        let len = self.rest.len().min(HeldAnswers::CONNECTION_BYTES);
        let part = self.rest.split_to(len);
        self.account.add(len);
        if self.rest.is_empty() {
            self.account.release(self.rest_of);
        }
        part
    }
}

impl MessageBody for CountedBody {
    type Error = Box<dyn error::Error>;

    fn size(&self) -> BodySize {
        self.body.size()
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
    ) -> Poll<Option<Result<Bytes, Self::Error>>> {
        if !self.rest.is_empty() {
            return Poll::Ready(Some(Ok(self.next_part())));
        }
        let next = Pin::new(&mut self.body).poll_next(cx);
        let Poll::Ready(Some(Ok(bytes))) = next else {
            self.account.set_held_back(false);
            return next;
        };
        if bytes.len() <= HeldAnswers::CONNECTION_BYTES {
            self.account.add(bytes.len());
            // The connection asks for more at once unless its buffer is full.
            self.account.set_held_back(true);
            return Poll::Ready(Some(Ok(bytes)));
        }
        self.rest_of = bytes.len();
        self.rest = bytes;
        self.account.add(self.rest_of);
        Poll::Ready(Some(Ok(self.next_part())))
    }
}
