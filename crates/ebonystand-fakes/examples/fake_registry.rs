//! Runs a fake service that issues numbers, on the given address.

use {
    clap::{Arg, Command, value_parser},
    ebonystand_fakes::{Registry, serve},
    std::net::SocketAddr,
    tokio::net::TcpListener,
};

fn main() -> std::io::Result<()> {
    let matches = Command::new("fake_registry")
        .arg(
            Arg::new("listen")
                .required(true)
                .value_parser(value_parser!(SocketAddr)),
        )
        .get_matches();
    let Some(listen) = matches.get_one::<SocketAddr>("listen") else {
        return Ok(());
    };
    let registry = Registry::default();
    actix_rt::System::new().block_on(async move {
        let listener = TcpListener::bind(listen).await?;
        serve(listener, move |req| registry.clone().handle(req)).await;
        Ok(())
    })
}
