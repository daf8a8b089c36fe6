use {
    crate::{
        event::Event,
        fleet::{CERTIFICATES, CHAT, DRAFT, KEY},
        run::World,
    },
    awc::Client,
    serde_json::Value,
    std::{
        rc::Rc,
        time::{Duration, SystemTime},
    },
};

/// Time for which a caller waits for an answer.
const PATIENCE: Duration = Duration::from_secs(20);
/// Times that a caller sends an order.
const TRIES: usize = 4;

struct Answer {
    body: String,
    status: u16,
}

/// Calls until the run ends. A caller uses its open connections until their process is gone.
pub(crate) async fn call(world: Rc<World>) {
    let client = Client::builder().timeout(PATIENCE).finish();
    while !world.is_over() {
        match world.draw(0..10) {
            0..5 => order(&world, &client).await,
            5..8 => stream(&world, &client).await,
            _ => look_up(&world, &client).await,
        }
        world.pause(5..40).await;
    }
}

async fn order(world: &World, client: &Client) {
    let order = world.next_order();
    let at = SystemTime::UNIX_EPOCH.elapsed().unwrap().as_secs();
    let key = format!("utara/{at}-award{order}");
    for _ in 0..TRIES {
        let vm = world.any_vm();
        world.see(Event::OrderSent { order, vm });
        let headers = [
            ("x-ebonystand-order-key", &*key),
            ("x-ebonystand-deadline-ms", "4000"),
        ];
        let body = World::body(order);
        if let Some(answer) = send(world, vm, client, ("POST", CERTIFICATES), &headers, body).await
        {
            let body = serde_json::from_str::<Value>(&answer.body).unwrap_or_default();
            let run = body["error"]["run"].as_str().unwrap_or_default().into();
            world.see(Event::OrderAnswered {
                number: body["number"].as_u64(),
                order,
                run,
                status: answer.status,
                vm,
            });
            // A caller that is told that nothing ran often takes its order elsewhere.
            if answer.status == 201 || world.draw(0..3) == 0 {
                return;
            }
        }
        world.pause(50..400).await;
    }
}

async fn stream(world: &World, client: &Client) {
    let vm = world.any_vm();
    let answer = send(world, vm, client, ("POST", CHAT), &[], DRAFT.into()).await;
    if let Some(answer) = answer.filter(|answer| answer.status == 200) {
        world.see(Event::StreamEnded {
            told: answer.body.contains("\"error\""),
            whole: answer.body.ends_with("data: [DONE]\n\n"),
        });
    }
}

async fn look_up(world: &World, client: &Client) {
    let asked = format!("award{}", world.draw(0..1_000));
    let path = format!("{CERTIFICATES}/{asked}");
    let vm = world.any_vm();
    let answer = send(world, vm, client, ("GET", &path), &[], String::new()).await;
    if let Some(answer) = answer.filter(|answer| answer.status == 200) {
        let body = serde_json::from_str::<Value>(&answer.body).unwrap_or_default();
        let found = body["found"].as_str().unwrap_or_default();
        let found = found.rsplit('/').next().unwrap_or_default().into();
        let asked = asked.into();
        world.see(Event::LookedUp { asked, found });
    }
}

/// The answer; none if the connection ended without one, or the VM's process was killed meanwhile:
/// the client takes the end of a connection for the end of an answer.
async fn send(
    world: &World,
    vm: usize,
    client: &Client,
    (method, path): (&str, &str),
    headers: &[(&str, &str)],
    body: String,
) -> Option<Answer> {
    let kills = world.kills(vm);
    let url = format!("{}{path}", world.callers_of(vm));
    let mut req = client
        .request(method.parse().unwrap(), url)
        .insert_header(("authorization", format!("Bearer {KEY}")));
    for header in headers {
        req = req.insert_header(*header);
    }
    let mut response = req.send_body(body).await.ok()?;
    let body = response.body().await.ok()?;
    (world.kills(vm) == kills).then(|| Answer {
        body: String::from_utf8_lossy(&body).into_owned(),
        status: response.status().as_u16(),
    })
}
