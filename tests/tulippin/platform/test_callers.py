"""Validation of callers' requests."""

import json

import pytest

from tulippin.exceptions import InputError
from tulippin.platform.callers import decode_job

MAX_TEXT_CHARS = 4000


def test_job_with_many_faults_names_the_first_ones():
    """Guards against answers and log lines that are larger than the request."""
    step = {'Count': 0, 'Cpu': -1, 'MemMb': -1}
    body = json.dumps({'Spec': '', 'Steps': [step] * 5000}).encode()
    with pytest.raises(InputError) as caught:
        decode_job(body)
    findings = [finding.render() for finding in caught.value.findings]
    assert 'Steps[0].Count' in findings[0]
    assert len('; '.join(findings)) < MAX_TEXT_CHARS
