//! Answers of a backend server that writes raw bytes, through a gateway and a sidecar.
//! Guards against truncated answers that look complete, and against complete ones that do not: of an
//! answer that has neither a length nor chunks, a crash of its server looks like the end.

use std::net::SocketAddr;

use hooktrestle_embedded::Caller;
use hooktrestle_embedded::Fleet;
use hooktrestle_embedded::Outcome;
use hooktrestle_embedded::caller::finish;
use hooktrestle_embedded::key_sha256_hex;
use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

const KEY: &str = "publisher-key";

/// What a server does after its answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Afterwards {
    ClosesConnection,
    Crashes,
}

/// Starts a server that gives this answer to the first request, and returns its address.
async fn server(answer: &'static [u8], afterwards: Afterwards) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut request = Vec::new();
        while !request.ends_with(b"the body") {
            let mut byte = [0];
            stream.read_exact(&mut byte).await.unwrap();
            request.extend_from_slice(&byte);
        }
        if afterwards == Afterwards::Crashes {
            drop(listener);
            return stream.write_all(answer).await.unwrap();
        }
        stream.write_all(answer).await.unwrap();
        drop(stream);
        let _ = listener.accept().await;
    });
    address
}

/// What a caller of a service gets whose server gives this answer.
async fn outcome(answer: &'static [u8], afterwards: Afterwards) -> Outcome {
    let backend = server(answer, afterwards).await;
    let mut fleet = Fleet::start().await.unwrap();
    fleet.add_gateway("entry-1", "dar-1").await.unwrap();
    fleet.add_sidecar("puzzles-1", "dar-1", &format!("http://{backend}")).await.unwrap();
    let account = json!({ "key_sha256_hex": key_sha256_hex(KEY), "limit_requests_per_s": 1_000 });
    let placed = json!({ "service": "puzzles", "data_centre": "dar-1" });
    let rows = [
        ("data_centre:dar-1", json!({ "region": "dar" })),
        ("service:puzzles", json!({ "kind": "plain" })),
        ("account:publisher", account),
        ("backend_server:puzzles-1", placed),
    ];
    fleet.edit(&rows).await.unwrap();
    fleet.wait_in_force(|config| config.servers.len() == 1).await;
    fleet.wait_linked("puzzles", 1).await;
    let caller = Caller::new(&fleet.url("entry-1"), KEY).unwrap();
    finish(caller.plain("puzzles", "x", "the body".to_owned())).await.unwrap()
}

#[tokio::test]
async fn an_unframed_answer_is_complete_if_its_server_is_still_up() {
    let answer = b"HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\n\r\nall of it";
    let outcome = outcome(answer, Afterwards::ClosesConnection).await;
    assert_eq!(outcome, Outcome::Whole("all of it".to_owned()));
}

#[tokio::test]
async fn an_unframed_answer_is_truncated_if_its_server_has_crashed() {
    let answer = b"HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\n\r\na part";
    let outcome = outcome(answer, Afterwards::Crashes).await;
    assert!(!matches!(outcome, Outcome::Whole(_)), "{outcome:?}");
}

/// The end marker of a stream cannot be found in it if it has a content coding.
#[tokio::test]
async fn an_encoded_stream_is_complete_if_its_chunks_end() {
    let answer =
        b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ncontent-encoding: x-own\r\n\
                   transfer-encoding: chunked\r\n\r\n5\r\ncoded\r\n0\r\n\r\n";
    let outcome = outcome(answer, Afterwards::ClosesConnection).await;
    assert_eq!(outcome, Outcome::Whole("coded".to_owned()));
}

/// Guards against the bytes of a transfer coding that reach a caller as content.
#[tokio::test]
async fn an_answer_with_a_transfer_coding_other_than_chunked_is_not_forwarded() {
    let answers: [&'static [u8]; 4] = [
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunkex\r\n\r\n2\r\nab\r\n0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: gzip, chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked, chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\ntransfer-encoding: gzip\r\n\r\n2\r\nab\r\n0\r\n\r\n",
    ];
    assert_all_failed(answers).await;
}

/// Asserts that the caller of each answer learns that its request may have run, and gets nothing of the
/// answer.
async fn assert_all_failed<const N: usize>(answers: [&'static [u8]; N]) {
    for answer in answers {
        let outcome = outcome(answer, Afterwards::ClosesConnection).await;
        assert_eq!(outcome.verdict(), Some("may-have-run"), "{outcome:?}");
    }
}

/// Guards against a length beside chunks that reaches a caller with a body of another length.
#[tokio::test]
async fn an_answer_with_a_length_beside_its_chunks_is_not_forwarded() {
    let answers: [&'static [u8]; 2] = [
        b"HTTP/1.1 200 OK\r\ncontent-length: 1\r\ntransfer-encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\ncontent-length: 2x\r\n\r\n2\r\nab\r\n0\r\n\r\n",
    ];
    assert_all_failed(answers).await;
}

/// Guards against statuses that no final answer has, and content that is lost behind one that excludes it.
#[tokio::test]
async fn an_answer_whose_status_does_not_fit_is_not_forwarded() {
    let answers: [&'static [u8]; 4] = [
        b"HTTP/1.1 000 OK\r\ncontent-length: 2\r\n\r\nab",
        b"HTTP/1.1 101 OK\r\ncontent-length: 2\r\n\r\nab",
        b"HTTP/1.1 600 OK\r\ncontent-length: 2\r\n\r\nab",
        b"HTTP/1.1 204 OK\r\ncontent-length: 2\r\n\r\nab",
    ];
    assert_all_failed(answers).await;
}

/// Guards against a line that is no field and that reaches a caller, or is passed over.
#[tokio::test]
async fn an_answer_with_a_line_that_is_no_field_is_not_forwarded() {
    let answers: [&'static [u8]; 4] = [
        b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\nno field\r\n\r\nab",
        b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\nx y: z\r\n\r\nab",
        b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\nx\x01y: z\r\n\r\nab",
        b"HTTP/1.1 200 OK\r\ncontent-length : 2\r\n\r\nab",
    ];
    assert_all_failed(answers).await;
}

/// Guards against fields that count as content, and the reverse, as the head ends at another line.
#[tokio::test]
async fn a_sidecar_forwards_no_answer_with_line_ends_of_two_kinds() {
    let answers: [&'static [u8]; 2] = [
        b"HTTP/1.1 200 OK\r\nx: y\n\ncontent-length: 2\r\n\r\nab",
        b"HTTP/1.1 200 OK\r\nx: y\r\nid: 0\ndata: a\n\nid: 1\ndata: b\n\n",
    ];
    assert_all_failed(answers).await;
}
