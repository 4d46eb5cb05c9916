"""Default values and limits; the name of each number ends in its unit."""

from __future__ import annotations

# Lease of an entry VM at a worker. Three renewals fit into one lease, so one lost renewal does
# not let it expire.
LEASE_DURATION_MS = 3_000
LEASE_RENEWAL_MS = 1_000
# A guard keeps results for 15 min; the difference allows for clocks of entry VMs that differ.
GUARD_RETENTION_MS = 14 * 60 * 1_000

# A withdrawn key is refused everywhere at most this long after its withdrawal was accepted.
KEY_FRESHNESS_MS = 5_000

HEARTBEAT_PERIOD_MS = 500
HEARTBEAT_FANOUT_COUNT = 2
# Longest time between heartbeats to a peer. After a lost heartbeat, another one still fits into
# KEY_FRESHNESS_MS.
HEARTBEAT_MAX_INTERVAL_MS = 2_000
# A member not heard from for this long is retired; longer than a lease plus a slow log append.
MEMBER_RETIRE_MS = 10_000
PEER_TIMEOUT_MS = 800

# At 20 ms, nine entry VMs make at most 450 appends per second, which the log can sustain.
FLUSH_WINDOW_MS = 20
FLUSH_WINDOW_SLOW_MS = 50
FLUSH_RECORD_COUNT = 500
FLUSH_SIZE_BYTES = 256 * 1024
APPEND_TIMEOUT_MS = 1_500
# An unanswered batch is sent again only after a read to the end of the log this much later.
APPEND_RESEND_DELAY_MS = 1_000
LOG_LONG_POLL_MS = 1_000
LOG_READ_LIMIT_COUNT = 1_000
LOG_RETRY_MS = 200
# The log counts as unavailable if no read has completed for this long.
LOG_UNAVAILABLE_MS = 2_500
LOG_RETENTION_MS = 24 * 3_600 * 1_000
SNAPSHOT_PART_BYTES = 64 * 1024
FINISHED_JOB_LIMIT_COUNT = 10_000
# A digest takes about 100 bytes, 5 MB in total.
EXPIRED_JOB_LIMIT_COUNT = 50_000

VM_LIST_POLL_MS = 1_000

ATTEMPT_TIMEOUT_MS = 30_000
CONNECT_TIMEOUT_MS = 500
GUARD_QUERY_FIRST_MS = 50
GUARD_QUERY_MAX_MS = 1_000
# After more than this many consecutive refusals, a job is placed again only after a growing delay.
REFUSALS_BEFORE_DELAY_COUNT = 3
REFUSAL_DELAY_MS = 25
REFUSAL_DELAY_MAX_MS = 1_000
# Retries may make up at most this share of all attempts.
RETRY_BUDGET_RATIO = 0.1
RETRY_BUDGET_MIN_COUNT = 10

EJECT_AFTER_FAILURES_COUNT = 3
EJECT_AFTER_NO_ANSWERS_COUNT = 2
EJECT_DURATION_MS = 5_000
EJECT_WINDOW_MS = 5_000
EJECT_MAX_RATIO = 1 / 3

RIGHTS_REBALANCE_MS = 250
DEADLINE_SWEEP_MS = 20
# A process that has not run for this long counts as paused; shorter than a lease.
PROCESS_PAUSE_MS = 1_500
DEADLINE_DEFAULT_MS = 10_000
DEADLINE_MAX_MS = 24 * 3_600 * 1_000
QUEUE_WAITING_LIMIT_COUNT = 2_000
BODY_LIMIT_BYTES = 256 * 1024
# A caller that stops sending must not occupy a handler forever.
BODY_TIMEOUT_MS = 10_000
# A configuration of 1,292 VMs and 68 pools takes 294,461 bytes.
CONFIG_LIMIT_BYTES = 4 * 1024 * 1024
# A forwarded job is encoded once more.
FORWARD_LIMIT_BYTES = 2 * BODY_LIMIT_BYTES
REQUEST_ID_BLOCK_COUNT = 1_000
REQUEST_ID_MAX_CHARS = 128
# Time for which an issued request ID may be submitted. Entry VMs remember jobs for longer, so a job
# with an unknown ID either never ran or is too old to be started.
REQUEST_ID_VALIDITY_MS = 120_000
RESULT_RETENTION_MS = 300_000
ATTEMPT_LIMIT_COUNT = 3

