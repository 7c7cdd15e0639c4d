"""Limits of clients, from the settings and from the process."""

import resource

from process_soak import make_settings
from tulippin.client_limits import ClientLimits
from tulippin.scheduler_settings import parse_scheduler_settings


def test_clients_leave_half_of_the_descriptors():
    soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    limits = ClientLimits(connections=10 * soft_limit)
    assert limits.count_usable_connections() == soft_limit // 2
    assert ClientLimits(connections=1).count_usable_connections() == 1


def test_limits_are_read_from_the_settings():
    text = make_settings('edge-1', '127.0.0.1:1')
    section = '[clients]\nconnections = 7\nbuffer_mb = 3\nstall_s = 2\n'
    settings = parse_scheduler_settings(text + section)
    assert settings.client_limits == ClientLimits(7, 3 * 2**20, 2)
    assert parse_scheduler_settings(text).client_limits == ClientLimits()
