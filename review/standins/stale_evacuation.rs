//! A core machine freezes with an order of the operator in its socket, and obeys it when it wakes.

use crate::{
    Verdict,
    clients::Clients,
    operator::{Operator, configuration},
    record::Record,
    servers::{List, Server},
    world::{Class, REGIONS, World, server_ip},
};
use std::{net::SocketAddr, thread::sleep, time::Duration};

const CONTACT: Duration = Duration::from_millis(5_000);
const EVACUATE: Duration = Duration::from_millis(5_000);
const OUTER: Duration = Duration::from_millis(8_000);
/// Time for which the machine stands still.
const FREEZE: Duration = Duration::from_secs(4);
const START: &str = "POST /ebonystand/evacuate/utara-a/start";
const FINISH: &str = "POST /ebonystand/evacuate/utara-a/finish";

pub fn play(record: &Record, trouble: bool) -> Verdict {
    let mut world = World::new(record, 1);
    let list = List::default();
    let mut servers = Vec::new();
    for (region, name) in REGIONS.iter().enumerate() {
        for number in 1..=2 {
            let address = SocketAddr::from((server_ip(region, number), world.server_port()));
            let (id, zone) = (format!("i-{name}-{number}"), format!("{name}-a"));
            let work = Duration::from_millis(30);
            let server = Server::start(record, &id, address, "orders", &zone, work, 800);
            list.add(&server);
            servers.push(server);
        }
    }
    list.serve(world.cloud());
    world.start_all();
    sleep(Duration::from_secs(4));
    let operator = Operator {
        record,
        world: &world,
    };
    let core = world
        .of(Class::Core)
        .map(|machine| &*machine.name)
        .collect::<Vec<_>>();
    if operator
        .order(
            "POST /ebonystand/config/replace",
            &configuration(3, "idempotent"),
            &core,
        )
        .is_none()
    {
        return Verdict::Unusable;
    }
    if !world.wait_ready(Duration::from_secs(20)) {
        return Verdict::Unusable;
    }
    // Any machine of the core will do that doesn't lead it.
    let follower = world
        .of(Class::Core)
        .find(|machine| !world.has_led(machine));
    let Some(follower) = follower.map(|machine| machine.name.clone()) else {
        return Verdict::Unusable;
    };
    let mut others = core.clone();
    others.retain(|name| *name != follower);
    let mut first = vec![&*follower];
    first.extend(&others);
    let clients = Clients::start(record, &world, Duration::from_millis(150));
    sleep(CONTACT);

    let began = operator.order(START, "", &others);
    sleep(Duration::from_secs(8));
    if trouble {
        world.signal(&follower, "STOP");
    }
    let frozen = record.now();
    let ended = operator.order(FINISH, "", &first);
    sleep(Duration::from_secs(1));
    let again = operator.order(START, "", &others);
    let (Some(_), Some(_), Some(again)) = (began, ended, again) else {
        return Verdict::Unusable;
    };
    sleep((frozen + FREEZE).saturating_sub(record.now()));
    if trouble {
        world.signal(&follower, "CONT");
    }
    // The core counts as stable, and the machines as in touch, from then on.
    let calm = record.now() + CONTACT;
    let judged = (again + EVACUATE + OUTER).max(calm + EVACUATE);
    record.tell(&format!("judged from {:.3} s", judged.as_secs_f64()));
    sleep(judged.saturating_sub(record.now()) + Duration::from_secs(10));
    let served = clients.stop();
    let served = served
        .iter()
        .filter(|outcome| outcome.status == 200)
        .count();
    let runs = servers
        .iter()
        .flat_map(|server| server.runs())
        .collect::<Vec<_>>();
    let evacuated = runs
        .iter()
        .filter(|run| run.zone == "utara-a" && run.at > judged);
    let evacuated = evacuated.count();
    let elsewhere = runs
        .iter()
        .filter(|run| run.zone != "utara-a" && run.at > judged)
        .count();
    record.tell(&format!("answered with 200 through the day: {served}"));
    record.tell(&format!(
        "EVAC: the evacuation of utara-a was acknowledged at {:.3} s and not taken back; requests run in utara-a since {:.3} s: {evacuated}; in other zones: {elsewhere}",
        again.as_secs_f64(),
        judged.as_secs_f64(),
    ));
    match (evacuated, elsewhere) {
        (0, 0) => Verdict::Unusable,
        (0, _) => Verdict::Held,
        _ => Verdict::Broken,
    }
}