SHUTDOWN_TIMEOUT_MS = 30_000
# After the last job, an entry VM still refuses late requests for LINGER_MS, so that callers with
# open connections learn of the shutdown. LINGER_CLOSED_MS is for sending the last responses.
LINGER_MS = 2_000
LINGER_CLOSED_MS = 200
WAVE_FAILURE_LIMIT_COUNT = 2
INBOX_LIMIT_COUNT = 50_000
# Handling this many reports of upstreams takes about 3 ms.
INBOX_SLICE_COUNT = 16
AUDIT_ENTRY_LIMIT_COUNT = 20_000

LOG_READ_TIMEOUT_MS = 4_000
APPEND_SLOW_MS = 500
SNAPSHOT_CHECK_MS = 5_000
SNAPSHOT_AFTER_COUNT = 20_000
CONTROL_TIMEOUT_MS = 900
UPSTREAM_BUSY_BACKOFF_MS = 10
# An idempotent job is retried after this long without evidence from the guard.
IDEMPOTENT_FENCE_MS = 500
MEMBER_CHECK_MS = 500
OPERATOR_TIMEOUT_MS = 6_000

# Period of the driver's passes over the fleet, and shortest time between two passes.
OPERATIONS_PERIOD_MS = 250
OPERATIONS_MIN_INTERVAL_MS = 50
# Number of VMs in a stop or move that the driver probes in each pass; others report their state
# with the next lease renewal.
OPERATIONS_PROBE_COUNT = 16
PLATFORM_CALL_RETRY_MS = 1_000
# Longer than the platform waits for a worker, so that its response is not lost.
PLATFORM_CALL_TIMEOUT_MS = 3_000
# A step whose record is not confirmed in this time is planned again; replay accepts it only once.
RECORD_WAIT_MS = 10_000
CAPACITY_PERIOD_MS = 10_000
LOAD_SAMPLE_MS = 1_000
# A VM has failed if it has not answered for this long and for this many calls. The count keeps an
# entry VM that was paused from mistaking its own pause for the VM's failure.
VM_UNRESPONSIVE_MS = 5_000
VM_UNRESPONSIVE_CALL_COUNT = 3
# A planned stop or move of a VM that stays busy for this long is given up, so that no task is
# interrupted.
VM_DRAIN_TIMEOUT_MS = 600_000
# A VM that has not answered for this long after a reboot counts as not returned.
VM_RETURN_TIMEOUT_MS = 30_000
GC_THRESHOLD_COUNT = 50_000
# Pause before a loop that ended with an unexpected error runs again; several fit into a lease.
LOOP_RESTART_MS = 500

# The platform's store.
STORE_CALL_BYTES = 1_000_000
# A take-over reads one partition at a time for each such share of its link. The windows of 64 KB
# that are then on their way delay a renewal of the membership by 0.5 s, a third of its timeout.
BULK_READ_MBPS = 1
STORE_RETRY_MS = 100
STORE_RETRY_MAX_MS = 400
# If an append in progress stalls for this long, new submissions are refused at once.
STORE_STALL_MS = 800
RULES_WAIT_MS = 1_500
# A read whose answer is lost ends this long plus a call's timeout of 1.5 s after it was sent. The
# next one must still find a cancellation within the 3 s in which it takes effect.
INTAKE_WAIT_MS = 1_000
UPSTREAM_LIST_PAUSE_MS = 150

