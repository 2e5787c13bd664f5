//! Test of a link whose sending process ends directly after a flush.
//!
//! Frames that are only queued are lost when the runtime of the sending process is dropped. After
//! `Sender::flush`, all frames must arrive at the peer nevertheless.

use std::time::Duration;

use hooktrestle_link::Config;
use hooktrestle_link::Identity;
use hooktrestle_link::auth::Keys;
use hooktrestle_schema::BodyFrame;
use hooktrestle_schema::Frame;
use hooktrestle_schema::RequestId;
use tokio::net::TcpListener;
use tokio::runtime::Builder;

const FRAMES: u64 = 400;

fn config() -> Config {
    let keys = Keys::parse("key").unwrap();
    Config { keys, max_message_bytes: 1 << 20, silence_timeout: Duration::from_secs(20) }
}

fn identity(instance: &str) -> Identity {
    Identity { instance: instance.to_owned(), incarnation: 1 }
}

fn body(sequence: u64) -> Frame {
    let id = RequestId { number: 1, attempt: 0 };
    Frame::Body(BodyFrame { id, sequence, last: sequence + 1 == FRAMES })
}

#[test]
fn flushed_frames_arrive_though_the_sender_exits_at_once() {
    let reading = Builder::new_current_thread().enable_all().build().unwrap();
    let listener = reading.block_on(TcpListener::bind("127.0.0.1:0")).unwrap();
    let address = listener.local_addr().unwrap();
    let process = std::thread::spawn(move || {
        let writing = Builder::new_current_thread().enable_all().build().unwrap();
        writing.block_on(async move {
            let (config, own) = (config(), identity("hints-1"));
            let opened = hooktrestle_link::dial(&config, &own, address, 1).await.unwrap();
            let sender = opened.sender;
            for sequence in 0..FRAMES {
                sender.send(&body(sequence), &[7; 1_000]).await.unwrap();
            }
            sender.flush().await.unwrap();
        });
        // The process ends here: its runtime is dropped together with all unwritten messages.
    });
    let last = reading.block_on(async move {
        let (stream, _) = listener.accept().await.unwrap();
        let (config, own) = (config(), identity("entry-1"));
        let opened = hooktrestle_link::accept(&config, &own, stream).await.unwrap();
        let mut receiver = opened.receiver;
        let mut last = None;
        while let Ok((Frame::Body(frame), _)) = receiver.next().await {
            last = Some(frame.sequence);
        }
        last
    });
    process.join().unwrap();
    assert_eq!(last, Some(FRAMES - 1));
}
