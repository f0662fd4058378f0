//! The report detects fleets that answer incorrectly.

use async_trait::async_trait;
use fake::MemoryService;
use fake::http::{BoundServer, control_router, service_router};
use load::{Arrivals, Endpoints, Mix};
use salvo::{Depot, FlowCtrl, Handler, Request, Response, Router};
use serde_json::{Value, json};
use std::sync::Arc;
use target::{Call, Service};

/// An entry that drops tokens, repeats calls or refuses them as configured.
#[derive(Clone)]
struct Entry {
    lost_tokens: u32,
    runs: u32,
    refuses: bool,
    service: MemoryService,
}

#[async_trait]
impl Handler for Entry {
    async fn handle(
        &self,
        request: &mut Request,
        _: &mut Depot,
        response: &mut Response,
        _: &mut FlowCtrl,
    ) {
        let body = request.payload().await.cloned().unwrap_or_default();
        if request.uri().path().starts_with("/services/") {
            return self.call(body, response).await;
        }
        let body: Value = serde_json::from_slice(&body).expect("the body is JSON");
        let prompt = body["prompt"].as_str().expect("there is a prompt");
        let sampling = json!({"fake_tokens": body["fake_tokens"]}).to_string().into();
        let text = fake::answer(prompt, &sampling, 1_024);
        let lost = usize::try_from(self.lost_tokens).expect("it is small") * fake::TOKEN_BYTES;
        let chunk = json!({"choices": [{"index": 0, "text": text[lost..]}]});
        response.render(format!("id: r.1\ndata: {chunk}\n\ndata: [DONE]\n\n"));
    }
}

impl Entry {
    async fn call(&self, body: bytes::Bytes, response: &mut Response) {
        let call = Call { method: "POST".into(), path: "/t".into(), headers: Vec::new(), body };
        for _ in 0..self.runs {
            self.service.call(call.clone()).await.map(drop).expect("the service is up");
        }
        if self.refuses {
            response.status_code(salvo::http::StatusCode::SERVICE_UNAVAILABLE);
            let problem = json!({"title": "draining", "run": "not-run"}).to_string();
            response.headers_mut().insert(
                "content-type",
                salvo::http::HeaderValue::from_static("application/problem+json"),
            );
            response.write_body(problem).expect("the body is empty");
        } else {
            let body = String::from_utf8(call.body.to_vec()).expect("the body is text");
            response.render(salvo::writing::Json(json!({"body": body})));
        }
    }
}

async fn serve(router: Router) -> compact_str::CompactString {
    let serving = BoundServer::bind("127.0.0.1:0", router).await.expect("loopback can be bound");
    let address = compact_str::format_compact!("{}", serving.address);
    tokio::spawn(serving.run());
    address
}

async fn judge(lost_tokens: u32, runs: u32, refuses: bool) -> load::Report {
    let service = MemoryService::default();
    let entry = Entry { lost_tokens, runs, refuses, service: service.clone() };
    let routes = service_router(Arc::new(service.clone()));
    let services = vec![serve(control_router(Arc::new(service), routes)).await];
    let entries = vec![serve(Router::with_path("{**rest}").goal(entry)).await];
    let mix = "{rate: 1000, requests: 20, classes: [{name: p}, {name: c, service: s, path: t}]}";
    let mix = Mix::parse(mix).expect("the mix is right");
    load::run(mix, Endpoints { entries, services, ..Endpoints::default() })
        .await
        .expect("all can be reached")
}

#[tokio::test]
async fn complete_answers_and_single_runs_are_accepted() {
    let report = judge(0, 1, false).await;
    assert_eq!((report.total.sent, report.total.complete), (20, 20));
    assert!(!report.is_broken(), "{}", report.table());
}

// A fleet resumes a stream one token too late. The caller receives an answer that lacks a token,
// with a normal status and end, so only a comparison of the text detects it.
#[tokio::test]
async fn an_answer_that_lacks_a_token_is_detected() {
    let report = judge(1, 1, false).await;
    let prompts = report.classes[0].sent;
    assert!(prompts > 0);
    assert_eq!((report.total.torn, report.is_broken()), (prompts, true));
}

// A fleet retries a non-repeatable call by itself: it runs twice, and the caller receives one
// answer.
#[tokio::test]
async fn a_call_that_ran_twice_is_detected() {
    let report = judge(0, 2, false).await;
    let calls = report.calls.clone().expect("services were given");
    assert!(calls.sent > 0);
    assert_eq!((calls.doubled, report.is_broken()), (calls.sent, true));
}

// A response guarantees that a call did not run although it did. The caller would send it again
// with a new key, and it would run twice.
#[tokio::test]
async fn a_call_that_ran_although_refused_as_not_run_is_detected() {
    let report = judge(0, 1, true).await;
    let calls = report.calls.clone().expect("services were given");
    assert!(calls.sent > 0);
    assert_eq!((calls.ran_though_refused, report.is_broken()), (calls.sent, true));
}

#[test]
fn arrivals_follow_the_mix_and_are_the_same_for_the_same_seed() {
    let text = "{duration_ms: 100000, rate: 100, swing_ms: 100000, \
                bursts: [{at_ms: 0, lasts_ms: 10000, times: 5}], \
                classes: [{name: a, share: 8, share_at_peak: 2}, {name: b, share: 2, \
                share_at_peak: 8, prompt_tokens: {median: 100, p95: 400}}]}";
    let mix = Mix::parse(text).expect("the mix is right");
    let all: Vec<_> = Arrivals::new(&mix).collect();
    assert_eq!(all, Arrivals::new(&mix).collect::<Vec<_>>());
    let mut counts = String::new();
    for tenth in 0..10u64 {
        let within = |at: std::time::Duration| at.as_secs() / 10 == tenth;
        let in_tenth: Vec<_> = all.iter().filter(|arrival| within(arrival.at)).collect();
        let second = in_tenth.iter().filter(|arrival| arrival.class == 1).count();
        counts += &format!("{tenth}: {} of class b among {}\n", second, in_tenth.len());
    }
    insta::assert_snapshot!(counts);
    let wrong = Mix::parse("{rate: 0, classes: [{name: a}]}").expect_err("no rate");
    assert_eq!(wrong.to_string(), "rate: a rate is above 0 and at most 1000000 a second");
}