# The store drops a group member that has not rejoined for this long; members rejoin
# JOINS_PER_TTL_COUNT times as often.
MEMBERSHIP_TTL_MS = 1_200
JOINS_PER_TTL_COUNT = 3
# Renewals of the membership, and checks of the leader's record, that wait for an answer at the same
# time. As many are due within the timeout of a call, so that lost answers delay no further calls.
JOINS_PENDING_LIMIT_COUNT = 4
RECORD_CHECKS_PENDING_LIMIT_COUNT = 3
# A leader that the store has not confirmed for this long issues no more orders. Its successor
# waits this long plus a lease before it gives up tasks at an upstream that it cannot reach.
LEADERSHIP_VALID_MS = 3_000
LEADERSHIP_CHECK_MS = 250
LEADER_LOOKUP_PAUSE_MS = 250
# A leader checks this often that the store records no later one. After one lost answer it still
# learns of its successor before the leases that it has renewed until then outlast the successor's
# wait.
LEADER_RECORD_CHECK_MS = 500
# Longer delays of the event loop are logged; half of the time that a leader has to answer a probe.
EVENT_LOOP_DELAY_LOG_MS = 175
LEADER_SUMMARY_MS = 1_000
# Resources of the reference leader, which a candidate's ability is relative to.
REFERENCE_LEADER_MILLICORES = 1_000
REFERENCE_LEADER_LINK_MBPS = 100
# Number of candidates that are asked before an epoch is claimed, the ablest ones first.
SURVEY_CANDIDATE_COUNT = 16
# Number of candidates recorded last that are asked as well.
SURVEY_NEWEST_COUNT = 8
# If none of these answers, the others are asked, so many at the same time.
SURVEY_ROUND_COUNT = 128
# So many answers about a leader that the entry VM itself does not reach are enough.
SURVEY_WITNESS_COUNT = 3
# At a first start, and after all entry VMs were killed, abler ones start within this time.
ELECTION_SETTLE_MS = 1_000
CANDIDATE_RETRY_MS = 1_000
# Entry VMs renew their records as candidates about this often. The leader removes a record that it
# has found unchanged this many times in a row, which one lost renewal does not cause.
CANDIDATE_RENEWAL_MS = 60_000
CANDIDATE_RENEWAL_JITTER_RATIO = 0.25
CANDIDATE_EXPIRY_COUNT = 4
# An entry VM whose claim has failed does not offer to lead again for this long.
CLAIM_RETRY_MS = 1_000
# An entry VM that reaches neither the leader nor a candidate leaves the group for this multiple of
# the time after which the store drops members, so that it then sees whether others are left. It
# stays away twice as long if it left before within ISOLATION_MEMORY_MS, as the store may assign it
# the partition again before another one has decided.
STEP_ASIDE_TTL_RATIO = 1.25
# A leader gives up the lead if fewer than this share of the registered upstreams have answered for
# REACH_POOR_MS, and a candidate reaches as many of those that do not answer. With fewer upstreams
# than REACH_MIN_COUNT, single failures look like a lack of reach.
REACH_MIN_RATIO = 0.5
REACH_MIN_COUNT = 4
REACH_POOR_MS = 3_000
REACH_SAMPLE_COUNT = 8
REACH_CANDIDATE_COUNT = 4
TRANSFER_RETRY_MS = 5_000
UNWILLING_AFTER_TRANSFER_MS = 30_000
ISOLATION_MEMORY_MS = 10_000

