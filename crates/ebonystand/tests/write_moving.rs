//! Writing to a connection that takes bytes slowly, or none.

use {
    bytes::BytesMut,
    ebonystand::write_moving,
    std::{io::ErrorKind, time::Duration},
    tokio::io::AsyncReadExt as _,
};

const PATIENCE: Duration = Duration::from_secs(2);

/// Guards against closing a sound link under a large message, which was then never delivered.
#[actix_rt::test]
async fn a_message_that_takes_longer_than_the_limit_arrives_on_a_slow_link() {
    const CHUNK: usize = 1 << 16;
    const CHUNKS: usize = 60;
    let (mut near, mut far) = tokio::io::duplex(CHUNK);
    let reader = actix_rt::spawn(async move {
        let mut chunk = vec![0; CHUNK];
        for _ in 0..CHUNKS {
            actix_rt::time::sleep(PATIENCE / 40).await;
            far.read_exact(&mut chunk).await.expect("it is read");
        }
    });
    let mut buf = BytesMut::zeroed(CHUNK * CHUNKS);
    write_moving(&mut near, &mut buf, PATIENCE)
        .await
        .expect("it is written");
    reader.await.expect("all is read");
}

#[actix_rt::test]
async fn a_link_that_takes_nothing_is_given_up() {
    let (mut near, _far) = tokio::io::duplex(64);
    let mut buf = BytesMut::zeroed(65);
    let written = write_moving(&mut near, &mut buf, Duration::from_millis(50)).await;
    assert_eq!(
        written.expect_err("it is given up").kind(),
        ErrorKind::TimedOut
    );
}
