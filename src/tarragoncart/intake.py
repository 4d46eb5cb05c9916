"""Records of accepted and cancelled jobs, which entry VMs write and the leader reads."""

from __future__ import annotations

import json
from typing import Any

from cattrs import Converter
from cattrs.gen import make_dict_unstructure_fn

from .graph import Demand, JobSpec, StepSpec, Submission

TOPIC = "keyed.intake"
JOB_PREFIX = "j/"
CANCEL_PREFIX = "c/"

_converter = Converter()
for _type in (Demand, StepSpec, JobSpec, Submission):
    # Fields at their defaults are left out: bytes in the store are paid for.
    _converter.register_unstructure_hook(
        _type, make_dict_unstructure_fn(_type, _converter, _cattrs_omit_if_default=True)
    )


def submission_record(submission: Submission) -> tuple[str, bytes]:
    """Return the record of an accepted job."""
    data = _converter.unstructure(submission)
    return JOB_PREFIX + submission.job_id, json.dumps(data, separators=(",", ":")).encode()


def cancel_record(job_id: str, at_ms: int) -> tuple[str, bytes]:
    """Return the record of a cancelled job."""
    return CANCEL_PREFIX + job_id, str(at_ms).encode()


def decode_submission(value: bytes) -> Submission:
    """Decode the record of an accepted job.

    :raises ValueError: if it is malformed.
    """
    data: Any = json.loads(value)
    try:
        return _converter.structure(data, Submission)
    except Exception as error:
        raise ValueError(f"malformed submission: {error!r}") from error
