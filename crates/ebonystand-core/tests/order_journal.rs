//! Tests of the journal of once-only orders, command by command.

use {
    ebonystand_core::{
        BodyHash, OrderAction, OrderAnswer, OrderCommand, OrderDispatch, OrderHolder, OrderId,
        OrderJournal, OrderKeyError, OrderLimits,
        OrderOutcome::{
            self, Abandoned, AlreadyGranted, AnswerDropped, Conflict, Expired, Full, Granted,
            KeyFault, Stale, Stored, Unknown,
        },
        OrderRequest, OrderStaleReason, Refusal, RefusalCode, Region, Workspace, order_region,
    },
    rstest::rstest,
    std::time::Duration,
};

const A: &str = "1796253227-a";
const B: &str = "1796253227-b";
const NOW: u64 = 1_796_253_227;
const OLD: &str = "1796053227-a";

fn id(key: &str) -> OrderId {
    OrderId {
        key: key.into(),
        workspace: "w".into(),
    }
}

fn hash(body: u8) -> BodyHash {
    BodyHash::from_request("POST", "/orders", &[body])
}

fn holder(vm: &str, incarnation: u64, attempt: u64) -> OrderHolder {
    OrderHolder {
        attempt,
        incarnation,
        vm: vm.into(),
    }
}

fn dispatch(key: &str, attempt: u64) -> Result<OrderDispatch, Refusal> {
    let req = OrderRequest {
        received_at: NOW,
        body_hash: hash(1),
        dispatch_by: Duration::from_secs(1),
        id: id(key),
        reply_by: Duration::from_secs(2),
    };
    OrderDispatch::new(req, holder("a", 1, attempt), &OrderLimits::default())
}

#[derive(Default)]
struct Fixture(OrderJournal);

impl Fixture {
    fn abandon(&mut self, key: &str, holder: &OrderHolder, body: u8) -> OrderOutcome {
        let (body, holder, id) = (hash(body), holder.clone(), id(key));
        self.0.apply(&OrderCommand::Abandon { body, holder, id })
    }

    fn answer(&mut self, key: &str, holder: &OrderHolder, len: usize) -> OrderOutcome {
        let answer = OrderAnswer {
            body: vec![b'x'; len].into(),
            content_type: "".into(),
            status: 200,
        };
        let (holder, id) = (holder.clone(), id(key));
        self.0.apply(&OrderCommand::Answer { answer, holder, id })
    }

    fn grant(&mut self, key: &str, holder: &OrderHolder, body: u8) -> OrderOutcome {
        self.grant_id(id(key), holder, body)
    }

    fn grant_id(&mut self, id: OrderId, holder: &OrderHolder, body: u8) -> OrderOutcome {
        self.0.apply(&OrderCommand::Grant {
            at: NOW,
            body: hash(body),
            holder: holder.clone(),
            id,
        })
    }
}

/// A caller changes its order and sends it under the old key. If the journal answered, the caller
/// would take the first order's result for the second's. It must get a conflict at every stage of
/// the first order, and also when it stops waiting and abandons.
#[test]
fn a_key_with_another_body_is_a_conflict() {
    let (mut journal, a, b) = (Fixture::default(), holder("a", 1, 1), holder("b", 1, 1));
    assert_eq!(journal.grant(A, &a, 1), Granted);
    assert_eq!(journal.grant(A, &b, 2), Conflict);
    assert_eq!(journal.answer(A, &a, 1), Stored);
    assert_eq!(journal.grant(A, &b, 2), Conflict);
    assert_eq!(journal.abandon(A, &b, 2), Conflict);
    assert_eq!(journal.abandon(B, &a, 1), Abandoned);
    assert_eq!(journal.grant(B, &b, 2), Conflict);
}

/// The answer to a grant is lost and its VM asks again: it must get its grant. Another VM must get
/// none, and neither must the same VM for another request or from another process.
#[rstest]
#[case::same_attempt(holder("a", 1, 1), Granted)]
#[case::next_attempt(holder("a", 1, 2), AlreadyGranted)]
#[case::other_vm(holder("b", 1, 1), AlreadyGranted)]
#[case::next_process(holder("a", 2, 1), AlreadyGranted)]
fn only_the_holder_gets_its_grant_again(#[case] asker: OrderHolder, #[case] want: OrderOutcome) {
    let mut journal = Fixture::default();
    journal.grant(A, &holder("a", 1, 1), 1);
    assert_eq!(journal.grant(A, &asker, 1), want);
}

