//! Safeguards of leases and grants whose failure takes an exact course of events.

use {super::*, ebonystand_core::LeaseTerms};

/// Starts a fleet of two VMs in each region and runs it until the buckets are full.
fn start_small_fleet(rate: Tokens, burst: Tokens) -> Fleet {
    let mut document = document();
    set_rate(&mut document, rate, burst);
    let mut fleet = Fleet::new(&document, 2, 1);
    fleet.run(seconds(5 + burst / rate));
    fleet
}

/// Sends one request that runs for `lasts`, and half a second passes.
fn send_request(fleet: &mut Fleet, vm: &str, reserved: Tokens, used: Tokens, lasts: Duration) {
    fleet.request_lasting(vm, "w", reserved, used, lasts);
    fleet.run(Duration::from_millis(500));
}

/// Sends a request for `tokens` to one VM every ten milliseconds.
fn send_steadily(fleet: &mut Fleet, tokens: Tokens, time: Duration) {
    for _ in 0..time.as_millis() / 10 {
        fleet.request("vm-a-1", "w", tokens, tokens);
        fleet.run(Duration::from_millis(10));
    }
}

/// A duplicated message must not add tokens. Every message is delivered twice. A return that leaves
/// part of a lease with its borrower doesn't end the lease, so only the sequence number tells the
/// copy from a new return.
#[test]
fn doubled_messages_bring_nothing() {
    let mut fleet = start_small_fleet(RATE, 300);
    fleet.noise.doubled_permille = 1_000;
    overload(&mut fleet, seconds(30));
    assert_eq!(
        check_windows(&fleet.requests, "w", &[bound(RATE, 300)]),
        Ok(())
    );
}

/// A refund must not exceed what the bucket could have held. A request reserves the whole burst and
/// runs long. Meanwhile its VM's bucket fills up and is spent again. The request then ends without
/// using its tokens; if they were credited, a third burst could be spent.
#[test]
fn a_refund_does_not_exceed_what_a_full_bucket_holds() {
    let mut fleet = start_small_fleet(100, 300);
    send_request(&mut fleet, "vm-a-0", 290, 0, Duration::from_millis(6_900));
    fleet.run(seconds(6));
    send_request(&mut fleet, "vm-a-0", 290, 290, seconds(1));
    send_request(&mut fleet, "vm-a-0", 290, 290, seconds(1));
    assert!(fleet.requests[1].admitted.is_some());
    assert_eq!(
        check_windows(&fleet.requests, "w", &[bound(100, 300)]),
        Ok(())
    );
}

/// Unused tokens must come back. A request reserves the whole burst and ends soon without using it;
/// the next one must be admitted at once.
#[test]
fn a_refund_brings_back_what_was_not_used() {
    let mut fleet = start_small_fleet(10, 300);
    send_request(&mut fleet, "vm-a-1", 290, 0, Duration::from_millis(400));
    send_request(&mut fleet, "vm-b-1", 290, 290, seconds(1));
    assert!(fleet.requests[1].admitted.is_some());
}

/// A VM that leaves must return its unused tokens. It has borrowed the whole allowance, drains and
/// ends; a request elsewhere must be admitted.
#[test]
fn a_leaving_vm_gives_its_leases_back() {
    let mut fleet = start_small_fleet(10, 300);
    send_request(&mut fleet, "vm-a-1", 290, 10, Duration::from_millis(400));
    fleet.drain("vm-a-1");
    fleet.run(Duration::from_millis(40));
    fleet.crash("vm-a-1");
    send_request(&mut fleet, "vm-b-1", 280, 280, seconds(1));
    assert!(fleet.requests[1].admitted.is_some());
}

/// A thawed borrower must not spend an expired lease. It is frozen between two renewals until its
/// lease has expired and others have spent the same tokens. A request arrives right after the thaw,
/// before its first tick.
#[test]
fn a_thawed_borrower_spends_no_ended_lease() {
    let mut fleet = start_small_fleet(RATE, 300);
    send_steadily(&mut fleet, 10, Duration::from_millis(1_950));
    fleet.freeze("vm-a-1", true);
    fleet.run(Duration::from_millis(2_700));
    fleet.request("vm-a-0", "w", 280, 280);
    fleet.run(Duration::from_millis(290));
    assert!(fleet.requests[195].admitted.is_some());
    fleet.freeze("vm-a-1", false);
    fleet.request("vm-a-1", "w", 250, 250);
    assert_eq!(
        check_windows(&fleet.requests, "w", &[bound(RATE, 300)]),
        Ok(())
    );
}

