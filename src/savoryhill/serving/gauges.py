"""Gauges of a node, which its metrics show."""


def set_gauges(metrics, context, *, scheduling, store, lines):
    """Set what the metrics of a node show of its present state.

    Parameters
    ----------
    metrics : Metrics
        The metrics to which the gauges are added.
    context : NodeContext
        State shared by the requests of the node.
    scheduling : Scheduling
        The schedulers of the node.
    store : Store
        Client of the store.
    lines : LogWriter
        Writer of the log lines.
    """
    cluster_view = context.cluster_view
    metrics.gauges.update(
        requests_running=lambda: context.n_running,
        configuration_version=lambda: (
            cluster_view.configuration.version if cluster_view.configuration else 0
        ),
        store_era=lambda: store.era,
        store_contact_age_s=lambda: min(1e9, cluster_view.contact_age_s()),
        nodes_known=lambda: len(cluster_view.nodes_by_name),
        endpoints_known=lambda: len(cluster_view.endpoints_by_id),
        jobs_waiting=lambda: sum(
            len(s.waiting_by_id) for s in scheduling.schedulers_by_service.values()
        ),
        engines_slow=lambda: sum(
            len(s.pace_notes.slow_ids)
            for s in scheduling.schedulers_by_service.values()
        ),
        workspaces_waiting=lambda: len(
            {
                job.workspace
                for scheduler in scheduling.schedulers_by_service.values()
                for job in scheduler.waiting_by_id.values()
            }
        ),
        workspace_lead_s=lambda: max(
            (
                scheduler.shares.lead_s(workspace)
                for scheduler in scheduling.schedulers_by_service.values()
                for workspace in scheduler.shares.counters_by_workspace
            ),
            default=0.0,
        ),
        log_lines_dropped=lambda: lines.n_dropped,
        requests_started=lambda: context.n_started,
        endpoints_limited=lambda: len(
            context.endpoint_statements.limiter.limits_by_incarnation
        ),
        endpoints_leaving=lambda: sum(
            endpoint.incarnation in cluster_view.leaving_incarnations
            for endpoint in cluster_view.endpoints_by_id.values()
        ),
        endpoints_out_of_reach=lambda: len(context.ways.paths.lost_by_id),
        has_lost_way=lambda: int(context.ways.paths.is_cut()),
        connections_own=lambda: context.ways.n_own,
        connections_relayed=lambda: context.ways.n_relayed,
        relayed_for_others=lambda: context.n_relayed,
        answer_bytes_kept=lambda: context.answer_budget.n_bytes,
        answers_too_large=lambda: context.answer_budget.n_refused,
        client_connections=lambda: len(context.client_buffers),
        client_bytes_kept=lambda: context.client_buffers.n_bytes,
        clients_refused=lambda: context.client_buffers.n_refused,
        clients_evicted=lambda: context.client_buffers.n_evicted,
        endpoint_loads_known=lambda: context.balancer.loads.n_reports(
            context.clock.monotonic()
        ),
        plain_requests_counted=lambda: context.balancer.grants.n_granted,
        plain_choices_asked=lambda: context.balancer.grants.n_asked,
        plain_choices_unanswered=lambda: context.balancer.grants.n_unanswered,
        endpoints_pausing=lambda: len(context.endpoint_statements.pauses),
        crashes_in_doubt=lambda: len(context.crash_guard.doubts_by_part),
        parts_refused=lambda: context.crash_guard.n_refused(is_request=False),
        requests_refused_for_crashes=lambda: context.crash_guard.n_refused(
            is_request=True
        ),
    )