# Lease of all runs at an upstream, renewed with each poll.
UPSTREAM_LEASE_MS = 3_000
# An upstream's monotonic clock may run slow by this share. LEASE_MARGIN_MS covers the error in
# the estimate of that clock.
CLOCK_DRIFT_RATIO = 0.02
LEASE_MARGIN_MS = 300
# An upstream whose clock is behind the estimate by more than this is another incarnation. Less is
# covered by LEASE_MARGIN_MS.
CLOCK_BEHIND_TOLERANCE_MS = 100
UPSTREAM_CALL_TIMEOUT_MS = 700
# An upstream may carry an order without an answer out this much later.
ORDER_DELAY_MAX_MS = 12_000
# An acknowledgement is sent only if the upstream has answered this recently. Another incarnation
# would drop ends that nobody has read.
ACKNOWLEDGE_READING_MAX_AGE_MS = 200
UPSTREAM_WAIT_MS = 600
# A new leader opens the links to its upstreams in groups, as opening one takes about 0.7 ms of a
# processor. 185 links are opened in 0.3 s, well before the leases of an earlier leader end.
LINK_START_COUNT = 8
LINK_START_PAUSE_MS = 5
# An upstream that has not answered for this long is assigned no new tasks.
UPSTREAM_SILENT_MS = 1_800
# Largest difference between the wall clocks of an entry VM and an upstream, by which the entry VM
# takes the upstream's age from its start time.
WALL_CLOCK_ERROR_MAX_MS = 5_000
# For this long after its start time an upstream may carry out orders for the incarnation before it.
MISDIRECTED_ORDERS_MS = UPSTREAM_SILENT_MS + ORDER_DELAY_MAX_MS + WALL_CLOCK_ERROR_MAX_MS
ACKNOWLEDGE_WAIT_MS = 400
PLACEMENT_DELAY_MS = 4
# Pause before the next pass, as a multiple of the duration of the last one: passes over many
# waiting steps leave two thirds of the processor to answers and reports.
PASS_PAUSE_RATIO = 2
# Longest pause: a pass during which the process was suspended lasts long without much work.
PASS_PAUSE_MAX_MS = 250
# Tasks assigned in one pass. Assigning and starting one takes about 0.6 ms of a processor, and the
# starts of a pass are sent together; the next pass follows once the assignments are stored.
ASSIGNMENT_LIMIT_COUNT = 60
# A new leader restores jobs in slices of this length. Between them it renews its membership and
# answers other entry VMs, which take a leader for dead after PROBE_TIMEOUT_MS.
RESTORE_SLICE_MS = 10
SCHEDULER_TICK_MS = 250
# A submission that has no outcome after this long is answered as unknown.
SUBMIT_TIMEOUT_MS = 1_800
LOOKUP_TIMEOUT_MS = 500
# A leader's view older than this does not prove that an unknown job does not exist.
INTAKE_VIEW_MAX_AGE_MS = 2_500
RETRY_AFTER_S = 1
START_RETRY_MS = 100
# An upstream that was full or reported itself unhealthy is assigned nothing for this long.
UPSTREAM_FULL_BACKOFF_MS = 300
STEP_ORDER = "deadline"
# Greatest age of a configuration, as a share of the freshness bound for withdrawn keys.
KEY_FRESHNESS_RATIO = 0.85
READY_RULES_MAX_AGE_MS = 4_000
# Two tries end well before callers stop waiting; a third would delay a query to its deadline.
LOOKUP_TRY_COUNT = 2
LOOKUP_RETRY_MS = 150
DRAIN_SERVE_MS = 3_000
DRAIN_CLOSE_MS = 700
# Share of the shutdown time within which requests that have been read are answered; the rest is for
# closing connections and stopping the actors.
DRAIN_ANSWER_RATIO = 5 / 6
# Requests whose body has not arrived completely within this time are dropped at a stop. The server
# waits for it twice: for the handler, and for the handler without the rest of the body.
CONNECTION_CLOSE_MS = 200
FLEET_TICK_MS = 300
# Orders for VMs that wait for an answer at the same time; further ones wait before they are sent.
VM_ORDER_LIMIT_COUNT = 8
FLEET_RETRY_MS = 500
# A request to vacate an upstream that has not been repeated for this long is no longer in force; it
# is repeated every FLEET_TICK_MS.
VACATING_REQUEST_MAX_AGE_MS = 2_000
# An order for a VM needs word from the scheduler, which repeats it each tick, that is at most this
# old: disruption budgets that allowed the order may be used up since.
VACATED_MAX_AGE_MS = 1_000
# An order for a VM needs a list of the VMs that is at most this old: another upstream may run there
# since. It takes longer to start, to be read and to get a task to its full speed.
VM_LIST_MAX_AGE_MS = 1_000
# Before maintenance, tasks without saved progress are given this long to end.
VACATE_GRACE_PERIOD_MS = 3_500
# An upstream counts as slow for this long after its runs were last judged slow.
SLOW_EXPIRY_MS = 3_000
# A run that resumes from a checkpoint restores it first, without progress for this long.
RESUME_GRACE_MS = 1_000
RESTART_LIMIT_COUNT = 2
# A task that may run twice gets a second run once its upstream is silent for this long, which is
# more than one lost response.
COPY_AFTER_SILENCE_MS = 1_000
# Minimum CPU demand that a waiting task counts as, since a task may declare none.
SHORTAGE_MIN_MILLICORES = 500
POOL_POLICY = "share_by_need"
FLEET_LIST_MS = 300
MOVE_TIMEOUT_MS = 4_000
# The short window detects the start of a burst, the long one smooths large jobs.
OFFERED_WINDOWS_MS = (500, 1_500)
OFFERED_MIN_COUNT = 4
# Shortest time between load reports while tasks wait for capacity; otherwise one per tick.
LOADS_MIN_INTERVAL_MS = 100
# Assumed run time of a task without an estimate.
ESTIMATE_DEFAULT_MS = 1_000
# Ended jobs are kept for this much longer than the platform requires, as clocks differ.
RETENTION_MARGIN_MS = 60_000
# Entry VMs ask the leader this often for which accounts no more jobs should be accepted, and this
# often while there are some. An answer counts for this long, and is told to callers up to a limit.
BACKLOG_INTERVAL_MS = 5_000
BACKLOG_INTERVAL_FULL_MS = 1_000
BACKLOG_MAX_AGE_MS = 6_000
BACKLOG_RETRY_MAX_MS = 60_000
# While the store may hold accepted jobs that the leader does not know, it is read again this often,
# also without memory for more of them: cancellations and ended jobs wait for that.
REREAD_INTERVAL_MS = 30_000
# Acceptance records of ended jobs are deleted in batches, one a partition in this time.
ENDED_RECORDS_DELETE_MS = 1_000
ENDED_RECORDS_BATCH_COUNT = 1_000
# Added to the longest duration of a stop, after which a run that is not listed counts as ended.
STOP_MARGIN_MS = 50
PROBE_TIMEOUT_MS = 350
# A leader whose last confirmation is older reports that it does not lead, so another takes over.
# Confirmations of a slow store are older at all entry VMs: the age may exceed this by
# CONFIRMATION_CALL_RATIO times the duration of the call that was confirmed.
LEADERSHIP_CONFIRMATION_MAX_AGE_MS = 1_100
CONFIRMATION_CALL_RATIO = 2
# Advice for a step that still needs some is requested again after this time.
ADVICE_RETRY_MS = 2_000

