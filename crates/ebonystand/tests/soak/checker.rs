use {
    crate::event::{Event, Ran},
    std::collections::BTreeMap,
};

/// A promise that a history shows broken.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Violation {
    /// A stream ended in order, but neither whole nor with an error.
    CutStreamLooksWhole,
    /// An order was answered with a number, but never ran.
    Invented { order: u64 },
    /// An accepted change is not in force after all faults.
    Lost { accepted: u64, held: u64, vm: usize },
    /// An order that its last answer says never ran has run.
    RanThoughNotRun { order: u64 },
    /// An order ran more than once.
    RanTwice { order: u64 },
    /// An order has two numbers.
    TwoAnswers { order: u64 },
    /// A VM put an older configuration in force.
    WentBack { from: u64, to: u64, vm: usize },
    /// A look-up got the answer of another one.
    WrongAnswer { asked: Box<str> },
}

/// What is known of an order.
#[derive(Default)]
struct Order {
    not_run: bool,
    numbers: Vec<u64>,
}

/// Every broken promise. Needs nothing but the history.
pub(crate) fn check(events: &[Event]) -> Vec<Violation> {
    let mut violations = Vec::new();
    let mut accepted = 0;
    let mut orders: BTreeMap<u64, Order> = BTreeMap::new();
    let mut versions: BTreeMap<(usize, u64), u64> = BTreeMap::new();
    for event in events {
        match event {
            Event::Accepted { version } => accepted = accepted.max(*version),
            Event::LookedUp { asked, found } if asked != found => {
                let asked = asked.clone();
                violations.push(Violation::WrongAnswer { asked });
            }
            Event::OrderAnswered {
                number, order, run, ..
            } => {
                let known = orders.entry(*order).or_default();
                known.not_run = **run == *"not_run";
                known.numbers.extend(number);
            }
            Event::OrderSent { order, .. } => orders.entry(*order).or_default().not_run = false,
            Event::Ran(ran) => check_order(ran, orders.get(&ran.order), &mut violations),
            Event::Settled { version, vm } if *version < accepted => {
                violations.push(Violation::Lost {
                    accepted,
                    held: *version,
                    vm: *vm,
                });
            }
            Event::StreamEnded { told, whole } if !told && !whole => {
                violations.push(Violation::CutStreamLooksWhole);
            }
            Event::VersionRead {
                incarnation,
                version,
                vm,
            } => {
                let highest = versions.entry((*vm, *incarnation)).or_default();
                if version < highest {
                    violations.push(Violation::WentBack {
                        from: *highest,
                        to: *version,
                        vm: *vm,
                    });
                }
                *highest = (*highest).max(*version);
            }
            Event::LookedUp { .. }
            | Event::Settled { .. }
            | Event::Silenced { .. }
            | Event::StreamEnded { .. }
            | Event::Struck { .. } => {}
        }
    }
    violations
}

fn check_order(ran: &Ran, order: Option<&Order>, violations: &mut Vec<Violation>) {
    let Ran { order: id, times } = *ran;
    if times > 1 {
        violations.push(Violation::RanTwice { order: id });
    }
    let Some(order) = order else { return };
    if order.not_run && times > 0 {
        violations.push(Violation::RanThoughNotRun { order: id });
    }
    if !order.numbers.is_empty() && times == 0 {
        violations.push(Violation::Invented { order: id });
    }
    if order.numbers.windows(2).any(|pair| pair[0] != pair[1]) {
        violations.push(Violation::TwoAnswers { order: id });
    }
}
