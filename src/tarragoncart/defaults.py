"""Named constants; each name ends in the unit of its value."""

from __future__ import annotations

# Lease of an entry VM at a worker. Three renewals fit in one lease, so that one lost renewal
# does not expire it.
LEASE_DURATION_MS = 3_000
LEASE_RENEWAL_MS = 1_000
# A guard keeps results for 15 min; the rest is for clocks of entry VMs that differ.
GUARD_RETENTION_MS = 14 * 60 * 1_000

# A withdrawn key is refused everywhere at most this long after its withdrawal was accepted.
KEY_FRESHNESS_MS = 5_000

HEARTBEAT_PERIOD_MS = 500
HEARTBEAT_FANOUT_COUNT = 2
# Every peer is asked at least this often; one lost answer leaves time for another within the bound
# for the freshness of keys.
PEER_SILENCE_MS = 2_000
# A member is retired after this silence; it is longer than a lease plus a slow log append.
MEMBER_RETIRE_MS = 10_000
PEER_TIMEOUT_MS = 800

# At 20 ms nine entry VMs make at most 450 appends a second, within what the log sustains.
FLUSH_WINDOW_MS = 20
FLUSH_WINDOW_SLOW_MS = 50
FLUSH_RECORD_COUNT = 500
FLUSH_SIZE_BYTES = 256 * 1024
APPEND_TIMEOUT_MS = 1_500
# A batch without an answer is sent again only after a read to the end this much later.
APPEND_GRACE_MS = 1_000
LOG_LONG_POLL_MS = 1_000
LOG_READ_LIMIT_COUNT = 1_000
LOG_RETRY_MS = 200
# Without a completed read for this long the log counts as unavailable.
LOG_UNAVAILABLE_MS = 2_500
LOG_RETENTION_MS = 24 * 3_600 * 1_000
SNAPSHOT_PART_BYTES = 64 * 1024
FINISHED_JOB_COUNT = 10_000
# A digest takes about 100 bytes, so that these take 5 MB.
EXPIRED_JOB_COUNT = 50_000

VM_LIST_POLL_MS = 1_000

ATTEMPT_TIMEOUT_MS = 30_000
CONNECT_TIMEOUT_MS = 500
GUARD_QUERY_FIRST_MS = 50
GUARD_QUERY_MAX_MS = 1_000
# After some refusals in a row, a job is placed again only after a growing delay.
REFUSAL_FREE_COUNT = 3
REFUSAL_DELAY_MS = 25
REFUSAL_DELAY_MAX_MS = 1_000
# Retries may add at most this share of all attempts.
RETRY_BUDGET_RATIO = 0.1
RETRY_BUDGET_MIN_COUNT = 10

EJECT_AFTER_FAILURES_COUNT = 3
EJECT_AFTER_SILENCES_COUNT = 2
EJECT_DURATION_MS = 5_000
EJECT_WINDOW_MS = 5_000
EJECT_MAX_RATIO = 1 / 3

RIGHTS_REBALANCE_MS = 250
DEADLINE_SWEEP_MS = 20
# A process that has not run for this long counts as paused; it is below the duration of a lease.
PAUSE_MS = 1_500
DEADLINE_DEFAULT_MS = 10_000
DEADLINE_MAX_MS = 24 * 3_600 * 1_000
QUEUE_WAITING_COUNT = 2_000
BODY_SIZE_BYTES = 256 * 1024
# A caller that stops sending must not keep a handler for ever.
BODY_TIMEOUT_MS = 10_000
# A configuration of 1,292 VMs and 68 pools takes 294,461 bytes.
CONFIG_SIZE_BYTES = 4 * 1024 * 1024
REQUEST_ID_BLOCK_COUNT = 1_000
REQUEST_ID_LENGTH = 128
# An issued request ID can be submitted for this long; an entry VM remembers each job for longer,
# so that an ID that it does not know has either never run or is too old to be started.
REQUEST_ID_VALIDITY_MS = 120_000
RESULT_RETENTION_MS = 300_000
ATTEMPT_COUNT = 3

SHUTDOWN_TIMEOUT_MS = 30_000
# After the last job, requests that come late are still refused; then the last answers go out.
# Long enough for callers with open connections to have learned of it from a refusal.
LINGER_MS = 2_000
LINGER_CLOSED_MS = 200
WAVE_FAILURE_LIMIT_COUNT = 2
INBOX_COUNT = 50_000
AUDIT_ENTRY_COUNT = 20_000

LOG_READ_TIMEOUT_MS = 4_000
APPEND_SLOW_MS = 500
SNAPSHOT_CHECK_MS = 5_000
SNAPSHOT_AFTER_COUNT = 20_000
CONTROL_TIMEOUT_MS = 900
UPSTREAM_BUSY_MS = 10
# Evidence from the guard of an idempotent job is waited for this long before it is retried.
IDEMPOTENT_FENCE_MS = 500
MEMBER_CHECK_MS = 500
OPERATOR_TIMEOUT_MS = 6_000

