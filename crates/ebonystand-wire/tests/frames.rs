//! Tests of the framing, compression and authentication of messages between VMs.

use {
    bytes::BytesMut,
    ebonystand_core::{
        ListReading, ListScope, ListUpdate, ListedUpstream, OriginMessage, StreamKey, StreamOrigin,
    },
    ebonystand_wire::{Error, FrameReader, FrameWriter, Hello, Nonce, PeerMessage, Secret},
    hmac::{Hmac, KeyInit, Mac},
    rstest::rstest,
    sha2::Sha256,
    std::time::Duration,
};

const SECRET: &[u8] = b"0123456789abcdef0123456789abcdef";

fn secret() -> Secret {
    Secret::new(SECRET).expect("a secret")
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

/// Returns a list of that many upstreams; regions of the largest deployments have thousands.
fn listed_message(upstreams: u16) -> PeerMessage {
    let upstream = |number: u16| ListedUpstream {
        address: ([10, 1, (number >> 8) as u8, number as u8], 8_080).into(),
        cold_for: Duration::ZERO,
        instance: format!("i-{:010x}", u64::from(number) * 0x9e37_79b9).into(),
        leaving: false,
        service: "engines".into(),
        slots: 64,
        software: "v1".into(),
        zone: "utara-a".into(),
    };
    let reading = ListReading {
        began_ms: 1_000,
        incarnation: 1,
        reader: "front-utara-a-1".into(),
    };
    let update = ListUpdate::Whole {
        known_software: vec![("engines".into(), "v1".into())],
        scope: ListScope::AllRegions,
        upstreams: (0..upstreams).map(upstream).collect(),
    };
    PeerMessage::Listed(reading, update)
}

fn encode_frames(messages: &[PeerMessage]) -> BytesMut {
    let mut buf = BytesMut::new();
    let mut writer = FrameWriter::new(secret(), nonce());
    for message in messages {
        writer.write(message, &mut buf).expect("it is written");
    }
    buf
}

#[test]
fn messages_of_any_length_come_back_as_they_were() {
    let messages = [
        hello(),
        PeerMessage::Ping,
        listed_message(3),
        listed_message(150),
        listed_message(5_700),
    ];
    let mut reader = FrameReader::new(secret(), nonce());
    reader.buf().extend_from_slice(&encode_frames(&messages));
    for message in messages {
        let read = reader.next_message().expect("a sound frame");
        assert_eq!(read, Some(message));
    }
    assert_eq!(reader.next_message().expect("no frame"), None);
}

/// Guards against lists of upstreams and copies of the configuration that are sent uncompressed and
/// saturate the links between VMs.
#[test]
fn a_list_of_upstreams_takes_half_of_its_bytes_on_a_link() {
    let message = listed_message(150);
    let plain = postcard::to_stdvec(&message).expect("it encodes").len();
    let frame = encode_frames(std::slice::from_ref(&message)).len();
    assert!(frame * 2 <= plain, "{frame} of {plain} bytes");
}

/// Guards against records of streams that take more of a link than four of them a stream may.
#[test]
fn the_origin_of_a_stream_takes_few_bytes_on_a_link() {
    let hold = PeerMessage::Origin(OriginMessage::Hold {
        key: StreamKey::new(Some("akademi"), "9c41d07be2a35f68"),
        lifetime_ms: 12_000,
        origin: StreamOrigin {
            service: "conseil-llm".into(),
            software: "v1.1".into(),
        },
    });
    let frame = encode_frames(std::slice::from_ref(&hold)).len();
    assert!(frame <= 80, "{frame} bytes");
}

/// Guards against accepting a frame that was altered in transit, in its format byte or in the message.
#[test]
fn a_changed_frame_is_refused() {
    const HEAD: usize = 4;
    let first = encode_frames(&[hello()]).len();
    for at in [0, 1, 100] {
        let mut buf = encode_frames(&[hello(), listed_message(150)]);
        buf[first + HEAD + at] ^= 1;
        let mut reader = FrameReader::new(secret(), nonce());
        reader.buf().extend_from_slice(&buf);
        assert!(reader.next_message().is_ok());
        assert!(reader.next_message().is_err(), "byte {at}");
    }
}

/// Guards against misreading messages of an earlier build. They have other format bytes but the same
/// secret, so that their tags match, and their variant numbers stand for other messages in this build.
#[rstest]
#[case(0)]
#[case(1)]
#[case(2)]
#[case(3)]
#[case(6)]
#[case(7)]
#[case(8)]
#[case(9)]
#[case(10)]
#[case(11)]
#[case(12)]
#[case(13)]
#[case(14)]
#[case(15)]
#[case(16)]
#[case(17)]
#[case(18)]
#[case(19)]
#[case(20)]
#[case(21)]
fn a_frame_of_an_earlier_build_is_refused_by_its_form(#[case] form: u8) {
    let payload = [form, 6];
    let mac = Hmac::<Sha256>::new_from_slice(SECRET).expect("a secret");
    let mac = mac.chain_update([7; Nonce::LEN]);
    let mac = mac.chain_update(0_u64.to_be_bytes()).chain_update(payload);
    let mut reader = FrameReader::new(secret(), nonce());
    let buf = reader.buf();
    buf.extend_from_slice(&(payload.len() as u32).to_be_bytes());
    buf.extend_from_slice(&payload);
    buf.extend_from_slice(&mac.finalize().into_bytes());
    let read = reader.next_message();
    assert!(
        matches!(read, Err(Error::UnknownFormat { format: Some(found) }) if found == form),
        "{read:?}"
    );
}