/// A part that moves must not be spent twice. Its new holder adopts the change at once, the former
/// one nine seconds later, and spends the part until then.
#[test]
fn a_moved_part_waits_for_its_former_holder() {
    let mut fleet = start_small_fleet(RATE, 300);
    let moved = moved_holder(&fleet.document);
    fleet.configure("vm-a-1", &moved);
    overload(&mut fleet, seconds(9));
    fleet.publish(moved);
    overload(&mut fleet, seconds(30));
    assert_eq!(
        check_windows(&fleet.requests, "w", &[bound(RATE, 300)]),
        Ok(())
    );
}

/// A lease of a part that moves must not be renewed. A VM goes on using the lease after the change;
/// if the former holder renewed it, lease and moved part would be spent together.
#[test]
fn a_lease_of_a_moved_part_is_not_renewed() {
    let mut fleet = start_small_fleet(RATE, 300);
    send_steadily(&mut fleet, 5, seconds(2));
    let moved = moved_holder(&fleet.document);
    let vms: Vec<VmId> = fleet.nodes.keys().cloned().collect();
    vms.iter().for_each(|vm| fleet.configure(vm, &moved));
    send_steadily(&mut fleet, 5, seconds(28));
    send_steadily(&mut fleet, 20, seconds(4));
    assert_eq!(
        check_windows(&fleet.requests, "w", &[bound(RATE, 300)]),
        Ok(())
    );
}

/// A thawed holder must not spend a part that moved. It is frozen while the configuration gives its
/// part to another VM, and thaws before it learns of the change.
#[test]
fn a_thawed_holder_leaves_its_part_alone() {
    let mut fleet = start_small_fleet(100, 300);
    fleet.freeze("vm-a-0", true);
    fleet.publish(moved_holder(&fleet.document));
    fleet.run(seconds(42));
    send_request(&mut fleet, "vm-a-1", 295, 295, seconds(1));
    fleet.freeze("vm-a-0", false);
    fleet.request("vm-a-0", "w", 90, 90);
    assert!(fleet.requests[0].admitted.is_some());
    assert_eq!(
        check_windows(&fleet.requests, "w", &[bound(100, 300)]),
        Ok(())
    );
}

/// A thawed holder must use its part again once its configuration is confirmed. No configuration is
/// published during the freeze. A part unused for longer than it takes to learn that would cost a
/// third of the rate.
#[test]
fn a_thawed_holder_uses_its_part_once_the_configuration_is_confirmed() {
    let mut fleet = start_small_fleet(300, 300);
    fleet.freeze("vm-a-0", true);
    fleet.run(seconds(4));
    fleet.freeze("vm-a-0", false);
    fleet.run(seconds(2));
    send_request(&mut fleet, "vm-a-0", 290, 290, seconds(1));
    assert!(fleet.requests[0].admitted.is_some());
    assert_eq!(
        check_windows(&fleet.requests, "w", &[bound(300, 300)]),
        Ok(())
    );
}

/// Requests must not be refused while the holder of a region is frozen, or leaves its part unused
/// afterwards: most of the rate is with the other holders.
#[test]
fn requests_go_to_the_other_holders_while_one_is_frozen_or_rests() {
    let mut fleet = start_small_fleet(3_000, 3_000);
    fleet.wait_limit = Some(Duration::from_millis(250));
    fleet.freeze("vm-a-0", true);
    send_steadily(&mut fleet, 5, seconds(4));
    let document = fleet.document.clone();
    fleet.publish(moved_holder(&document));
    fleet.freeze("vm-a-0", false);
    send_steadily(&mut fleet, 5, seconds(2));
    fleet.run(seconds(1));
    let refused = fleet.requests.iter().filter(|r| r.admitted.is_none());
    let refused: Vec<Duration> = refused.map(|request| request.arrived).collect();
    assert_eq!(refused, []);
}

