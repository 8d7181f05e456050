package router

import "nutmeglane.example/nutmeglane/internal/core"

// The metrics of a router.
const (
	metricRequests      core.Counter = "router_requests_total"
	metricRetries       core.Counter = "router_retries_total"
	metricColdStart     core.Counter = "router_cold_start_seconds"
	metricServerEnds    core.Counter = "router_server_ends_total"
	metricPoison        core.Counter = "router_poison_found_total"
	metricPoisonRefused core.Counter = "router_poison_refusals_total"
	metricHarmless      core.Counter = "router_harmless_parts_total"
	metricAccountUnits  core.Counter = "router_account_units_total"
	metricServerLimits  core.Counter = "router_server_limits_total"
	metricLimitPermits  core.Counter = "router_limit_permits_total"
	metricShareRefusals core.Counter = "router_share_refusals_total"
	metricLimitedSends  core.Counter = "router_limited_sends_total"
	metricEngineBudgets core.Counter = "router_engine_budgets_total"
	metricServerBudgets core.Counter = "router_server_budgets_total"
	metricAnnounced     core.Counter = "router_server_announcements_total"
	metricOrigins       core.Counter = "router_stream_origins_total"
	metricResumptions   core.Counter = "router_stream_resumptions_total"
	metricContinuations core.Counter = "router_run_continuations_total"
	metricAnswerEnds    core.Counter = "router_answer_ends_total"
	metricIncomplete    core.Counter = "router_incomplete_answers_total"
	metricFirstByte     core.Counter = "router_first_byte_seconds"
	metricPlannedLoads  core.Counter = "router_planned_loads_total"
	metricRetrySettled  core.Counter = "router_retry_settled_seconds"
)

// Counters declares the metrics of a router.
var Counters = []core.CounterDef{
	{Name: metricRequests, Help: "Requests that ended, by service and result code.", Labels: []string{"service", "code"}},
	{Name: metricRetries, Help: "Retries by service and outcome: sent, or refused because this router's part of the budget was used up.", Labels: []string{"service", "outcome"}},
	{Name: metricServerEnds, Help: "Backend servers that ended by themselves, as this router noticed, by service.", Labels: []string{"service"}},
	{Name: metricPoison, Help: "Requests and parts of prompts that were found to end the servers that run them, by kind.", Labels: []string{"kind"}},
	{Name: metricPoisonRefused, Help: "Requests that were not sent because servers had ended under them or under a part of their prompts, by kind of what they ended under.", Labels: []string{"kind"}},
	{Name: metricHarmless, Help: "Parts of prompts under which servers had ended and that this router reported as harmless."},
	{Name: metricAccountUnits, Help: "Units of client accounts' quotas (tokens or requests) that were admitted, refused, or returned as not run, by account.", Labels: []string{"account", "outcome"}},
	{Name: metricServerLimits, Help: "Changes of the limits that backend servers name, and limits that can't be read, by service.", Labels: []string{"service", "change"}},
	{Name: metricLimitPermits, Help: "Requests that needed a permit of a server with a limit, by service and outcome.", Labels: []string{"service", "outcome"}},
	{Name: metricShareRefusals, Help: "Permits that were refused because the client account had its share, by service and account.", Labels: []string{"service", "account"}},
	{Name: metricLimitedSends, Help: "Requests sent to backend servers while they named a limit, by service.", Labels: []string{"service"}},
	{Name: metricEngineBudgets, Help: "Request-rate budgets of engines that began, were over or expired without a message, by service.", Labels: []string{"service", "change"}},
	{Name: metricServerBudgets, Help: "Request-rate budgets of plain services' servers that began, were over or expired without a message, by service.", Labels: []string{"service", "change"}},
	{Name: metricAnnounced, Help: "Backend servers that were found to be draining, backoffs that they want, and backoffs that can't be read (malformed), by service.", Labels: []string{"service", "what"}},
	{Name: metricOrigins, Help: "Requests that take up a stream, by service and how the release that began it was found.", Labels: []string{"service", "outcome"}},
	{Name: metricResumptions, Help: "Streams that broke off after an event, by service and whether a server of the same release could resume them.", Labels: []string{"service", "outcome"}},
	{Name: metricContinuations, Help: "Running requests with a copy of their memory that were lost at their engine, by service and outcome of the continuation or why there was none.", Labels: []string{"service", "outcome"}},
	{Name: metricAnswerEnds, Help: "Answers of backend servers that ended, by service, how they mark their end, how it came, whether bytes followed the last complete event of a stream, and what callers were given.", Labels: []string{"service", "framing", "end", "leftover", "outcome"}},
	{Name: metricIncomplete, Help: "Requests that a server may have run and whose caller got no whole answer, by service, result code and how their last attempt ended.", Labels: []string{"service", "code", "last"}},
	{Name: metricPlannedLoads, Help: "Loads that the copy plan ordered, by service, the tier of the copy that is loaded (memory, disk, store) and the reason.", Labels: []string{"service", "tier", "reason"}},
	{Name: metricColdStart, Help: "Time from a request's arrival to its first event, of requests that waited for a load, by where the nearest copy lay.", Labels: []string{"tier"}},
	{Name: metricRetrySettled, Help: "Time from the first retry of a request until it is known of all its attempts that they have arrived or never will, by service and what showed it.", Labels: []string{"service", "by"}},
	{Name: metricFirstByte, Help: "Time from sending a request to its first byte or event, by service.", Labels: []string{"service"}},
}
