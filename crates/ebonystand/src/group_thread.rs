//! Runs the replica of the replicated log on a thread of its own: a sync of the disk takes
//! milliseconds, in which no stream of tokens may wait.

use super::*;
use {
    clock::Clock as _,
    ebonystand_core::{MemberId, ReplicaInput, ReplicaStatus},
    std::{
        sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel},
        thread,
    },
    system_clock::SystemClock,
};

/// What the thread reports.
#[derive(Debug)]
pub(crate) enum GroupEvent {
    /// Effects, in order, and the replica's state after them.
    Effects(Vec<GroupEffect>, Box<GroupView>),
    /// The storage failed; the process must stop.
    Failed(StorageError),
}

/// State of the replica as the rest of the process sees it.
#[derive(Clone, Debug)]
pub(crate) struct GroupView {
    /// Until when it may act as the leader by itself.
    pub(crate) lease_until: Option<Duration>,
    pub(crate) status: ReplicaStatus,
}

/// The thread's inputs.
#[derive(Debug)]
pub(crate) struct GroupThread {
    id: MemberId,
    inputs: Sender<ReplicaInput>,
}

impl GroupThread {
    /// Inputs that are handled together and share one sync.
    const BATCH: usize = 256;
    /// Longest sleep of the thread.
    const LONGEST_SLEEP: Duration = Duration::from_millis(100);

    /// Name of the replica.
    pub(crate) fn id(&self) -> &MemberId {
        &self.id
    }

    pub(crate) fn input(&self, input: ReplicaInput) {
        // The thread ends only with an event that stops the process.
        let _ = self.inputs.send(input);
    }

    pub(crate) fn start(
        group: Group,
        started: SystemClock,
    ) -> Result<(Self, mpsc::UnboundedReceiver<GroupEvent>)> {
        let id = group.replica().status().id;
        let (inputs, inbox) = channel();
        let (events, outbox) = mpsc::unbounded_channel();
        thread::Builder::new()
            .name("group".into())
            .spawn(move || run(group, started, &inbox, &events))
            .context(error::Thread)?;
        Ok((Self { id, inputs }, outbox))
    }
}

fn run(
    mut group: Group,
    started: SystemClock,
    inbox: &Receiver<ReplicaInput>,
    events: &mpsc::UnboundedSender<GroupEvent>,
) {
    loop {
        let deadline = group.replica().deadline();
        let wait = deadline.saturating_sub(started.now());
        let mut inputs = match inbox.recv_timeout(wait.min(GroupThread::LONGEST_SLEEP)) {
            Ok(input) => vec![input],
            Err(RecvTimeoutError::Timeout) => Vec::new(),
            Err(RecvTimeoutError::Disconnected) => return,
        };
        inputs.extend(inbox.try_iter().take(GroupThread::BATCH));
        inputs.push(ReplicaInput::Tick);
        let now = started.now();
        let accepted = group.accept(now, inputs);
        let accepted = report(&group, accepted);
        if !tell(events, accepted) {
            return;
        }
        if group.needs_sync() {
            let synced = group.sync(started.now());
            if !tell(events, report(&group, synced)) {
                return;
            }
        }
    }
}

fn report(group: &Group, result: Result<Vec<GroupEffect>, StorageError>) -> GroupEvent {
    match result {
        Ok(effects) => GroupEvent::Effects(effects, Box::new(view(group))),
        Err(error) => GroupEvent::Failed(error),
    }
}

/// Whether the thread is to go on.
fn tell(events: &mpsc::UnboundedSender<GroupEvent>, event: GroupEvent) -> bool {
    let failed = matches!(event, GroupEvent::Failed(_));
    events.send(event).is_ok() && !failed
}

fn view(group: &Group) -> GroupView {
    GroupView {
        lease_until: group.replica().lease_until(),
        status: group.replica().status(),
    }
}