/// Parts that moved before all VMs were killed must not wait for a handover again when the log is
/// replayed.
#[test]
fn a_replay_of_moved_parts_does_not_repeat_their_handover() {
    let mut fleet = start_small_fleet(RATE, 300);
    let before = fleet.document.clone();
    let mut moved = moved_holder(&before);
    for region in ["b", "c"] {
        let holder = format!("vm-{region}-1").into();
        moved.regions.get_mut(region).expect("a region").holders = vec![holder];
    }
    fleet.publish(moved.clone());
    fleet.run(seconds(40));
    let vms: Vec<VmId> = fleet.nodes.keys().cloned().collect();
    vms.iter().for_each(|vm| fleet.crash(vm));
    for vm in &vms {
        fleet.start_with(vm, &before);
        fleet.configure(vm, &moved);
        fleet.complete_start(vm);
    }
    fleet.run(seconds(4));
    send_request(&mut fleet, "vm-a-0", 250, 250, seconds(1));
    assert!(fleet.requests[0].admitted.is_some());
}

/// A workspace that was removed and added again before a restart must not wait for that again when
/// the log is replayed, nor start with a full bucket.
#[test]
fn a_replay_of_a_workspace_added_again_counts_as_a_start() {
    let mut fleet = start_small_fleet(RATE, 300);
    let before = fleet.document.clone();
    let mut without = before.clone();
    without.version += 1;
    let workspaces = std::mem::take(&mut without.workspaces);
    let mut again = without.clone();
    again.version += 1;
    again.workspaces = workspaces;
    let vms: Vec<VmId> = fleet.nodes.keys().cloned().collect();
    vms.iter().for_each(|vm| fleet.crash(vm));
    fleet.document = again.clone();
    for vm in &vms {
        fleet.start_with(vm, &before);
        fleet.configure(vm, &without);
        fleet.configure(vm, &again);
        fleet.complete_start(vm);
    }
    fleet.run(Duration::from_millis(2_150));
    fleet.request("vm-a-0", "w", 290, 290);
    fleet.run(seconds(2));
    send_request(&mut fleet, "vm-a-0", 250, 250, seconds(1));
    assert!(fleet.requests[0].admitted.is_none());
    assert!(fleet.requests[1].admitted.is_some());
}

/// A holder that starts from a disk that lags behind must not spend a part that moved meanwhile.
#[test]
fn a_restarted_holder_waits_until_its_configuration_has_caught_up() {
    let mut fleet = start_small_fleet(100, 300);
    let before = fleet.document.clone();
    fleet.crash("vm-a-0");
    fleet.publish(moved_holder(&before));
    fleet.run(seconds(42));
    fleet.start_with("vm-a-0", &before);
    fleet.run(seconds(6));
    send_request(&mut fleet, "vm-a-1", 295, 295, seconds(1));
    fleet.request("vm-a-0", "w", 90, 90);
    assert!(fleet.requests[0].admitted.is_some());
    assert_eq!(
        check_windows(&fleet.requests, "w", &[bound(100, 300)]),
        Ok(())
    );
}

/// A refusal while the only part waits for its handover must tell when that ends.
#[test]
fn a_refusal_during_a_handover_tells_its_end() {
    let mut before = document();
    before.regions.retain(|region, _| **region == *"a");
    for workspace in before.workspaces.values_mut() {
        workspace.residency = ["a".into()].into();
    }
    let moved = moved_holder(&before);
    let mut holder = Allowance::new("vm-a-1".into(), 1, "a".into(), seconds(0));
    holder.configure(seconds(0), &before);
    holder.complete_start(seconds(0));
    (1..5).for_each(|second| drop(holder.tick(seconds(second))));
    holder.configure(seconds(5), &moved);
    let mut refused = None;
    if let Admission::Refused { retry_after } = holder.admit_request(seconds(5), "w", 10) {
        refused = Some(retry_after);
    }
    for ms in (5_000..6_000).step_by(10) {
        for output in holder.tick(Duration::from_millis(ms)) {
            if let AllowanceOutput::Refused { retry_after, .. } = output {
                refused = Some(retry_after);
            }
        }
    }
    let refused = refused.expect("a refusal");
    assert!(
        refused > LeaseTerms::HANDOVER_DELAY - seconds(1),
        "{refused:?}"
    );
}