# Operations: how often the driver looks, and how long it waits before it repeats a call.
OPERATIONS_PERIOD_MS = 250
OPERATIONS_GAP_MS = 50
# VMs in a stop or move that the driver asks at each look; others tell their state with the next
# renewal of the lease.
OPERATIONS_PROBE_COUNT = 16
PLATFORM_CALL_RETRY_MS = 1_000
# Longer than the platform waits for a worker, so that its answer is not lost.
PLATFORM_CALL_TIMEOUT_MS = 3_000
# A pending record that has no answer by then is decided anew: replay accepts each step once.
RECORD_WAIT_MS = 10_000
CAPACITY_PERIOD_MS = 10_000
LOAD_SAMPLE_MS = 1_000
# A VM has failed after this silence and this many unanswered calls; the count keeps an entry VM
# that was paused from taking its own pause for the VM's silence.
VM_SILENCE_MS = 5_000
VM_SILENCE_CALL_COUNT = 3
# A planned stop or move that finds a VM busy for this long is given up rather than cut a task.
VM_DRAIN_TIMEOUT_MS = 600_000
# Time without an answer after which a VM counts as not back from its reboot.
VM_RETURN_TIMEOUT_MS = 30_000
GC_THRESHOLD_COUNT = 50_000

# The platform's store.
STORE_CALL_BYTES = 1_000_000
STORE_RETRY_MS = 100
STORE_RETRY_MAX_MS = 400
# Without progress of the append under way for this long, new submissions are refused at once.
STORE_STALL_MS = 800
RULES_WAIT_MS = 1_500
INTAKE_WAIT_MS = 1_500
UPSTREAM_LIST_PAUSE_MS = 150

# A member of the group is replaced after this silence; it tells of itself some times as often.
MEMBERSHIP_TTL_MS = 1_200
JOINS_PER_TTL_COUNT = 3
# A leader that the store has not confirmed for this long gives no more orders. Its successor
# waits this long, and a lease, before it gives up on tasks at an upstream that it cannot reach.
LEADERSHIP_VALID_MS = 3_000
LEADERSHIP_CHECK_MS = 250
LEADER_LOOKUP_PAUSE_MS = 250

# Lease of all runs at an upstream, renewed with each look at it.
UPSTREAM_LEASE_MS = 3_000
# An upstream's steady clock may be this much slow; the rest is for the estimate.
CLOCK_DRIFT_RATIO = 0.02
LEASE_MARGIN_MS = 300
UPSTREAM_WAIT_MS = 600
# An upstream without an answer for this long gets no new tasks.
UPSTREAM_SILENT_MS = 1_800
ACKNOWLEDGE_WAIT_MS = 400
PLACEMENT_DELAY_MS = 4
SCHEDULER_TICK_MS = 250
# A submission is answered as unknown after this long without an outcome.
SUBMIT_TIMEOUT_MS = 1_800
LOOKUP_TIMEOUT_MS = 500
# Older views of the leader prove nothing about jobs that it does not know.
INTAKE_FRESH_MS = 2_500
RETRY_AFTER_S = 1
START_RETRY_MS = 100
# An upstream that had no room or called itself unhealthy gets nothing for this long.
UPSTREAM_FULL_MS = 300
STEP_ORDER = "deadline"
# Part of the bound for withdrawn keys up to which a configuration may be old.
KEY_FRESHNESS_RATIO = 0.85
READY_RULES_AGE_MS = 4_000
# Two tries end well before callers stop waiting; a third would hold a question to its deadline.
LOOKUP_TRY_COUNT = 2
LOOKUP_RETRY_MS = 150
DRAIN_SERVE_MS = 3_000
DRAIN_CLOSE_MS = 700
FLEET_TICK_MS = 300
FLEET_RETRY_MS = 500
# A task without saved progress is waited for this long before its upstream goes down.
VACATE_PATIENCE_MS = 3_500
# An upstream counts as slow for this long after its runs were last seen to be.
SLOW_MEMORY_MS = 3_000
# A run that resumes from saved progress restores it first.
RESUME_GRACE_MS = 1_000
RESTART_LIMIT_COUNT = 2
# A task that may run twice gets a second run after this silence; one lost answer is no silence.
COPY_SILENT_MS = 1_000
# A task without cpu of its own that finds no upstream counts as this much.
SHORT_MIN_MILLICORES = 500
POOL_POLICY = "follow_demand"
FLEET_LIST_MS = 300
MOVE_GIVE_UP_MS = 4_000
# The short window shows the start of a burst, the long one evens out large jobs.
OFFERED_WINDOWS_MS = (500, 1_500)
OFFERED_MIN_COUNT = 4
# What runs where is told at least each tick, and sooner while tasks wait for room.
LOADS_GAP_MS = 100
# A task without an estimate counts as this long.
ESTIMATE_DEFAULT_MS = 1_000
# An ended job is told of for this much longer than the platform asks: clocks differ.
RETENTION_MARGIN_MS = 60_000
# Added to the time that a stop may take before a run in neither list counts as ended.
STOP_MARGIN_MS = 50
PROBE_TIMEOUT_MS = 350
# A leader whose last confirmation is older says that it does not lead, so that another takes over.
LEADERSHIP_FRESH_MS = 1_100
# A step without advice is asked about again after this time.
ADVICE_RETRY_MS = 2_000
