"""The operators' command line."""

from __future__ import annotations

import sys
import typing as t

from cleo.application import Application
from cleo.commands.completions_command import CompletionsCommand
from cleo.io.inputs.string_input import StringInput

from tulippin import __version__
from tulippin.cli_bundles import (
    BundleApprove,
    BundleCheck,
    BundleList,
    BundlePropose,
    BundleRetire,
    BundleRoll,
    BundleShow,
    KeyMake,
)
from tulippin.cli_jobs import JobCancel, JobList, JobShow, JobSubmit
from tulippin.cli_scheduler import SchedulerJob, SchedulerShow
from tulippin.cli_views import (
    Compare,
    Demo,
    Dump,
    Instances,
    SettingsCheck,
    Workers,
)

COMMANDS: t.Final = (
    SettingsCheck,
    KeyMake,
    BundleCheck,
    BundlePropose,
    BundleApprove,
    BundleRoll,
    BundleRetire,
    BundleShow,
    BundleList,
    JobSubmit,
    JobShow,
    JobCancel,
    JobList,
    Compare,
    Dump,
    Instances,
    Workers,
    SchedulerShow,
    SchedulerJob,
    Demo,
    CompletionsCommand,
)


def make_application() -> Application:
    """Return the command-line application with all its commands."""
    application = Application('tulippin', __version__)
    for command in COMMANDS:
        application.add(command())
    return application


def main() -> int:
    """Run ``tulippin``; return its exit code."""
    application = make_application()
    if sys.argv[1:] in (['--help'], ['-h']):
        return application.run(StringInput('list'))
    return application.run()
