//! Answers to the former process of a VM that reach the next one, which has the same name.

use {super::*, rstest::rstest};

/// A process with a request that waits for a slot, the number of the request and the scheduler.
fn waiting_client(first_number: u32) -> (SlotClient, u32, VmId) {
    let plan = SlotPlan::new(&region_vms(region::VMS), &engines(region::ENGINES));
    let request = SlotRequest {
        begin_ms: 300,
        engines: Vec::new(),
        hold_ms: 100,
        rank: 0,
        start_ms: 175,
        workspace: "a".into(),
    };
    let ranked = RankedEngine {
        cost: Duration::ZERO,
        offer: SlotOffer {
            engine: key(0),
            unread: 0,
        },
    };
    let mut client = SlotClient::new(first_number);
    let opened = client.open(Duration::ZERO, request, &[ranked], &plan, 0);
    let (number, output) = opened.expect("a scheduler");
    let SlotOutput::Send { to, .. } = output else {
        panic!("{output:?}");
    };
    (client, number, to)
}

/// Guards against a request that is sent into the slot of one of the former process, and against a slot that nobody returns.
#[rstest]
#[case::to_this_process(7_000, true)]
#[case::to_the_former_process(500, false)]
fn a_grant_to_a_former_process_is_returned(#[case] asked_by: u32, #[case] is_taken: bool) {
    let (mut client, ..) = waiting_client(7_000);
    let (_, number, scheduler) = waiting_client(asked_by);
    let grant = SlotMessage::Grant {
        engine: key(0),
        number,
    };
    let outputs = client.handle_message(ms(10), &scheduler, &grant);
    let is_decided = |output: &SlotOutput| matches!(output, SlotOutput::Decide { .. });
    let returns = |output: &SlotOutput| matches!(output, SlotOutput::Send { message: SlotMessage::End { number: ended }, .. } if *ended == number);
    assert_eq!(outputs.iter().any(is_decided), is_taken, "{outputs:?}");
    assert_eq!(outputs.iter().any(returns), !is_taken, "{outputs:?}");
}
