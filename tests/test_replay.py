"""Decisions of replay on single records."""

from __future__ import annotations

import pytest
from attrs import evolve

from tarragoncart import defaults, records, replay
from tarragoncart.model import KeyGrant, Outcome, TeamSpec


def test_second_publish_on_the_same_base_is_rejected(fleet, submit, config):
    """Guards against two operators overwriting each other."""
    assert submit(records.Publish(1, config)).accepted
    entry = submit(records.Publish(1, evolve(config, teams=())))
    assert not entry.accepted
    assert "version 2" in entry.reason
    assert fleet.config.teams


def test_a_duplicate_batch_has_no_effect(fleet):
    """Guards against a resent batch that takes rights twice."""
    take = records.Envelope("b-1", 0, "a", 0, records.TakeRights("shop", "a", 4))
    assert replay.apply(fleet, 10, take) is not None
    assert replay.apply(fleet, 11, take) is None
    assert fleet.rights["shop"].holders == {"a": 4}


def test_take_never_exceeds_the_limit(fleet, submit):
    """Guards against two holders using the same rights."""
    submit(records.TakeRights("shop", "a", 7))
    submit(records.TakeRights("shop", "b", 7))
    assert fleet.rights["shop"].holders == {"a": 7, "b": 3}
    assert not submit(records.TakeRights("shop", "b", 1)).accepted


def test_rights_of_a_retired_incarnation_stay_counted(fleet, submit):
    """Guards against a limit that ignores jobs still running for a failed entry VM."""
    submit(records.TakeRights("shop", "a", 7))
    submit(records.Retire("a", "silent"))
    assert not submit(records.TakeRights("shop", "a", 1)).accepted
    submit(records.TakeRights("shop", "b", 9))
    assert fleet.rights["shop"].holders == {"b": 3}
    submit(records.ReleaseRights("a"))
    assert fleet.rights["shop"].unassigned_count == 7


def test_a_lowered_limit_holds_rights_back_until_they_are_settled(fleet, submit, config):
    """Guards against exceeding a lowered limit because jobs that still run are not counted."""
    submit(records.TakeRights("shop", "a", 4))
    submit(records.TakeRights("shop", "b", 6))
    submit(records.Retire("a", "silent"))
    submit(records.Publish(1, evolve(config, teams=(TeamSpec("shop", 1.0, 6),))))
    rights = fleet.rights["shop"]
    assert (rights.held, rights.holders, rights.unassigned_count) == ({"a": 4, "b": 6}, {}, 0)
    submit(records.Publish(2, config))
    assert not submit(records.TakeRights("shop", "b", 1)).accepted
    assert submit(records.SettleRights("shop", "b", 6, 4)).accepted
    assert not submit(records.SettleRights("shop", "b", 6, 1)).accepted
    assert fleet.rights["shop"].unassigned_count == 4


def test_rights_held_back_twice_are_not_settled_by_an_older_record(fleet, submit, config):
    """Guards against freeing rights under which jobs have started since the record was sent."""
    submit(records.TakeRights("shop", "a", 4))
    submit(records.Publish(1, evolve(config, teams=(TeamSpec("shop", 1.0, 3),))))
    submit(records.Publish(2, config))
    submit(records.TakeRights("shop", "a", 6))
    submit(records.Publish(3, evolve(config, teams=(TeamSpec("shop", 1.0, 3),))))
    assert not submit(records.SettleRights("shop", "a", 4, 4)).accepted
    assert fleet.rights["shop"].held == {"a": 10}


def test_held_rights_are_kept_after_their_team_is_removed(fleet, submit, config):
    """Guards against a limit that ignores running jobs after a team is removed and added again."""
    submit(records.TakeRights("shop", "a", 7))
    submit(records.Retire("a", "silent"))
    submit(records.Publish(1, evolve(config, teams=())))
    assert not submit(records.TakeRights("shop", "b", 1)).accepted
    submit(records.Publish(2, config))
    assert fleet.rights["shop"].held == {"a": 7}
    assert fleet.rights["shop"].unassigned_count == 3
    submit(records.Publish(3, evolve(config, teams=())))
    submit(records.ReleaseRights("a"))
    assert not fleet.rights


def test_only_one_claim_wins(fleet, submit):
    """Guards against two entry VMs running one deferred job."""
    submit(records.AcceptJob("r", "holds", "shop", "d", {}, 1.0))
    assert submit(records.ClaimJob("r", 1, "a", "vm-0")).accepted
    assert not submit(records.ClaimJob("r", 1, "b", "vm-1")).accepted
    assert not submit(records.ClaimJob("r", 2, "b", "vm-1")).accepted
    submit(records.Retire("a", "silent"))
    assert submit(records.ClaimJob("r", 2, "b", "vm-1")).accepted


def test_stale_claimant_cannot_report_not_run(fleet, submit):
    """Guards against a false ``not_run`` outcome while a later claimant runs the job."""
    submit(records.AcceptJob("r", "holds", "shop", "d", {}, 1.0))
    submit(records.ClaimJob("r", 1, "a", "vm-0"))
    submit(records.Retire("a", "silent"))
    submit(records.ClaimJob("r", 2, "b", "vm-1"))
    assert not submit(records.FinishJob("r", Outcome.NOT_RUN, epoch=1)).accepted
    assert submit(records.FinishJob("r", Outcome.ANSWERED, epoch=2, body=1)).accepted


