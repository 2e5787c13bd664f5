//! Requests from caller through gateway and sidecar to a backend server, and their answers.
//!
//! Guards against answers that are incomplete, belong to another caller or come for invalid calls.

mod common;

use hooktrestle_embedded::Caller;
use hooktrestle_embedded::Outcome;
use hooktrestle_embedded::caller::finish;
use serde_json::Value;

use common::KEY;
use common::answer_text;
use common::deployment;
use common::expected;

#[tokio::test]
async fn a_streamed_answer_is_returned_complete() {
    let fleet = deployment(2).await;
    let caller = Caller::new(&fleet.url("entry-1"), KEY).unwrap();
    let outcome = finish(caller.chat("hints", "solver-7", 20, true)).await.unwrap();
    let Outcome::Whole(text) = outcome else { panic!("{outcome:?}") };
    assert!(text.ends_with("data: [DONE]\n\n"), "{text}");
    assert_eq!(answer_text(&text), expected("solver-7", 20));
}

#[tokio::test]
async fn an_answer_without_streaming_is_returned_as_json() {
    let fleet = deployment(1).await;
    let caller = Caller::new(&fleet.url("entry-1"), KEY).unwrap();
    let outcome = finish(caller.chat("hints", "m", 3, false)).await.unwrap();
    let Outcome::Whole(text) = outcome else { panic!("{outcome:?}") };
    let value: Value = serde_json::from_str(&text).unwrap();
    assert_eq!(value["choices"][0]["message"]["content"], expected("m", 3));
}

#[tokio::test]
async fn many_callers_get_their_own_answers() {
    let fleet = deployment(2).await;
    let mut calls = Vec::new();
    for number in 0..40 {
        let gateway = if number % 2 == 0 { "entry-1" } else { "entry-2" };
        let caller = Caller::new(&fleet.url(gateway), KEY).unwrap();
        calls.push(tokio::spawn(async move {
            let marker = format!("caller-{number}");
            let outcome = finish(caller.chat("hints", &marker, 30, true)).await.unwrap();
            (marker, outcome)
        }));
    }
    for call in calls {
        let (marker, outcome) = call.await.unwrap();
        let Outcome::Whole(text) = outcome else { panic!("{outcome:?}") };
        assert_eq!(answer_text(&text), expected(&marker, 30));
    }
}

#[tokio::test]
async fn a_plain_service_gets_the_path_and_a_large_body() {
    let fleet = deployment(1).await;
    let caller = Caller::new(&fleet.url("entry-1"), KEY).unwrap();
    let body = "puzzle ".repeat(200_000);
    let outcome = finish(caller.plain("puzzles", "saved/7?x=1", body.clone())).await.unwrap();
    let Outcome::Whole(echo) = outcome else { panic!("{outcome:?}") };
    assert!(echo == body, "{} bytes returned, not {}", echo.len(), body.len());
    assert_eq!(fleet.app("puzzles-1").ledger.entry("/saved/7").finished, 1);
}

#[tokio::test]
async fn endpoints_name_every_live_gateway() {
    let fleet = deployment(1).await;
    let caller = Caller::new(&fleet.url("entry-1"), KEY).unwrap();
    let answer: Value =
        caller.get("/v1/endpoints?service=hints").send().await.unwrap().json().await.unwrap();
    assert_eq!(answer["endpoints"].as_array().unwrap().len(), 2, "{answer}");
    assert!(answer["keep_ms"].as_u64().unwrap() > 0);
}

#[tokio::test]
async fn invalid_calls_are_refused_with_status_and_cause_and_do_not_run() {
    let fleet = deployment(1).await;
    let caller = Caller::new(&fleet.url("entry-1"), KEY).unwrap();
    let stranger = Caller::new(&fleet.url("entry-1"), "wrong").unwrap();
    let cases = [
        (stranger.chat("hints", "m", 1, true), 401, "unknown-key"),
        (caller.chat("hintz", "m", 1, true), 404, "unknown-service"),
        (caller.chat("puzzles", "m", 1, true), 404, "unknown-service"),
        (caller.post("/v1/chat/completions").body("{"), 400, "bad-request"),
        (caller.post("/nowhere"), 400, "bad-request"),
        (
            caller.chat("hints", "m", 1, true).header("x-hooktrestle-deadline-ms", "soon"),
            400,
            "bad-request",
        ),
    ];
    for (call, wanted_status, wanted_cause) in cases {
        let outcome = finish(call).await.unwrap();
        let Outcome::Refused { status, verdict, cause, .. } = outcome else {
            panic!("{outcome:?}")
        };
        assert_eq!((status, cause.as_str()), (wanted_status, wanted_cause));
        assert_eq!(verdict, "not-run");
    }
    assert!(fleet.engine("hints-1").ledger.all().is_empty());
}

#[tokio::test]
async fn a_chat_call_with_a_form_content_type_is_answered() {
    let fleet = deployment(1).await;
    let caller = Caller::new(&fleet.url("entry-1"), KEY).unwrap();
    let body = r#"{"model":"hints","max_tokens":2,"messages":[{"role":"user","content":"m"}]}"#;
    let call = caller.post("/v1/chat/completions").body(body);
    let call = call.header("content-type", "application/x-www-form-urlencoded");
    let outcome = finish(call).await.unwrap();
    let Outcome::Whole(text) = outcome else { panic!("{outcome:?}") };
    assert!(text.contains(&expected("m", 2)), "{text}");
}