# Admission control of connections. A VM whose settings do not tell its limits counts as the
# smallest one in use.
VM_MEMORY_DEFAULT_MB = 160
VM_FD_LIMIT_DEFAULT_COUNT = 4_100
# Descriptors that the platform reserves for files.
FILE_FD_COUNT = 200
# Resident memory of a process that serves nobody, 50 MB, with a margin for its state.
IDLE_PROCESS_MB = 60
# Memory that is shared out at least, also if the settings leave less above an idle process.
SHARED_MEMORY_MIN_MB = 24
# Memory for the leader's jobs, and for those of their tasks that have had runs: at least this much,
# and these shares of what a VM has beyond the smallest one. The smallest VM has room for the
# largest job that can be stored, and for a gang of the most tasks that a step may have.
SMALLEST_VM_MB = 96
JOB_MEMORY_MIN_MB = 7.0
JOB_MEMORY_RATIO = 0.1
TASK_MEMORY_MIN_MB = 4.9
TASK_MEMORY_RATIO = 0.12
# Share of the memory for tasks that is added to it, for their saved progress.
CHECKPOINT_MEMORY_RATIO = 0.4
# Shares of the memory for jobs that are added to it, for what is known of jobs left in the store,
# and for records that have been read and not been handled.
UNLOADED_MEMORY_RATIO = 0.1
INTAKE_MEMORY_RATIO = 0.2
# Share of that memory that a single account without jobs leaves free.
RESERVED_MEMORY_RATIO = 0.25
# Shares of the memory above an idle process; the rest is for the leader's state.
CONNECTION_MEMORY_RATIO = 0.5
LARGE_BODY_MEMORY_RATIO = 0.2
SMALL_BODY_MEMORY_RATIO = 0.05
PEER_BODY_MEMORY_RATIO = 0.05
PEER_CONNECTION_MEMORY_RATIO = 0.15
READY_CONNECTION_MEMORY_RATIO = 0.02
METRICS_CONNECTION_MEMORY_RATIO = 0.01
# Share of its callers' connections that a leader keeps while its jobs use their memory.
CONNECTION_KEPT_RATIO = 0.25
# Shares of the descriptors that are not for files, by listener; the rest is for calls to others.
CONNECTION_FD_RATIO = 0.5
PEER_FD_RATIO = 0.2
READY_FD_RATIO = 0.1
METRICS_FD_RATIO = 0.05
# Connections that are accepted before the first of them is counted against the limits. Accepting
# all that wait at once exceeded a limit by as many as had been queued.
ACCEPT_BATCH_COUNT = 8
LISTEN_BACKLOG_COUNT = 1_024
# Memory that a connection takes at most, on average: 28 KiB with pipelined requests and 49 KiB with
# an unfinished head, 32 KiB of received data in the kernel, and for a quarter of the connections
# 54 KiB of sent data there.
CONNECTION_COST_BYTES = 75 * 1024
# Bytes of memory for each byte of a body: the body is read into one buffer and copied once, and its
# text and the decoded values exist at the same time.
BODY_COST_RATIO = 4
# Memory of a decoded object or list of a body, and of each of its values and names, beyond its text
# and with the types that the values are turned into. A step with one field takes 430 bytes.
DECODED_CONTAINER_BYTES = 250
DECODED_VALUE_BYTES = 100
# A job of the most steps that it may have, with a field each, fits the smallest VM.
LARGEST_JOB_COST_BYTES = 10 * 1024 * 1024
SMALL_BODY_LIMIT_BYTES = 16 * 1024
# A query between entry VMs has no body, and a heartbeat is below 16 KiB.
SIDE_BODY_LIMIT_BYTES = 64 * 1024
# Connections of a listener that is not for callers. On the platform the leader gets up to eight
# from each other entry VM; those that are not in use make room for others.
PEER_CONNECTION_LIMIT_COUNT = 1_024
READY_CONNECTION_LIMIT_COUNT = 64
METRICS_CONNECTION_LIMIT_COUNT = 16
# A load balancer forwards all callers from few addresses; 600 connections are usual in a burst.
ADDRESS_CONNECTION_RATIO = 0.9
# Largest single read of a connection, and the size from which its unread body stops the reading.
READ_SIZE_BYTES = 16 * 1024
# Kernel memory of a connection for data that has not been read; the kernel doubles the value. On a
# loopback address, a body of 256 KiB takes 2.0 ms with it and 1.4 ms with 64 KiB, one of 4 KB the
# same. With 32 KiB, single bodies took 200 to 360 ms.
RECEIVE_BUFFER_BYTES = 16 * 1024
# Data that is queued in the kernel beyond what is under way. Without it, a client that does not
# read fills 4 MB; a smaller send buffer delays an answer of 300 KB by 190 ms on a loopback address.
UNSENT_LIMIT_BYTES = 16 * 1024
# Keys, spans and cookies of a proxy stay far below this.
HEAD_LIMIT_BYTES = 16 * 1024
HEADER_LIMIT_COUNT = 64
EMPTY_LINE_LIMIT_BYTES = 1_024
# Fields after a chunked body; neither interface describes any.
TRAILER_LIMIT_BYTES = 1_024
# One more request is parsed while the previous one is handled; the next ones stay unread.
PIPELINED_REQUEST_LIMIT_COUNT = 2
UNREAD_ANSWER_LIMIT_BYTES = 16 * 1024
# Memory of unread answers, on average of the connections that may have some.
UNREAD_ANSWER_COST_BYTES = 54 * 1024
# Share of a listener's connections whose clients may leave their answers unread at the same time.
UNREAD_CONNECTION_RATIO = 0.25
HEAD_TIMEOUT_MS = 10_000
# Time without progress after which an answer that is not read is given up.
UNREAD_ANSWER_TIMEOUT_MS = 20_000
# Above the time for which load balancers and clients commonly keep unused connections.
IDLE_CONNECTION_TIMEOUT_MS = 300_000
# A body that is incomplete after this long may be given up in favour of another one.
STALLED_BODY_MS = 1_000
CONNECTION_SWEEP_MS = 1_000
# Time for which the rest of a refused body is read and dropped, so that the answer arrives.
REFUSED_BODY_LINGER_MS = 1_000
