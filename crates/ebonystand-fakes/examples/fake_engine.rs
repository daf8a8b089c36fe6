//! Runs a fake model engine on the given address.

use {
    clap::{Arg, Command, value_parser},
    ebonystand_fakes::{Engine, EngineOptions, serve},
    std::{net::SocketAddr, time::Duration},
    tokio::net::TcpListener,
};

fn main() -> std::io::Result<()> {
    let matches = Command::new("fake_engine")
        .arg(
            Arg::new("listen")
                .required(true)
                .value_parser(value_parser!(SocketAddr)),
        )
        .arg(
            Arg::new("first-token-ms")
                .long("first-token-ms")
                .value_parser(value_parser!(u64))
                .default_value("5"),
        )
        .arg(
            Arg::new("token-us")
                .long("token-us")
                .value_parser(value_parser!(u64))
                .default_value("1000"),
        )
        .get_matches();
    let Some(listen) = matches.get_one::<SocketAddr>("listen") else {
        return Ok(());
    };
    let millis = |name| matches.get_one::<u64>(name).copied().unwrap_or_default();
    let engine = Engine::new(EngineOptions {
        first_token: Duration::from_millis(millis("first-token-ms")),
        name: listen.to_string().into(),
        token: Duration::from_micros(millis("token-us")),
    });
    actix_rt::System::new().block_on(async move {
        let listener = TcpListener::bind(listen).await?;
        serve(listener, move |req| engine.clone().handle(req)).await;
        Ok(())
    })
}
