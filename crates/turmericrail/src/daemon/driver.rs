//! Event loop of the daemon: passes events to the coordinator and carries out its actions.

use std::sync::Arc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_std::task;
use turmericrail_core::action::{Action, Decision};
use turmericrail_core::error_kind::ErrorKind;
use turmericrail_core::event::Event;
use turmericrail_core::ids::RequestId;

use crate::daemon::Shared;
use crate::daemon::callers::CallerMessage;
use crate::{backend_edge, logs, peer_edge, platform_edge};

const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Handles events until the process ends.
///
/// When the coordinator asks to exit, `exit` is notified and the loop goes on, so that requests
/// that arrive before the listener is closed are still answered.
pub async fn run(shared: Arc<Shared>, events: Receiver<Event>, exit: Sender<()>) {
    start_ticks(&shared);
    while let Ok(event) = events.recv().await {
        let actions = shared.node().handle(shared.now(), event);
        perform_all(&shared, actions, &exit);
    }
}

/// Carries out actions; decisions are logged last, so that no request waits for the log.
fn perform_all(shared: &Arc<Shared>, actions: Vec<Action>, exit: &Sender<()>) {
    let mut decisions = Vec::new();
    for action in actions {
        match action {
            Action::Exit => {
                let _ = exit.try_send(());
            }
            Action::Log(decision) => decisions.push(decision),
            action => perform(shared, action),
        }
    }
    for decision in decisions {
        log_decision(shared, decision);
    }
}

fn start_ticks(shared: &Arc<Shared>) {
    let shared = Arc::clone(shared);
    task::spawn(async move {
        loop {
            task::sleep(TICK_INTERVAL).await;
            shared.send_event(Event::Tick);
        }
    });
}

fn perform(shared: &Arc<Shared>, action: Action) {
    match action {
        Action::Send { to, address, envelope } => {
            peer_edge::client::send(shared, to, address, &envelope);
        }
        Action::Prefill(call) => {
            spawn(shared, |shared| backend_edge::engine::prefill(shared, call))
        }
        Action::Transfer(call) => {
            spawn(shared, |shared| backend_edge::engine::transfer(shared, call))
        }
        Action::Read(call) => spawn(shared, |shared| backend_edge::tokens::read(shared, call)),
        Action::Cancel { target, stream, holder } => {
            spawn(shared, |shared| backend_edge::engine::cancel(shared, target, stream, holder));
        }
        Action::Poll(target) => spawn(shared, |shared| backend_edge::engine::poll(shared, target)),
        Action::Order { target, order } => {
            spawn(shared, |_| backend_edge::orders::send_order(target, order));
        }
        Action::CallPlain(call) => spawn(shared, |shared| backend_edge::plain::call(shared, call)),
        Action::Forward { request, home, address, timeout_ms } => spawn(shared, move |shared| {
            peer_edge::client::forward_call(shared, request, home, address, timeout_ms)
        }),
        Action::AnswerTickets(request, tickets) => {
            finish_request(shared, request, CallerMessage::Tickets(tickets))
        }
        Action::AnswerPlain(request, answer) => {
            finish_request(shared, request, CallerMessage::Plain(answer))
        }
        Action::AnswerError { request, kind, retry_after_ms } => {
            finish_request(shared, request, CallerMessage::Error { kind, retry_after_ms });
        }
        Action::FetchDocument => spawn(shared, platform_edge::fetch_document),
        Action::Log(_) | Action::Exit => {}
    }
}

fn spawn<F>(shared: &Arc<Shared>, create_future: impl FnOnce(Arc<Shared>) -> F)
where
    F: Future<Output = ()> + Send + 'static,
{
    task::spawn(create_future(Arc::clone(shared)));
}

fn finish_request(shared: &Arc<Shared>, request: RequestId, answer: CallerMessage) {
    count_answer(shared, &answer);
    shared.callers.finish(request, answer);
}

fn count_answer(shared: &Shared, answer: &CallerMessage) {
    let kind = match answer {
        CallerMessage::Error { kind, .. } => ErrorKind::answer(*kind).text,
        _ => "completed",
    };
    shared.metrics.answers.with_label_values(&[kind]).inc();
}

fn log_decision(shared: &Shared, decision: Decision) {
    shared.metrics.decisions.with_label_values(&[decision.event]).inc();
    spdlog::info!("{}", logs::format_decision(&decision));
    shared.decisions.record(shared.now().wall_ms, decision);
}
