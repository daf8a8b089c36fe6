//! What a VM holds for callers that read slowly.

use {ebonystand_core::HeldAnswers, std::time::Duration};

const MEMORY: u64 = 100_000_000;
/// Bytes that the VM may hold of its memory.
const LIMIT: u64 = 30_000_000;

fn s(n: u64) -> Duration {
    Duration::from_secs(n)
}

/// Load: 900 callers of 64 KiB each, two thirds of which stop reading, one after the other. The VM
/// would hold twice its bound and be killed with all its callers. Those that have been stalled
/// longest are broken off, no more than needed, and nobody who reads.
#[test]
fn the_answers_stalled_longest_are_broken_off_at_the_bound() {
    let mut held = HeldAnswers::new(Some(MEMORY));
    let bytes = HeldAnswers::CONNECTION_BYTES as u64;
    let mut broken = Vec::new();
    for caller in 0..900 {
        broken.extend(held.add(caller, bytes));
        match caller % 3 {
            0 => held.accept(caller, bytes),
            _ => held.stall(Duration::from_millis(caller), caller),
        }
        assert!(held.total() <= LIMIT + bytes, "{caller}");
    }
    let needed = (600 * bytes - LIMIT).div_ceil(bytes) as usize;
    assert!(broken.len().abs_diff(needed) <= 1, "{}", broken.len());
    let stalled = (0..900).filter(|caller| caller % 3 != 0);
    assert_eq!(broken, stalled.take(broken.len()).collect::<Vec<_>>());
}

/// Callers that go on reading, however slowly, keep their answers as long as the bound holds.
#[test]
fn a_caller_that_reads_slowly_is_not_broken_off() {
    let mut held = HeldAnswers::new(Some(MEMORY));
    for second in 0..100 {
        assert!(held.add(1, 1_000).is_empty());
        held.stall(s(second), 1);
        assert!(held.expire(s(second + 1)).is_empty());
        held.accept(1, 1_000);
    }
    assert_eq!(held.total(), 0);
}

/// Guards against framing that fills a connection's buffer, so that an upstream waits as long as for an answer held here.
#[test]
fn an_answer_that_is_held_back_is_given_up_however_little_of_it_is_held() {
    let mut held = HeldAnswers::new(Some(MEMORY));
    for caller in 1..=2 {
        held.add(caller, 1_000);
        held.set_held_back(caller, true);
        held.stall(s(10), caller);
    }
    held.set_held_back(2, false);
    assert!(held.expire(s(12)).is_empty());
    assert_eq!(held.expire(s(13)), [1]);
    assert_eq!(held.expire(s(40)), [2]);
}

/// An upstream cuts off an answer that remains unread for some seconds, so a caller whose answer
/// waits at its upstream is given up before; one whose answer is held here has more time.
#[test]
fn a_stalled_caller_is_given_up_sooner_while_its_upstream_waits() {
    let mut held = HeldAnswers::new(Some(MEMORY));
    held.add(1, HeldAnswers::CONNECTION_BYTES as u64);
    held.add(2, 1_000);
    held.stall(s(10), 1);
    held.stall(s(10), 2);
    held.stall(s(12), 1);
    assert!(held.expire(s(12)).is_empty());
    assert_eq!(held.expire(s(13)), [1]);
    assert!(held.expire(s(39)).is_empty());
    assert_eq!(held.expire(s(40)), [2]);
    assert_eq!(held.total(), 0);
}

/// A connection that ends, or whose head and framing count as accepted bytes, must not leave the
/// account wrong.
#[test]
fn the_account_is_even_after_each_connection() {
    let mut held = HeldAnswers::new(None);
    held.add(1, 500);
    held.accept(1, 700);
    assert_eq!(held.total(), 0);
    held.add(1, 500);
    held.add(2, 500);
    held.remove(1);
    held.accept(1, 500);
    held.remove(1);
    assert_eq!(held.total(), 500);
}

/// Guards against framing that hides how much a caller still has to accept, so that a VM ends before it has been sent.
#[test]
fn a_caller_that_accepts_no_more_has_not_accepted_all() {
    let mut held = HeldAnswers::new(None);
    held.add(1, 500);
    held.accept(1, 700);
    assert!(!held.has_unaccepted());
    held.stall(s(1), 1);
    assert!(held.has_unaccepted());
    held.accept(1, 100);
    assert!(!held.has_unaccepted());
    held.stall(s(2), 2);
    assert!(held.has_unaccepted());
    held.remove(2);
    assert!(!held.has_unaccepted());
}
