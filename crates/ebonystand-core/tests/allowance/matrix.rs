//! Each fault at each step of a lease, alone and followed by a second fault.

use super::*;

/// Fault of a message, its sender, its receiver or the link between them. The last three end a
/// fault.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    CrashReceiver,
    CrashSender,
    CutBoth,
    CutOne,
    Double,
    FreezeReceiver,
    FreezeSender,
    Late,
    Lose,
    Heal,
    Start,
    Thaw,
}

/// Protocol step at which a fault strikes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Step {
    Any,
    Ask,
    Claim,
    Configure,
    Grant,
    Lend,
    Recall,
    Refund,
    Renew,
    Renewed,
    Return,
    Settle,
}

impl Step {
    pub fn of(action: &AllowanceAction) -> Self {
        match action {
            AllowanceAction::Ask { .. } => Self::Ask,
            AllowanceAction::Claim { .. } => Self::Claim,
            AllowanceAction::Grant { .. } => Self::Grant,
            AllowanceAction::Refund { .. } => Self::Refund,
            AllowanceAction::Lend { .. } => Self::Lend,
            AllowanceAction::Recall { .. } => Self::Recall,
            AllowanceAction::Renew { .. } => Self::Renew,
            AllowanceAction::Renewed { .. } => Self::Renewed,
            AllowanceAction::Return { .. } => Self::Return,
        }
    }
}

const FAULTS: [Fault; 9] = [
    Fault::CrashReceiver,
    Fault::CrashSender,
    Fault::CutBoth,
    Fault::CutOne,
    Fault::Double,
    Fault::FreezeReceiver,
    Fault::FreezeSender,
    Fault::Late,
    Fault::Lose,
];

/// No window may exceed the bound, and no fault may lose a part of the allowance for good. Callers
/// take all they can get while a fault strikes at one step, and perhaps a second fault at a later
/// one. Once all is repaired, a request for nearly the whole burst must be admitted.
#[rstest]
fn a_fault_at_a_step(
    #[values(
        Step::Ask,
        Step::Claim,
        Step::Configure,
        Step::Grant,
        Step::Lend,
        Step::Recall,
        Step::Refund,
        Step::Renew,
        Step::Renewed,
        Step::Return,
        Step::Settle
    )]
    step: Step,
) {
    let then = FAULTS.into_iter().map(Some).chain([None]);
    let pairs = FAULTS
        .into_iter()
        .flat_map(|fault| then.clone().map(move |then| (fault, then)));
    let cells = pairs.clone().count();
    let struck = pairs.filter(|(fault, then)| run_cell(step, *fault, *then));
    let struck = struck.count();
    println!("{step:?}: {cells} cells, all faults struck in {struck}");
    assert_eq!(struck, cells);
}

/// Runs one pair of faults; returns whether each found a step to strike.
fn run_cell(step: Step, fault: Fault, then: Option<Fault>) -> bool {
    let mut document = document();
    set_rate(&mut document, RATE, 300);
    let mut fleet = Fleet::new(&document, 2, 7);
    fleet.run(seconds(4));
    fleet.script.push_back((step, fault));
    fleet.script.extend(then.map(|then| (Step::Any, then)));
    let changes = step == Step::Configure;
    if changes {
        fleet.publish(moved_holder(&fleet.document));
    }
    overload(&mut fleet, seconds(if changes { 38 } else { 12 }));
    fleet.run(seconds(12));
    fleet.request("vm-a-1", "w", 295, 295);
    fleet.run(seconds(1));
    let cell = format!("{step:?} x {fault:?}, then {then:?}");
    let checked = check_windows(&fleet.requests, "w", &[bound(RATE, 300)]);
    assert_eq!(checked, Ok(()), "{cell}");
    let last = fleet.requests.last().expect("the last request");
    assert!(
        last.admitted.is_some(),
        "{cell}: part of the allowance is lost"
    );
    fleet.script.is_empty()
}

/// Next configuration, which moves the part of region a to another VM.
pub fn moved_holder(document: &Document) -> Document {
    let mut document = document.clone();
    document.version += 1;
    if let Some(region) = document.regions.get_mut("a") {
        region.holders = vec!["vm-a-1".into()];
    }
    document
}

/// Sends requests at several times the rate: from one VM, from two regions, and from one region, in
/// turn.
pub fn overload(fleet: &mut Fleet, time: Duration) {
    let end = fleet.now + time;
    let phases = [
        ["vm-a-1", "vm-a-1"],
        ["vm-a-1", "vm-b-1"],
        ["vm-a-0", "vm-a-1"],
    ];
    while fleet.now < end {
        let phase = phases[(fleet.now.as_millis() / 1_200 % 3) as usize];
        let vm = phase[fleet.draw_below(2) as usize];
        let tokens = 1 + fleet.draw_below(60);
        fleet.request(vm, "w", tokens, tokens);
        let wait = 1 + fleet.draw_below(12);
        fleet.run(Duration::from_millis(wait));
    }
}