/// VM a abandons an order, VM b is granted it and sends it, and then a duplicate of a's abandonment
/// or answer arrives. Accepted, the abandonment would free the order while it runs, and the answer
/// would be one that b's upstream never gave.
#[test]
fn only_the_holder_settles_an_order() {
    let (mut journal, a, b) = (Fixture::default(), holder("a", 1, 1), holder("b", 1, 1));
    journal.grant(A, &a, 1);
    journal.abandon(A, &a, 1);
    journal.grant(A, &b, 1);
    assert_eq!(journal.abandon(A, &a, 1), AlreadyGranted);
    assert_eq!(journal.answer(A, &a, 1), Stale(OrderStaleReason::NotHolder));
    assert_eq!(journal.grant(A, &holder("c", 1, 1), 1), AlreadyGranted);
}

/// A VM gives up before its grant arrives, and the request for the grant arrives late. Granted, it
/// would block the order for good, since no caller waits for it any more.
#[test]
fn a_grant_behind_its_abandonment_is_stale() {
    let (mut journal, vm) = (Fixture::default(), holder("a", 1, 1));
    assert_eq!(journal.abandon(A, &vm, 1), Abandoned);
    assert_eq!(journal.grant(A, &vm, 1), Stale(OrderStaleReason::Abandoned));
    assert_eq!(journal.grant(A, &holder("a", 1, 2), 1), Granted);
}

/// An order runs, its record is pruned, and its caller sends it again from a backup of its queue.
/// The journal no longer has a record of the order, but the key is older than the floor and must be
/// rejected.
#[test]
fn pruning_never_makes_an_old_key_runnable() {
    let (mut journal, vm) = (Fixture::default(), holder("a", 1, 1));
    journal.grant(OLD, &vm, 1);
    journal.answer(OLD, &vm, 1);
    journal.grant(A, &vm, 1);
    let prune = journal
        .0
        .prune_command(NOW)
        .expect("a record is old enough");
    journal.0.apply(&prune);
    assert_eq!(journal.0.len(), 1);
    assert_eq!(journal.grant(OLD, &holder("b", 1, 1), 1), Expired);
}

/// A caller asks again for an order of yesterday, a day after it minted the key. If the record were
/// deleted sooner, the key would be rejected although its caller may still rely on it; if it were
/// kept much longer, the journal would fill up.
#[rstest]
#[case::a_day_old("1796166827-a", false)]
#[case::a_second_older("1796166826-a", true)]
fn a_key_stays_usable_for_a_day(#[case] key: &str, #[case] is_pruned: bool) {
    let (mut journal, vm) = (Fixture::default(), holder("a", 1, 1));
    assert_eq!(journal.grant(key, &vm, 1), Granted);
    journal.grant(A, &vm, 1);
    assert_eq!(journal.0.prune_command(NOW).is_some(), is_pruned);
}

/// The clock of the VM that prunes jumps ten years ahead. Trusted, it would expire every key that
/// callers mint for ten years. The floor must therefore stay behind the newest granted key.
#[test]
fn one_wrong_clock_expires_no_key_in_use() {
    let (mut journal, vm) = (Fixture::default(), holder("a", 1, 1));
    journal.grant(A, &vm, 1);
    let floor = NOW + 315_360_000;
    journal.0.apply(&OrderCommand::Prune { floor });
    assert_eq!(journal.0.len(), 1);
    assert_eq!(journal.grant(B, &vm, 1), Granted);
}

/// Records and stored answers must be bounded, also within one workspace. After an answer is
/// dropped, the journal must still know that the order ran.
#[test]
fn the_journal_stays_within_its_limits() {
    let limits = OrderLimits {
        answer_bytes: 100,
        answers_bytes: 150,
        records: 4,
        records_per_workspace: 3,
        ..OrderLimits::default()
    };
    let (mut journal, vm) = (Fixture(OrderJournal::new(limits, 0)), holder("a", 1, 1));
    for (key, len) in [(A, 80), (B, 80), ("1796253227-c", 101)] {
        journal.grant(key, &vm, 1);
        journal.answer(key, &vm, len);
        assert!(journal.0.answers_bytes() <= limits.answers_bytes);
    }
    assert_eq!(journal.grant(A, &vm, 1), AnswerDropped);
    assert_eq!(journal.grant("1796253227-c", &vm, 1), AnswerDropped);
    assert_eq!(journal.grant("1796253227-d", &vm, 1), Full);
    for (key, want) in [(A, Granted), (B, Full)] {
        let mut other = id(key);
        other.workspace = "v".into();
        assert_eq!(journal.grant_id(other, &vm, 1), want);
    }
}

/// A caller's clock is an hour ahead. Its keys would outlive their retention by an hour, or by
/// years for a clock years ahead, so the VM must refuse them. The journal must refuse them too, in
/// case the VM's clock is equally wrong.
#[test]
fn a_key_from_the_future_is_refused() {
    let key = format!("{}-a", NOW + 3_600);
    let outcome = Fixture::default().grant(&key, &holder("a", 1, 1), 1);
    assert_eq!(outcome, KeyFault(OrderKeyError::InFuture));
    let refusal = dispatch(&key, 1).expect_err("a refusal");
    assert_eq!(refusal.code, RefusalCode::BadHeader);
}

