//! Answers of the platform's services whose head is malformed.
//! Guards against a transaction that took effect and counts as failed, and against objects with the
//! bytes of a transfer coding in them.

use std::time::Duration;

use hooktrestle_platform::Committed;
use hooktrestle_platform::Config;
use hooktrestle_platform::Platform;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

/// Starts a service that gives these answers, each on a connection of its own, and a client of it.
async fn platform(answers: Vec<String>) -> Platform {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let url = format!("http://{}", listener.local_addr().unwrap());
    tokio::spawn(async move {
        for answer in answers {
            let (mut stream, _) = listener.accept().await.unwrap();
            // Requests of these tests arrive at once.
            let read = stream.read(&mut [0; 8_192]).await.unwrap();
            assert!(read > 0, "a request");
            stream.write_all(answer.as_bytes()).await.unwrap();
        }
    });
    let config = Config {
        table_url: url.clone(),
        object_url: url.clone(),
        instances_url: url,
        timeout: Duration::from_secs(5),
    };
    Platform::new(config).unwrap()
}

/// An answer in one chunk, with these lines in place of those that delimit its body.
fn answer(lines: &str, text: &str) -> String {
    format!("HTTP/1.1 200 OK\r\n{lines}\r\n{:x}\r\n{text}\r\n0\r\n\r\n", text.len())
}

const CODINGS: [&str; 3] = [
    "transfer-encoding: chunkex\r\n",
    "transfer-encoding: gzip, chunked\r\n",
    "transfer-encoding: chunked, chunked\r\n",
];

#[tokio::test]
async fn the_outcome_of_a_transaction_is_determined_after_a_malformed_head() {
    for lines in CODINGS {
        let committed = answer(lines, r#"{"committed":true,"revision":7,"conflicts":[]}"#);
        let sound = "connection: close\r\ntransfer-encoding: chunked\r\n";
        // The row of the operation exists, so the transaction took effect.
        let exists = answer(sound, r#"{"committed":false,"revision":7,"conflicts":[]}"#);
        let platform = platform(vec![committed, exists]).await;
        let outcome = platform.transact(Vec::new(), Vec::new()).await;
        assert_eq!(outcome.unwrap(), Committed { revision: 0 }, "{lines:?}");
    }
}

#[tokio::test]
async fn an_object_with_a_malformed_head_is_not_read() {
    for lines in CODINGS {
        let platform = platform(vec![answer(lines, "bytes")]).await;
        let error = platform.object("key").await.expect_err("the head is malformed");
        assert!(error.is_outage(), "a later call may succeed: {error}");
    }
}
