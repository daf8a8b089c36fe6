//! Frames between VMs.

use {
    bytes::BytesMut,
    ebonystand_core::ListedUpstream,
    ebonystand_wire::{FrameReader, FrameWriter, Hello, Nonce, PeerMessage, Secret},
    std::time::Duration,
};

fn secret() -> Secret {
    Secret::new(b"0123456789abcdef0123456789abcdef").expect("a secret")
}

fn nonce() -> Nonce {
    Nonce::from([7; Nonce::LEN])
}

fn hello() -> PeerMessage {
    PeerMessage::Hello(Hello {
        incarnation: 1,
        peer: "10.0.0.1:7600".parse().expect("an address"),
        vm: "utara-1".into(),
    })
}

/// A list of upstreams as a region of the largest deployments has it.
fn list(upstreams: u16) -> PeerMessage {
    let upstream = |number: u16| ListedUpstream {
        address: ([10, 1, (number >> 8) as u8, number as u8], 8_080).into(),
        cold_for: Duration::ZERO,
        instance: format!("i-{:010x}", u64::from(number) * 0x9e37_79b9).into(),
        leaving: false,
        service: "engines".into(),
        slots: 64,
        zone: "utara-a".into(),
    };
    PeerMessage::Listed {
        digest: 1,
        upstreams: Some((0..upstreams).map(upstream).collect()),
    }
}

fn written(messages: &[PeerMessage]) -> BytesMut {
    let mut buf = BytesMut::new();
    let mut writer = FrameWriter::new(secret(), nonce());
    for message in messages {
        writer.write(message, &mut buf).expect("it is written");
    }
    buf
}

#[test]
fn messages_of_any_length_come_back_as_they_were() {
    let messages = [hello(), PeerMessage::Ping, list(3), list(150), list(5_700)];
    let mut reader = FrameReader::new(secret(), nonce());
    reader.buf().extend_from_slice(&written(&messages));
    for message in messages {
        let read = reader.next_message().expect("a sound frame");
        assert_eq!(read, Some(message));
    }
    assert_eq!(reader.next_message().expect("no frame"), None);
}

/// Guards against links that are full of lists and copies of the configuration.
#[test]
fn a_list_of_upstreams_takes_half_of_its_bytes_on_a_link() {
    let message = list(150);
    let plain = postcard::to_stdvec(&message).expect("it encodes").len();
    let frame = written(std::slice::from_ref(&message)).len();
    assert!(frame * 2 <= plain, "{frame} of {plain} bytes");
}

/// Guards against a frame that was changed on its way, in its form or in its bytes.
#[test]
fn a_changed_frame_is_refused() {
    const HEAD: usize = 4;
    let first = written(&[hello()]).len();
    for at in [0, 1, 100] {
        let mut buf = written(&[hello(), list(150)]);
        buf[first + HEAD + at] ^= 1;
        let mut reader = FrameReader::new(secret(), nonce());
        reader.buf().extend_from_slice(&buf);
        assert!(reader.next_message().is_ok());
        assert!(reader.next_message().is_err(), "byte {at}");
    }
}
