//! Reports which servers this box has started or stopped to suspect.

use crate::edge_state::EdgeState;
use crate::log_values::round_for_log;
use crate::services::ServiceState;

/// Logs it if a server of the service has become suspected, and has the updates about it
/// go out at once.
pub fn report_new_suspicion(shared: &EdgeState, service: &ServiceState) {
    if service.balancer.lock().take_new_suspicion() {
        log_suspicion_changes(service);
        shared.links.lock().mark_urgent();
        shared.urgent_updates.notify();
        shared.pending_updates.notify();
    }
}

/// Logs which servers of a service this box has started or stopped to suspect.
pub fn log_suspicion_changes(service: &ServiceState) {
    for change in service
        .balancer
        .lock()
        .take_suspicion_changes(wingspur_clock::now())
    {
        let outcome = if change.is_suspected {
            "suspected"
        } else {
            "trusted again"
        };
        tracing::info!(
            server = %change.server.id,
            service = service.name,
            failure_share = round_for_log(change.failure_probability),
            sent_ms_ago = change.last_request_at.as_millis() as u64,
            "server: {outcome}."
        );
    }
}
