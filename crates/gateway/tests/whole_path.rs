//! Answers of backend servers on their way to callers.

use toucanledge_bench::{CallerClient, CallerFailure, CallerRequest, CallerResponse};

use crate::support::{LIMIT, TestGateway, good_answer, header};

async fn read(gateway: &TestGateway) -> Result<CallerResponse, CallerFailure> {
    let request = CallerRequest::new(hyper::Method::GET, "/a");
    CallerClient::default()
        .send(gateway.host.caller(), &request, LIMIT)
        .await
}

/// Guards against a path that loses or changes the answer.
#[tokio::test(flavor = "multi_thread")]
async fn a_whole_answer_arrives_with_its_outcome() {
    let gateway = TestGateway::start(good_answer).await;
    let answer = read(&gateway).await.expect("an answer");
    assert_eq!((answer.status, answer.text().as_str()), (200, "whole"));
    assert_eq!(answer.header("toucanledge-outcome"), "ran");
    assert_eq!(answer.header("backend-request-id"), "");
}

/// Guards against handing the answer of another request to a caller.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_with_another_request_id_is_discarded() {
    let gateway = TestGateway::start(|_| {
        b"HTTP/1.1 200 OK\r\nbackend-request-id: other\r\ncontent-length: 7\r\n\r\nforeign".to_vec()
    })
    .await;
    let answer = read(&gateway).await.expect("an answer");
    assert_eq!(answer.status, 502);
    assert_eq!(answer.header("toucanledge-outcome"), "unknown");
    assert!(!answer.text().contains("foreign"));
}

/// Guards against ending a truncated answer as if it were whole.
#[tokio::test(flavor = "multi_thread")]
async fn a_truncated_answer_breaks_the_callers_connection() {
    let gateway = TestGateway::start(|head| {
        if header(head, "connection") == "close" {
            return Vec::new();
        }
        let id = header(head, "backend-request-id");
        format!("HTTP/1.1 200 OK\r\nbackend-request-id: {id}\r\ncontent-length: 50\r\nconnection: close\r\n\r\nhalf")
            .into_bytes()
    })
    .await;
    let answer = read(&gateway).await;
    assert!(
        answer.as_ref().is_err() || answer.is_ok_and(|answer| answer.truncated),
        "a truncated answer looks whole"
    );
}

/// Guards against a request that waits for a silent backend server beyond its deadline.
#[tokio::test(flavor = "multi_thread")]
async fn a_silent_backend_server_is_given_up_at_the_deadline() {
    let gateway = TestGateway::start(|_| {
        std::thread::sleep(std::time::Duration::from_secs(5));
        Vec::new()
    })
    .await;
    let answer = read(&gateway).await.expect("an answer");
    assert_eq!(answer.status, 504);
    assert_eq!(answer.header("toucanledge-outcome"), "unknown");
    assert!(answer.latency.as_millis() < 1_500, "{:?}", answer.latency);
}

/// Guards against passing on a refusal of the backend server as if the work had run.
#[tokio::test(flavor = "multi_thread")]
async fn a_shed_request_is_told_as_not_run() {
    let gateway = TestGateway::start(|head| {
        let id = header(head, "backend-request-id");
        format!("HTTP/1.1 503 Busy\r\nbackend-request-id: {id}\r\nbackend-shed: 1\r\ncontent-length: 0\r\n\r\n")
            .into_bytes()
    })
    .await;
    let answer = read(&gateway).await.expect("an answer");
    assert_eq!(answer.status, 503);
    assert_eq!(answer.header("toucanledge-outcome"), "not-run");
    assert!(!answer.header("retry-after").is_empty());
}