/// Two requests hold permits at one VM, and the daemon mixes up their tokens. If the token of the
/// unsent order were accepted, it would free the other order while that runs.
#[test]
fn a_token_of_another_request_settles_nothing() {
    let mut dispatches = [(A, 1), (B, 2)].map(|(key, n)| dispatch(key, n).expect("a key"));
    let mut unsent: Vec<_> = dispatches
        .iter_mut()
        .flat_map(|dispatch| dispatch.handle_outcome(Duration::ZERO, &Granted))
        .filter_map(|action| match action {
            OrderAction::Dispatch(permit) => Some(permit.return_unused()),
            _ => None,
        })
        .collect();
    let (mine, other) = (unsent.remove(0), unsent.remove(0));
    assert!(
        dispatches[0]
            .record_unsent(Duration::ZERO, other)
            .is_empty()
    );
    assert_eq!(dispatches[0].record_unsent(Duration::ZERO, mine).len(), 1);
}

/// The first upstream accepts no connection until the order's deadline has passed. Sent to the next
/// upstream, the order would run after its caller was told that it won't.
#[test]
fn an_order_turns_to_no_other_upstream_past_its_time() {
    let mut order = dispatch(A, 1).expect("a key");
    let mut actions = order.handle_outcome(Duration::ZERO, &Granted);
    let Some(OrderAction::Dispatch(permit)) = actions.pop() else {
        panic!("no permit");
    };
    let sending = permit.redeem(Duration::ZERO).expect("in time");
    let sending = sending.switch_upstream(Duration::ZERO).expect("in time");
    let late = sending.switch_upstream(Duration::from_secs(1));
    let unsent = late.expect_err("too late");
    assert_eq!(order.record_unsent(Duration::from_secs(1), unsent).len(), 1);
}

/// Every region must find the same journal for a key, or two journals could each grant it. A region
/// that the configuration lacks must be refused: the home as a fallback would change later.
#[rstest]
#[case::home("1796253227-a", Ok("utara"))]
#[case::named("tengah/1796253227-a", Ok("tengah"))]
#[case::outside("selatan/1796253227-a", Err(OrderKeyError::Residency { region: "selatan".into() }))]
#[case::no_region("x/1796253227-a", Err(OrderKeyError::Region { region: "x".into() }))]
#[case::no_time("a", Err(OrderKeyError::Malformed))]
#[case::short_time("179625322-a", Err(OrderKeyError::Malformed))]
#[case::no_name("1796253227-", Err(OrderKeyError::Malformed))]
#[case::two_regions("tengah/utara/1796253227-a", Err(OrderKeyError::Malformed))]
fn an_order_belongs_to_one_region(#[case] key: &str, #[case] want: Result<&str, OrderKeyError>) {
    let regions = ["utara", "tengah", "selatan"].map(|region| (region.into(), Region::default()));
    let workspace = Workspace {
        burst: 1,
        home: "utara".into(),
        rate: 1,
        residency: ["utara".into(), "tengah".into()].into(),
    };
    let region = order_region(key, &workspace, &regions.into());
    assert_eq!(region, want.map(Into::into));
}

/// A VM crashes between a grant and its answer, and restarts. Callers must learn that no answer
/// will arrive. The orders of another VM and of the new process must stay as they are, and no order
/// may be freed.
#[test]
fn orders_of_a_dead_process_become_unknown() {
    let mut journal = Fixture::default();
    journal.grant(A, &holder("a", 1, 1), 1);
    journal.grant(B, &holder("b", 1, 1), 1);
    journal.grant("1796253227-c", &holder("a", 2, 1), 1);
    let orphans: Vec<_> = journal.0.orphan_commands("a", 2).collect();
    assert_eq!(orphans.len(), 1);
    assert_eq!(journal.0.apply(&orphans[0]), Unknown);
    assert_eq!(journal.grant(A, &holder("b", 1, 2), 1), Unknown);
}

/// A snapshot replaces the log before it, so a replica restored from one must equal the others.
#[test]
fn a_snapshot_restores_the_journal() {
    let (mut journal, vm) = (Fixture::default(), holder("a", 1, 1));
    journal.grant(A, &vm, 1);
    journal.answer(A, &vm, 9);
    let bytes = postcard::to_stdvec(&journal.0).expect("a journal can be written");
    let copy: OrderJournal = postcard::from_bytes(&bytes).expect("and read");
    assert_eq!(copy, journal.0);
}