/// Guards against a refusal without a wait, when a request comes after a holder may use its part again and before the tick
/// that is due then.
#[rstest]
#[case::own_request(false)]
#[case::claim_of_another_vm(true)]
fn a_request_before_a_late_tick_is_not_refused(#[case] is_claim: bool) {
    let mut document = document();
    document.regions.retain(|region, _| **region == *"a");
    for workspace in document.workspaces.values_mut() {
        workspace.residency = ["a".into()].into();
    }
    let mut holder = Allowance::new("vm-a-0".into(), 1, "a".into(), seconds(0));
    holder.configure(seconds(0), &document);
    holder.complete_start(seconds(0));
    let before = LeaseTerms::LENDER_TERM - Duration::from_millis(20);
    for ms in (0..before.as_millis()).step_by(20) {
        let now = Duration::from_millis(ms as u64);
        holder.tick(now);
        holder.admit_request(now, "w", 10);
    }
    let late = LeaseTerms::LENDER_TERM + Duration::from_millis(20);
    let mut outputs = Vec::new();
    let mut own = None;
    if is_claim {
        let mut claimant = Allowance::new("vm-a-1".into(), 1, "a".into(), seconds(0));
        claimant.configure(seconds(0), &document);
        claimant.admit_request(Duration::from_millis(10), "w", 20);
        for output in claimant.tick(Duration::from_millis(10)) {
            if let AllowanceOutput::Send { message, .. } = output {
                outputs.extend(holder.handle_message(late, &"vm-a-1".into(), message));
            }
        }
    } else if let Admission::Waiting(ticket) = holder.admit_request(late, "w", 20) {
        own = Some(ticket);
    }
    for ms in (0..500).step_by(10) {
        outputs.extend(holder.tick(late + Duration::from_millis(ms)));
    }
    let granted = outputs.iter().find_map(|output| match output {
        AllowanceOutput::Admitted { ticket, .. } if own == Some(*ticket) => Some(true),
        AllowanceOutput::Refused { ticket, .. } if own == Some(*ticket) => Some(false),
        AllowanceOutput::Send { message, .. } => match message.items.first()?.action {
            AllowanceAction::Grant { tokens, .. } => Some(tokens > 0),
            _ => None,
        },
        _ => None,
    });
    assert_eq!(granted, Some(true), "{outputs:?}");
}

/// An idle part must keep its level. A holder spends its part and is not used until its state is
/// dropped. The part must come back as empty as it was, plus what has accrued since.
#[test]
fn an_idle_part_keeps_its_level() {
    let mut fleet = start_small_fleet(100, 3_000);
    send_request(&mut fleet, "vm-a-0", 2_900, 2_900, seconds(1));
    fleet.run(seconds(3));
    send_request(&mut fleet, "vm-a-0", 900, 900, seconds(1));
    assert!(fleet.requests[0].admitted.is_some());
    assert_eq!(
        check_windows(&fleet.requests, "w", &[bound(100, 3_000)]),
        Ok(())
    );
}

/// A lease expires a fixed time after its ask. It arrives when it has nearly expired; counted from
/// the arrival, it would last on while its lender spends the same part again.
#[test]
fn a_late_lease_ends_with_its_ask() {
    let document = document();
    let at = Duration::from_millis;
    let start = |region: &str| {
        let vm = format!("vm-{region}-0");
        let mut allowance = Allowance::new(vm.into(), 1, region.into(), at(0));
        allowance.configure(at(0), &document);
        allowance.complete_start(at(0));
        allowance
    };
    let (mut holder, mut borrower) = (start("a"), start("b"));
    (1..5).for_each(|second| drop((holder.tick(seconds(second)), borrower.tick(seconds(second)))));
    let own = borrower.admit_request(at(5_000), "w", 660);
    assert!(matches!(own, Admission::Granted(_)));
    let waits = borrower.admit_request(at(5_000), "w", 700);
    assert!(matches!(waits, Admission::Waiting(_)));
    let sent = |outputs: Vec<AllowanceOutput>| {
        let to_other = outputs.into_iter().find_map(|output| match output {
            AllowanceOutput::Send { message, to } if *to != *"vm-c-0" => Some(message),
            _ => None,
        });
        to_other.expect("a message between the two")
    };
    let ask = sent(borrower.tick(at(5_000)));
    let lend = sent(holder.handle_message(at(5_001), &"vm-b-0".into(), ask));
    let end = at(5_000) + LeaseTerms::BORROWER_TERM;
    let own = borrower.status()[0].held;
    borrower.handle_message(end - at(10), &"vm-a-0".into(), lend);
    assert!(borrower.status()[0].held.rate > own.rate);
    borrower.admit_request(end + at(10), "w", 1);
    assert_eq!(borrower.status()[0].held, own);
}

