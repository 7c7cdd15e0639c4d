"""Exceptions of the product, each with a code and an exit code."""

from __future__ import annotations

import sys
import typing as t

import attrs


@attrs.frozen
class Finding:
    """One fault in an input: where it is and how to correct it.

    Parameters
    ----------
    place : str
        File, section and key (or JSON path) of the fault.
    message : str
        What is wrong.
    advice : str
        How to correct it.
    """

    place: str
    message: str
    advice: str = ''

    def render(self) -> str:
        """Return the finding as one line of text."""
        tail = f' ({self.advice})' if self.advice else ''
        return f'{self.place}: {self.message}{tail}'


class TulippinError(Exception):
    """Base class of the errors that the product raises deliberately.

    Parameters
    ----------
    message : str
        What went wrong, and what to do next.
    code : str, optional
        A stable identifier for programs; defaults to the class's.
    """

    code = 'internal'
    exit_code = 1

    def __init__(self, message: str, code: str | None = None) -> None:
        super().__init__(message)
        self.message = message
        if code is not None:
            self.code = code

    def format_message(self) -> str:
        """Return the text shown to a user."""
        return f'{self.code}: {self.message}'

    def show(self, stream: t.TextIO | None = None) -> None:
        """Write the error to a stream, by default standard error."""
        print(self.format_message(), file=stream or sys.stderr)


class InputError(TulippinError):
    """An input is invalid; all its findings are reported together."""

    code = 'bad_input'
    exit_code = 2

    def __init__(
        self,
        message: str,
        findings: t.Sequence[Finding] = (),
        code: str | None = None,
    ) -> None:
        super().__init__(message, code)
        self.findings = tuple(findings)

    def format_message(self) -> str:
        """Return the message, then one line for each finding."""
        lines = [super().format_message()]
        lines.extend(f'  {finding.render()}' for finding in self.findings)
        return '\n'.join(lines)


class ConflictError(TulippinError):
    """Another operator or instance made a conflicting change first."""

    code = 'conflict'
    exit_code = 3


class NotFoundError(TulippinError):
    """The requested object does not exist."""

    code = 'not_found'
    exit_code = 4


class UnavailableError(TulippinError):
    """A service does not answer; the call had no effect."""

    code = 'unavailable'
    exit_code = 5


class AnswerLostError(UnavailableError):
    """A call was sent but its answer was lost; it may have taken effect."""

    code = 'unknown'


class OverloadedError(UnavailableError):
    """A job was not accepted, as it would be completed too late to be of use.

    Parameters
    ----------
    message : str
        Why the job was not accepted.
    retry_after_s : int
        When the caller should come back, in seconds from now.
    """

    code = 'overloaded'

    def __init__(self, message: str, retry_after_s: int) -> None:
        super().__init__(message)
        self.retry_after_s = retry_after_s


class DeniedError(TulippinError):
    """The operator or the signature is not authorized for the action."""

    code = 'denied'
    exit_code = 6


class FencedError(TulippinError):
    """The session was revoked; its holder must stop acting for its units."""

    code = 'fenced'
    exit_code = 7