def test_same_request_id_with_another_body_is_rejected(submit):
    """Guards against one job's answer being returned for another job."""
    submit(records.AcceptJob("r", "holds", "shop", "d", {}, 1.0))
    assert submit(records.AcceptJob("r", "holds", "shop", "e", {}, 1.0)).reason == "different_body"
    assert submit(records.AcceptJob("r", "holds", "shop", "d", {}, 1.0)).reason == "duplicate"
    for other in ("e", "studio"), ("d", "studio"), ("e", "shop"):
        digest, team = other
        claim = records.ClaimJob("r", 1, "a", "vm-0", body_digest=digest, team=team)
        assert submit(claim).reason == "different_body"
    assert submit(records.AcceptJob("r", "holds", "studio", "d", {}, 1.0)).reason == (
        "different_body"
    )


def test_moves_and_stops_share_one_budget(submit):
    """Guards against a wave and a move that together take all VMs of a pool out of service."""
    assert submit(records.MoveVm("vm-0", "holds", "spare", "demand")).accepted
    assert not submit(records.ReserveStop("vm-1", "", "maintenance")).accepted
    assert submit(records.VmDrained("vm-0")).accepted
    assert submit(records.ReserveStop("vm-1", "", "maintenance")).accepted


def test_a_failure_cancels_a_reserved_stop(fleet, submit):
    """Guards against a stop that begins after a failure has used up the budget."""
    submit(records.ReserveStop("vm-1", "", "maintenance"))
    submit(records.VmFailed("vm-2", "no heartbeat"))
    assert "cancelled" in submit(records.BeginStop("vm-1")).reason
    assert fleet.vms["vm-1"].state == "in_service"


def test_a_wave_halts_after_two_failures(fleet, submit):
    """Guards against a bad image being rolled out to a whole pool."""
    submit(records.StartWave("w", ("holds",), "kernel"))
    for name in ("vm-0", "vm-1"):
        submit(records.ReserveStop(name, "w", "kernel"))
        submit(records.BeginStop(name))
        submit(records.VmFailed(name, "did not come back"))
        submit(records.VmBack(name))
    assert fleet.waves["w"].state == "halted"
    assert not submit(records.ReserveStop("vm-2", "w", "kernel")).accepted
    assert submit(records.ControlWave("w", "resume")).accepted


def test_a_publish_without_the_target_of_a_move_ends_the_move(fleet, submit, config):
    """Guards against a VM that joins a pool that no longer exists."""
    submit(records.MoveVm("vm-0", "holds", "spare", "demand"))
    submit(records.Publish(1, evolve(config, pools=config.pools[:1])))
    assert "unknown pool" in submit(records.VmDrained("vm-0")).reason
    assert (fleet.vms["vm-0"].pool, fleet.vms["vm-0"].state) == ("holds", "in_service")


def test_a_publish_without_a_pool_keeps_its_vms_out_of_service(fleet, submit, config):
    """Guards against a VM that reboots or has failed being counted as available."""
    submit(records.MoveVm("vm-0", "holds", "spare", "demand"))
    submit(records.VmDrained("vm-0"))
    submit(records.VmFailed("vm-0", "no answer"))
    submit(records.Publish(1, evolve(config, pools=config.pools[:1])))
    assert (fleet.vms["vm-0"].pool, fleet.vms["vm-0"].state) == ("holds", "failed")


@pytest.mark.parametrize("end", ["resume", "publish"])
def test_a_wave_without_pending_vms_finishes(fleet, submit, config, end):
    """Guards against a wave that never finishes after its last failure or a removal of VMs."""
    submit(records.StartWave("w", ("spare",), "kernel"))
    names = ("vm-4", "vm-5")
    for name in names if end == "resume" else ():
        submit(records.ReserveStop(name, "w", "kernel"))
        submit(records.VmFailed(name, "no answer"))
        submit(records.VmBack(name))
    if end == "resume":
        assert fleet.waves["w"].state == "halted"
        submit(records.ControlWave("w", "resume"))
    else:
        left = tuple(vm for vm in config.vms if vm.name not in names)
        submit(records.Publish(1, evolve(config, vms=left)))
    assert fleet.waves["w"].state == "finished"


def test_a_withdrawn_key_is_removed(fleet, submit):
    """Guards against a key that works after its withdrawal."""
    submit(records.GrantKey(KeyGrant("k", "shop")))
    submit(records.WithdrawKey("k"))
    assert "k" not in fleet.keys
    assert not submit(records.WithdrawKey("k")).accepted


def test_an_evicted_job_is_not_run_again(fleet, submit, monkeypatch):
    """Guards against a second run of a job that has been evicted from the state."""
    monkeypatch.setattr(defaults, "FINISHED_JOB_LIMIT_COUNT", 1)
    for name in ("r1", "r2", "r3"):
        submit(records.ClaimJob(name, 1, "a", "vm-0", "boot", "d"))
        submit(records.FinishJob(name, Outcome.OUTCOME_UNKNOWN, 1))
        submit(records.FinishJob(name, Outcome.ANSWERED, 1))
    assert list(fleet.jobs) == ["r3"]
    assert submit(records.ClaimJob("r1", 1, "b", "vm-1", "boot", "d")).reason == "expired"
    assert submit(records.AcceptJob("r2", "holds", "shop", "d", {}, 1.0)).reason == "expired"