/// Two VMs of one region, whose allowance the first holds, with all parts usable at five seconds.
fn start_pair() -> (Allowance, Allowance) {
    let mut document = document();
    document.regions.retain(|region, _| **region == *"a");
    for workspace in document.workspaces.values_mut() {
        workspace.residency = ["a".into()].into();
    }
    let start = |vm: &str| {
        let mut allowance = Allowance::new(vm.into(), 1, "a".into(), seconds(0));
        allowance.configure(seconds(0), &document);
        allowance.complete_start(seconds(0));
        (1..5).for_each(|second| drop(allowance.tick(seconds(second))));
        allowance
    };
    (start("vm-a-0"), start("vm-a-1"))
}

/// Plays half a second of a claimant whose messages to the holder, and the holder's to it, take the time that `delay` tells of
/// the messages sent before in that direction (`None`: lost). Returns how its request was decided, and after how long.
fn play_claim(
    delay: impl Fn(usize) -> Option<u64>,
    delay_back: impl Fn(usize) -> Option<u64>,
) -> (AllowanceOutput, Duration) {
    let (mut holder, mut claimant) = start_pair();
    let at = |ms: u64| seconds(5) + Duration::from_millis(ms);
    assert!(matches!(
        claimant.admit_request(at(0), "w", 20),
        Admission::Waiting(_)
    ));
    let mut on_the_way = BTreeMap::<(u64, bool, usize), AllowanceMessage>::new();
    let mut sent = [0, 0];
    for ms in 0..1_000 {
        let mut outputs = Vec::new();
        while let Some(entry) = on_the_way.first_entry()
            && entry.key().0 <= ms
        {
            let (is_back, message) = (entry.key().1, entry.remove());
            let (vm, from) = match is_back {
                true => (&mut claimant, "vm-a-0"),
                false => (&mut holder, "vm-a-1"),
            };
            let answers = vm.handle_message(at(ms), &from.into(), message);
            outputs.extend(answers.into_iter().map(|output| (!is_back, output)));
        }
        let ticks = [(false, &mut claimant), (true, &mut holder)];
        for (is_back, vm) in ticks {
            outputs.extend(vm.tick(at(ms)).into_iter().map(|output| (is_back, output)));
        }
        for (is_back, output) in outputs {
            let AllowanceOutput::Send { message, .. } = output else {
                return (output, Duration::from_millis(ms));
            };
            let number = &mut sent[usize::from(is_back)];
            let takes = match is_back {
                true => delay_back(*number),
                false => delay(*number),
            };
            *number += 1;
            if let Some(takes) = takes {
                on_the_way.insert((ms + takes, is_back, *number), message);
            }
        }
    }
    panic!("the request was never decided");
}

/// Guards against a refusal while the holder has all tokens: the claim was dropped, since the link to the holder broke.
#[test]
fn a_lost_claim_is_sent_again() {
    let (decided, after) = play_claim(|sent| (sent > 0).then_some(1), |_| Some(1));
    assert!(
        matches!(decided, AllowanceOutput::Admitted { .. }),
        "{decided:?}"
    );
    assert!(after < Duration::from_millis(250), "{after:?}");
}

/// Guards against a refusal while the holder has all tokens: its grant took longer than a grant may be spent.
#[test]
fn a_claim_is_sent_again_after_a_grant_that_came_too_late() {
    let back = |sent| Some(if sent == 0 { 310 } else { 1 });
    let (decided, _) = play_claim(|_| Some(1), back);
    assert!(
        matches!(decided, AllowanceOutput::Admitted { .. }),
        "{decided:?}"
    );
}

/// Guards against a caller who is told that the allowance is used up, when its holder is only out of reach.
#[test]
fn a_refusal_without_an_answer_does_not_tell_that_the_allowance_is_used_up() {
    let (decided, after) = play_claim(|_| None, |_| None);
    assert!(
        matches!(decided, AllowanceOutput::Unanswered { .. }),
        "{decided:?}"
    );
    assert!(after <= Duration::from_millis(500), "{after:?}");
}

/// Guards against a caller with little time who is told that the allowance is used up before the holder has answered.
#[test]
fn the_end_of_a_wait_tells_whether_a_holder_has_answered() {
    let (_, mut claimant) = start_pair();
    let Admission::Waiting(ticket) = claimant.admit_request(seconds(5), "w", 20) else {
        panic!("the claimant holds no part");
    };
    let decided = claimant.end_wait(seconds(5) + Duration::from_millis(100), ticket);
    let unanswered = AllowanceOutput::Unanswered { ticket };
    assert!(decided.contains(&unanswered), "{decided:?}");
}
