use super::connect;
use super::frames::{FrameError, FrameReader, encode_frame};
use assert_matches::assert_matches;
use monoio::io::AsyncWriteRentExt;
use monoio::net::{TcpListener, TcpStream};
use std::time::Duration;

const LIMIT: Duration = Duration::from_secs(2);

/// A reader of exactly these bytes.
async fn reader_of(listener: &TcpListener, bytes: Vec<u8>) -> FrameReader<TcpStream> {
    let mut writing = connect(listener.local_addr().unwrap(), LIMIT).await.unwrap();
    let (reading, _) = listener.accept().await.unwrap();
    writing.write_all(bytes).await.0.unwrap();
    FrameReader::new(reading)
}

#[test]
fn a_frame_with_any_bit_flipped_or_cut_short_is_never_taken_for_a_message() {
    let ended = crate::kernel::run(async {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let message = (7u64, "what was asked".to_owned());
        let whole = encode_frame(&message);
        for bit in 0..whole.len() * 8 {
            let mut bytes = whole.clone();
            bytes[bit / 8] ^= 1 << (bit % 8);
            let read = reader_of(&listener, bytes).await.next::<(u64, String)>().await;
            assert!(read.is_err(), "bit {bit}: {read:?}");
        }
        for length in 0..whole.len() {
            let read = reader_of(&listener, whole[..length].to_vec()).await.next::<(u64, String)>().await;
            assert_matches!(read, Err(FrameError::Closed), "{length} bytes");
        }
        let read = reader_of(&listener, whole).await.next::<(u64, String)>().await;
        assert_matches!(read, Ok(read) if read == message);
    });
    ended.unwrap();
}

#[test]
fn a_message_of_an_unknown_kind_is_told_and_the_next_is_read() {
    let ended = crate::kernel::run(async {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let mut bytes = encode_frame(&9u8);
        bytes.extend(encode_frame(&5u64));
        let mut reader = reader_of(&listener, bytes).await;
        let error = reader.next::<u64>().await.unwrap_err();
        assert!(error.to_string().contains("later version"), "{error}");
        assert_matches!(error, FrameError::Unknown { body } if body == [9]);
        assert_matches!(reader.next::<u64>().await, Ok(5));
    });
    ended.unwrap();
}

#[test]
fn a_frame_of_a_version_without_checksums_is_refused_with_what_to_do() {
    let ended = crate::kernel::run(async {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let mut bytes = 8u32.to_le_bytes().to_vec();
        bytes.extend(5u64.to_le_bytes());
        let error = reader_of(&listener, bytes).await.next::<u64>().await.unwrap_err();
        assert_matches!(error, FrameError::Unchecked);
        assert!(error.to_string().contains("run the same one on all nodes"), "{error}");
    });
    ended.unwrap();
}

#[test]
fn a_frame_over_the_readers_limit_is_refused_before_it_is_read() {
    let ended = crate::kernel::run(async {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let whole = encode_frame(&vec![7u8; 100]);
        let longest = whole.len() - 8;
        let mut reader = reader_of(&listener, whole.clone()).await.with_longest(longest);
        assert_matches!(reader.next::<Vec<u8>>().await, Ok(read) if read.len() == 100);
        let mut reader = reader_of(&listener, whole[..8].to_vec()).await.with_longest(longest - 1);
        assert_matches!(reader.next::<Vec<u8>>().await, Err(FrameError::TooLong(length)) if length == longest);
    });
    ended.unwrap();
}
